// Package forward sends callers' requests to upstreams and returns the upstreams' answers.
//
// Each attempt holds a slot of an upstream and uses its own connection. core/retry decides what may
// be retried: a request that may have run is sent again only if its route allows it. An interrupted
// stream that can be resumed continues at another upstream after its last event, inside the same
// answer to the caller. The attempt at a silent upstream, which may go on at any time, stays open until another
// upstream has a slot for the request. Then a stream moves there; a plain request runs at both until one
// has answered. An answer without the upstream's signature, or one that belongs to another
// request, counts as a failed attempt.
//
// While the node has lost its links to upstreams, attempts go through other entries, which are upstreams to the rest of
// this package: they get a slot, make one attempt, and say that a request has not run by status 503.
//
// A refusal with status 503 or 429 says that the request has not run; once it may have run, a
// failure is a 502, a 504 or a broken connection.
//
// Usage:
//
//	f := forward.New(forward.Options{Client: client, Wire: wire, Acquire: acquire, Log: log})
//	f.Serve(ctx, w, forward.Request{ID: id, Route: route, Deadline: deadline, Body: body})
package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/poison"
	"mothcart/core/retry"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/held"
	"mothcart/io/service"
)

// AnswerInfo holds what mothcart reads from the headers of an upstream's answer.
type AnswerInfo struct {
	// NotRun reports that the upstream did not run the request.
	NotRun bool
	// Signed reports that the answer carries the upstream's signature.
	Signed bool
	// Leaving reports that the upstream is about to stop and accepts no new requests.
	Leaving bool
	// HasLoad reports that Running and Waiting are valid.
	HasLoad          bool
	Running, Waiting int
	// Pace is how long work takes at the upstream at this moment, 1 being as usual; 0 means not known.
	Pace float64
	// Rate is how many requests a second the upstream takes from all nodes together, valid if HasRate is set.
	// RateUnreadable reports that it names a rate which can't be read, so that nothing is known.
	Rate                    float64
	HasRate, RateUnreadable bool
}

// Attempt holds the values from which the headers of one attempt are built.
type Attempt struct {
	Upstream site.Upstream
	// Account names the client account to the upstream; empty if there is none.
	Account string
	// Remaining is the time until the answer must be complete; 0 omits the header.
	Remaining time.Duration
	// LastEventID asks for the stream to start after this event; empty keeps the caller's header.
	LastEventID string
}

// HeaderCodec translates headers between mothcart and the upstreams.
type HeaderCodec struct {
	// Outgoing returns the headers of an attempt at a request with headers h.
	Outgoing func(h http.Header, a Attempt) http.Header
	// Read reads the headers of an answer.
	Read func(h http.Header) AnswerInfo
	// SharedParts returns the parts of a request's prompt that other requests may share, in order.
	SharedParts func(h http.Header) []poison.Part
	// Caller returns what names the caller of a request, the same in all its tries; empty if nothing does.
	Caller func(h http.Header) string
	// Size returns the size of a request in tokens.
	Size func(h http.Header) Size
}

// Size is the size of a request in tokens; 0 means not known.
type Size struct {
	// Prompt and Output are the sizes of the prompt and of the longest output, Expected is the caller's estimate of the
	// output.
	Prompt, Output, Expected int
}

// Lease is the right to use one slot of an upstream.
type Lease struct {
	Upstream site.Upstream
	// Basis names, for the log, who granted the slot. BoundBy names who knew the software version to which the request
	// was bound; empty if it was not bound.
	Basis   string
	BoundBy slot.BoundBy
	// Carried reports that Upstream is another entry, which gets a slot by itself.
	Carried bool
	// Release ends the use of the slot; it must be called once.
	Release func(now time.Time, result slot.Result)
	// Report records the load that the upstream reported.
	Report func(now time.Time, running, waiting int)
	// Pace records how long the upstream says that work takes there, 1 being as usual; nil if that is of no use.
	Pace func(pace float64)
	// Choice is what decided about the upstream, for the log.
	Choice slot.Choice
	// Limit records the rate that the upstream's answer names, in requests a second, or that it names none.
	Limit func(rate float64, named bool)
	// Began records that the request's stream begins with this slot, where the request for the slot didn't name it.
	Began func(stream string)
	// Wrote records that the upstream writes its answer, which clears suspected parts of the prompt and the request.
	Wrote func()
	// Silence records that the upstream is silent, or that it goes on.
	Silence func(silent bool)
	// Leaving records that the upstream's answer to a request said that it is leaving.
	Leaving func(request string)
}

// Request is one request of a caller. Values are immutable.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path holds the escaped path and the query.
	Path   string
	Header http.Header
	Body   []byte
	Route  site.Route
	// Account is the client account; empty if the deployment has none or the route is public.
	Account string
	// Charged reports that an earlier attempt counts against the limit of the account.
	Charged bool
	// Arrived is when the headers of the request had arrived, Deadline when its answer must be complete.
	Arrived  time.Time
	Deadline time.Time
	// Waited is how long the caller has already waited in its earlier tries of this request.
	Waited time.Duration
	// LastEventID is the last event that the caller has received; empty means none.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that this request takes up; empty if
	// the caller doesn't say.
	Resumes string
	// Carried reports that another entry sends the request through this one. It makes one attempt, since the other entry
	// counts how often the request runs, and goes no further.
	Carried bool
	// Generates reports whether a service's upstreams are model engines. Those run a request at one upstream at a
	// time, since a generation that runs twice costs twice.
	Generates func(service string) bool
}

// Links are this node's links to upstreams, and the entries that send requests while they are lost.
type Links struct {
	Lost func() bool
	// Doubtful reports that failed connections to upstreams may be due to this node's links.
	Doubtful func() bool
	// Judge calls report once, with whether an upstream at which a request has just failed is to blame, not the links.
	Judge func(report func(failed bool))
	// Carrier returns the address of an entry that may send a request, and false if none is known that is not excluded.
	Carrier func(exclude []string) (string, bool)
	// CarrierEnded records the end of an attempt through an entry, CarrierAnswered the headers of its answer.
	CarrierEnded    func(address string, result slot.Result)
	CarrierAnswered func(address string, h http.Header)
}

// Options are the dependencies of a Forwarder; all but Links and Held are required.
type Options struct {
	Client *service.Client
	Wire   HeaderCodec
	// Acquire waits for a slot. The refusal is set if no slot was granted; the error is that of ctx.
	Acquire func(ctx context.Context, r slot.Request) (Lease, *slot.Refusal, error)
	Links   Links
	// Held counts the bytes that the process holds; nil means without a limit.
	Held *held.Budget
	// NextID returns a new ID for a request for a slot.
	NextID func() uint64
	// Now returns the present time.
	Now              func() time.Time
	AvailabilityZone string
	Log              zerolog.Logger
	Registry         metrics.Registry
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	opts    Options
	metrics forwardMetrics
	// stopped ends with Stop.
	stopped context.Context
	stop    context.CancelFunc
	// drain is nil until Drain is called.
	drain atomic.Pointer[drain]

	mu      sync.Mutex
	budgets map[string]retry.Budget
}

// New returns a forwarder.
func New(opts Options) *Forwarder {
	if opts.Links.Lost == nil {
		opts.Links = Links{Lost: never, Doubtful: never, Judge: func(report func(bool)) { report(true) }}
	}
	f := &Forwarder{opts: opts, metrics: newMetrics(opts.Registry), budgets: make(map[string]retry.Budget)}
	f.stopped, f.stop = context.WithCancel(context.Background())
	return f
}

func never() bool { return false }

// retryShare bounds retries to this share of a service's requests, so that they can't multiply the
// load of a failing service; losing one of nine upstreams breaks a ninth of the streams at once.
const retryShare = 0.5

// decide returns what to do after a failed attempt.
func (f *Forwarder) decide(now, deadline time.Time, service string, failure retry.Failure) retry.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	budget, ok := f.budgets[service]
	if !ok {
		budget = retry.NewBudget(retryShare)
	}
	action, budget := retry.Decide(now, deadline, failure, budget)
	f.budgets[service] = budget
	return action
}

// refund gives back the retry of a service that was not made.
func (f *Forwarder) refund(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if budget, ok := f.budgets[service]; ok {
		f.budgets[service] = budget.WithRefund()
	}
}

// countRequest adds to the retry budget of a service.
func (f *Forwarder) countRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	budget, ok := f.budgets[service]
	if !ok {
		budget = retry.NewBudget(retryShare)
	}
	f.budgets[service] = budget.WithRequest()
}
