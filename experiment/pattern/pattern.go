// Package pattern plays patterns of heavy load against ways to share the slots of upstreams.
//
// The ways use the decision of the product, core/slot: one pool at a home that grants a slot for
// each attempt; a pool at each front over slots that a home lends; a pool at each front that knows
// of the others only what upstreams report. Engines run what comes in order of arrival and know no
// priorities. Beside what a way reached stands a bound that no schedule passes. Time is virtual and
// chance comes from the seed.
//
// Usage:
//
//	report := pattern.Run(pattern.NewOptions())
package pattern

import "time"

// Options are the settings of the experiment. Values are immutable.
type Options struct {
	Seed uint64
	// Fronts and Engines are spread over Zones; each engine has Slots.
	Fronts, Engines, Zones, Slots int
	// Length is how long work arrives.
	Length time.Duration
}

// NewOptions returns a small site: 12 fronts and 20 engines in 3 zones for 24 s.
func NewOptions() Options {
	return Options{Seed: 1, Fronts: 12, Engines: 20, Zones: 3, Slots: 8, Length: 24 * time.Second}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// kind is a sort of work and what it is worth.
type kind struct {
	name        string
	value, late float64
	priority    int
	batch       bool
	// hold is how long it uses a slot, drawn evenly from 70% to 130% of it.
	hold time.Duration
	// objective is the time to the first token that earns value, due that to the end; what is done
	// afterwards earns late.
	objective time.Duration
	// deadline is when it earns nothing any more.
	deadline time.Duration
}

// The kinds follow the users' sites: conversations, checks that are less urgent, items of jobs.
var (
	ask   = kind{name: "ask", value: 2, late: 0.3, hold: 700 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 5 * time.Second}
	check = kind{name: "check", value: 1, late: 0.1, priority: 1, hold: 500 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 5 * time.Second}
	item  = kind{name: "item", value: 6, late: 0.6, priority: 2, batch: true, hold: 3400 * time.Millisecond, objective: 18 * time.Second, deadline: time.Hour}
)

// checkShare is the share of online requests that are checks, unless the pattern has its own.
const checkShare = 0.2

// jobItems is the number of items of a job.
const jobItems = 10

// scenario is one pattern.
type scenario struct {
	name string
	// online is the load of online requests as a share of all slots, at a time.
	online func(at time.Duration) float64
	// checkShare is the share of checks in it; 0 means the usual one.
	checkShare float64
	// jobs is the load of jobs likewise; nil means none.
	jobs func(at time.Duration) float64
	// burst is the number of jobs that come together at burstAt.
	burst int
	// hotShare is the part of the requests that reaches the fronts of the first zone; 0 spreads them.
	hotShare float64
	// outage is how long all fronts are gone from burstAt on.
	outage time.Duration
	// faults are set up before the run.
	faults func(s *sim)
	// retries is how often a client comes back.
	retries int
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// wave returns a load that is high from 6 s to 12 s.
func wave(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 6*time.Second && at < 12*time.Second {
			return high
		}
		return low
	}
}

// waves returns a load that is high for 2.4 s of each 5.8 s, as the users' days are.
func waves(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(5800*time.Millisecond) >= 3400*time.Millisecond {
			return high
		}
		return low
	}
}

const (
	// burstAt is when a burst of jobs, or the loss of something, comes.
	burstAt = 8 * time.Second
	// takeover is how long nobody is the home after it was lost.
	takeover = 750 * time.Millisecond
	// unseen is how long the entry of a lost engine stays.
	unseen = 800 * time.Millisecond
)

// scenarios are named for what they do to a site.
var scenarios = []scenario{
	{name: "wave", online: wave(0.4, 1.3), jobs: steady(0.3), retries: 1},
	// The asks alone are 20% of the slots and within their share; the checks flood the site.
	{name: "wave after wave", online: waves(0.3, 1.3), jobs: steady(0.2), retries: 1},
	{name: "three times capacity", online: steady(3), checkShare: 1 - 0.2/3, retries: 1},
	{name: "burst of jobs", online: steady(0.6), jobs: steady(0.1), burst: 60, retries: 1},
	{name: "burst of jobs in waves", online: waves(0.2, 0.85), jobs: steady(0.5), burst: 60, retries: 1},
	{name: "engines lost in a wave", online: wave(0.4, 0.9), jobs: steady(0.3), retries: 1, faults: func(s *sim) {
		s.loseEngines(burstAt, 3*time.Second)
	}},
	{name: "home lost in a wave", online: wave(0.4, 0.9), jobs: steady(0.3), retries: 1, faults: func(s *sim) {
		s.loseHome(burstAt)
	}},
	{name: "return after an outage", online: steady(0.7), jobs: steady(0.2), retries: 3, outage: 2 * time.Second},
	{name: "one hot zone", online: wave(0.4, 0.9), jobs: steady(0.3), hotShare: 0.8, retries: 1},
}
