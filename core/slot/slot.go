// Package slot decides which request may use which slot of an upstream.
//
// Upstreams admit requests in order of arrival and have no priorities, so a request is sent to an
// upstream only if it starts there at once; all others wait in this package's queue. A Pool holds the
// slots of the upstreams passed to SetUpstreams, the grants that use them, and the waiting requests.
//
// Online requests go first. They are ordered by priority, then those that can still meet their
// objective, by its last moment, before those that have missed it, by deadline. Batch items get all remaining slots;
// of the items that can end by their due time, the one that is due first goes first. When an online
// request finds no free slot, a batch item is preempted: one that will be late in any case, or else
// the one that is due last. A request that can't get a slot before its wait ends is refused at once,
// with the time after which to retry.
//
// Client accounts share the slots while these are scarce: the rank of an account goes before the priority of a route, and
// of equal rank the account that uses least of its share goes first. An account above its share waits, or is refused,
// only while others want the slots. Accounts that are served far less often than all go before priority.
//
// Upstreams of several software versions may serve side by side. A stream goes on only at an upstream of the version
// that began it: its request is bound to that version, which the Pool remembers from the grant, and goes before other
// requests that are as urgent, which may use any upstream. A request that is bound to a version without upstreams is
// refused at once.
//
// An upstream that names the rate that it takes gets requests at that rate (core/throttle), whatever slots it has free.
//
// Where the memory of an upstream is known, a request gets a slot only where its tokens fit beside those of the others; a
// large one that waits reserves an upstream, so that smaller ones don't fill it again and again.
//
// A request whose prompt shares a part with others that crashed upstreams, or that did so in an earlier try, waits until
// core/poison has decided about it, or is refused.
//
// One Pool at the home of the slots decides for all VMs. A VM that can't reach the home decides for
// itself with its own Pool, which then also counts the requests of others that upstreams report.
//
// Where upstreams name how long work takes there, slow ones get what is least urgent, and a request leaves the zone of the
// VM that asked if that pays (core/zone). Upstreams that answer with errors far more often than others get requests only
// while those have no free slot.
//
// The decisions about a request for a slot, in order, one file each: the version that it must go to (bind), quarantine of
// its parts or itself (poison), whether an upstream is large enough (room), the limit of its account (account), its rank
// and share (share), its place among those that wait (wait), a free slot (serve) at the best upstream (index, upstream,
// weigh, outlier, trial), an item that yields (grants), and otherwise the refusal (refuse).
//
// Each method returns an Outcome: the grants, preempted items and refusals caused by the event. Callers
// act on preempted items before grants, so that a slot is free when its new request arrives.
//
// Usage:
//
//	p := slot.NewPool(slot.NewOptions())
//	out := p.SetUpstreams(now, upstreams)
//	out = p.Ask(now, slot.Request{Key: key, Service: "scribe", Deadline: now.Add(200 * time.Millisecond)})
//	out = p.Release(now, key, slot.Served)
package slot

import (
	"math/rand/v2"
	"time"

	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/zone"
)

// Key names a request; Owner is the VM that asked, with the incarnation of its process.
type Key struct {
	Owner string
	ID    uint64
}

// Request is a request for a slot. Values are immutable.
type Request struct {
	Key     Key
	Service string
	// Batch requests wait without a time limit and are preempted by online requests.
	Batch bool
	// late reports that the request will miss its objective or due time in any case; others of its
	// priority go first.
	late bool
	// scarce reports that the request may use the slots of one of several software versions only; such requests go
	// before others that are as urgent, since they can't take the next slot that any upstream has free.
	scarce bool
	// weighed, patient, explores, firstGroup and crossing are set by Pool.weigh.
	weighed, patient, explores bool
	firstGroup                 int
	crossing                   float32
	// standing is the place among the requests of all accounts.
	standing standing
	// Priority is the rank among online requests; 0 is the most urgent. That of the account goes before it.
	Priority int
	// Objective is the last moment at which a slot lets an online request meet its latency objective,
	// counted from the first attempt of its caller; zero means that it has none.
	Objective time.Time
	// Ran is the time for which a batch item has held slots in earlier attempts; it resumes where it
	// stopped.
	Ran time.Duration
	// Order sorts requests of the same priority that have no objective or miss it, earlier first: the caller's
	// deadline of an online request, the arrival of one that may have run already, the due time of a batch item.
	Order time.Time
	// Deadline is the time at which an online request stops waiting.
	Deadline time.Time
	// Exclude lists the upstreams at which the request has failed.
	Exclude []string
	// Version is the software version of the upstreams that may take the request; empty means any. A stream that has
	// begun is bound to the version that began it.
	Version string
	// BoundBy says who knew Version, for the log.
	BoundBy BoundBy
	// Stream is the ID under which the caller may take up the stream that the request begins or continues; empty if it
	// can't be taken up.
	Stream string
	// Continues reports that the request continues a stream, and Resumes is the ID of the request that brought its first
	// event. Without Version the pool finds out at which version that stream began.
	Continues bool
	// Unconfirmed reports that SoleVersion may not know of the newest versions.
	Unconfirmed bool
	Resumes     string
	// Repeatable reports that a request that begins no stream may run at another upstream if this one fails.
	Repeatable bool
	// Parts are the parts of the prompt that other requests may share, in order. Identity is what other tries of an online
	// request have in common with this one; zero for an item, which is owed whatever has ended under it.
	Parts    []poison.Part
	Identity poison.Identity
	// AvailabilityZone is that of the VM that asked.
	AvailabilityZone string
	// Account is the name of the client account; empty if the deployment has none or the route is public.
	Account string
	// Charged reports that an earlier attempt at the request counts against the limit of its account.
	Charged bool
	// holdsToken reports that the request has taken a token of its account in this pool.
	holdsToken bool
	// PromptTokens and OutputTokens are the sizes of the prompt and of the longest output, ExpectedTokens is the caller's
	// estimate of the output; 0 means not known.
	PromptTokens, OutputTokens, ExpectedTokens int
}

// BoundBy says who knew the software version at which a stream began.
type BoundBy string

const (
	// BoundByNode means that the node that asked knew it.
	BoundByNode BoundBy = "node"
	// BoundByPool means that the pool, or the one of an earlier home, granted the slot at which it began.
	BoundByPool BoundBy = "pool"
	// BoundBySoleVersion means that the service has had no other version since.
	BoundBySoleVersion BoundBy = "soleVersion"
)

// urgency returns the time by which requests of the same priority are ordered, earlier first: the last moment for
// the objective while that can be met, and otherwise Order. Callers that may wait longer would otherwise always
// come after others with the same objective.
func (r *Request) urgency() time.Time {
	if r.late || r.Objective.IsZero() {
		return r.Order
	}
	return r.Objective
}

// work returns what the request asks of an upstream.
func (r *Request) work() poison.Work {
	return poison.Work{Service: r.Service, Parts: r.Parts, Identity: r.Identity}
}

// accepts reports whether an upstream of a software version may take the request.
func (r *Request) accepts(version string) bool { return r.Version == "" || r.Version == version }

// missesObjective reports whether an online request can no longer meet its objective.
func (r Request) missesObjective(now time.Time) bool {
	return !r.Objective.IsZero() && !now.Before(r.Objective)
}

// Grant gives a slot of an upstream to a request.
type Grant struct {
	Request  Request
	Upstream site.Upstream
	// Choice is what decided about the upstream beside its load.
	Choice Choice
	// Trial reports that Wrote is to be called once the upstream writes, since a part of the prompt or the request is
	// suspected.
	Trial bool
}

// Reason says why a request was refused.
type Reason string

const (
	// ReasonNoUpstream means that the service has no upstream that accepts the request.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonNoVersion means that no upstream of the software version to which the request is bound accepts it.
	ReasonNoVersion Reason = "noUpstreamOfVersion"
	// ReasonUnknownVersion means that nobody knows at which software version the stream began that the request continues.
	ReasonUnknownVersion Reason = "unknownVersion"
	// ReasonFull means that no slot will be free before the wait ends.
	ReasonFull Reason = "full"
	// ReasonQuarantined means that a part of the prompt crashes upstreams.
	ReasonQuarantined Reason = "quarantinedPart"
	// ReasonQuarantinedRequest means that the request itself crashes upstreams.
	ReasonQuarantinedRequest Reason = "quarantinedRequest"
	// ReasonLinksLost means that the node has lost its links to upstreams, and knows no entry that has any.
	ReasonLinksLost Reason = "linksLost"
	// ReasonByCarrier means that another entry, through which the node sends requests, got no slot.
	ReasonByCarrier Reason = "byCarrier"
	// ReasonOverLimit means that the account has used up its limit.
	ReasonOverLimit Reason = "overLimit"
	// ReasonOverShare means that the account uses more than its share of the slots, which others want, and that no slot of
	// its share will be free before the wait ends.
	ReasonOverShare Reason = "overShare"
	// ReasonTooLarge means that the request needs more memory than an upstream of the service has.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonNoRoom means that no upstream will have room in its memory before the wait ends.
	ReasonNoRoom Reason = "noRoom"
	// ReasonWaited means that no slot became free before the wait ended.
	ReasonWaited Reason = "waited"
)

// Refusal ends a request that was not sent to an upstream.
type Refusal struct {
	Request Request
	Reason  Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
	// AccountLevel says by how much the account used more than its share of the slots: 0 if it didn't, 1 up to twice the
	// share, 2 up to four times, and so on. AccountSlots is that share.
	AccountLevel int
	AccountSlots float64
	// Unknown reports, with ReasonNoVersion, that the pool has no upstream of the service at all, as before it gets its
	// first list.
	Unknown bool
}

// Outcome holds the decisions that one event led to.
type Outcome struct {
	// Preempted lists the grants of batch items that were preempted by online requests.
	Preempted []Grant
	Granted   []Grant
	Refused   []Refusal
	// Findings are the changes of what is known of parts of prompts and of requests.
	Findings []poison.Finding
	// Limits are the changes of the rates that upstreams name.
	Limits []LimitChange
	// Outliers are the upstreams that have become outliers or are none any more.
	Outliers []OutlierChange
}

func (o *Outcome) add(other Outcome) {
	o.Preempted = append(o.Preempted, other.Preempted...)
	o.Granted = append(o.Granted, other.Granted...)
	o.Refused = append(o.Refused, other.Refused...)
	o.Findings = append(o.Findings, other.Findings...)
	o.Limits = append(o.Limits, other.Limits...)
	o.Outliers = append(o.Outliers, other.Outliers...)
}

// Result says how the use of a slot ended.
type Result int

const (
	// Served means that the upstream answered with success.
	Served Result = iota
	// Full means that the upstream refused the request because it had no free capacity.
	Full
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the answer broke off or never arrived.
	Broken
	// Abandoned means that the caller disconnected or the item was preempted; it says nothing about the
	// upstream.
	Abandoned
	// Moved means that another process answers at the address.
	Moved
	// Failed means that the upstream answered that it can't do the request.
	Failed
	// Ended means that the upstream ended before it had written on the request.
	Ended
	// Errored means that the upstream answered with an error that is not due to the request by its status.
	Errored
)

// Options are the parameters of a Pool.
type Options struct {
	// TrustReports makes the pool count all requests of others that upstreams report.
	TrustReports bool
	// FullPause is how long an upstream that refused a request for lack of capacity gets no requests.
	FullPause time.Duration
	// FailPause is how long an upstream gets no requests after its second failure in a row; it doubles
	// with each further failure up to MaxFailPause.
	FailPause    time.Duration
	MaxFailPause time.Duration
	// ReportAge is the age from which a load report is ignored.
	ReportAge time.Duration
	// HoldTime is the initial mean of the time that an online request holds a slot.
	HoldTime time.Duration
	// Zones are the costs of requests that leave the zone of the VM that asked. Without them only requests of services
	// whose upstreams name their pace do, by the default costs.
	Zones zone.Costs
	// ArrivalReserve is a length of time: batch leaves slots free for the online requests that are
	// expected to arrive in it, since preempting a batch item costs a connection and a prefill.
	ArrivalReserve time.Duration
	// MinRetryAfter and RetrySpread set the time after which callers retry: at least MinRetryAfter, and
	// spread evenly over RetrySpread, so that callers don't retry all at once.
	MinRetryAfter time.Duration
	RetrySpread   time.Duration
	// Began is called with the software version at which a stream begins. Origin returns that of a stream, and SoleVersion
	// the only one that a service has had for as long as streams are taken up; both return false if it isn't known.
	Began       func(stream, version string)
	Origin      func(stream string) (string, bool)
	SoleVersion func(now time.Time, service string) (string, bool)
	// Account returns the client account with a name; false if the configuration in force has no such account.
	Account func(name string) (site.Account, bool)
	// Random returns random numbers from 0 to 1.
	Random func() float64
	// TokenCapacity returns the number of tokens that the requests at one upstream of a service may hold; 0 means not
	// known.
	TokenCapacity func(service string) int
}

// NewOptions returns the default parameters.
func NewOptions() Options {
	return Options{
		FullPause:      40 * time.Millisecond,  // about the time in which each running request gets one token
		FailPause:      250 * time.Millisecond, // recovery from a crash takes seconds; one lost connection is no crash
		MaxFailPause:   2 * time.Second,        // entries of dead upstreams disappear at this interval
		ReportAge:      400 * time.Millisecond, // about half of the time that a request holds a slot
		HoldTime:       700 * time.Millisecond, // a stream of 30 events at 24 ms
		ArrivalReserve: 20 * time.Millisecond,  // an order of magnitude fewer preemptions at 470 requests/s, for 1.5% of 630 slots
		MinRetryAfter:  100 * time.Millisecond, // a retry within less costs the caller more than waiting
		RetrySpread:    300 * time.Millisecond, // the latency objective of the streams
		Began:          func(string, string) {},
		Origin:         func(string) (string, bool) { return "", false },
		SoleVersion:    func(time.Time, string) (string, bool) { return "", false },
		Account:        func(string) (site.Account, bool) { return site.Account{}, false },
		Random:         rand.Float64,
		TokenCapacity:  func(string) int { return 0 },
	}
}

// WithOrigins returns the options with the functions that remember at which software versions streams began.
func (o Options) WithOrigins(began func(stream, version string), origin func(stream string) (string, bool), soleVersion func(now time.Time, service string) (string, bool)) Options {
	o.Began, o.Origin, o.SoleVersion = began, origin, soleVersion
	return o
}

// WithConfig returns the options with the functions that look up client accounts and services in the configuration in
// force.
func (o Options) WithConfig(account func(name string) (site.Account, bool), tokenCapacity func(service string) int) Options {
	o.Account, o.TokenCapacity = account, tokenCapacity
	return o
}

// WithReports returns the options with TrustReports set to trust.
func (o Options) WithReports(trust bool) Options {
	o.TrustReports = trust
	return o
}

// WithZones returns the options with the costs of requests that leave their zone.
func (o Options) WithZones(costs zone.Costs) Options {
	o.Zones = costs
	return o
}
