// Package order decides which models each engine holds, and who may order an engine to load them.
//
// Assign computes the desired state of every engine from the declared objects, the same on each
// VM. The engine's home gives the order under a lease with a fencing number, stored as one object
// per engine. The lease is acquired only while there is something to order.
//
// Engines that check fencing numbers refuse the order of an old holder. For the others the old
// holder stops by its own clock before its lease can lapse, and a new holder waits until the lease
// and the longest order must have ended by its own clock. One case remains: an order that the
// network delays for longer than OrderTimeout may reach an engine that does not check numbers after
// the new holder's order. For this case the reported state is read back and the order repeated.
//
// Usage:
//
//	desired, unplaced := order.Assign(engines, models, adapters)
//	if observed.MayAcquire(now, checksFence) { record := observed.Record.AcquiredBy(holder) }
//	held := order.NewHeld(record, writtenAt)
//	if held.MayOrder(now) { … }
package order

import (
	"cmp"
	"slices"
	"time"

	"mothcart/core/config"
	"mothcart/core/rendezvous"
)

const (
	// LeaseTime is how long a lease is valid without renewal.
	LeaseTime = 10 * time.Second
	// OrderTimeout bounds one order.
	OrderTimeout = 2 * time.Second
	// RenewAfter is the age at which a holder renews its lease.
	RenewAfter = LeaseTime / 3
)

// Engine is an engine that can be ordered.
type Engine struct {
	ID        string
	MemoryMiB int
}

// Loaded is a model or adapter in a version.
type Loaded struct {
	Name    string
	Version string
}

// Desired is what an engine should hold, each list sorted by name.
type Desired struct {
	Models   []Loaded
	Adapters []Loaded
}

// Equal reports whether both have the same models and adapters.
func (d Desired) Equal(other Desired) bool {
	return slices.Equal(d.Models, other.Models) && slices.Equal(d.Adapters, other.Adapters)
}

// Assign distributes the models and their adapters over the engines of one service. A model without a
// number of replicas goes to every engine with enough memory; one with a number goes to those that
// rank highest for it by rendezvous hashing, so that the loss of an engine moves only what it held.
// unplaced names the models that found fewer engines than they ask for.
func Assign(engines []Engine, models []config.Model, adapters []config.Adapter) (desired map[string]Desired, unplaced []string) {
	free := make(map[string]int, len(engines))
	desired = make(map[string]Desired, len(engines))
	ids := make([]string, 0, len(engines))
	for _, e := range engines {
		free[e.ID] = e.MemoryMiB
		desired[e.ID] = Desired{}
		ids = append(ids, e.ID)
	}
	for _, m := range byNeed(models) {
		own := adaptersOf(m, adapters)
		need := m.MemoryMiB
		for _, a := range own {
			need += a.MemoryMiB
		}
		want := m.Replicas
		if want == 0 {
			want = len(ids)
		}
		placed := 0
		for _, id := range rendezvous.Top("model/"+m.Name, ids, len(ids)) {
			if placed == want {
				break
			}
			if free[id] < need {
				continue
			}
			free[id] -= need
			desired[id] = desired[id].with(m, own)
			placed++
		}
		if placed < want {
			unplaced = append(unplaced, m.Name)
		}
	}
	slices.Sort(unplaced)
	return desired, unplaced
}

// byNeed puts models with a number of replicas first, then the larger ones.
func byNeed(models []config.Model) []config.Model {
	sorted := slices.Clone(models)
	slices.SortFunc(sorted, func(a, b config.Model) int {
		if (a.Replicas > 0) != (b.Replicas > 0) {
			if a.Replicas > 0 {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(b.MemoryMiB, a.MemoryMiB); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return sorted
}

func adaptersOf(m config.Model, adapters []config.Adapter) []config.Adapter {
	var own []config.Adapter
	for _, a := range adapters {
		if a.Model == m.Name {
			own = append(own, a)
		}
	}
	return own
}

func (d Desired) with(m config.Model, adapters []config.Adapter) Desired {
	d.Models = append(slices.Clone(d.Models), Loaded{Name: m.Name, Version: m.Version})
	d.Adapters = slices.Clone(d.Adapters)
	for _, a := range adapters {
		d.Adapters = append(d.Adapters, Loaded{Name: a.Name, Version: a.Version})
	}
	byName := func(a, b Loaded) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(d.Models, byName)
	slices.SortFunc(d.Adapters, byName)
	return d
}

// Record is the lease of one engine as it is stored in the object service.
type Record struct {
	// Holder is a VM and its incarnation; empty means released.
	Holder string `msgpack:"h"`
	// Fence grows with each new holder.
	Fence uint64 `msgpack:"f"`
	// Renewal grows with each write of a holder, so that each write is unique.
	Renewal uint64 `msgpack:"r"`
}

// AcquiredBy returns the record with a new holder and the next fencing number.
func (r Record) AcquiredBy(holder string) Record {
	return Record{Holder: holder, Fence: r.Fence + 1, Renewal: r.Renewal + 1}
}

// Renewed returns the record after a renewal.
func (r Record) Renewed() Record {
	r.Renewal++
	return r
}

// Released returns the record without a holder; the fencing number stays.
func (r Record) Released() Record {
	r.Holder = ""
	r.Renewal++
	return r
}

// Observed is a record with the time at which the reader first saw it, by the reader's own clock.
type Observed struct {
	Record Record
	SeenAt time.Time
}

// WithRead returns the observation after another read.
func (o Observed) WithRead(now time.Time, r Record) Observed {
	if o.SeenAt.IsZero() || o.Record != r {
		return Observed{Record: r, SeenAt: now}
	}
	return o
}

// MayAcquire reports whether another VM may acquire the lease: it is released, the engine's own check of
// fencing numbers stops the old holder, or the old holder has stopped by its own clock.
func (o Observed) MayAcquire(now time.Time, checksFence bool) bool {
	if o.Record.Holder == "" || checksFence {
		return true
	}
	return now.Sub(o.SeenAt) >= LeaseTime+OrderTimeout
}

// Held is a lease that this VM holds.
type Held struct {
	Record Record
	until  time.Time
}

// NewHeld returns the lease written with record; sentAt is the time by this VM's clock
// just before the write.
func NewHeld(r Record, sentAt time.Time) Held {
	return Held{Record: r, until: sentAt.Add(LeaseTime - OrderTimeout)}
}

// MayOrder reports whether an order sent now ends before the lease can lapse.
func (h Held) MayOrder(now time.Time) bool { return h.Record.Holder != "" && now.Before(h.until) }

// RenewDue reports whether the lease must be renewed now.
func (h Held) RenewDue(now time.Time) bool {
	return !now.Before(h.until.Add(RenewAfter - (LeaseTime - OrderTimeout)))
}
