package pattern

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Row holds the results of one strategy under one pattern. Shares are from 0 to 1.
type Row struct {
	Pattern  string `json:"pattern"`
	Strategy string `json:"way"`
	// ValueShare is the earned share of the value of all work, Bound the share that no schedule can exceed,
	// WorstShare the earned share of the work that arrived in the worst two seconds.
	ValueShare float64 `json:"worth"`
	Bound      float64 `json:"bound"`
	WorstShare float64 `json:"worst"`
	// Goodput is the share of the slots' time, while work arrives, that went into complete answers.
	Goodput float64 `json:"goodput"`
	// InTime is the share of each kind's requests that met their objective.
	InTime map[string]float64 `json:"inTime"`
	// Refusals counts the refused attempts by reason.
	Refusals map[string]int `json:"refusals"`
	// Preemptions counts how often a batch item lost its slot to online requests or to another entry.
	Preemptions int `json:"cuts"`
	// Messages counts the messages between nodes; MessagesPerRequest is their mean per request.
	Messages           int     `json:"messages"`
	MessagesPerRequest float64 `json:"messagesEach"`
	// Wait50 and Wait99 are the p50 and p99 of the time from the arrival of asks to their first start, in ms.
	Wait50 float64 `json:"wait50Millis"`
	Wait99 float64 `json:"wait99Millis"`
	// First50 and First99 are the p50 and p99 of the time from the arrival of asks to their first event, Pause99 is the p99
	// of the time between their events, in ms.
	First50 float64 `json:"first50Millis"`
	First99 float64 `json:"first99Millis"`
	Pause99 float64 `json:"pause99Millis"`
	// Crossed is the number of runs outside the zone of their entry, for each request.
	Crossed float64 `json:"crossed"`
}

// Report holds the rows of all patterns and strategies.
type Report struct {
	Rows []Row `json:"rows"`
}

// Run runs each pattern with each strategy.
func Run(opts Options) Report {
	var report Report
	for _, sc := range scenarios {
		for _, start := range []func(*sim) strategy{(*sim).aloneStrategy, (*sim).lendingStrategy, (*sim).grantStrategy} {
			s := newSim(opts, sc)
			s.result.Refusals = map[string]int{}
			chosen := start(s)
			s.play(chosen)
			report.Rows = append(report.Rows, s.row(chosen.name))
		}
	}
	return report
}

// Write prints the report as a table in Markdown.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| Pattern\t| Way\t| Worth\t| Bound\t| Worst 2 s\t| Goodput\t| ask\t| check\t| item\t| full\t| waited\t| cuts\t| Messages\t| ask waits p50, p99 ms\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "| %s\t| %s\t| %.3f\t| %.3f\t| %.2f\t| %.2f\t| %.3f\t| %.3f\t| %.3f\t| %d\t| %d\t| %d\t| %.1f\t| %.1f, %.0f\t|\n",
			row.Pattern, row.Strategy, row.ValueShare, row.Bound, row.WorstShare, row.Goodput, row.InTime["ask"], row.InTime["check"], row.InTime["item"],
			row.Refusals["full"], row.Refusals["waited"], row.Preemptions, row.MessagesPerRequest, row.Wait50, row.Wait99)
	}
	return t.Flush()
}

// row returns the results of the run.
func (s *sim) row(name string) Row {
	row := s.result
	row.Pattern, row.Strategy, row.InTime = s.scenario.name, name, map[string]float64{}
	windows := map[int][2]float64{}
	counts := map[string]int{}
	earned, offered, done := 0.0, 0.0, 0.0
	for _, r := range s.all {
		got := r.earned()
		earned, offered = earned+got, offered+r.kind.value
		w := windows[int(r.arrived/worstWindow)]
		windows[int(r.arrived/worstWindow)] = [2]float64{w[0] + got, w[1] + r.kind.value}
		counts[r.kind.name]++
		if r.doneAt > 0 && r.doneAt <= s.opts.Length {
			done += r.slotTime.Seconds()
		}
		if got == r.kind.value {
			row.InTime[r.kind.name]++
		}
	}
	row.Goodput = done / s.capacity(0, s.opts.Length)
	row.ValueShare, row.Bound, row.WorstShare = earned/offered, s.bound()/offered, 1
	for _, w := range windows {
		row.WorstShare = min(row.WorstShare, w[0]/w[1])
	}
	for name, n := range counts {
		row.InTime[name] /= float64(n)
	}
	row.MessagesPerRequest = float64(row.Messages) / float64(len(s.all))
	slices.Sort(s.askWaits)
	slices.Sort(s.firstEvents)
	slices.Sort(s.pauses)
	row.First50, row.First99, row.Pause99 = percentile(s.firstEvents, 0.5), percentile(s.firstEvents, 0.99), percentile(s.pauses, 0.99)
	row.Crossed = float64(s.crossed) / float64(len(s.all))
	row.Wait50, row.Wait99 = percentile(s.askWaits, 0.5), percentile(s.askWaits, 0.99)
	return row
}

// worstWindow is the length of the windows of arrival time among which Row.WorstShare is the worst.
const worstWindow = 2 * time.Second

func percentile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// earned returns the value that a request earned: online by the time of its start, batch by that of its end.
func (r *request) earned() float64 {
	at := r.firstAt
	if r.kind.batch {
		at = r.doneAt
	}
	switch {
	case r.doneAt == 0 || r.doneAt > r.arrived+r.kind.deadline:
		return 0
	case at-r.arrived <= r.kind.objective:
		return r.kind.value
	default:
		return r.kind.lateValue
	}
}

// bound returns a value that no schedule can exceed, even with knowledge of the future: in any interval, the
// requests that meet their objective can't use more slot time than there is. The bound is optimistic: requests
// may run in parts and at any time within the interval, and late ones cost no slot time. The result is the
// lowest bound of several divisions of the run into intervals.
func (s *sim) bound() float64 {
	end := s.opts.Length + 2*itemKind.objective
	best := s.boundOf(s.all, 0, end)
	for _, length := range []time.Duration{2, 3, 4, 6, 8, 12, 24} {
		length *= time.Second
		sum := 0.0
		for from := time.Duration(0); from < end; from += length {
			var part []*request
			for _, r := range s.all {
				switch {
				case r.arrived < from || r.arrived >= from+length:
				case r.kind.batch:
					sum += r.kind.value
				default:
					part = append(part, r)
				}
			}
			// An online request in time starts within its objective and ends at most its longest slot time later.
			sum += s.boundOf(part, from, from+length+askKind.objective+13*askKind.slotTime/10)
		}
		best = min(best, sum)
	}
	return best
}

// boundOf returns the greatest value that requests can earn if all run between two times.
func (s *sim) boundOf(requests []*request, from, to time.Duration) float64 {
	sorted := slices.Clone(requests)
	density := func(r *request) float64 { return (r.kind.value - r.kind.lateValue) / r.slotTime.Seconds() }
	slices.SortStableFunc(sorted, func(a, b *request) int { return cmp.Compare(density(b), density(a)) })
	remaining := s.capacity(from, to)
	sum := 0.0
	for _, r := range sorted {
		fraction := math.Min(1, math.Max(0, remaining)/r.slotTime.Seconds())
		remaining -= r.slotTime.Seconds()
		sum += r.kind.lateValue + (r.kind.value-r.kind.lateValue)*fraction
	}
	return sum
}

// capacity returns the slot time of all engines between two times, in slot seconds.
func (s *sim) capacity(from, to time.Duration) float64 {
	sum := 0.0
	for _, e := range s.engines[:s.opts.Engines] {
		sum += float64(s.opts.Slots) * e.pace.work(from, to).Seconds()
	}
	return sum
}
