package slot

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/zone"
)

// zoneLoad plays online requests of three zones with four upstreams of eight slots each, at which work takes the longer the
// more requests run.
type zoneLoad struct {
	p   *Pool
	now time.Time
	id  uint64
	// share returns the share of its own zone's slots that a zone's requests need.
	share  func(now time.Time, z int) float64
	random *rand.Rand
	ends   zoneEnds
	served int
	// holds is the sum of the times from asks to ends.
	holds time.Duration
}

type zoneEnd struct {
	at time.Time
	k  Key
}

type zoneEnds []zoneEnd

func (e zoneEnds) Len() int           { return len(e) }
func (e zoneEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e zoneEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *zoneEnds) Push(x any)        { *e = append(*e, x.(zoneEnd)) }
func (e *zoneEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newZoneLoad(costs zone.Costs, share func(now time.Time, z int) float64) *zoneLoad {
	s := &zoneLoad{p: NewPool(NewOptions().WithZones(costs)), now: start, share: share, random: rand.New(rand.NewPCG(3, 3))}
	s.p.SetUpstreams(start, upstreams(12, 8))
	return s
}

func (s *zoneLoad) play(length time.Duration) {
	for until := s.now.Add(length); s.now.Before(until); s.now = s.now.Add(2 * time.Millisecond) {
		for len(s.ends) > 0 && !s.ends[0].at.After(s.now) {
			s.start(s.p.Release(s.now, heap.Pop(&s.ends).(zoneEnd).k, Served).Granted)
		}
		s.start(s.p.Tick(s.now).Granted)
		for z := range 3 {
			perStep := s.share(s.now, z) * 32 / pacedHold.Seconds() * 0.002
			if s.random.Float64() >= perStep {
				continue
			}
			s.id++
			r := online(s.id)
			r.AvailabilityZone, r.Order, r.Deadline = upstreams(3, 1)[z].Zone, s.now, s.now.Add(2*time.Second)
			r.PromptTokens, r.OutputTokens = 450, 300
			s.start(s.p.Ask(s.now, r).Granted)
		}
	}
}

func (s *zoneLoad) start(granted []Grant) {
	for _, g := range granted {
		load := float64(s.p.upstreams[g.Upstream.ID].used) / 8
		hold := time.Duration((1 + loadSlowdown*load) * float64(pacedHold))
		heap.Push(&s.ends, zoneEnd{s.now.Add(hold), g.Request.Key})
		s.served++
		s.holds += hold + s.now.Sub(g.Request.Order)
	}
}

// leftShare returns the share of requests that left their zone.
func (s *zoneLoad) leftShare() float64 {
	return float64(s.p.crossings.Left) / float64(max(s.p.crossings.Grants, 1))
}

// byDistance are costs by which requests leave their zone only if that has no free slot, as without costs, but counted.
var byDistance = zone.NewCosts().WithPerMegabyte(time.Hour)

func TestTrafficBetweenZones(t *testing.T) {
	hot := func(share float64) func(time.Time, int) float64 {
		return func(_ time.Time, z int) float64 {
			if z == 0 {
				return share
			}
			return 0.1
		}
	}
	for _, tc := range []struct {
		name     string
		share    func(now time.Time, z int) float64
		min, max float64
		sooner   bool
	}{
		{"equal zones, low", func(time.Time, int) float64 { return 0.3 }, 0, 0.005, false},
		{"equal zones, high", func(time.Time, int) float64 { return 0.6 }, 0, 0.03, false},
		{"a hot zone beside idle ones", hot(0.85), 0.01, 0.4, true},
		{"a zone over its capacity", hot(1.6), 0.3, 0.6, true},
		{"a zone that is hot by turns", func(now time.Time, z int) float64 {
			if now.Sub(start)%time.Second < 500*time.Millisecond {
				return hot(1.2)(now, z)
			}
			return 0.2
		}, 0, 0.3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before, after := newZoneLoad(byDistance, tc.share), newZoneLoad(zone.NewCosts(), tc.share)
			for _, s := range []*zoneLoad{before, after} {
				s.play(20 * time.Second)
			}
			left := after.leftShare()
			mean := func(s *zoneLoad) time.Duration { return s.holds / time.Duration(s.served) }
			t.Logf("left %.3f to %.3f, %d to %d KB, mean time %v to %v", before.leftShare(), left,
				before.p.crossings.Bytes>>10, after.p.crossings.Bytes>>10, mean(before), mean(after))
			require.GreaterOrEqual(t, left, tc.min)
			require.LessOrEqual(t, left, tc.max)
			require.LessOrEqual(t, mean(after), mean(before)+zone.NewCosts().Margin)
			if tc.sooner {
				require.Less(t, mean(after), mean(before))
			}
		})
	}
}

// Requests of a zone whose upstreams all leave go elsewhere, and come back with them.
func TestZoneWhoseUpstreamsLeave(t *testing.T) {
	s := newZoneLoad(zone.NewCosts(), func(_ time.Time, z int) float64 { return []float64{0.3, 0.2, 0.2}[z] })
	list := upstreams(12, 8)
	for i := range list {
		list[i].Draining = list[i].Zone == "z0"
	}
	s.p.SetUpstreams(s.now, list)
	s.play(4 * time.Second)
	require.InDelta(t, 3.0/7, s.leftShare(), 0.06)
	s.p.SetUpstreams(s.now, upstreams(12, 8))
	s.p.crossings = Crossings{}
	s.play(4 * time.Second)
	require.Less(t, s.leftShare(), 0.05)
}

// The more a zone is loaded, the more of its requests leave: items before online requests, small ones before large ones.
func TestWhoLeavesTheZoneFirst(t *testing.T) {
	leavesAt := func(r Request) int {
		for used := range 9 {
			p := NewPool(NewOptions().WithZones(zone.NewCosts()))
			p.SetUpstreams(start, []site.Upstream{
				{ID: "here", Service: "scribe", Zone: "z0", Slots: 8}, {ID: "there", Service: "scribe", Zone: "z1", Slots: 8},
			})
			s := p.service("scribe")
			s.paces.known, s.meanBatchHold = true, 4*time.Second
			for i := range used {
				p.Adopt(start, online(uint64(100+i)), "here")
			}
			if p.Ask(start, r).Granted[0].Upstream.ID == "there" {
				return used
			}
		}
		return 9
	}
	small, large, waiting := online(1), online(1), item(1, 18*time.Second)
	small.PromptTokens, large.PromptTokens = 200, 40_000
	require.Equal(t, 8, leavesAt(large), "only when there is no free slot")
	require.Less(t, leavesAt(small), leavesAt(large))
	require.Less(t, leavesAt(waiting), leavesAt(small))
}
