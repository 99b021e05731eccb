package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/zone"
)

// newZones returns twelve upstreams of eight slots in three zones, at which work takes the longer the more requests run.
func newZones(costs zone.Costs) *unevenSite {
	s := &unevenSite{p: NewPool(NewOptions().WithZones(costs)), now: start}
	s.work = func(u *upstream) float64 { return 1 + loadSlowdown*float64(u.used)/8 }
	s.p.SetUpstreams(start, upstreams(12, 8))
	return s
}

// playZones sends requests of all zones; share returns the share of its own zone's slots that a zone's requests need.
func (s *unevenSite) playZones(length time.Duration, share func(now time.Time, z int) float64) {
	random := rand.New(rand.NewPCG(3, 3))
	for until := s.now.Add(length); s.now.Before(until); {
		for z := range 3 {
			from := ""
			if random.Float64() < share(s.now, z)*32/usualHold.Seconds()*0.002 {
				from = upstreams(3, 1)[z].Zone
			}
			s.step(2*time.Millisecond/3, from)
		}
	}
}

func (s *unevenSite) leftShare() float64 {
	return float64(s.p.crossings.Left) / float64(s.p.crossings.Grants)
}

func TestTrafficBetweenZones(t *testing.T) {
	hot := func(share float64) func(time.Time, int) float64 {
		return func(_ time.Time, z int) float64 { return []float64{share, 0.1, 0.1}[z] }
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
		{"a zone over its capacity", hot(1.6), 0.3, 0.6, false},
		{"a zone that is hot by turns", func(now time.Time, z int) float64 {
			if now.Sub(start)%time.Second < 500*time.Millisecond {
				return hot(1.2)(now, z)
			}
			return 0.2
		}, 0, 0.3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before, after := newZones(zone.NewCosts().WithPerMegabyte(time.Hour)), newZones(zone.NewCosts())
			before.playZones(10*time.Second, tc.share)
			after.playZones(10*time.Second, tc.share)
			mean := func(s *unevenSite) time.Duration { return s.took / time.Duration(s.served) }
			t.Logf("left %.3f to %.3f, %d to %d KB, mean time %v to %v", before.leftShare(), after.leftShare(),
				before.p.crossings.Bytes>>10, after.p.crossings.Bytes>>10, mean(before), mean(after))
			require.GreaterOrEqual(t, after.leftShare(), tc.min)
			require.LessOrEqual(t, after.leftShare(), tc.max)
			require.LessOrEqual(t, mean(after), mean(before)+zone.NewCosts().Margin)
			require.True(t, !tc.sooner || mean(after) < mean(before))
		})
	}
}

// Requests of a zone whose upstreams all leave go elsewhere, and come back with them.
func TestZoneWhoseUpstreamsLeave(t *testing.T) {
	share := func(_ time.Time, z int) float64 { return []float64{0.3, 0.2, 0.2}[z] }
	s := newZones(zone.NewCosts())
	list := upstreams(12, 8)
	for i := range list {
		list[i].Draining = list[i].Zone == "z0"
	}
	s.p.SetUpstreams(s.now, list)
	s.playZones(4*time.Second, share)
	require.InDelta(t, 3.0/7, s.leftShare(), 0.06)
	s.p.SetUpstreams(s.now, upstreams(12, 8))
	s.p.crossings = Crossings{}
	s.playZones(4*time.Second, share)
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
