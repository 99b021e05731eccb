package ledger

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	core "mothcart/core/ledger"
	"mothcart/core/member"
	"mothcart/io/store"
)

// Options are the settings of a Ledger.
type Options struct {
	// Self is the ID of this VM.
	Self string
	// View returns the live entry VMs; shards are assigned to those that aren't leaving.
	View func() member.View
	// Members returns the IDs of the live entry VMs, this one included. It is used if View is nil.
	Members func() []string
	// Store is the object service.
	Store store.Client
	// Call sends a call to the ledger of another VM, whose Serve answers it. It fails with
	// ErrUnreachable when nothing was sent. If it is nil, this VM is home of every shard.
	Call func(ctx context.Context, to string, c Call) (Reply, error)
	// Execute sends a request to its upstream. It wraps ErrDidNotRun when the request definitely
	// did not run; any other error means that it may have run.
	Execute func(ctx context.Context, req Request) (Answer, error)
	// Shards is the number of shards; all VMs must have the same.
	Shards int
	// Limits bound one shard.
	Limits core.Limits
	// WritesPerSecond is the sustained rate of writes of one shard, and WriteBurst the number of
	// writes that may follow one another without a pause.
	WritesPerSecond float64
	WriteBurst      int
	// IntentWait bounds the wait for an intent to become durable.
	IntentWait time.Duration
	// ResultWait bounds the wait for a result that is not yet written to become durable.
	ResultWait time.Duration
	// MaxHeldBytes is the total size, in bytes, of the large answers being written above which new
	// requests are refused.
	MaxHeldBytes int64
	// DefaultTimeout is the timeout of requests without a deadline.
	DefaultTimeout time.Duration
	Metrics        metrics.Registry
	Log            zerolog.Logger
}

// NewOptions returns the default settings without the injected dependencies.
func NewOptions() Options {
	return Options{
		Shards:          64,
		Limits:          core.NewLimits(),
		WritesPerSecond: 2,
		WriteBurst:      4,
		IntentWait:      2 * time.Second,
		ResultWait:      2 * time.Second,
		MaxHeldBytes:    32 << 20,
		DefaultTimeout:  time.Minute,
		Metrics:         metrics.NewRegistry(),
		Log:             zerolog.Nop(),
	}
}
