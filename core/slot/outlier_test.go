package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// errorLoad is a load of single attempts on a service some of whose upstreams answer with errors.
type errorLoad struct {
	upstreams int
	// perSecond is the rate of requests. A request takes hold, an error errorHold.
	perSecond       float64
	hold, errorHold time.Duration
	// errs returns the chance that an upstream with a number answers with an error at a time.
	errs func(n int, at time.Duration) float64
}

// errorCounts is what came of an errorLoad.
type errorCounts struct{ asked, served, errored, refused int }

const errorSlots = 8

func (l errorLoad) run(seed uint64, length time.Duration) (errorCounts, *Pool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := NewPool(NewOptions())
	var list []site.Upstream
	number := make(map[string]int)
	for n := range l.upstreams {
		id := fmt.Sprintf("u%02d", n)
		number[id] = n
		list = append(list, site.Upstream{ID: id, Service: "scribe", Zone: "z1", Slots: errorSlots, Version: "v1"})
	}
	p.SetUpstreams(start, list)
	type running struct {
		key    Key
		at     time.Time
		result Result
	}
	var (
		c    errorCounts
		open []running
		id   uint64
	)
	apply := func(now time.Time, out Outcome) {
		for _, g := range out.Granted {
			r := running{key: g.Request.Key, at: now.Add(l.hold), result: Served}
			if rng.Float64() < l.errs(number[g.Upstream.ID], now.Sub(start)) {
				r.at, r.result = now.Add(l.errorHold), Errored
			}
			open = append(open, r)
		}
		c.refused += len(out.Refused)
	}
	const step = time.Millisecond
	arrival := start
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for i := 0; i < len(open); i++ {
			if r := open[i]; !now.Before(r.at) {
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
				i--
				if r.result == Served {
					c.served++
				} else {
					c.errored++
				}
				apply(now, p.Release(now, r.key, r.result))
			}
		}
		for ; !now.Before(arrival); arrival = arrival.Add(time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second))) {
			id++
			c.asked++
			apply(now, p.Ask(now, Request{Key: Key{Owner: "e", ID: id}, Service: "scribe", Deadline: now.Add(200 * time.Millisecond), AvailabilityZone: "z1"}))
		}
		apply(now, p.Tick(now))
	}
	return c, p
}

// Guards against upstreams that answer with errors at once and so, being idle, get most requests of their service.
func TestUpstreamsThatFailAtOnceGetFewRequests(t *testing.T) {
	broken := func(n int, _ time.Duration) float64 {
		if n < 2 {
			return 1
		}
		return 0
	}
	for _, tc := range []struct {
		name string
		load errorLoad
		// lost is the largest share of requests that may fail or be refused.
		lost float64
	}{
		{"two of twenty, low load", errorLoad{20, 100, 300 * time.Millisecond, time.Millisecond, broken}, 0.02},
		{"two of twenty, high load", errorLoad{20, 400, 300 * time.Millisecond, time.Millisecond, broken}, 0.02},
		{"two of twenty, which take as long as others to fail", errorLoad{20, 200, 300 * time.Millisecond, 300 * time.Millisecond, broken}, 0.03},
		{"two of twenty fail a third of their requests", errorLoad{20, 200, 300 * time.Millisecond, 100 * time.Millisecond, func(n int, at time.Duration) float64 {
			return 0.33 * broken(n, at)
		}}, 0.02},
		{"two of twenty, for 4 s", errorLoad{20, 200, 300 * time.Millisecond, time.Millisecond, func(n int, at time.Duration) float64 {
			if at < 2*time.Second || at > 6*time.Second {
				return 0
			}
			return broken(n, at)
		}}, 0.02},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				c, _ := tc.load.run(seed, 20*time.Second)
				require.LessOrEqual(t, float64(c.errored+c.refused), tc.lost*float64(c.asked), "%+v", c)
			}
		})
	}
}

// Guards against upstreams that get no requests for errors which are due to the requests.
func TestErrorsOfAllUpstreamsTakeNoneAway(t *testing.T) {
	load := errorLoad{20, 300, 300 * time.Millisecond, 300 * time.Millisecond, func(int, time.Duration) float64 { return 0.5 }}
	c, p := load.run(1, 20*time.Second)
	require.Zero(t, c.refused, "%+v", c)
	require.LessOrEqual(t, p.service("scribe").outliers, 6)
}

// Guards against an upstream that is left out for good although it serves again.
func TestOutlierServesAgain(t *testing.T) {
	load := errorLoad{10, 200, 300 * time.Millisecond, time.Millisecond, func(n int, at time.Duration) float64 {
		if n < 2 && at < 5*time.Second {
			return 1
		}
		return 0
	}}
	_, p := load.run(1, 4*time.Second)
	require.Equal(t, 2, p.service("scribe").outliers)
	_, p = load.run(1, 20*time.Second)
	require.Zero(t, p.service("scribe").outliers)
}

// Guards against items that can't be done, which fail at each upstream, as a reason to leave upstreams out.
func TestErrorsOfItemsMakeNoOutlier(t *testing.T) {
	p := NewPool(NewOptions())
	p.SetUpstreams(start, []site.Upstream{{ID: "u1", Service: "scribe", Slots: 8}, {ID: "u2", Service: "scribe", Slots: 8}, {ID: "u3", Service: "scribe", Slots: 8}, {ID: "u4", Service: "scribe", Slots: 8}})
	for id := range uint64(100) {
		k := Key{Owner: "batch", ID: id}
		p.Ask(start, Request{Key: k, Service: "scribe", Batch: true, Order: start.Add(time.Minute)})
		p.Release(start, k, Errored)
	}
	require.Zero(t, p.service("scribe").outliers)
}
