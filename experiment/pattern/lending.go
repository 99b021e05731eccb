package pattern

import (
	"cmp"
	"slices"
	"time"

	"mothcart/core/site"
	"mothcart/core/slot"
)

const (
	// lendInterval is the interval at which the slots are redistributed.
	lendInterval = 100 * time.Millisecond
	// headroom is the number of slots in an entry's target beyond its running and waiting online requests, as a
	// share of these.
	headroom = 0.25
)

// lender is the home of the strategy that lends slots to entries.
type lender struct {
	entryPools
	upstreams []site.Upstream
	// lent holds for each entry the number of slots that it is lent, by upstream ID.
	lent []map[string]int
	lost bool
}

// lendingStrategy lets a home lend the slots to the entries by their demand; each entry grants what it is lent.
func (s *sim) lendingStrategy() strategy {
	l := &lender{entryPools: s.newEntryPools(false), lent: make([]map[string]int, s.opts.Entries)}
	for i := range l.lent {
		l.lent[i] = map[string]int{}
	}
	var round func()
	round = func() {
		if !l.lost {
			l.redistribute()
		}
		s.clock.After(lendInterval, round)
	}
	s.clock.After(lendInterval, round)
	return strategy{
		name: "slots lent",
		setUpstreams: func(list []site.Upstream) {
			l.upstreams = list
			l.redistribute()
		},
		ask: l.ask, release: l.release,
		report:   func(int, string, int, int) {},
		loseHome: func() { l.lost = true }, regainHome: func() { l.lost = false },
	}
}

// redistribute reclaims slots from entries above their target and lends free slots to those below it. Each
// entry costs two messages: its demand and the home's answer.
func (l *lender) redistribute() {
	l.s.result.Messages += 2 * len(l.pools)
	targets := l.targets()
	free := map[string]int{}
	for _, u := range l.upstreams {
		free[u.ID] = u.Slots
	}
	for entry := range l.pools {
		l.reclaim(entry, targets[entry])
		for id, n := range l.lent[entry] {
			free[id] -= n
		}
	}
	for entry := range l.pools {
		l.lend(entry, targets[entry], free)
		l.apply(entry)
	}
}

// targets returns the number of slots for each entry: first for its online requests and headroom, then for its
// batch items; the rest is divided evenly. Each entry gets at least one.
func (l *lender) targets() []int {
	total := 0
	for _, u := range l.upstreams {
		total += u.Slots
	}
	n := len(l.pools)
	online, batch := make([]float64, n), make([]float64, n)
	for entry, p := range l.pools {
		load := p.pool.Load(l.s.now(), "s")
		online[entry] = float64(load.Online+load.WaitingOnline)*(1+headroom) + 1
		batch[entry] = float64(load.Batch + load.WaitingBatch)
	}
	remaining := float64(total)
	share := make([]float64, n)
	for _, demands := range [][]float64{online, batch} {
		sum := 0.0
		for _, demand := range demands {
			sum += demand
		}
		fraction := min(1, remaining/max(sum, 1))
		for entry, demand := range demands {
			share[entry] += demand * fraction
		}
		remaining = max(0, remaining-sum)
	}
	targets := make([]int, n)
	for entry := range targets {
		targets[entry] = max(1, int(share[entry]+remaining/float64(n)))
	}
	return targets
}

// reclaim reduces the slots lent to an entry to its target: free slots first, then those of the batch items
// that are due last. Online requests keep their slots until they end.
func (l *lender) reclaim(entry, target int) {
	lent, used := l.lent[entry], l.used(entry)
	listed := map[string]bool{}
	for _, u := range l.upstreams {
		listed[u.ID] = true
	}
	total := 0
	for id, n := range lent {
		if !listed[id] {
			delete(lent, id)
			continue
		}
		total += n
	}
	for _, u := range l.upstreams {
		for total > target && lent[u.ID] > used[u.ID] {
			lent[u.ID]--
			total--
		}
	}
	grants := l.pools[entry].pool.Grants()
	slices.SortFunc(grants, func(a, b slot.Grant) int {
		return cmp.Or(b.Request.Order.Compare(a.Request.Order), cmp.Compare(b.Request.Key.ID, a.Request.Key.ID))
	})
	for _, g := range grants {
		if total <= target {
			return
		}
		if g.Request.Batch && lent[g.Upstream.ID] > 0 {
			lent[g.Upstream.ID]--
			total--
			l.pools[entry].pool.Release(l.s.now(), g.Request.Key, slot.Abandoned)
			l.s.preempt(g.Request.Key)
		}
	}
}

// used returns the number of grants of an entry by upstream ID.
func (l *lender) used(entry int) map[string]int {
	used := map[string]int{}
	for _, g := range l.pools[entry].pool.Grants() {
		used[g.Upstream.ID]++
	}
	return used
}

// lend lends free slots to an entry up to its target, those of its own zone first, spread over the upstreams.
func (l *lender) lend(entry, target int, free map[string]int) {
	total := 0
	for _, n := range l.lent[entry] {
		total += n
	}
	zone := zoneName(entry % l.s.opts.Zones)
	for _, sameZone := range []bool{true, false} {
		for given := true; given && total < target; {
			given = false
			for _, u := range l.upstreams {
				if total < target && (u.Zone == zone) == sameZone && free[u.ID] > 0 {
					free[u.ID]--
					l.lent[entry][u.ID]++
					total++
					given = true
				}
			}
		}
	}
}

// apply sends an entry the slots that it is lent. An upstream with running requests stays in its list until
// they end.
func (l *lender) apply(entry int) {
	used := l.used(entry)
	var list []site.Upstream
	for _, u := range l.upstreams {
		u.Slots = max(l.lent[entry][u.ID], used[u.ID])
		if u.Slots > 0 {
			list = append(list, u)
		}
	}
	l.s.clock.After(hop, func() { l.pools[entry].deliver(l.pools[entry].pool.SetUpstreams(l.s.now(), list)) })
}
