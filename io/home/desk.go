package home

import (
	"sync"
	"time"

	"mothcart/core/site"
	"mothcart/core/slot"
)

// tickInterval is the time between looks at waits that may be over, while any request waits.
const tickInterval = 20 * time.Millisecond

// asker receives what becomes of a request for a slot. The functions must not block.
type asker struct {
	granted func(g slot.Grant)
	refused func(r slot.Refusal)
	// cut tells that a batch grant has ended; nil for online requests.
	cut func()
}

// Desk is a pool of slots that tells each asker what becomes of its request. It is safe for
// concurrent use.
type Desk struct {
	now func() time.Time

	mu      sync.Mutex
	pool    *slot.Pool
	askers  map[slot.Key]asker
	ticking bool
	closed  bool
}

// NewDesk returns a desk without upstreams.
func NewDesk(opts slot.Options, now func() time.Time) *Desk {
	return &Desk{now: now, pool: slot.NewPool(opts), askers: make(map[slot.Key]asker)}
}

// Close ends the desk; askers hear nothing more.
func (d *Desk) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	clear(d.askers)
}

// SetUpstreams replaces the upstreams.
func (d *Desk) SetUpstreams(list []site.Upstream) {
	d.change(func(now time.Time) slot.Outcome { return d.pool.SetUpstreams(now, list) })
}

// Ask asks for a slot.
func (d *Desk) Ask(r slot.Request, a asker) {
	d.change(func(now time.Time) slot.Outcome {
		d.askers[r.Key] = a
		return d.pool.Ask(now, r)
	})
}

// Adopt counts a grant that was made elsewhere.
func (d *Desk) Adopt(r slot.Request, upstreamID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.Adopt(d.now(), r, upstreamID)
}

// Release ends the use of a slot or the wait for one.
func (d *Desk) Release(k slot.Key, result slot.Result) {
	d.change(func(now time.Time) slot.Outcome {
		delete(d.askers, k)
		return d.pool.Release(now, k, result)
	})
}

// DropOwner releases all that a VM has.
func (d *Desk) DropOwner(owner string) {
	d.change(func(now time.Time) slot.Outcome {
		for k := range d.askers {
			if k.Owner == owner {
				delete(d.askers, k)
			}
		}
		return d.pool.DropOwner(now, owner)
	})
}

// Report counts what an upstream says of its load.
func (d *Desk) Report(upstreamID string, running, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.Report(d.now(), upstreamID, running, waiting)
}

// Load returns the use of a service's slots.
func (d *Desk) Load(service string) slot.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Load(d.now(), service)
}

// Grants returns the grants that are in use.
func (d *Desk) Grants() []slot.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Grants()
}

// change applies an event and tells the askers its outcome: cuts first, so that a slot is free when
// its new request arrives.
func (d *Desk) change(event func(now time.Time) slot.Outcome) {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	out := event(d.now())
	var calls []func()
	for _, g := range out.Cut {
		a := d.askers[g.Request.Key]
		delete(d.askers, g.Request.Key)
		if a.cut != nil {
			calls = append(calls, a.cut)
		}
	}
	for _, g := range out.Granted {
		if a, ok := d.askers[g.Request.Key]; ok {
			calls = append(calls, func() { a.granted(g) })
		}
	}
	for _, r := range out.Refused {
		if a, ok := d.askers[r.Request.Key]; ok {
			delete(d.askers, r.Request.Key)
			calls = append(calls, func() { a.refused(r) })
		}
	}
	d.schedule()
	d.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// schedule looks at the waits again while there are any.
func (d *Desk) schedule() {
	if d.ticking || !d.pool.Waiting() {
		return
	}
	d.ticking = true
	time.AfterFunc(tickInterval, func() {
		d.mu.Lock()
		d.ticking = false
		d.mu.Unlock()
		d.change(d.pool.Tick)
	})
}
