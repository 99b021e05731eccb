package pattern

import (
	"cmp"
	"slices"
	"time"

	"mothcart/core/site"
	"mothcart/core/slot"
)

const (
	// lendInterval is the time between two divisions of the slots.
	lendInterval = 100 * time.Millisecond
	// headroom is what a front is lent beyond the online requests that it has, as a share of them.
	headroom = 0.25
)

// lender is the home of the way that lends slots.
type lender struct {
	frontDesks
	upstreams []site.Upstream
	// lent holds how many slots of an upstream a front has.
	lent []map[string]int
	lost bool
}

// lends lets a home divide the slots among the fronts by what they have to do.
func (s *sim) lends() way {
	l := &lender{frontDesks: s.newFrontDesks(false), lent: make([]map[string]int, s.opts.Fronts)}
	for i := range l.lent {
		l.lent[i] = map[string]int{}
	}
	var round func()
	round = func() {
		if !l.lost {
			l.divide()
		}
		s.clock.After(lendInterval, round)
	}
	s.clock.After(lendInterval, round)
	return way{
		name: "slots lent",
		setUpstreams: func(list []site.Upstream) {
			l.upstreams = list
			l.divide()
		},
		ask: l.ask, release: l.release,
		report:   func(int, string, int, int) {},
		loseHome: func() { l.lost = true }, regainHome: func() { l.lost = false },
	}
}

// divide takes back what fronts have too much of and lends it to those that have too little; each
// front tells its demand and gets an answer.
func (l *lender) divide() {
	l.s.result.Messages += 2 * len(l.desks)
	targets := l.targets()
	free := map[string]int{}
	for _, u := range l.upstreams {
		free[u.ID] = u.Slots
	}
	for f := range l.desks {
		l.takeBack(f, targets[f])
		for id, n := range l.lent[f] {
			free[id] -= n
		}
	}
	for f := range l.desks {
		l.lend(f, targets[f], free)
		l.apply(f)
	}
}

// targets divides all slots: first to online requests and some headroom, then to batch items, the
// rest evenly. Each front has at least one.
func (l *lender) targets() []int {
	total := 0
	for _, u := range l.upstreams {
		total += u.Slots
	}
	n := len(l.desks)
	online, batch := make([]float64, n), make([]float64, n)
	for f, d := range l.desks {
		load := d.pool.Load(l.s.now(), "s")
		online[f] = float64(load.Online+load.WaitingOnline)*(1+headroom) + 1
		batch[f] = float64(load.Batch + load.WaitingBatch)
	}
	left := float64(total)
	share := make([]float64, n)
	for _, wants := range [][]float64{online, batch} {
		sum := 0.0
		for _, w := range wants {
			sum += w
		}
		part := min(1, left/max(sum, 1))
		for f, w := range wants {
			share[f] += w * part
		}
		left = max(0, left-sum)
	}
	targets := make([]int, n)
	for f := range targets {
		targets[f] = max(1, int(share[f]+left/float64(n)))
	}
	return targets
}

// takeBack reduces what a front has to its target: free slots first, then those of the batch items
// that are due last. Slots of online requests stay until they end.
func (l *lender) takeBack(f, target int) {
	lent, used := l.lent[f], l.used(f)
	known := map[string]bool{}
	for _, u := range l.upstreams {
		known[u.ID] = true
	}
	total := 0
	for id, n := range lent {
		if !known[id] {
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
	grants := l.desks[f].pool.Grants()
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
			l.desks[f].pool.Release(l.s.now(), g.Request.Key, slot.Abandoned)
			l.s.cut(g.Request.Key)
		}
	}
}

// used counts the grants of a front by upstream.
func (l *lender) used(f int) map[string]int {
	used := map[string]int{}
	for _, g := range l.desks[f].pool.Grants() {
		used[g.Upstream.ID]++
	}
	return used
}

// lend gives a front free slots up to its target, those of its own zone first, spread over upstreams.
func (l *lender) lend(f, target int, free map[string]int) {
	total := 0
	for _, n := range l.lent[f] {
		total += n
	}
	zone := zoneName(f % l.s.opts.Zones)
	for _, near := range []bool{true, false} {
		for given := true; given && total < target; {
			given = false
			for _, u := range l.upstreams {
				if total < target && (u.Zone == zone) == near && free[u.ID] > 0 {
					free[u.ID]--
					l.lent[f][u.ID]++
					total++
					given = true
				}
			}
		}
	}
}

// apply tells a front what it has; an upstream with requests stays known until they end.
func (l *lender) apply(f int) {
	used := l.used(f)
	var list []site.Upstream
	for _, u := range l.upstreams {
		u.Slots = max(l.lent[f][u.ID], used[u.ID])
		if u.Slots > 0 {
			list = append(list, u)
		}
	}
	l.s.clock.After(hop, func() { l.desks[f].tell(l.desks[f].pool.SetUpstreams(l.s.now(), list)) })
}
