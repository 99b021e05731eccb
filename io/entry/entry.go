// Package entry serves callers: it receives their requests, finds the route, and answers them.
//
// Online requests go to an upstream through io/forward. Jobs are written to the object service
// before they are accepted; reads of jobs are answered by the home, or from the object service if
// the home can't answer. A node without a configuration refuses all requests.
//
// Usage:
//
//	h := entry.New(entry.Options{Codec: codec, Forward: forwarder, Home: client, Objects: objects})
//	http.Handle("/", h)
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/batch"
	"mothcart/core/site"
	"mothcart/io/carrier"
	"mothcart/io/forward"
	"mothcart/io/held"
	"mothcart/io/home"
	"mothcart/io/object"
)

// JobCall is the kind of a call about a submitted job.
type JobCall int

const (
	// NoJobCall is a request that isn't about a submitted job.
	NoJobCall JobCall = iota
	// ReadResults asks for the results from a position onwards.
	ReadResults
	// ReadItem asks for the body of an item.
	ReadItem
	// EndJob ends a job.
	EndJob
)

// Call is a call about a job.
type Call struct {
	Kind JobCall
	Job  string
	// After is the position of the first requested result, Wait is how long to wait for it.
	After int
	Wait  time.Duration
	Item  string
	// Account is the client account that calls; empty if the deployment has none.
	Account string
}

// Codec translates requests and answers of callers.
type Codec struct {
	RequestID   func(h http.Header) string
	LastEventID func(h http.Header) string
	// Resumes returns the ID of the request that brought the first event of the stream that a request takes up.
	Resumes func(h http.Header) string
	// CallerWait returns how long the caller waits for the answer; false if the headers don't say.
	CallerWait func(h http.Header) (time.Duration, bool)
	// ParseCall returns the call about a job; its Kind is NoJobCall for any other request.
	ParseCall func(r *http.Request) Call
	// TakeKey removes from the headers of a request its key and what names an account, and returns the key; false if
	// there is not exactly one.
	TakeKey func(h http.Header) (string, bool)
	// CarriedAccount returns the account that another entry has found for a request; false if it names none.
	CarriedAccount func(h http.Header) (string, bool)
	// DecodeJob decodes a submitted job of an account.
	DecodeJob func(id, host, path, account string, acceptedAt time.Time, body []byte) (batch.Job, error)
	// EncodeResults encodes a page of results.
	EncodeResults func(total, next int, results []batch.Result) ([]byte, error)
}

// Options are the dependencies of a Handler; all but Held are required.
type Options struct {
	Codec   Codec
	Forward *forward.Forwarder
	Home    *home.Client
	Objects object.Client
	// ObjectsDown reports that this node doesn't reach the object service; the home still may.
	ObjectsDown func() bool
	// Held counts the bytes that the process holds; nil means without a limit.
	Held *held.Budget
	Now  func() time.Time
	// VMID is the ID of the node's VM.
	VMID string
	// TimeOfDay is the wall clock, on which all VMs roughly agree.
	TimeOfDay func() time.Time
	Log       zerolog.Logger
	Registry  metrics.Registry
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	opts   Options
	config atomic.Pointer[site.Config]
	active atomic.Int64
	// stopped ends with Stop.
	stopped context.Context
	stop    context.CancelFunc
}

// New returns a handler that has no configuration.
func New(opts Options) *Handler {
	h := &Handler{opts: opts}
	h.stopped, h.stop = context.WithCancel(context.Background())
	return h
}

// SetConfig applies a configuration.
func (h *Handler) SetConfig(cfg site.Config) { h.config.Store(&cfg) }

// Limits returns the limits of the configuration in force.
func (h *Handler) Limits() site.Limits {
	if cfg := h.config.Load(); cfg != nil {
		return cfg.Limits
	}
	return site.Limits{}
}

// Stop ends all calls about jobs and submissions: their callers are told what is known of the outcome.
func (h *Handler) Stop() { h.stop() }

// untilStop returns a request whose context also ends with Stop.
func (h *Handler) untilStop(r *http.Request) (*http.Request, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	unlink := context.AfterFunc(h.stopped, cancel)
	return r.WithContext(ctx), func() {
		unlink()
		cancel()
	}
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

const (
	// defaultBodyBytes bounds a body while the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// defaultTimeout bounds a request whose route and caller set no limit.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is the Retry-After of a node that has no configuration yet: the time within which
	// a node that has just started expects one.
	startRetryAfter = 300 * time.Millisecond
)

// ServeHTTP answers one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, carriage{resumes: h.opts.Codec.Resumes(r.Header)})
}

// carriage is what a request brings with it from the entry that received it.
type carriage struct {
	// carried reports that this is another entry, which has lost its links to upstreams.
	carried bool
	// resumes and charged are those of forward.Request.
	resumes string
	charged bool
}

// markNotSent marks the answer to a request that another entry sent, so that it isn't taken for an upstream's.
func (c carriage) markNotSent(w http.ResponseWriter) {
	if c.carried {
		w.Header().Set(carrier.HeaderNotSent, "1")
	}
}

// ServeCarried answers one request that another entry, which has lost its links to upstreams, sends through this one.
func (h *Handler) ServeCarried(w http.ResponseWriter, r *http.Request) {
	from := carriage{carried: true, resumes: r.Header.Get(forward.HeaderCarriedResumes), charged: r.Header.Get(forward.HeaderCarriedCharged) != ""}
	r.Header.Del(forward.HeaderCarriedResumes)
	r.Header.Del(forward.HeaderCarriedCharged)
	h.serve(w, r, from)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, from carriage) {
	arrived := h.opts.Now()
	h.active.Add(1)
	defer h.active.Add(-1)
	cfg := h.config.Load()
	id, ok := h.opts.Codec.RequestID(r.Header), false
	if cfg == nil {
		h.opts.Log.Info().Str("request", id).Str("outcome", "refused:noConfiguration").Int("status", http.StatusServiceUnavailable).Msg("requestDone")
		forward.Refuse(w, startRetryAfter)
		return
	}
	if call := h.opts.Codec.ParseCall(r); call.Kind != NoJobCall {
		if call.Account, ok = h.authenticate(w, r, *cfg, false, from); ok {
			r, end := h.untilStop(r)
			defer end()
			h.serveJobCall(w, r, call)
		}
		return
	}
	route, ok := cfg.Match(r.Host, r.URL.Path)
	if !ok {
		h.opts.Log.Info().Str("request", id).Str("host", r.Host).Str("path", r.URL.Path).Int64("config", cfg.Version).
			Str("outcome", "noRoute").Int("status", http.StatusNotFound).Msg("requestDone")
		from.markNotSent(w)
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	account, ok := h.authenticate(w, r, *cfg, route.Public, from)
	if !ok {
		return
	}
	body, free, err := h.readBody(w, r, *cfg, route)
	defer free()
	switch {
	case err == nil:
	case route.Kind == site.Batch && r.Method == http.MethodPost:
		h.refuseUnread(w, r, *cfg, &submitted{w: w, job: batch.Job{ID: id, Account: account}, arrived: arrived}, err)
		return
	default:
		h.refuseBody(w, id, bodyLimit(*cfg), err)
		return
	}
	if route.Kind == site.Batch {
		r, end := h.untilStop(r)
		defer end()
		h.submit(w, r, route, account, body, arrived)
		return
	}
	callerWait, _ := h.opts.Codec.CallerWait(r.Header)
	h.opts.Forward.Serve(r.Context(), w, forward.Request{
		ID: id, Method: r.Method, Host: r.Host, Path: r.URL.RequestURI(), Header: r.Header, Body: body,
		Route: route, Arrived: arrived, Deadline: h.deadline(r, route, arrived), Waited: route.Waited(callerWait),
		LastEventID: h.opts.Codec.LastEventID(r.Header), Resumes: from.resumes, Generates: cfg.Generates, Account: account,
		Carried: from.carried, Charged: from.charged,
	}, rand.Uint64())
}

// deadline returns when the answer must be complete: the earlier of the caller's and the route's limit,
// or the caller's on a batch route if it sets one.
func (h *Handler) deadline(r *http.Request, route site.Route, arrived time.Time) time.Time {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if wait, ok := h.opts.Codec.CallerWait(r.Header); ok && (wait < limit || route.Kind == site.Batch) {
		limit = wait
	}
	return arrived.Add(limit)
}
