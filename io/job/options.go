package job

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/config"
	"mothcart/core/job"
	"mothcart/core/rendezvous"
	"mothcart/io/store"
)

// Peers holds the calls to the other VMs. Call and Notify need not serve a VM's own ID.
type Peers struct {
	// Handle registers the handler of a method; it is called before any message arrives.
	Handle func(method string, h func(ctx context.Context, from string, body []byte) ([]byte, error))
	// Call sends a request to the VM to and waits for the answer.
	Call func(ctx context.Context, to, method string, body []byte) ([]byte, error)
	// Notify sends a message with best effort and never blocks.
	Notify func(to, method string, body []byte) error
}

// Options are the settings of the jobs of one VM. Values are immutable.
type Options struct {
	// Self is the VM's ID.
	Self string
	// Store is the platform's object service.
	Store store.Client
	// Members returns the IDs of the live VMs, Self included.
	Members func() []string
	// Owner returns the ID of the VM that has the soft role with the name key.
	Owner func(key string) string
	// Peers connects to the other VMs; its zero value is a fleet of one.
	Peers Peers
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Metrics receives the counters.
	Metrics metrics.Registry
	// Log receives one line per event.
	Log zerolog.Logger
	// Lease is the time after which an unchanged claim of a chunk counts as lapsed.
	Lease time.Duration
	// Tick is the period of the background work.
	Tick time.Duration
	// WritesPerSecond and ReadsPerSecond bound the store calls of this VM.
	WritesPerSecond, ReadsPerSecond float64
	// MaxHeldChunks bounds the chunks that this VM holds at once.
	MaxHeldChunks int
	// IdleRelease is the time after which a held chunk from which no item was taken is released.
	IdleRelease time.Duration
	// CancelGrace is the time that holders have to close their chunks of a cancelled job.
	CancelGrace time.Duration
	// SweepEvery is the period in which a home lists its open jobs and expired jobs again.
	SweepEvery time.Duration
	// UploadTimeout is the time without a write of a job's head after which its upload is abandoned.
	UploadTimeout time.Duration
}

// NewOptions returns the defaults of a fleet whose only VM is self.
func NewOptions(self string, client store.Client) Options {
	members := func() []string { return []string{self} }
	return Options{
		Self:            self,
		Store:           client,
		Members:         members,
		Owner:           ownerAmong(members),
		Snapshot:        func() *config.Snapshot { return config.NewSnapshot(0, config.Set{}) },
		Metrics:         metrics.NewRegistry(),
		Log:             zerolog.Nop(),
		Lease:           job.DefaultLease,
		Tick:            500 * time.Millisecond,
		WritesPerSecond: 25,
		ReadsPerSecond:  100,
		MaxHeldChunks:   64,
		IdleRelease:     30 * time.Second,
		CancelGrace:     2 * time.Second,
		SweepEvery:      10 * time.Minute,
		UploadTimeout:   time.Hour,
	}
}

func ownerAmong(members func() []string) func(string) string {
	return func(key string) string {
		id, _ := rendezvous.Owner(key, members())
		return id
	}
}

// WithMembers returns a copy with the live VMs set; roles are assigned by rendezvous hashing over them.
func (o Options) WithMembers(members func() []string) Options {
	o.Members = members
	o.Owner = ownerAmong(members)
	return o
}

// WithPeers returns a copy with the connection to the other VMs set.
func (o Options) WithPeers(p Peers) Options {
	o.Peers = p
	return o
}

// WithSnapshot returns a copy with the source of the configuration set.
func (o Options) WithSnapshot(snapshot func() *config.Snapshot) Options {
	o.Snapshot = snapshot
	return o
}

// WithMetrics returns a copy with the registry of counters set.
func (o Options) WithMetrics(r metrics.Registry) Options {
	o.Metrics = r
	return o
}

// WithLog returns a copy with the log set.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.Log = log
	return o
}

// WithLease returns a copy with the lease of chunks set.
func (o Options) WithLease(d time.Duration) Options {
	o.Lease = d
	return o
}

// WithStoreRates returns a copy with the bounds of store calls per second set.
func (o Options) WithStoreRates(writes, reads float64) Options {
	o.WritesPerSecond = writes
	o.ReadsPerSecond = reads
	return o
}

// WithMaxHeldChunks returns a copy with the bound of held chunks set.
func (o Options) WithMaxHeldChunks(n int) Options {
	o.MaxHeldChunks = n
	return o
}

// WithIdleRelease returns a copy with the time after which unused chunks are released set.
func (o Options) WithIdleRelease(d time.Duration) Options {
	o.IdleRelease = d
	return o
}
