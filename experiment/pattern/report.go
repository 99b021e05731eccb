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

// Row is what one way reached under one pattern. Shares are from 0 to 1.
type Row struct {
	Pattern string `json:"pattern"`
	Way     string `json:"way"`
	// Worth is the part of the value of all work that was earned, Bound the part that no schedule
	// passes, Worst that of the work that arrived in the worst two seconds.
	Worth float64 `json:"worth"`
	Bound float64 `json:"bound"`
	Worst float64 `json:"worst"`
	// Goodput is the part of the slots' time, while work arrives, that whole answers used.
	Goodput float64 `json:"goodput"`
	// InTime is the share of each kind that met its objective.
	InTime map[string]float64 `json:"inTime"`
	// Refusals counts the refused attempts by reason.
	Refusals map[string]int `json:"refusals"`
	// Cuts counts batch items that gave their slot up.
	Cuts int `json:"cuts"`
	// Messages are those between nodes, for each piece of work.
	Messages     int     `json:"messages"`
	MessagesEach float64 `json:"messagesEach"`
	// Wait50 and Wait99 are times from the arrival of asks to their start, in ms.
	Wait50 float64 `json:"wait50Millis"`
	Wait99 float64 `json:"wait99Millis"`
}

// Report holds the rows of all patterns and ways.
type Report struct {
	Rows []Row `json:"rows"`
}

// Run plays each pattern in each way.
func Run(opts Options) Report {
	var report Report
	for _, sc := range scenarios {
		for _, start := range []func(*sim) way{(*sim).alone, (*sim).lends, (*sim).grants} {
			s := newSim(opts, sc)
			s.result.Refusals = map[string]int{}
			w := start(s)
			s.play(w)
			report.Rows = append(report.Rows, s.row(w.name))
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
			row.Pattern, row.Way, row.Worth, row.Bound, row.Worst, row.Goodput, row.InTime["ask"], row.InTime["check"], row.InTime["item"],
			row.Refusals["full"], row.Refusals["waited"], row.Cuts, row.MessagesEach, row.Wait50, row.Wait99)
	}
	return t.Flush()
}

// row sums the run up.
func (s *sim) row(name string) Row {
	row := s.result
	row.Pattern, row.Way, row.InTime = s.scenario.name, name, map[string]float64{}
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
			done += r.hold.Seconds()
		}
		if got == r.kind.value {
			row.InTime[r.kind.name]++
		}
	}
	row.Goodput = done / s.capacity(0, s.opts.Length)
	row.Worth, row.Bound, row.Worst = earned/offered, s.bound()/offered, 1
	for _, w := range windows {
		row.Worst = min(row.Worst, w[0]/w[1])
	}
	for name, n := range counts {
		row.InTime[name] /= float64(n)
	}
	row.MessagesEach = float64(row.Messages) / float64(len(s.all))
	slices.Sort(s.waits)
	row.Wait50, row.Wait99 = percentile(s.waits, 0.5), percentile(s.waits, 0.99)
	return row
}

// worstWindow is the length of the windows of arrivals.
const worstWindow = 2 * time.Second

func percentile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

// earned is what a request was worth: online by its start, batch by its end.
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
		return r.kind.late
	}
}

// bound is a value that no schedule passes, whatever it knows of the future: in any interval, what
// meets its objective uses no more slots than there are. It takes work in parts, moves it freely
// within the interval, lets late work cost nothing, and takes the best of several divisions.
func (s *sim) bound() float64 {
	end := s.opts.Length + 2*item.objective
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
			// An online request in time starts by its objective and ends by its longest hold after that.
			sum += s.boundOf(part, from, from+length+ask.objective+13*ask.hold/10)
		}
		best = min(best, sum)
	}
	return best
}

// boundOf is the most value of requests that run between two times.
func (s *sim) boundOf(requests []*request, from, to time.Duration) float64 {
	sorted := slices.Clone(requests)
	density := func(r *request) float64 { return (r.kind.value - r.kind.late) / r.hold.Seconds() }
	slices.SortStableFunc(sorted, func(a, b *request) int { return cmp.Compare(density(b), density(a)) })
	left := s.capacity(from, to)
	sum := 0.0
	for _, r := range sorted {
		part := math.Min(1, math.Max(0, left)/r.hold.Seconds())
		left -= r.hold.Seconds()
		sum += r.kind.late + (r.kind.value-r.kind.late)*part
	}
	return sum
}

// capacity is the slots between two times, in seconds.
func (s *sim) capacity(from, to time.Duration) float64 {
	return float64(s.opts.Engines*s.opts.Slots) * (to - from).Seconds()
}
