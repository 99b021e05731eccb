package slot

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothcart/core/site"
)

// drawUpstreams returns upstreams of some zones and sizes in any state of their entries.
func drawUpstreams(rt *rapid.T) []site.Upstream {
	var list []site.Upstream
	for i := range rapid.IntRange(0, 12).Draw(rt, "upstreams") {
		list = append(list, site.Upstream{
			ID: fmt.Sprintf("u%02d", i), Service: "scribe", Zone: fmt.Sprintf("z%d", rapid.IntRange(0, 2).Draw(rt, "zone")),
			Slots: rapid.IntRange(1, 3).Draw(rt, "slots"), Incarnation: int64(rapid.IntRange(1, 2).Draw(rt, "incarnation")),
			Version:  rapid.SampledFrom([]string{"v1", "v1.1"}).Draw(rt, "version"),
			Draining: rapid.IntRange(0, 5).Draw(rt, "draining") == 0, Doubtful: rapid.IntRange(0, 5).Draw(rt, "doubtful") == 0,
		})
	}
	return list
}

// The index finds as many free slots, and as good an upstream, as a look at all upstreams does.
func TestIndexFindsTheBestUpstream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPool(NewOptions().WithReports(rapid.Bool().Draw(rt, "reports")))
		now := start
		p.SetUpstreams(now, drawUpstreams(rt))
		for id := range uint64(rapid.IntRange(1, 40).Draw(rt, "events")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				r := online(id)
				r.Deadline = now.Add(200 * time.Millisecond)
				p.Ask(now, r)
			case 1:
				p.Ask(now, item(id, 18*time.Second))
			case 2:
				k := Key{Owner: rapid.SampledFrom([]string{"e1", "batch"}).Draw(rt, "owner"), ID: rapid.Uint64Range(0, id).Draw(rt, "released")}
				p.Release(now, k, Result(rapid.IntRange(int(Served), int(Moved)).Draw(rt, "result")))
			case 4:
				k := Key{Owner: rapid.SampledFrom([]string{"e1", "batch"}).Draw(rt, "answered owner"), ID: rapid.Uint64Range(0, id).Draw(rt, "answered")}
				p.Limit(now, k, rapid.Float64Range(0, 20).Draw(rt, "rate"), rapid.Bool().Draw(rt, "named"))
			case 3:
				upstream := fmt.Sprintf("u%02d", rapid.IntRange(0, 12).Draw(rt, "reported"))
				p.Report(now, upstream, rapid.IntRange(0, 4).Draw(rt, "running"), rapid.IntRange(0, 1).Draw(rt, "waiting"))
			case 5:
				k := Key{Owner: rapid.SampledFrom([]string{"e1", "batch"}).Draw(rt, "paced owner"), ID: rapid.Uint64Range(0, id).Draw(rt, "paced")}
				p.Pace(now, k, rapid.Float64Range(0.5, 4).Draw(rt, "pace"), time.Duration(rapid.IntRange(0, 500).Draw(rt, "age"))*time.Millisecond)
			default:
				p.SetUpstreams(now, drawUpstreams(rt))
			}
			r := online(id)
			r.AvailabilityZone = fmt.Sprintf("z%d", rapid.IntRange(0, 2).Draw(rt, "asking zone"))
			r.Batch = rapid.Bool().Draw(rt, "batch")
			if rapid.Bool().Draw(rt, "excludes") {
				r.Exclude = []string{"u00", "u01"}
			}
			r.Version = rapid.SampledFrom([]string{"", "v1", "v1.1", "v2"}).Draw(rt, "bound to")
			p.endFigures(now)
			p.weigh(now, p.service("scribe"), &r)
			checkIndex(rt, p, now, r)
		}
	})
}

func checkIndex(rt *rapid.T, p *Pool, now time.Time, r Request) {
	s := p.service("scribe")
	free := map[string]int{}
	total := 0
	var candidates []*upstream
	for _, u := range s.upstreams {
		free[u.Version] += u.free(now, p.opts)
		total += u.free(now, p.opts)
		if u.hasFreeSlot(now, &r, p.opts) {
			candidates = append(candidates, u)
		}
	}
	require.Equal(rt, total, s.index.freeSlots(now, p.opts))
	best := s.index.best(now, &r, p.opts)
	require.Equal(rt, len(candidates) > 0, best != nil)
	for _, u := range candidates {
		require.Contains(rt, candidates, best)
		better := u.better(best, now, &r, p.opts)
		if u.Version != best.Version {
			better = u.betterOfVersions(best, free[u.Version], free[best.Version], now, &r, p.opts)
		}
		require.False(rt, better, "%s is better than %s", u.ID, best.ID)
	}
}
