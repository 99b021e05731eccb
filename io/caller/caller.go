// Package caller serves the HTTP API for callers: OpenAI's interface for model engines, plain services under
// /services/, and the states of accepted requests.
//
// Each answer carries Mothcart-Request-Id. An error is in OpenAI's shape with a stable code, and
// Mothcart-Ran says whether the request ran: no, yes or maybe. A refusal with Mothcart-Ran: no
// never reached an upstream that ran it. A caller gets a complete answer or an explicit error: a stream
// is complete only if it ends with [DONE].
//
// Usage:
//
//	h := caller.New(caller.NewOptions(router).WithSnapshot(follower.Current))
//	server := http.NewServer(…)
//	server.HandlePrefix("/", h)
package caller

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"mothcart/core/config"
	"mothcart/core/retry"
	"mothcart/io/scrape"
)

// Headers of the API for callers.
const (
	requestIDHeader  = "Mothcart-Request-Id"
	ranHeader        = "Mothcart-Ran"
	idempotentHeader = "Mothcart-Idempotent"
	deadlineHeader   = "Mothcart-Deadline-Ms"
	keyHeader        = "Idempotency-Key"
)

// Handler serves the API for callers. It is safe for concurrent use.
type Handler struct {
	opts     Options
	mux      *http.ServeMux
	inFlight atomic.Int64

	requests   metrics.Meter
	refused    metrics.Meter
	failed     metrics.Meter
	firstToken *scrape.Histogram
	total      *scrape.Histogram
}

// New returns the handler.
func New(opts Options) *Handler {
	h := &Handler{
		opts:       opts,
		mux:        http.NewServeMux(),
		requests:   metrics.GetOrRegisterMeter("caller.requests", opts.Registry),
		refused:    metrics.GetOrRegisterMeter("caller.refused", opts.Registry),
		failed:     metrics.GetOrRegisterMeter("caller.failed", opts.Registry),
		firstToken: scrape.GetOrRegisterHistogram("caller.firstToken", opts.Registry),
		total:      scrape.GetOrRegisterHistogram("caller.total", opts.Registry),
	}
	h.mux.HandleFunc("POST /v1/chat/completions", h.authorized(h.completion))
	h.mux.HandleFunc("POST /v1/completions", h.authorized(h.completion))
	h.mux.HandleFunc("GET /v1/models", h.authorized(h.listModels))
	h.mux.HandleFunc("GET /v1/models/{model}", h.authorized(h.getModel))
	h.mux.HandleFunc("GET /v1/requests/{id}", h.authorized(h.getRequest))
	h.mux.HandleFunc("/services/{service}/{path...}", h.authorized(h.plain))
	if opts.Batches != nil {
		for _, pattern := range []string{"/v1/files", "/v1/files/", "/v1/batches", "/v1/batches/"} {
			h.mux.Handle(pattern, opts.Batches)
		}
	}
	h.mux.HandleFunc("/", h.notFound)
	return h
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// call is the context of one caller's request; account is empty until the request is authorized.
type call struct {
	id       string
	received time.Time
	snapshot *config.Snapshot
	account  config.Account
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.inFlight.Add(1) > int64(h.opts.MaxInFlight) {
		h.inFlight.Add(-1)
		h.refuse(w, h.newCall(w), problem{status: http.StatusServiceUnavailable, code: "vm_overloaded", ran: retry.RanNo, message: "this VM holds as many requests as it may", retryAfter: time.Second})
		return
	}
	defer h.inFlight.Add(-1)
	h.requests.Mark(1)
	h.mux.ServeHTTP(w, r)
}

// newCall assigns an ID to a request and sets it in the answer's header.
func (h *Handler) newCall(w http.ResponseWriter) call {
	c := call{id: uuid.NewString(), received: time.Now(), snapshot: h.opts.Snapshot()}
	w.Header().Set(requestIDHeader, c.id)
	return c
}

// authorized returns a handler that calls next if the request's API key belongs to an account and the
// account's rate limit admits the request.
func (h *Handler) authorized(next func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := h.newCall(w)
		account, ok := Authenticate(c.snapshot, r)
		if !ok {
			h.refuse(w, c, problem{status: http.StatusUnauthorized, code: "invalid_api_key", ran: retry.RanNo, message: "the API key is missing or unknown"})
			return
		}
		c.account = account
		if wait, ok := h.opts.Allow(r.Context(), account); !ok {
			h.refuse(w, c, problem{status: http.StatusTooManyRequests, code: "rate_limit_exceeded", ran: retry.RanNo, message: "the account's limit is reached", retryAfter: wait})
			return
		}
		next(w, r, c)
	}
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, h.newCall(w), problem{status: http.StatusNotFound, code: "unknown_url", ran: retry.RanNo, message: "no such path: " + r.Method + " " + r.URL.Path})
}
