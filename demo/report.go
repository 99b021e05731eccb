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
	Whole      int            `json:"whole"`
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
	Doubled        int     `json:"doubled"`
	Wrong          int     `json:"wrong"`
	ItemsPerSecond float64 `json:"itemsPerSecond"`
	// IdleShare is the rate as a share of the idle baseline: engines full of batch in the time in which
	// online alone left them idle. Above 1 batch ran beside online too.
	IdleShare float64 `json:"idleShare"`
	// SlotShare is the rate as a share of all places that online leaves, which no schedule reaches
	// without harm.
	SlotShare float64 `json:"slotShare"`
}

// Calls is the result of the confirmations, which may run at most once.
type Calls struct {
	Sent     int `json:"sent"`
	Done     int `json:"done"`
	Unknown  int `json:"unknown"`
	Open     int `json:"open"`
	Doubled  int `json:"doubled"`
	Mismatch int `json:"mismatch"`
}

// Report is the result of a demo.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Fault   string  `json:"fault"`
	Alone   Online  `json:"onlineAlone"`
	Beside  Online  `json:"onlineBesideBatch"`
	Batch   Batch   `json:"batch"`
	Calls   Calls   `json:"calls"`
	Passed  bool    `json:"passed"`
}

// OK reports that no invariant broke: every item and request was answered once and rightly.
func (r Report) OK() bool {
	return r.Alone.ok() && r.Beside.ok() && r.Batch.ok() && r.Calls.Doubled+r.Calls.Mismatch+r.Calls.Open == 0
}

func (o Online) ok() bool { return o.Lost == 0 && o.Wrong == 0 }

func (b Batch) ok() bool {
	return b.State == "completed" && b.Lost+b.Doubled+b.Wrong+b.Unknown == 0 && b.Failed == b.Items/hopelessEvery
}

func (r *run) report(alone, beside *online, c *calls, b *batchJob, o outcome, batchRate, idleShare float64) Report {
	report := Report{
		Seed: r.opts.Seed, Seconds: r.opts.Duration.Seconds(), Fault: r.opts.Fault,
		Alone: alone.result(), Beside: beside.result(),
		Batch: Batch{
			State: o.state, Items: b.items, Succeeded: o.succeeded, Failed: o.failed, Unknown: o.unknown, Lost: o.lost,
			Doubled: o.doubled, Wrong: o.wrong, ItemsPerSecond: batchRate,
		},
		Calls: Calls{Sent: c.sent, Done: c.done, Unknown: c.unknown, Open: c.open, Doubled: c.doubled(), Mismatch: c.mismatch},
	}
	besideSeconds := (r.opts.Duration - r.opts.Duration/3).Seconds()
	report.Batch.SlotShare = batchRate / slotBound(r.opts.Engines, float64(report.Beside.Sent)/besideSeconds)
	report.Batch.IdleShare = batchRate / max(1, idleShare*slotBound(r.opts.Engines, 0))
	report.Passed = report.OK()
	return report
}

// slotBound is the number of batch items a second that the engines could do beside online, if every
// place was filled all the time.
func slotBound(engines int, onlinePerSecond float64) float64 {
	o := engine.NewOptions()
	step := o.StepBase + engineSequences*o.StepPerSequence
	tokens := float64(engines*engineSequences) / step.Seconds()
	return max(1, (tokens-onlinePerSecond*answerTokens)/batchTokens)
}

// WriteTable writes the report for people.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nonline\tsent\twhole\tlost\twrong\tfirst token p50/p95/p99 ms\tinter-token p50/p95/p99 ms")
	for _, row := range []struct {
		name string
		o    Online
	}{{"alone", r.Alone}, {"beside batch", r.Beside}} {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%s\n", row.name, row.o.Sent, row.o.Whole, row.o.Lost, row.o.Wrong, row.o.FirstToken, row.o.InterToken)
	}
	fmt.Fprintln(t, "\nbatch\titems\tsucceeded\tfailed\tunknown\tlost\tdoubled\titems/s\tof idle baseline\tof free slots")
	b := r.Batch
	fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f%%\t%.0f%%\n", b.State, b.Items, b.Succeeded, b.Failed, b.Unknown, b.Lost, b.Doubled, b.ItemsPerSecond, 100*b.IdleShare, 100*b.SlotShare)
	fmt.Fprintln(t, "\nconfirmations\tsent\tdone\tunknown\topen\tdoubled\tmismatch")
	c := r.Calls
	fmt.Fprintf(t, "at most once\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Sent, c.Done, c.Unknown, c.Open, c.Doubled, c.Mismatch)
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

type wholeBody struct {
	Choices []struct {
		Message load.Message `json:"message"`
	} `json:"choices"`
}

// answerText returns the text of a whole answer.
func answerText(body []byte) string {
	var b wholeBody
	if err := json.Unmarshal(body, &b); err != nil || len(b.Choices) == 0 {
		return ""
	}
	return b.Choices[0].Message.Content
}
