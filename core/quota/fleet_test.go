package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcart/core/poison"
	"mothcart/core/site"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// fleet is a home and nodes in virtual time. Messages are function calls that take no time.
type fleet struct {
	rng   *rand.Rand
	now   time.Time
	nodes []*fleetNode
	// told is the number of nodes that the last home told all others.
	told int
	// granted are the times at which requests ran, by account.
	granted map[string][]time.Time
	asked   int
	refused []time.Time
}

// fleetNode is a node and its home; nil while it decides alone.
type fleetNode struct {
	limiter *Limiter
	home    *Limiter
	owner   string
	alone   bool
	asks    bool
}

func newFleet(nodes int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, seed)), now: start, granted: make(map[string][]time.Time)}
	for i := range nodes {
		f.nodes = append(f.nodes, &fleetNode{})
		f.restart(i)
	}
	f.connect(f.newHome(), f.nodes...)
	return f
}

// restart replaces the process of a node.
func (f *fleet) restart(i int) {
	*f.nodes[i] = fleetNode{limiter: NewLimiter(f.now, DefaultTolerance(), f.rng.Float64), owner: fmt.Sprintf("e%d/%d/1", i, f.now.UnixNano())}
}

func (f *fleet) newHome() *Limiter {
	h := NewLimiter(f.now, DefaultTolerance(), f.rng.Float64)
	if f.told > 0 {
		h.Expect(f.now, f.told)
	}
	return h
}

// connect connects nodes to a home, or to none.
func (f *fleet) connect(h *Limiter, nodes ...*fleetNode) {
	for _, n := range nodes {
		if n.home != nil {
			n.home.Left(f.now, n.owner)
		}
		if n.home = h; h != nil {
			h.Joined(n.owner, n.asks)
		}
	}
}

// ask sends a request to a random node.
func (f *fleet) ask(a site.Account, id poison.Identity) Verdict {
	return f.askAt(f.nodes[f.rng.IntN(len(f.nodes))], a, id)
}

func (f *fleet) askAt(n *fleetNode, a site.Account, id poison.Identity) Verdict {
	f.asked++
	ask := Ask{Owner: n.owner, Identity: id, Latest: 1600 * time.Millisecond, Step: f.rng.Float64()}
	var v Verdict
	if n.home != nil {
		v = n.home.Take(f.now, a, ask)
		n.alone = false
		if a.Limited() {
			n.limiter.Learn(f.now, a.Name, n.home.Standing(f.now, a, n.owner), v.OK)
			n.asks = true
		}
		f.told = n.home.Asking(f.now)
	} else {
		if !n.alone {
			n.limiter.Alone(f.now, f.told)
			n.alone = true
		}
		v = n.limiter.Take(f.now, a, ask)
	}
	if v.OK {
		f.granted[a.Name] = append(f.granted[a.Name], f.now)
	} else {
		f.refused = append(f.refused, f.now)
	}
	return v
}

// most returns the most requests of an account within a window.
func (f *fleet) most(name string) int {
	times, most, first := f.granted[name], 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > DefaultTolerance().Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// between returns how many of the times lie between two moments.
func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// event is a change at a moment, in seconds.
type event struct {
	at float64
	do func(f *fleet)
}

// load is an account and the requests a second that it sends at a moment.
type load struct {
	account site.Account
	perSec  func(s float64) float64
}

// run sends requests at random moments for a number of seconds, with events in between.
func (f *fleet) run(seconds float64, loads []load, events []event) {
	const step = 5 * time.Millisecond
	for end := f.now.Add(time.Duration(seconds * float64(time.Second))); f.now.Before(end); f.now = f.now.Add(step) {
		for len(events) > 0 && !f.now.Before(at(events[0].at)) {
			events[0].do(f)
			events = events[1:]
		}
		for _, l := range loads {
			expected := l.perSec(f.now.Sub(start).Seconds()) * step.Seconds()
			for ; expected >= 1 || f.rng.Float64() < expected; expected-- {
				f.ask(l.account, poison.Identity(f.rng.Uint64()))
			}
		}
	}
}
