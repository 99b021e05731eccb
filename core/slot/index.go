package slot

import (
	"cmp"
	"slices"
	"time"
)

// index finds the upstream with the lowest load among thousands without looking at each of them.
//
// Upstreams in the usual state lie in buckets by software version, zone, number of slots and slots in use, so that
// a look-up takes as many steps as there are versions, zones and slots of an upstream. The few that are paused, on
// trial, limited, doubtful or loaded by others, whose state changes with time, are kept in a list and looked at each time.
type index struct {
	// versions holds a part for each software version of the service's upstreams that are not draining.
	versions []*versionIndex
	// turn spreads requests over equal upstreams.
	turn int
}

// versionIndex holds the upstreams of one software version.
type versionIndex struct {
	version string
	// slots is the number of slots of all upstreams.
	slots  int
	groups []*group
	// special holds the upstreams that are not in a bucket.
	special []*upstream
	// free is the number of free slots of the upstreams in buckets.
	free int
}

// group holds the upstreams of a zone that have the same number of slots and class of pace.
type group struct {
	zone         string
	slots, class int
	// buckets holds the upstreams by the number of slots in use; those at the end have none free.
	buckets [][]*upstream
}

// place is where an upstream lies in an index.
type place struct {
	version *versionIndex
	// group is nil for an upstream in versionIndex.special.
	group *group
	used  int
	// at is the position in the bucket or in versionIndex.special.
	at int
}

// isUsual reports that the free slots of an upstream depend on the pool's own grants only.
func (u *upstream) isUsual(now time.Time, opts Options) bool {
	return !u.Doubtful && !u.limit.Active() && !u.onTrial() && !u.paused(now) && (u.otherRequests == 0 || now.Sub(u.reportedAt) >= opts.ReportAge)
}

// insert adds an upstream that is not draining.
func (x *index) insert(now time.Time, u *upstream, opts Options) {
	x.version(u.Version).insert(now, u, opts)
}

// remove removes an upstream.
func (x *index) remove(u *upstream) { u.place.version.remove(u) }

// version returns the part of a version, which is added if need be.
func (x *index) version(name string) *versionIndex {
	if v := x.find(name); v != nil {
		return v
	}
	v := &versionIndex{version: name}
	x.versions = append(x.versions, v)
	return v
}

// find returns the part of a version, or nil if it has no upstream.
func (x *index) find(name string) *versionIndex {
	for _, v := range x.versions {
		if v.version == name {
			return v
		}
	}
	return nil
}

// slotsOf returns the number of slots of the upstreams of a version.
func (x *index) slotsOf(version string) int {
	if v := x.find(version); v != nil {
		return v.slots
	}
	return 0
}

func (x *versionIndex) insert(now time.Time, u *upstream, opts Options) {
	if !u.isUsual(now, opts) {
		u.place = place{version: x, at: len(x.special)}
		x.special = append(x.special, u)
		return
	}
	g := x.group(u.Zone, u.Slots, u.pace.class)
	used := min(u.used, g.slots)
	u.place = place{version: x, group: g, used: used, at: len(g.buckets[used])}
	g.buckets[used] = append(g.buckets[used], u)
	x.free += g.slots - used
}

func (x *versionIndex) remove(u *upstream) {
	list := &x.special
	if g := u.place.group; g != nil {
		list = &g.buckets[u.place.used]
		x.free -= g.slots - u.place.used
	}
	last := (*list)[len(*list)-1]
	(*list)[u.place.at], last.place.at = last, u.place.at
	*list = (*list)[:len(*list)-1]
}

func (x *versionIndex) group(zone string, slots, class int) *group {
	for _, g := range x.groups {
		if g.zone == zone && g.slots == slots && g.class == class {
			return g
		}
	}
	g := &group{zone: zone, slots: slots, class: class, buckets: make([][]*upstream, slots+1)}
	x.groups = append(x.groups, g)
	return g
}

// refresh moves the upstreams to buckets whose pauses and load reports have ended.
func (x *versionIndex) refresh(now time.Time, opts Options) {
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
	n := 0
	for _, v := range x.versions {
		v.refresh(now, opts)
		n += v.freeSlots(now, opts)
	}
	return n
}

func (x *versionIndex) freeSlots(now time.Time, opts Options) int {
	n := x.free
	for _, u := range x.special {
		n += u.free(now, opts)
	}
	return n
}

// paused returns the number of upstreams that are paused; none of them is in a bucket.
func (x *index) paused(now time.Time) int {
	n := 0
	for _, v := range x.versions {
		n += countPaused(now, v.special)
	}
	return n
}

func countPaused(now time.Time, list []*upstream) int {
	n := 0
	for _, u := range list {
		if u.paused(now) {
			n++
		}
	}
	return n
}

// best returns the best upstream with a free slot for the request, or nil. A request that is not bound to a version
// prefers the one with the most free slots, which leaves those of a scarce one to the requests that are bound to it.
func (x *index) best(now time.Time, r *Request, opts Options) *upstream {
	x.turn++
	if r.Version != "" {
		if v := x.find(r.Version); v != nil {
			return v.best(now, r, x.turn, opts)
		}
		return nil
	}
	if len(x.versions) == 1 {
		return x.versions[0].best(now, r, x.turn, opts)
	}
	var best *upstream
	free := 0
	for _, v := range x.versions {
		u := v.best(now, r, x.turn, opts)
		if u == nil {
			continue
		}
		n := v.freeSlots(now, opts)
		if best == nil || u.betterOfVersions(best, n, free, now, r, opts) {
			best, free = u, n
		}
	}
	return best
}

// best returns the best upstream of the version with a free slot for the request, or nil.
func (x *versionIndex) best(now time.Time, r *Request, turn int, opts Options) *upstream {
	best := x.bestInBucket(r, turn)
	for _, u := range x.special {
		if u.hasFreeSlot(now, r, opts) && (best == nil || u.better(best, now, r, opts)) {
			best = u
		}
	}
	return best
}

// bestInBucket returns the best upstream in a bucket, or nil.
func (x *versionIndex) bestInBucket(r *Request, turn int) *upstream {
	if r.weighed {
		return x.bestWeighed(r, turn)
	}
	if u := x.bestUsual(r, true, turn); u != nil {
		return u
	}
	return x.bestUsual(r, false, turn)
}

// bestUsual returns the upstream in a bucket with the lowest load among those inside or outside the zone of the
// request, or nil.
func (x *versionIndex) bestUsual(r *Request, near bool, turn int) *upstream {
	var best *upstream
	for _, g := range x.groups {
		if (g.zone == r.AvailabilityZone) != near {
			continue
		}
		if u := g.lowest(r, turn); u != nil && (best == nil || u.used*best.Slots < best.used*u.Slots) {
			best = u
		}
	}
	return best
}

// lowest returns an upstream of the group with the fewest slots in use and at least one free, or nil.
func (g *group) lowest(r *Request, turn int) *upstream {
	for _, bucket := range g.buckets[:g.slots] {
		for i := range bucket {
			u := bucket[(turn+i)%len(bucket)]
			if !slices.Contains(r.Exclude, u.ID) && u.fits(r, 0) {
				return u
			}
		}
	}
	return nil
}

// sort puts the parts and groups in a fixed order, so that equal choices don't depend on the order of insertion.
func (x *index) sort() {
	slices.SortFunc(x.versions, func(a, b *versionIndex) int { return cmp.Compare(a.version, b.version) })
	for _, v := range x.versions {
		slices.SortFunc(v.groups, func(a, b *group) int {
			return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.slots, b.slots), cmp.Compare(a.class, b.class))
		})
	}
}
