// Package slot decides which request may use which slot of an upstream.
//
// Upstreams admit requests in order of arrival and know no priorities, so nothing is sent to one
// but what starts at once; the queue is here. A Pool holds the slots of the upstreams that it is
// told of, the grants that use them, and the requests that wait. Online requests go first, by
// priority, those that can still meet their objective before those that have missed it, then by
// deadline. Batch takes every slot that is left, the earliest due first of those that can end by
// then. When an online request finds no slot, an item that will be late gives its own up, or else
// the one that is due last. A request that
// can't get a slot before its wait ends is refused at once, with the time at which to come back.
//
// One Pool decides for all VMs at the home of the slots; a VM that is cut off from the home decides
// for itself with a Pool of its own, which then also counts what upstreams report of others.
//
// Each method returns an Outcome: what was granted, cut and refused by the event. Callers act on
// cuts before grants, so that a cut slot is free when its new request arrives.
//
// Usage:
//
//	p := slot.NewPool(slot.NewOptions())
//	out := p.SetUpstreams(now, upstreams)
//	out = p.Ask(now, slot.Request{Key: key, Service: "scribe", Deadline: now.Add(200 * time.Millisecond)})
//	out = p.Release(now, key, slot.Served)
package slot

import (
	"time"

	"mothcart/core/site"
)

// Key names a request; Owner is the VM that asked, with the incarnation of its process.
type Key struct {
	Owner string
	ID    uint64
}

// Request asks for a slot. Values are immutable.
type Request struct {
	Key     Key
	Service string
	// Batch requests wait without end and give their slots up to online requests.
	Batch bool
	// Priority is the rank among online requests; 0 is the most urgent.
	Priority int
	// Objective is the last moment at which a slot lets an online request meet its latency objective,
	// counted from the first attempt of its caller; zero means that it has none.
	Objective time.Time
	// Ran is for how long a batch item has held slots before; it goes on where it was.
	Ran time.Duration
	// Order sorts requests of the same priority, earlier first: the caller's deadline of an online
	// request, the due time of a batch item.
	Order time.Time
	// Deadline is when an online request no longer waits.
	Deadline time.Time
	// Exclude lists the upstreams that the request has failed at.
	Exclude []string
	// AvailabilityZone is that of the VM that asked.
	AvailabilityZone string

	// late requests miss their objective or due time in any case; others of their priority go first.
	late bool
}

// missesObjective reports that an online request can't meet its objective any more.
func (r Request) missesObjective(now time.Time) bool {
	return !r.Objective.IsZero() && !now.Before(r.Objective)
}

// Grant gives a slot of an upstream to a request.
type Grant struct {
	Request  Request
	Upstream site.Upstream
}

// Reason says why a request was refused.
type Reason string

const (
	// ReasonNoUpstream means that the service has no upstream that takes requests.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonFull means that no slot will be free before the wait ends.
	ReasonFull Reason = "full"
	// ReasonWaited means that no slot became free in the whole wait.
	ReasonWaited Reason = "waited"
)

// Refusal ends a request that has not been sent.
type Refusal struct {
	Request Request
	Reason  Reason
	// RetryAfter is when a slot is expected.
	RetryAfter time.Duration
}

// Outcome is what one event led to.
type Outcome struct {
	// Cut lists the batch grants whose slots went to online requests.
	Cut     []Grant
	Granted []Grant
	Refused []Refusal
}

func (o *Outcome) add(other Outcome) {
	o.Cut = append(o.Cut, other.Cut...)
	o.Granted = append(o.Granted, other.Granted...)
	o.Refused = append(o.Refused, other.Refused...)
}

// Result says how the use of a slot ended.
type Result int

const (
	// Served means that the upstream answered.
	Served Result = iota
	// Full means that the upstream refused the request for want of room.
	Full
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the answer broke off or never came.
	Broken
	// Abandoned means that the caller left or the item was cut; it says nothing of the upstream.
	Abandoned
	// Moved means that another process answers at the address.
	Moved
)

// Options are the parameters of a Pool.
type Options struct {
	// TrustReports counts what upstreams report of the requests of others.
	TrustReports bool
	// FullPause is how long an upstream that refused for want of room gets nothing.
	FullPause time.Duration
	// FailPause is how long an upstream gets nothing after its second failure in a row; it doubles
	// with each further one up to MaxFailPause.
	FailPause    time.Duration
	MaxFailPause time.Duration
	// ReportAge is the age at which a report says nothing any more.
	ReportAge time.Duration
	// HoldTime is the mean time that an online request holds a slot, before any was seen.
	HoldTime time.Duration
	// ArrivalReserve is the time for whose expected online arrivals batch leaves slots free, since a
	// batch item that is cut costs a connection and a prefill.
	ArrivalReserve time.Duration
	// MinRetryAfter and RetrySpread bound the time after which callers come back: they are spread
	// evenly over RetrySpread, so that they don't return together.
	MinRetryAfter time.Duration
	RetrySpread   time.Duration
}

// NewOptions returns the default parameters.
func NewOptions() Options {
	return Options{
		FullPause:      40 * time.Millisecond,  // about the time of one token of each running request
		FailPause:      250 * time.Millisecond, // a crash is over in seconds; one lost connection is not a crash
		MaxFailPause:   2 * time.Second,        // the interval at which entries of dead upstreams disappear
		ReportAge:      400 * time.Millisecond, // about half of the time that a request holds a slot
		HoldTime:       700 * time.Millisecond, // a stream of 30 events at 24 ms
		ArrivalReserve: 20 * time.Millisecond,  // an order of magnitude fewer cuts at 470 requests/s, 1.5% of 630 slots
		MinRetryAfter:  100 * time.Millisecond, // below it, returning costs the caller more than waiting
		RetrySpread:    300 * time.Millisecond, // the latency objective of the streams
	}
}

// WithReports returns the options with trust in reports.
func (o Options) WithReports(trust bool) Options {
	o.TrustReports = trust
	return o
}
