package published

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mothcart/core/publication"
	"mothcart/io/store"
)

// Options are the settings of a Follower. Values are immutable; New replaces the zero value of a field that
// has a default.
type Options struct {
	// Self is the ID of this VM.
	Self string
	// Incarnation distinguishes the runs of one VM; the default is random.
	Incarnation string
	// Store is the platform's object service.
	Store store.Client
	// Peers are the calls to the other VMs; the zero value means that there are none.
	Peers Peers
	// DataDir is the folder for a copy of the published set, which a restart reads; empty means no copy.
	DataDir string
	// Watchers is the number of VMs that watch the root.
	Watchers int
	// WatchWait bounds one watch at the service; WatchGrace is added before the caller abandons the
	// watch as unresponsive.
	WatchWait, WatchGrace time.Duration
	// GossipInterval is the time between two announcements to a random peer.
	GossipInterval time.Duration
	// Fanout is the number of peers that a new generation is pushed to.
	Fanout int
	// FetchJitter bounds the random delay before a set is fetched from a peer.
	FetchJitter time.Duration
	// ReadAfter is the time without confirmation after which a VM that doesn't watch reads the
	// root itself.
	ReadAfter time.Duration
	// Seed makes the random choices of peers and delays repeatable; the default is random.
	Seed uint64
	// Log receives one line for each event.
	Log zerolog.Logger
}

// Defaults of the options.
const (
	defaultWatchers       = 3
	defaultWatchWait      = 2 * time.Second
	defaultWatchGrace     = 500 * time.Millisecond
	defaultGossipInterval = time.Second
	defaultFanout         = 8
	defaultFetchJitter    = 200 * time.Millisecond
	defaultReadAfter      = 5 * time.Second
)

func (o Options) withDefaults() Options {
	o.Incarnation = orDefault(o.Incarnation, newIncarnation())
	o.Seed = orDefault(o.Seed, rand.Uint64())
	o.Watchers = orDefault(o.Watchers, defaultWatchers)
	o.WatchWait = orDefault(o.WatchWait, defaultWatchWait)
	o.WatchGrace = orDefault(o.WatchGrace, defaultWatchGrace)
	o.GossipInterval = orDefault(o.GossipInterval, defaultGossipInterval)
	o.Fanout = orDefault(o.Fanout, defaultFanout)
	o.FetchJitter = orDefault(o.FetchJitter, defaultFetchJitter)
	o.ReadAfter = orDefault(o.ReadAfter, defaultReadAfter)
	return o
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Announcement reports to a peer which root the sender has in force.
type Announcement struct {
	Generation uint64 `msgpack:"g"`
	Revision   uint64 `msgpack:"r"`
}

// Peers holds the calls to other VMs. The zero value stands for a VM without peers.
type Peers struct {
	// IDs returns the IDs of the live VMs, including this one.
	IDs func() []string
	// Announce sends an announcement, best effort.
	Announce func(to string, a Announcement) error
	// Query returns the announcement of the root that the VM has now.
	Query func(ctx context.Context, to string) (Announcement, error)
	// FetchRoot returns the VM's encoded root.
	FetchRoot func(ctx context.Context, from string) ([]byte, error)
	// FetchBlocks returns the blocks of a prefix of digests, at least of the first one; nil stands for a
	// block that the VM lacks.
	FetchBlocks func(ctx context.Context, from string, digests []publication.Digest) ([][]byte, error)
	// Serve registers the handlers of the calls above; New calls it once.
	Serve func(h Handlers)
}

// Handlers answer the calls of other VMs.
type Handlers struct {
	Announce    func(from string, a Announcement)
	Query       func() Announcement
	FetchRoot   func() []byte
	FetchBlocks func(digests []publication.Digest) [][]byte
}
