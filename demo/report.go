package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"mothcart/fake/engine"
	"mothcart/load"
)

// Online is the result of one phase of online requests.
type Online struct {
	Sent       int            `json:"sent"`
	Complete   int            `json:"whole"`
	Lost       int            `json:"lost"`
	Wrong      int            `json:"wrong"`
	Resent     int            `json:"resent"`
	FirstToken load.Quantiles `json:"firstToken"`
	InterToken load.Quantiles `json:"interToken"`
}

// Batch is the result of the job.
type Batch struct {
	State          string  `json:"state"`
	Items          int     `json:"items"`
	Succeeded      int     `json:"succeeded"`
	Failed         int     `json:"failed"`
	Unknown        int     `json:"unknown"`
	Lost           int     `json:"lost"`
	Duplicated     int     `json:"doubled"`
	Wrong          int     `json:"wrong"`
	ItemsPerSecond float64 `json:"itemsPerSecond"`
	// IdleShare is ItemsPerSecond as a share of the idle baseline: the rate of engines full of batch, times the
	// share of time in which online alone left them idle. Above 1, batch also ran beside online requests.
	IdleShare float64 `json:"idleShare"`
	// SlotShare is ItemsPerSecond as a share of the rate that would fill all slots that online leaves free. No
	// schedule reaches that without harm to the online latency.
	SlotShare float64 `json:"slotShare"`
}

// Calls is the result of the confirmations, which may run at most once. Done counts those with a final
// outcome, Unknown those of Done for which it is unknown whether they ran, Open those without any outcome
// after all attempts, Duplicated those that ran more than once, and Mismatch the later answers that gave
// another outcome.
type Calls struct {
	Sent       int `json:"sent"`
	Done       int `json:"done"`
	Unknown    int `json:"unknown"`
	Open       int `json:"open"`
	Duplicated int `json:"doubled"`
	Mismatch   int `json:"mismatch"`
}

// Report is the result of a demo.
type Report struct {
	Seed              uint64  `json:"seed"`
	Seconds           float64 `json:"seconds"`
	Fault             string  `json:"fault"`
	OnlineAlone       Online  `json:"onlineAlone"`
	OnlineBesideBatch Online  `json:"onlineBesideBatch"`
	Batch             Batch   `json:"batch"`
	Calls             Calls   `json:"calls"`
	Passed            bool    `json:"passed"`
}

// OK reports whether all invariants held: every item and online request got one correct answer, except items
// meant to fail, and every confirmation ran at most once and got one outcome.
func (r Report) OK() bool {
	return r.OnlineAlone.ok() && r.OnlineBesideBatch.ok() && r.Batch.ok() && r.Calls.Duplicated+r.Calls.Mismatch+r.Calls.Open == 0
}

func (o Online) ok() bool { return o.Lost == 0 && o.Wrong == 0 }

func (b Batch) ok() bool {
	return b.State == "completed" && b.Lost+b.Duplicated+b.Wrong+b.Unknown == 0 && b.Failed == b.Items/failingItemEvery
}

func (r *run) report(alone, beside *online, c *calls, b *batchJob, o outcome, batchRate, idleShare float64) Report {
	report := Report{
		Seed: r.opts.Seed, Seconds: r.opts.Duration.Seconds(), Fault: r.opts.Fault,
		OnlineAlone: alone.result(), OnlineBesideBatch: beside.result(),
		Batch: Batch{
			State: o.state, Items: b.items, Succeeded: o.succeeded, Failed: o.failed, Unknown: o.unknown, Lost: o.lost,
			Duplicated: o.duplicated, Wrong: o.wrong, ItemsPerSecond: batchRate,
		},
		Calls: Calls{Sent: c.sent, Done: c.done, Unknown: c.unknown, Open: c.open, Duplicated: c.duplicated(), Mismatch: c.mismatch},
	}
	besideSeconds := (r.opts.Duration - r.opts.Duration/3).Seconds()
	report.Batch.SlotShare = batchRate / slotBound(r.opts.Engines, float64(report.OnlineBesideBatch.Sent)/besideSeconds)
	report.Batch.IdleShare = batchRate / max(1, idleShare*slotBound(r.opts.Engines, 0))
	report.Passed = report.OK()
	return report
}

// slotBound returns the number of batch items per second that the engines could run beside online if every slot
// was always in use.
func slotBound(engines int, onlinePerSecond float64) float64 {
	o := engine.NewOptions()
	step := o.StepBase + engineSequences*o.StepPerSequence
	tokens := float64(engines*engineSequences) / step.Seconds()
	return max(1, (tokens-onlinePerSecond*answerTokens)/batchTokens)
}

// WriteTable writes the report as text for a terminal.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nonline\tsent\twhole\tlost\twrong\tfirst token p50/p95/p99 ms\tinter-token p50/p95/p99 ms")
	for _, row := range []struct {
		name string
		o    Online
	}{{"alone", r.OnlineAlone}, {"beside batch", r.OnlineBesideBatch}} {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", row.name, row.o.Sent, row.o.Complete, row.o.Lost, row.o.Wrong, row.o.FirstToken, row.o.InterToken)
	}
	fmt.Fprintln(t, "\nbatch\titems\tsucceeded\tfailed\tunknown\tlost\tdoubled\titems/s\tof idle baseline\tof free slots")
	b := r.Batch
	fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f%%\t%.0f%%\n", b.State, b.Items, b.Succeeded, b.Failed, b.Unknown, b.Lost, b.Duplicated, b.ItemsPerSecond, 100*b.IdleShare, 100*b.SlotShare)
	fmt.Fprintln(t, "\nconfirmations\tsent\tdone\tunknown\topen\tdoubled\tmismatch")
	c := r.Calls
	fmt.Fprintf(t, "at most once\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Sent, c.Done, c.Unknown, c.Open, c.Duplicated, c.Mismatch)
	if err := t.Flush(); err != nil {
		return err
	}
	verdict := "every invariant held"
	if !r.OK() {
		verdict = "AN INVARIANT BROKE"
	}
	_, err := fmt.Fprintf(w, "\n%s\n", verdict)
	return err
}

type completeAnswer struct {
	Choices []struct {
		Message load.Message `json:"message"`
	} `json:"choices"`
}

// answerText returns the text of a complete answer.
func answerText(body []byte) string {
	var b completeAnswer
	if err := json.Unmarshal(body, &b); err != nil || len(b.Choices) == 0 {
		return ""
	}
	return b.Choices[0].Message.Content
}
