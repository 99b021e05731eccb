// Package route picks the upstream that a request goes to.
//
// A Table holds the upstreams of one service that a VM routes to: its subset. Each upstream's home
// publishes a Digest of the requests in flight. The digest also gives the number of these requests that
// are the receiving VM's own, so that the VM can replace it by its exact count. Upstreams drawn at random
// and the prefix's preferred upstream compete by score, so that VMs with the same outdated digest do not
// all choose the same upstream.
//
// Usage:
//
//	table := route.NewTable(self, vms, upstreams, capacity, names, counter)
//	table = table.WithDigest("e4", route.Digest{InFlight: 7, Yours: 2, Capacity: 16, At: now})
//	i, ok := table.Pick(now, route.Want{Bit: table.Bit("scribe"), Random: rand.Uint64()})
//	upstream := table.Entry(i).Upstream
package route

import (
	"sync/atomic"
	"time"

	"mothcart/core/rendezvous"
	"mothcart/core/vm"
)

// Terms of the score. The unit is a full upstream: about as many requests as its capacity score 1.
const (
	// otherZonePenalty is added for an upstream in another availability zone of the region.
	otherZonePenalty = 0.15
	// otherRegionPenalty is added for an upstream in another region.
	otherRegionPenalty = 1
	// prefixBonus is subtracted for the preferred upstream of the request's prefix.
	prefixBonus = 0.3
	// waitingWeight is the weight of a request that waits inside the upstream; one that runs has 1.
	waitingWeight = 2
)

// StaleAfter is the age from which a digest no longer counts for the other VMs' requests.
const StaleAfter = 3 * time.Second

// anyBit is the mask of an upstream that serves every name of the service.
const anyBit = ^uint64(0)

// Counter counts this VM's own requests in flight at one upstream. It is safe for concurrent use.
type Counter struct{ n atomic.Int32 }

// Add changes the count by delta and returns the new one.
func (c *Counter) Add(delta int32) int32 { return c.n.Add(delta) }

// Load returns the count.
func (c *Counter) Load() int32 { return c.n.Load() }

// Digest is the load of an upstream, as last published by the upstream's home.
type Digest struct {
	// InFlight is the number of online requests of all VMs at the upstream.
	InFlight int32
	// Yours is the part of InFlight that came from the receiving VM.
	Yours int32
	// PeakInFlight is the recent peak of InFlight: a slot that a VM reuses at once is not free for other VMs.
	PeakInFlight int32
	// Waiting is the number of online requests queued inside the upstream.
	Waiting int32
	// Capacity is the number of requests that the upstream serves at once.
	Capacity int32
	// Names lists the models and adapters that the upstream has loaded; nil means all.
	Names []string
	// At is when the VM received the digest.
	At time.Time
}

// Entry is one upstream of a table.
type Entry struct {
	Upstream vm.VM
	Digest   Digest
	Health   Health
	// Own counts the VM's own requests in flight. It is mutable and shared by all tables.
	Own *Counter

	// BatchFirst reports that online requests use the upstream only when the others are busy.
	BatchFirst bool

	distance float64
	serves   uint64
	// remainder, from 0 to 1, is drawn again with each digest; hasRoom adds it to the VM's share.
	remainder float64
}

// Table is the subset of a service's upstreams that a VM routes to. Values are immutable, except for
// the counters that the entries point to.
type Table struct {
	self    vm.VM
	vms     int32
	entries []*Entry
	// hashes are the upstreams' hashes for rendezvous hashing, in the order of entries.
	hashes []uint64
	byID   map[string]int
	names  []string
	// split reports that some upstreams are for batch first.
	split bool
}

// NewTable returns a table for the VM self. vms is the mean number of VMs that route to one of the
// upstreams; capacity is the number of requests that an upstream is assumed to serve at once until a
// digest gives it; names are the models and adapters of the service, at most 64; counter returns the
// shared counter of an upstream.
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

// Find returns the index of the upstream with the ID.
func (t Table) Find(id string) (int, bool) { i, ok := t.byID[id]; return i, ok }

// Bit returns the mask that selects the upstreams that serve name; an unknown name selects all.
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

// WithLeaving returns a table in which one upstream is marked as leaving or not.
func (t Table) WithLeaving(id string, leaving bool) Table {
	return t.withEntry(id, func(e *Entry) { e.Upstream = e.Upstream.WithLeaving(leaving) })
}

// WithStateOf returns a table whose upstreams have the digests and health that old holds for them.
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

// Capacity returns this VM's share of the upstreams' capacity, in concurrent requests.
func (t Table) Capacity() float64 {
	total := 0.0
	for _, e := range t.entries {
		if !e.Upstream.Leaving {
			total += float64(e.Digest.Capacity)
		}
	}
	return total / float64(t.vms)
}
