package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"mothcart/core/site"
)

// without disconnects all nodes from the home, which another one replaces after a time in seconds.
func without(from, time float64) []event {
	return []event{
		{from, func(f *fleet) { f.connect(nil, f.nodes...) }},
		{from + time, func(f *fleet) { f.connect(f.newHome(), f.nodes...) }},
	}
}

// takeover is the time in seconds until another home serves after one was killed.
const takeover = 1.4

func homeKilledEachThreeSeconds() []event {
	var out []event
	for s := 20.0; s < 40; s += 3 {
		out = append(out, without(s, takeover)...)
	}
	return out
}

func allKilled() []event {
	return []event{
		{20, func(f *fleet) {
			f.told = 0
			for i := range f.nodes {
				f.restart(i)
			}
		}},
		{22, func(f *fleet) { f.connect(f.newHome(), f.nodes...) }},
		{24, func(f *fleet) {
			f.told = 0
			for i := range f.nodes {
				f.restart(i)
			}
		}},
		{24.5, func(f *fleet) { f.connect(f.newHome(), f.nodes...) }},
	}
}

func thirdCut() []event {
	return []event{
		{20, func(f *fleet) { f.connect(nil, f.nodes[:len(f.nodes)/3]...) }},
		{29, func(f *fleet) { f.connect(f.nodes[len(f.nodes)-1].home, f.nodes[:len(f.nodes)/3]...) }},
	}
}

func thirdCutWhileHomeIsLost() []event {
	return []event{
		{20, func(f *fleet) { f.connect(nil, f.nodes...) }},
		{20 + takeover, func(f *fleet) { f.connect(f.newHome(), f.nodes[len(f.nodes)/3:]...) }},
		{29, func(f *fleet) { f.connect(f.nodes[len(f.nodes)-1].home, f.nodes[:len(f.nodes)/3]...) }},
	}
}

func twoHomes() []event {
	return []event{
		{20, func(f *fleet) { f.connect(f.newHome(), f.nodes[len(f.nodes)/2:]...) }},
		{24, func(f *fleet) { f.connect(f.nodes[len(f.nodes)-1].home, f.nodes[:len(f.nodes)/2]...) }},
	}
}

func thirdOfNodesRestart() []event {
	return []event{{20, func(f *fleet) {
		home := f.nodes[0].home
		for i := range f.nodes[:len(f.nodes)/3] {
			f.connect(nil, f.nodes[i])
			f.restart(i)
		}
		f.connect(home, f.nodes[:len(f.nodes)/3]...)
	}}}
}

// Guards against more requests of an account than its limit allows in any window over all nodes, whatever fails while it
// sends many times as much.
func TestFloodDuringFailureStaysWithinLimit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events func() []event
	}{
		{"calm", func() []event { return nil }},
		{"home killed each 3 s", homeKilledEachThreeSeconds},
		{"all processes killed twice", allKilled},
		{"a third of the nodes cut off for 9 s", thirdCut},
		{"a third of the nodes cut off, home lost", thirdCutWhileHomeIsLost},
		{"two homes for 4 s", twoHomes},
		{"a third of the nodes restart", thirdOfNodesRestart},
	} {
		for _, nodes := range []int{9, 55, 150} {
			t.Run(fmt.Sprintf("%s, %d nodes", tc.name, nodes), func(t *testing.T) {
				for _, begin := range []float64{0, 19, 20.2} {
					floodStaysWithinLimit(t, newFleet(nodes, uint64(nodes)), begin, tc.events())
				}
			})
		}
	}
}

// floodStaysWithinLimit sends five times the limit of accounts of several sizes from a moment on, which is eight times what
// an account sends that needs 1/1.6 of its limit.
func floodStaysWithinLimit(t *testing.T, f *fleet, begin float64, events []event) {
	var loads []load
	for _, rate := range []float64{1.2, 5, 20, 100} {
		for _, burst := range []float64{0, 2} {
			a := site.Account{Name: fmt.Sprintf("%g+%g", rate, burst), Rate: rate, Burst: burst * rate}
			loads = append(loads, load{a, func(s float64) float64 {
				if s >= begin {
					return 5 * a.Rate
				}
				return a.Rate / 1.6
			}})
		}
	}
	f.run(41, loads, events)
	for _, l := range loads {
		assert.LessOrEqual(t, float64(f.most(l.account.Name)), DefaultTolerance().Allowed(l.account), "%s, flood from %g s", l.account.Name, begin)
	}
}
