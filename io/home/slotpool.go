package home

import (
	"math/rand/v2"
	"sync"
	"time"

	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
)

// tickInterval is the time between checks for waits that have ended, while any request waits.
const tickInterval = 20 * time.Millisecond

// asker receives the outcome of a request for a slot. The functions must not block.
type asker struct {
	granted func(g slot.Grant)
	refused func(r slot.Refusal)
	// preempted is called when a batch grant has ended because an online request got its slot; nil for
	// online requests.
	preempted func()
}

// SlotPool is a pool of slots that calls each asker with the outcome of its request. It is safe for
// concurrent use.
type SlotPool struct {
	now func() time.Time
	// found is called with each change of what is known of parts of prompts and of requests.
	found func(findings []poison.Finding)
	// limited is called with each change of the rate that an upstream names.
	limited func(changes []slot.LimitChange)
	// outliers is called with each upstream that has become an outlier, or is none any more; nil if nobody wants to know.
	outliers func(changes []slot.OutlierChange)

	mu      sync.Mutex
	pool    *slot.Pool
	askers  map[slot.Key]asker
	ticking bool
	closed  bool
}

// NewSlotPool returns a pool without upstreams. It calls found with each change of what is known of parts of prompts
// and of requests, and limited with each change of the rate that an upstream names. Both must not block.
func NewSlotPool(opts slot.Options, now func() time.Time, found func(findings []poison.Finding), limited func(changes []slot.LimitChange)) *SlotPool {
	return &SlotPool{now: now, found: found, limited: limited, pool: slot.NewPool(opts), askers: make(map[slot.Key]asker)}
}

// withConfig returns the options of a pool that looks up accounts and services in the configuration in force, if there is
// one.
func withConfig(o slot.Options, cfg func() site.Config) slot.Options {
	if cfg == nil {
		return o
	}
	return o.WithConfig(
		func(name string) (site.Account, bool) { return cfg().Accounts.ByName(name) },
		func(service string) int { return cfg().TokenCapacity(service) },
	)
}

// Close ends the pool; askers get no more callbacks.
func (p *SlotPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	clear(p.askers)
}

// SetUpstreams replaces the upstreams.
func (p *SlotPool) SetUpstreams(list []site.Upstream) {
	p.change(func(now time.Time) slot.Outcome { return p.pool.SetUpstreams(now, list) })
}

// Ask asks for a slot.
func (p *SlotPool) Ask(r slot.Request, a asker) {
	p.change(func(now time.Time) slot.Outcome {
		p.askers[r.Key] = a
		return p.pool.Ask(now, r)
	})
}

// Adopt counts a grant that another pool made.
func (p *SlotPool) Adopt(r slot.Request, upstreamID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Adopt(p.now(), r, upstreamID)
}

// Release ends the use of a slot or the wait for one.
func (p *SlotPool) Release(k slot.Key, result slot.Result) {
	p.change(func(now time.Time) slot.Outcome {
		delete(p.askers, k)
		return p.pool.Release(now, k, result)
	})
}

// Silence records that the upstream of a slot in use is silent, or that it goes on.
func (p *SlotPool) Silence(k slot.Key, silent bool) {
	p.change(func(now time.Time) slot.Outcome { return p.pool.Silence(now, k, silent) })
}

// Wrote records that the upstream of a slot in use writes its answer.
func (p *SlotPool) Wrote(k slot.Key) {
	p.change(func(now time.Time) slot.Outcome { return p.pool.Wrote(now, k) })
}

// ImportSuspects adds what another node knows of parts of prompts and of requests.
func (p *SlotPool) ImportSuspects(records []poison.Record) {
	p.change(func(now time.Time) slot.Outcome { return p.pool.ImportSuspects(now, records) })
}

// ExportSuspects returns what is known against parts of prompts and against requests.
func (p *SlotPool) ExportSuspects() []poison.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.ExportSuspects(p.now())
}

// Quarantined returns the numbers of parts and of requests that are quarantined.
func (p *SlotPool) Quarantined() (parts, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Quarantined(p.now())
}

// Limit records what an answer says of the rate that the upstream of a slot in use takes.
func (p *SlotPool) Limit(k slot.Key, rate float64, named bool) {
	p.change(func(now time.Time) slot.Outcome { return p.pool.Limit(now, k, rate, named) })
}

// IsLimited reports that an upstream names a rate.
func (p *SlotPool) IsLimited(upstreamID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.IsLimited(upstreamID)
}

// ImportLimits adds what another node knows of the rates of upstreams; complete reports that it knows all of them.
func (p *SlotPool) ImportLimits(records []slot.LimitRecord, complete bool) {
	p.change(func(now time.Time) slot.Outcome { return p.pool.ImportLimits(now, records, complete) })
}

// limitedUpstreams returns the number of upstreams that name a rate.
func (p *SlotPool) limitedUpstreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.LimitedUpstreams()
}

// ExportLimits returns the rates that upstreams name.
func (p *SlotPool) ExportLimits() []slot.LimitRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.ExportLimits(p.now())
}

// DecideAlone shares the rates of upstreams among a number of nodes from now on.
func (p *SlotPool) DecideAlone(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.DecideAlone(p.now(), nodes, rand.Float64)
}

// RefuseQuarantined returns the refusal of a request that crashes upstreams, or has a part that does, and false for others.
func (p *SlotPool) RefuseQuarantined(r slot.Request) (slot.Refusal, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.RefuseQuarantined(p.now(), &r)
}

// DropOwner releases the grants and drops the waiting requests of an owner.
func (p *SlotPool) DropOwner(owner string) {
	p.change(func(now time.Time) slot.Outcome {
		for k := range p.askers {
			if k.Owner == owner {
				delete(p.askers, k)
			}
		}
		return p.pool.DropOwner(now, owner)
	})
}

// Reconcile releases the slots and ends the waits of an owner's requests that are not open there, and returns
// how many there were.
func (p *SlotPool) Reconcile(owner string, open func(id uint64) bool) int {
	var dropped []slot.Key
	p.change(func(now time.Time) slot.Outcome {
		var out slot.Outcome
		dropped, out = p.pool.Reconcile(now, owner, open)
		for _, k := range dropped {
			delete(p.askers, k)
		}
		return out
	})
	return len(dropped)
}

// Report records the load that an upstream reports.
func (p *SlotPool) Report(upstreamID string, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Report(p.now(), upstreamID, running, waiting)
}

// Load returns the use of a service's slots.
func (p *SlotPool) Load(service string) slot.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.Load(p.now(), service)
}

// change applies an event and calls the askers with its outcome: preempted ones first, so that a slot is
// free when its new request arrives.
func (p *SlotPool) change(event func(now time.Time) slot.Outcome) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	out := event(p.now())
	var calls []func()
	for _, g := range out.Preempted {
		a := p.askers[g.Request.Key]
		delete(p.askers, g.Request.Key)
		if a.preempted != nil {
			calls = append(calls, a.preempted)
		}
	}
	for _, g := range out.Granted {
		if a, ok := p.askers[g.Request.Key]; ok {
			calls = append(calls, func() { a.granted(g) })
		}
	}
	for _, r := range out.Refused {
		if a, ok := p.askers[r.Request.Key]; ok {
			delete(p.askers, r.Request.Key)
			calls = append(calls, func() { a.refused(r) })
		}
	}
	p.schedule()
	p.mu.Unlock()
	if len(out.Findings) > 0 {
		p.found(out.Findings)
	}
	if len(out.Limits) > 0 {
		p.limited(out.Limits)
	}
	if len(out.Outliers) > 0 && p.outliers != nil {
		p.outliers(out.Outliers)
	}
	for _, call := range calls {
		call()
	}
}

// schedule starts a timer that checks the waits again, while there are any; the mutex is held.
func (p *SlotPool) schedule() {
	if p.ticking || !p.pool.Waiting() {
		return
	}
	p.ticking = true
	time.AfterFunc(tickInterval, func() {
		p.mu.Lock()
		p.ticking = false
		p.mu.Unlock()
		p.change(p.pool.Tick)
	})
}
