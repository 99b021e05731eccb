package slot

import (
	"cmp"
	"slices"
	"time"
)

// index finds the upstream with the lowest load among thousands without looking at each of them.
//
// Upstreams in the usual state lie in buckets by zone, number of slots and slots in use, so that a look-up takes
// as many steps as there are zones and slots of an upstream. The few that are paused, on trial, doubtful or
// loaded by others, whose state changes with time, are kept in a list and looked at each time.
type index struct {
	groups []*group
	// special holds the upstreams that are not in a bucket.
	special []*upstream
	// free is the number of free slots of the upstreams in buckets.
	free int
	// turn spreads requests over equal upstreams.
	turn int
}

// group holds the upstreams of a zone that have the same number of slots.
type group struct {
	zone  string
	slots int
	// buckets holds the upstreams by the number of slots in use; those at the end have none free.
	buckets [][]*upstream
}

// place is where an upstream lies in an index.
type place struct {
	// group is nil for an upstream in index.special.
	group *group
	used  int
	// at is the position in the bucket or in index.special.
	at int
}

// isUsual reports that the free slots of an upstream depend on the pool's own grants only.
func (u *upstream) isUsual(now time.Time, opts Options) bool {
	return !u.Doubtful && !u.onTrial() && !u.paused(now) && (u.otherRequests == 0 || now.Sub(u.reportedAt) >= opts.ReportAge)
}

// insert adds an upstream that is not draining.
func (x *index) insert(now time.Time, u *upstream, opts Options) {
	if !u.isUsual(now, opts) {
		u.place = place{at: len(x.special)}
		x.special = append(x.special, u)
		return
	}
	g := x.group(u.Zone, u.Slots)
	used := min(u.used, g.slots)
	u.place = place{group: g, used: used, at: len(g.buckets[used])}
	g.buckets[used] = append(g.buckets[used], u)
	x.free += g.slots - used
}

// remove removes an upstream.
func (x *index) remove(u *upstream) {
	list := &x.special
	if g := u.place.group; g != nil {
		list = &g.buckets[u.place.used]
		x.free -= g.slots - u.place.used
	}
	last := (*list)[len(*list)-1]
	(*list)[u.place.at], last.place.at = last, u.place.at
	*list = (*list)[:len(*list)-1]
}

func (x *index) group(zone string, slots int) *group {
	for _, g := range x.groups {
		if g.zone == zone && g.slots == slots {
			return g
		}
	}
	g := &group{zone: zone, slots: slots, buckets: make([][]*upstream, slots+1)}
	x.groups = append(x.groups, g)
	return g
}

// refresh moves the upstreams to buckets whose pauses and load reports have ended.
func (x *index) refresh(now time.Time, opts Options) {
	for i := 0; i < len(x.special); {
		u := x.special[i]
		if !u.isUsual(now, opts) {
			i++
			continue
		}
		x.remove(u)
		x.insert(now, u, opts)
	}
}

// freeSlots returns the number of slots that requests can get now.
func (x *index) freeSlots(now time.Time, opts Options) int {
	x.refresh(now, opts)
	n := x.free
	for _, u := range x.special {
		n += u.free(now, opts)
	}
	return n
}

// best returns the best upstream with a free slot for the request, or nil.
func (x *index) best(now time.Time, r Request, opts Options) *upstream {
	x.turn++
	best := x.bestUsual(r, true)
	if best == nil {
		best = x.bestUsual(r, false)
	}
	for _, u := range x.special {
		if u.hasFreeSlot(now, r, opts) && (best == nil || u.better(best, now, r, opts)) {
			best = u
		}
	}
	return best
}

// bestUsual returns the upstream in a bucket with the lowest load among those inside or outside the zone of the
// request, or nil.
func (x *index) bestUsual(r Request, near bool) *upstream {
	var best *upstream
	for _, g := range x.groups {
		if (g.zone == r.AvailabilityZone) != near {
			continue
		}
		if u := g.lowest(r, x.turn); u != nil && (best == nil || u.used*best.Slots < best.used*u.Slots) {
			best = u
		}
	}
	return best
}

// lowest returns an upstream of the group with the fewest slots in use and at least one free, or nil.
func (g *group) lowest(r Request, turn int) *upstream {
	for _, bucket := range g.buckets[:g.slots] {
		for i := range bucket {
			u := bucket[(turn+i)%len(bucket)]
			if !slices.Contains(r.Exclude, u.ID) {
				return u
			}
		}
	}
	return nil
}

// sortGroups puts the groups in a fixed order, so that equal choices don't depend on the order of insertion.
func (x *index) sortGroups() {
	slices.SortFunc(x.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.slots, b.slots))
	})
}
