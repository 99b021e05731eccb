// Package route picks the upstream that a request goes to.
//
// A Table holds the upstreams of one service that a VM routes to: its subset. Each upstream's home
// publishes a Digest of the requests in flight; a VM corrects it exactly for its own share, since
// the digest says how many of the counted requests are the VM's own. Two random choices and the
// prefix's preferred upstream compete by score, so that VMs with the same late digest do not all
// choose the same upstream.
//
// Usage:
//
//	table := route.NewTable(self, upstreams, counters)
//	table = table.WithDigest("e4", route.Digest{InFlight: 7, Yours: 2, Capacity: 16, At: now})
//	i, ok := table.Pick(now, route.Want{Bit: table.Bit("scribe"), Random: rand.Uint64()})
//	upstream := table.Entry(i).Upstream
package route

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"mothcart/core/rendezvous"
	"mothcart/core/vm"
)

// Score terms, in units of a full upstream: an upstream with as many requests as its capacity
// scores 1.
const (
	// otherZonePenalty is added for an upstream in another availability zone of the region.
	otherZonePenalty = 0.15
	// otherRegionPenalty is added for an upstream in another region.
	otherRegionPenalty = 1
	// prefixBonus is taken off for the upstream that the request's prefix prefers.
	prefixBonus = 0.3
	// waitingWeight counts a request that waits inside the upstream against one that runs.
	waitingWeight = 2
)

// StaleAfter is the age at which a digest no longer tells of the other VMs' requests.
const StaleAfter = 3 * time.Second

// randomChoices is the number of upstreams drawn at random for a pick.
const randomChoices = 4

// likeness is how much the other VMs are taken to do as this one did since the digest's time: all
// saw the same digest. Without it they would all choose the upstream that looked idle.
const likeness = 0.5

// spillScore is the score of the best of the other upstreams from which on online uses those that
// are for batch first too.
const spillScore = 0.25

// drawMultiplier makes the next random number from the last; its high bits choose the upstream.
const drawMultiplier = 6364136223846793005

// anyBit means that every name of the service is served.
const anyBit = ^uint64(0)

// Counter counts this VM's own requests in flight at one upstream. It is safe for concurrent use.
type Counter struct{ n atomic.Int32 }

// Add changes the count by delta and returns the new one.
func (c *Counter) Add(delta int32) int32 { return c.n.Add(delta) }

// Load returns the count.
func (c *Counter) Load() int32 { return c.n.Load() }

// Digest is what an upstream's home last told of it.
type Digest struct {
	// InFlight is the number of online requests of all VMs at the upstream.
	InFlight int32
	// Yours is the part of InFlight that came from the receiving VM.
	Yours int32
	// Held is the greatest InFlight of the last moments: a place that its VM refills at once is not
	// free for others.
	Held int32
	// Waiting is the number of online requests queued inside the upstream.
	Waiting int32
	// Capacity is the number of requests that the upstream serves at once.
	Capacity int32
	// Names lists the models and adapters that the upstream holds; nil means all.
	Names []string
	// At is the receiver's time of receipt.
	At time.Time
}

// Entry is one upstream of a table.
type Entry struct {
	Upstream vm.VM
	Digest   Digest
	Health   Health
	// Own is the one live value of an entry; tables share it.
	Own *Counter

	// BatchFirst reports that online uses the upstream only when the others are busy.
	BatchFirst bool

	distance float64
	serves   uint64
	// remainder, from 0 to 1, is drawn with each digest.
	remainder float64
}

// Table is the subset of a service's upstreams that a VM routes to. Values are immutable, but for
// the counters that the entries point to.
type Table struct {
	self    vm.VM
	vms     int32
	entries []*Entry
	// hashes are the members' hashes for rendezvous, in the order of entries.
	hashes []uint64
	byID   map[string]int
	names  []string
	// split reports that some upstreams are for batch first.
	split bool
}

// NewTable returns a table for the VM self; vms is the mean number of VMs that route to one of the
// upstreams. capacity is the
// number of requests an upstream serves at once until a digest tells; names are the models and
// adapters of the service, at most 64; counter returns the live counter of an upstream.
func NewTable(self vm.VM, vms int, upstreams []vm.VM, capacity int, names []string, counter func(id string) *Counter) Table {
	t := Table{self: self, vms: int32(max(1, vms)), byID: make(map[string]int, len(upstreams)), names: names}
	for i, u := range upstreams {
		t.byID[u.ID] = i
		t.hashes = append(t.hashes, rendezvous.MemberHash(u.ID))
		t.entries = append(t.entries, &Entry{
			Upstream: u,
			Digest:   Digest{Capacity: int32(max(1, capacity))},
			Own:      counter(u.ID),
			distance: distance(self, u),
			serves:   anyBit,
		})
	}
	return t
}

func distance(self, u vm.VM) float64 {
	switch {
	case u.Region != self.Region:
		return otherRegionPenalty
	case u.AvailabilityZone != self.AvailabilityZone:
		return otherZonePenalty
	default:
		return 0
	}
}

// Len returns the number of upstreams.
func (t Table) Len() int { return len(t.entries) }

// Entry returns the upstream with index i.
func (t Table) Entry(i int) Entry { return *t.entries[i] }

// Find returns the index of the upstream with this ID.
func (t Table) Find(id string) (int, bool) { i, ok := t.byID[id]; return i, ok }

// Bit returns the mask that selects the upstreams holding name; an unknown name selects all.
func (t Table) Bit(name string) uint64 {
	for i, n := range t.names {
		if n == name && i < 64 {
			return 1 << i
		}
	}
	return anyBit
}

// WithBatchFirst returns a table in which the named upstreams are for batch first.
func (t Table) WithBatchFirst(ids []string) Table {
	for _, id := range ids {
		t = t.withEntry(id, func(e *Entry) { e.BatchFirst = true })
		t.split = true
	}
	return t
}

// WithDigest returns a table with the digest of one upstream replaced.
func (t Table) WithDigest(id string, d Digest) Table {
	return t.withEntry(id, func(e *Entry) {
		if d.Capacity <= 0 {
			d.Capacity = e.Digest.Capacity
		}
		e.Digest = d
		e.remainder = fraction(rendezvous.Combine(uint64(d.At.UnixNano()), t.hashes[t.byID[id]]))
		e.serves = anyBit
		if d.Names != nil {
			e.serves = 0
			for _, n := range d.Names {
				if bit := t.Bit(n); bit != anyBit {
					e.serves |= bit
				}
			}
		}
	})
}

// WithHealth returns a table with the health of one upstream replaced.
func (t Table) WithHealth(id string, h Health) Table {
	return t.withEntry(id, func(e *Entry) { e.Health = h })
}

// WithLeaving returns a table with one upstream's leaving mark set.
func (t Table) WithLeaving(id string, leaving bool) Table {
	return t.withEntry(id, func(e *Entry) { e.Upstream = e.Upstream.WithLeaving(leaving) })
}

// WithStateOf returns a table whose upstreams keep the digests and health that old knew of them.
func (t Table) WithStateOf(old Table) Table {
	for _, e := range old.entries {
		digest, health := e.Digest, e.Health
		if digest.At.IsZero() && health == (Health{}) {
			continue
		}
		t = t.WithDigest(e.Upstream.ID, digest).WithHealth(e.Upstream.ID, health)
	}
	return t
}

func (t Table) withEntry(id string, change func(*Entry)) Table {
	i, ok := t.byID[id]
	if !ok {
		return t
	}
	entries := make([]*Entry, len(t.entries))
	copy(entries, t.entries)
	e := *entries[i]
	change(&e)
	entries[i] = &e
	t.entries = entries
	return t
}

// Want says what a request needs of an upstream.
type Want struct {
	// Bit is the mask from Table.Bit.
	Bit uint64
	// Prefix is the hash of the prompt's first part; 0 means none.
	Prefix uint64
	// Random is a fresh random number.
	Random uint64
	// Exclude is the index of an upstream that failed the request before, plus 1; 0 means none.
	Exclude int
	// NeedsRoom restricts the pick to upstreams with fewer requests than their capacity.
	NeedsRoom bool
	// Reserve is the share of an upstream's capacity, from 0 to 1, that the request must leave free.
	Reserve float64

	// onlineOnly leaves out the upstreams that are for batch first.
	onlineOnly bool
}

// Capacity returns this VM's part of the upstreams' capacity, in requests at once.
func (t Table) Capacity() float64 {
	total := 0.0
	for _, e := range t.entries {
		if !e.Upstream.Leaving {
			total += float64(e.Digest.Capacity)
		}
	}
	return total / float64(t.vms)
}

// Pick returns the index of the upstream for a request; it reports false when none qualifies. It
// allocates nothing.
func (t Table) Pick(now time.Time, w Want) (int, bool) {
	if t.split {
		w.onlineOnly = true
		if i, ok := t.pick(now, w); ok && t.score(now, i) < spillScore {
			return i, true
		}
		w.onlineOnly = false
	}
	return t.pick(now, w)
}

// pick chooses among all upstreams that qualify.
func (t *Table) pick(now time.Time, w Want) (int, bool) {
	n := len(t.entries)
	if n == 0 {
		return 0, false
	}
	best, bestScore := -1, 0.0
	if w.Prefix != 0 {
		if i := t.preferred(now, w); i >= 0 {
			best, bestScore = i, t.score(now, i)-prefixBonus
		}
	}
	random := w.Random
	for range randomChoices {
		var start int
		start, random = draw(random, n)
		i := t.nextQualified(now, start, w)
		if i < 0 {
			break
		}
		if s := t.score(now, i); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 && w.NeedsRoom && !t.hasRoom(now, best, w.Reserve) {
		return t.anyWithRoom(now, w)
	}
	return best, best >= 0
}

// draw returns a number from 0 to n-1 and the next random number.
func draw(random uint64, n int) (int, uint64) {
	i, _ := bits.Mul64(random, uint64(n))
	return int(i), random*drawMultiplier + 1
}

// fraction maps a random number to 0 up to 1.
func fraction(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// preferred returns the upstream that holds the prefix with the greatest chance: the owner of the
// prefix by rendezvous, which every VM computes alike without messages.
func (t *Table) preferred(now time.Time, w Want) int {
	best := -1
	var bestWeight uint64
	for i, hash := range t.hashes {
		weight := rendezvous.Combine(w.Prefix, hash)
		if (best < 0 || weight > bestWeight) && t.qualifies(now, i, w) {
			best, bestWeight = i, weight
		}
	}
	return best
}

// nextQualified returns the first upstream from start on, round the table, that qualifies.
func (t *Table) nextQualified(now time.Time, start int, w Want) int {
	n := len(t.entries)
	for k := range n {
		i := start + k
		if i >= n {
			i -= n
		}
		if t.qualifies(now, i, w) {
			return i
		}
	}
	return -1
}

func (t *Table) anyWithRoom(now time.Time, w Want) (int, bool) {
	best, bestScore := -1, 0.0
	for i := range t.entries {
		if !t.qualifies(now, i, w) || !t.hasRoom(now, i, w.Reserve) {
			continue
		}
		if s := t.score(now, i); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best, best >= 0
}

func (t *Table) qualifies(now time.Time, i int, w Want) bool {
	e := t.entries[i]
	return i != w.Exclude-1 && !(w.onlineOnly && e.BatchFirst) && !e.Upstream.Leaving && e.serves&w.Bit != 0 && !e.Health.Ejected(now)
}

// hasRoom reports whether this VM may send one more request. All VMs see the same room and may fill
// it at once, so each takes its even part since the digest; the rest of the division goes to some of
// them, drawn anew with each digest. A VM may always refill the places that its own requests freed,
// unless the upstream is over its capacity.
func (t *Table) hasRoom(now time.Time, i int, reserve float64) bool {
	e := t.entries[i]
	limit := float64(e.Digest.Capacity) * (1 - reserve) / e.Health.Slowdown(now)
	own := e.Own.Load()
	if e.stale(now) {
		return float64(own*t.vms) < limit
	}
	part := (limit - float64(max(e.Digest.InFlight, e.Digest.Held))) / float64(t.vms)
	return float64(own-e.Digest.Yours) < math.Floor(part+e.remainder)
}

func (t *Table) score(now time.Time, i int) float64 {
	e := t.entries[i]
	load := t.load(now, e) + waitingWeight*float64(e.Digest.Waiting)
	return (load+1)*e.Health.Slowdown(now)/float64(e.Digest.Capacity) + e.distance
}

// load estimates the requests in flight at the upstream: the VM's own, which are exact, and those
// of others by the digest and by what this VM did since. Without a fresh digest the others are
// taken to send as this VM does.
func (t *Table) load(now time.Time, e *Entry) float64 {
	own := e.Own.Load()
	if e.stale(now) {
		return float64(own * t.vms)
	}
	others := float64(max(0, e.Digest.InFlight-e.Digest.Yours))
	since := float64(own - e.Digest.Yours)
	return float64(own) + max(0, others+likeness*float64(t.vms-1)*since)
}

func (e *Entry) stale(now time.Time) bool {
	return e.Digest.At.IsZero() || now.Sub(e.Digest.At) > StaleAfter
}
