// Package pattern compares strategies to share the slots of upstreams under patterns of heavy load.
//
// All strategies use the product's slot pool, core/slot: one pool at a home that grants a slot for each
// attempt; a pool at each entry for the slots that a home lends it; a pool at each entry that knows of the
// requests of other entries only what upstreams report. Engines run requests in order of arrival, without
// priorities. The report also gives an upper bound that no schedule can exceed. Time is virtual and randomness
// comes from the seed.
//
// Usage:
//
//	report := pattern.Run(pattern.NewOptions())
package pattern

import "time"

// Options are the settings of the experiment. Values are immutable.
type Options struct {
	Seed uint64
	// Entries and Engines are the numbers of entry VMs and engines, spread over Zones availability zones; each
	// engine has Slots slots.
	Entries, Engines, Zones, Slots int
	// Length is how long work arrives.
	Length time.Duration
}

// NewOptions returns options for a small site: 12 entries and 20 engines in 3 zones for 24 s.
func NewOptions() Options {
	return Options{Seed: 1, Entries: 12, Engines: 20, Zones: 3, Slots: 8, Length: 24 * time.Second}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// kind is a class of requests with its value and its limits.
type kind struct {
	name             string
	value, lateValue float64
	priority         int
	batch            bool
	// slotTime is the mean time for which a request uses a slot; each request draws its own evenly from 70% to
	// 130% of it.
	slotTime time.Duration
	// objective is the longest time to the first token, for batch to the end, that earns value; a later one earns
	// lateValue.
	objective time.Duration
	// deadline is the time from the arrival after which a request that is not done earns nothing.
	deadline time.Duration
}

// The kinds are modelled on the users' sites: conversations, checks that are less urgent, and items of batch
// jobs.
var (
	askKind   = kind{name: "ask", value: 2, lateValue: 0.3, slotTime: 700 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 5 * time.Second}
	checkKind = kind{name: "check", value: 1, lateValue: 0.1, priority: 1, slotTime: 500 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 5 * time.Second}
	itemKind  = kind{name: "item", value: 6, lateValue: 0.6, priority: 2, batch: true, slotTime: 3400 * time.Millisecond, objective: 18 * time.Second, deadline: time.Hour}
)

// checkShare is the share of checks in the online requests, unless the scenario sets its own.
const checkShare = 0.2

// jobItems is the number of items of a job.
const jobItems = 10

// scenario is one pattern of load and faults.
type scenario struct {
	name string
	// online returns the load of online requests at the time at, as a share of all slots.
	online func(at time.Duration) float64
	// checkShare is the share of checks in the online requests; 0 means the constant checkShare.
	checkShare float64
	// jobs returns the load of batch jobs likewise; nil means none.
	jobs func(at time.Duration) float64
	// burst is the number of jobs that are submitted at once at burstAt.
	burst int
	// hotShare is the share of requests and jobs that go to entries of the first zone only; the rest is spread
	// over all entries.
	hotShare float64
	// outage is how long all entries are down from burstAt on.
	outage time.Duration
	// pace sets the pace of an engine by its number; nil means that all work as usual.
	pace func(i int, e *engine)
	// figures are the paces that engines name.
	figures figures
	// faults schedules the faults of the scenario before the run.
	faults func(s *sim)
	// accounts divides the work among client accounts; nil means that there are none.
	accounts *accountLoad
	// retries is how often a client sends a request again that was refused, found no entry or lost its entry.
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

// waves returns a load that is high for the last 2.4 s of each 5.8 s, shaped like the users' days.
func waves(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(5800*time.Millisecond) >= 3400*time.Millisecond {
			return high
		}
		return low
	}
}

const (
	// burstAt is the time of a burst of jobs or of a loss of engines, home or entries.
	burstAt = 8 * time.Second
	// takeover is how long there is no home after its loss.
	takeover = 750 * time.Millisecond
	// lossDetection is how long a lost engine stays in the list of upstreams.
	lossDetection = 800 * time.Millisecond
)

// scenarios are named after what they do to a site.
var scenarios = []scenario{
	{name: "wave", online: wave(0.4, 1.3), jobs: steady(0.3), retries: 1},
	// The asks alone need 20% of the slots, which is within their share; the checks flood the site.
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
