package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// anyUpstreams returns upstreams of some zones and sizes in any state of their entries.
func anyUpstreams(random *rand.Rand) []site.Upstream {
	var list []site.Upstream
	for i := range random.IntN(12) {
		list = append(list, site.Upstream{
			ID: fmt.Sprintf("u%02d", i), Service: "scribe", Slots: 1 + random.IntN(3), Incarnation: int64(1 + random.IntN(4)/3),
			Version: []string{"v1", "v1.1"}[random.IntN(2)], Draining: random.IntN(5) == 0, Doubtful: random.IntN(5) == 0,
		})
	}
	return list
}

// anyEvent changes a pool by an event of any kind.
func anyEvent(p *Pool, random *rand.Rand, now time.Time, id uint64) {
	owner := []string{"e1", "e2", "batch"}[random.IntN(3)]
	k := Key{Owner: owner, ID: id - uint64(random.IntN(int(min(id, 60))+1))}
	switch random.IntN(14) {
	case 0, 1, 2:
		r := online(id)
		r.Key.Owner = []string{"e1", "e2"}[random.IntN(2)]
		r.Deadline, r.PromptTokens, r.OutputTokens = now.Add(time.Duration(random.IntN(2000))*time.Millisecond), random.IntN(900), random.IntN(300)
		if random.IntN(4) == 0 {
			r.Version = "v1"
		}
		p.Ask(now, r)
	case 3, 4, 5:
		r := item(id, now.Sub(start)+time.Duration(random.IntN(60))*time.Second)
		r.PromptTokens, r.OutputTokens = random.IntN(900), random.IntN(300)
		p.Ask(now, r)
	case 6, 7, 8:
		p.Release(now, k, Result(random.IntN(int(Errored)+1)))
	case 9:
		p.Limit(now, k, 20*random.Float64(), random.IntN(3) > 0)
	case 10:
		p.Reconcile(now, owner, func(id uint64) bool { return id%3 > 0 })
	case 11:
		p.Tick(now)
	case 12:
		if random.IntN(4) == 0 {
			p.DropOwner(now, owner)
		}
	default:
		p.SetUpstreams(now, anyUpstreams(random))
	}
}

// requireCounts compares what a service keeps with a count of all that it is the sum of.
func requireCounts(t *testing.T, now time.Time, p *Pool, s *service) {
	for _, l := range []*waitList{&s.online, &s.batch} {
		owners := make(map[string]int)
		for _, g := range l.items {
			owners[g.request.Key.Owner]++
		}
		require.Equal(t, len(owners), len(l.owners))
		for owner, n := range owners {
			require.Equal(t, n, l.owners[owner])
		}
	}
	want, got := Load{}, p.Load(now, s.name)
	for _, u := range s.upstreams {
		if u.limit.Active() {
			want.Limited++
		}
		want.Slots += u.Slots
		if u.paused(now) {
			want.PausedUpstreams++
		}
		want.Room.Held += u.held
		want.Room.Capacity += u.capacity
	}
	for _, l := range []*waitList{&s.online, &s.batch} {
		for _, g := range l.items {
			want.Room.Waiting += s.need(&g.request)
		}
	}
	require.Equal(t, want.Slots, got.Slots)
	require.Equal(t, want.Limited, got.Limited)
	require.Len(t, p.ExportLimits(now), p.LimitedUpstreams())
	require.Equal(t, want.PausedUpstreams, got.PausedUpstreams)
	if s.tokenCapacity > 0 {
		want.Room.Reservations = s.reservations
		require.Equal(t, want.Room, got.Room)
	}
}

// Guards against sums that drift from what they are kept for: loads and limits that are not there, and requests of a node that
// nobody releases.
func TestKeptCountsMatchACount(t *testing.T) {
	waited := 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 52))
		capacity := 0
		p := NewPool(NewOptions().WithConfig(func(string) (site.Account, bool) { return site.Account{}, false }, func(string) int { return capacity }))
		now := start
		for id := range uint64(400) {
			now = now.Add(time.Duration(random.IntN(150)) * time.Millisecond)
			if random.IntN(40) == 0 {
				capacity = random.IntN(3) * 2000
			}
			anyEvent(p, random, now, id)
			s := p.service("scribe")
			requireCounts(t, now, p, s)
			waited += min(len(s.online.items), 1)
		}
	}
	require.Greater(t, waited, 1000, "requests are to wait")
}
