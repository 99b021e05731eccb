package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/config"
	"mothcart/io/service"
	"mothcart/io/upstream"
)

// Options are the handler's settings and dependencies. Values are immutable.
type Options struct {
	Router   *upstream.Router
	Services *service.Client
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Allow applies an account's rate limit; when it refuses a request it returns the time to wait before a
	// retry.
	Allow func(ctx context.Context, a config.Account) (time.Duration, bool)
	// Durable runs a request once through the ledger and returns the recorded answer; nil means that the VM has
	// no ledger.
	Durable func(ctx context.Context, d DurableRequest) (DurableAnswer, error)
	// Accept stores a request in the ledger and returns its ID without waiting for it to run.
	Accept func(ctx context.Context, d DurableRequest) (id string, err error)
	// Lookup returns the state of an accepted request.
	Lookup func(ctx context.Context, team, id string) (DurableState, error)
	// Batches serves /v1/files and /v1/batches; nil means none.
	Batches  http.Handler
	Log      zerolog.Logger
	Registry metrics.Registry
	// MaxBodyBytes bounds a request's body, and the recorded answer of a plain service.
	MaxBodyBytes int64
	// MaxInFlight bounds the requests in progress on this VM.
	MaxInFlight int
	// BodyTimeout bounds the reading of a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the write of each event of a stream, so that a caller that stops reading is dropped.
	WriteTimeout time.Duration
}

// NewOptions returns options without account limits, ledger or batches.
func NewOptions(router *upstream.Router) Options {
	empty := config.NewSnapshot(0, config.Set{})
	return Options{
		Router:       router,
		Services:     service.New(service.NewOptions()),
		Snapshot:     func() *config.Snapshot { return empty },
		Allow:        func(context.Context, config.Account) (time.Duration, bool) { return 0, true },
		Log:          zerolog.Nop(),
		Registry:     metrics.NewRegistry(),
		MaxBodyBytes: 4 << 20,
		MaxInFlight:  20000,
		BodyTimeout:  30 * time.Second,
		WriteTimeout: 30 * time.Second,
	}
}

// WithSnapshot returns a copy with the source of the configuration set.
func (o Options) WithSnapshot(f func() *config.Snapshot) Options {
	o.Snapshot = f
	return o
}

// WithAllow returns a copy with the rate limit of accounts set.
func (o Options) WithAllow(f func(ctx context.Context, a config.Account) (time.Duration, bool)) Options {
	o.Allow = f
	return o
}

// WithLedger returns a copy with the functions that give access to the ledger set.
func (o Options) WithLedger(
	durable func(ctx context.Context, d DurableRequest) (DurableAnswer, error),
	accept func(ctx context.Context, d DurableRequest) (string, error),
	lookup func(ctx context.Context, team, id string) (DurableState, error),
) Options {
	o.Durable = durable
	o.Accept = accept
	o.Lookup = lookup
	return o
}

// WithLog returns a copy with the log set.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.Log = log
	return o
}

// WithRegistry returns a copy with the registry of metrics set.
func (o Options) WithRegistry(r metrics.Registry) Options {
	o.Registry = r
	return o
}

// WithBatches returns a copy with the handler of /v1/files and /v1/batches set.
func (o Options) WithBatches(h http.Handler) Options {
	o.Batches = h
	return o
}

// WithLimits returns a copy with the bounds on bodies and requests in progress set.
func (o Options) WithLimits(maxBodyBytes int64, maxInFlight int, bodyTimeout time.Duration) Options {
	o.MaxBodyBytes = maxBodyBytes
	o.MaxInFlight = maxInFlight
	o.BodyTimeout = bodyTimeout
	return o
}
