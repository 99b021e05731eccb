package pattern

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

const (
	// floodFrom and floodUntil are when accounts ask for floodFactor times their usual.
	floodFrom, floodUntil = 6 * time.Second, 18 * time.Second
	floodFactor           = 8
	// mostLost is how much less the others may be served in time beside a flood.
	mostLost = 0.01
	// leastJain is the least of Jain's index over what accounts get while all want more than there is.
	leastJain = 0.98
)

// accountLoad divides the work of a scenario among client accounts.
type accountLoad struct {
	// weights are the usual parts of the accounts.
	weights []float64
	// hot accounts flood.
	hot []int
	// jobs is the number of jobs that the first hot account submits at floodFrom.
	jobs int
	// saturated reports that all accounts want more than there is.
	saturated bool
}

func equalWeights(n int) []float64 { return slices.Repeat([]float64{1 / float64(n)}, n) }

// largeAndMany are the weights of an account with half of the load, and 40 others.
func largeAndMany() []float64 {
	return append([]float64{0.5}, slices.Repeat([]float64{0.5 / 40}, 40)...)
}

// accountScenarios are the patterns of accounts.
var accountScenarios = []scenario{
	{name: "one account floods", accounts: &accountLoad{weights: equalWeights(8), hot: []int{0}}},
	{name: "three accounts flood", accounts: &accountLoad{weights: equalWeights(8), hot: []int{0, 1, 2}}},
	{name: "the large one beside many small ones floods", accounts: &accountLoad{weights: largeAndMany(), hot: []int{0}}},
	{name: "a small one beside a large one floods", accounts: &accountLoad{weights: largeAndMany(), hot: []int{1}}},
	{name: "one account floods, with jobs", accounts: &accountLoad{weights: equalWeights(8), hot: []int{0}, jobs: 60}},
	{name: "one account floods, engines lost", accounts: &accountLoad{weights: equalWeights(8), hot: []int{0}}, faults: func(s *sim) {
		s.loseEngines(burstAt, 3*time.Second)
	}},
	{name: "all want more than there is", accounts: &accountLoad{weights: equalWeights(8), hot: []int{0, 1}, saturated: true}, online: steady(2)},
}

// AccountRow holds the results of one strategy under one pattern of accounts. Shares are from 0 to 1.
type AccountRow struct {
	Pattern  string `json:"pattern"`
	Strategy string `json:"way"`
	// Others are the shares in time of the accounts that don't flood, by kind, and Calm the same without the flood. The
	// floods are asks; checks and items are less urgent.
	Others map[string]float64 `json:"others"`
	Calm   map[string]float64 `json:"calm"`
	// Hot is the share in time of the asks of the accounts that flood.
	Hot float64 `json:"hot"`
	// Jain is Jain's index over the slot time of accounts while they flood; LeastJain is its bound, 0 if it has none.
	Jain      float64 `json:"jain"`
	LeastJain float64 `json:"leastJain"`
}

// AccountReport holds the rows of all patterns of accounts.
type AccountReport struct {
	Rows []AccountRow `json:"rows"`
}

// RunAccounts runs each pattern of accounts with entries that decide alone and with a grant for each attempt.
func RunAccounts(opts Options) AccountReport {
	var report AccountReport
	for _, sc := range accountScenarios {
		for _, start := range []func(*sim) strategy{(*sim).aloneStrategy, (*sim).grantStrategy} {
			report.Rows = append(report.Rows, runAccounts(opts, sc, start))
		}
	}
	return report
}

// runAccounts runs a pattern of accounts with the floods and without.
func runAccounts(opts Options, sc scenario, start func(*sim) strategy) AccountRow {
	sc.retries = 1
	if sc.online == nil {
		sc.online, sc.jobs = steady(0.6), steady(0.2)
	}
	row := AccountRow{Pattern: sc.name}
	play := func(flood bool) *sim {
		s := newSim(opts, sc)
		s.result.Refusals = map[string]int{}
		chosen := start(s)
		row.Strategy = chosen.name
		if flood {
			s.flood()
		}
		s.play(chosen)
		return s
	}
	flood := play(true)
	row.Others, row.Hot, row.Jain = flood.inTime(false), flood.inTime(true)[askKind.name], flood.jain()
	row.Calm = play(false).inTime(false)
	if sc.accounts.saturated {
		row.LeastJain = leastJain
	}
	return row
}

// pickAccount returns the account of a request, and draws only if the scenario has accounts.
func (s *sim) pickAccount() int {
	if s.scenario.accounts == nil {
		return 0
	}
	level := s.random.Float64()
	for i, weight := range s.scenario.accounts.weights {
		if level -= weight; level < 0 {
			return i
		}
	}
	return 0
}

// accountName returns the name of a request's account, which is empty if the scenario has none.
func (s *sim) accountName(r *request) string {
	if s.scenario.accounts == nil {
		return ""
	}
	return "account" + strconv.Itoa(r.account)
}

// flood schedules what the hot accounts ask for beyond their usual. It has its own randomness, so that the other work is
// the same with a flood and without.
func (s *sim) flood() {
	a := s.scenario.accounts
	random := rand.New(rand.NewPCG(s.opts.Seed, 2))
	apart := func(do func()) {
		usual := s.random
		s.random = random
		do()
		s.random = usual
	}
	for _, i := range a.hot {
		var arrive func()
		next := func() {
			load := s.scenario.online(s.clock.Now()) * a.weights[i] * (floodFactor - 1)
			apart(func() { s.clock.After(s.interarrival(s.arrivalRate(load, askKind.slotTime)), arrive) })
		}
		arrive = func() {
			if s.clock.Now() >= floodUntil {
				return
			}
			apart(func() {
				r := s.newRequest(askKind, s.pickEntry())
				r.account = i
				s.arrive(r)
			})
			next()
		}
		s.clock.After(floodFrom, next)
	}
	s.clock.After(floodFrom, func() {
		for range a.jobs {
			apart(func() { s.submitJobOf(a.hot[0]) })
		}
	})
}

// inTime returns the shares in time, by kind, of the accounts that are hot, or of those that aren't.
func (s *sim) inTime(hot bool) map[string]float64 {
	asked, inTime := map[string]float64{}, map[string]float64{}
	for _, r := range s.all {
		if slices.Contains(s.scenario.accounts.hot, r.account) != hot {
			continue
		}
		asked[r.kind.name]++
		if r.earned() == r.kind.value {
			inTime[r.kind.name]++
		}
	}
	for kind, n := range asked {
		inTime[kind] /= n
	}
	return inTime
}

// jain returns Jain's index over the slot time of the accounts' online requests that arrived during a flood.
func (s *sim) jain() float64 {
	got := make([]float64, len(s.scenario.accounts.weights))
	for _, r := range s.all {
		if r.arrived >= floodFrom && r.arrived < floodUntil && r.doneAt > 0 && !r.kind.batch {
			got[r.account] += r.slotTime.Seconds()
		}
	}
	sum, squares := 0.0, 0.0
	for _, g := range got {
		sum, squares = sum+g, squares+g*g
	}
	return sum * sum / squares / float64(len(got))
}

// Write prints the report as a table in Markdown. The bounds are those of a grant for each attempt; of checks and items the
// second figure is that without the flood.
func (r AccountReport) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| Pattern of accounts\t| Way\t| others' asks in time\t| bound\t| checks\t| items\t| hot asks\t| Jain\t| bound\t|")
	fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, row := range r.Rows {
		least, jain := fmt.Sprintf("%.3f", row.Calm[askKind.name]-mostLost), "-"
		if row.LeastJain > 0 {
			least, jain = "-", fmt.Sprintf("%.2f", row.LeastJain)
		}
		fmt.Fprintf(t, "| %s\t| %s\t| %.3f\t| %s\t| %.3f, %.3f\t| %.3f, %.3f\t| %.3f\t| %.3f\t| %s\t|\n", row.Pattern, row.Strategy,
			row.Others[askKind.name], least, row.Others[checkKind.name], row.Calm[checkKind.name],
			row.Others[itemKind.name], row.Calm[itemKind.name], row.Hot, row.Jain, jain)
	}
	return t.Flush()
}
