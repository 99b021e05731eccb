// Package published publishes the configuration, and keeps each VM's copy of it up to date.
//
// A Follower accepts only higher revisions of the root, so that a stale read, a late push or a VM that
// rejoins with an old revision never reverts it. A few VMs, chosen by rendezvous hashing, watch the root
// in the object service; the others learn of changes from peers. Each VM announces its revision to a
// random peer at intervals, and pushes a new revision to several peers at once.
//
// Apply publishes a set by one conditional update of the root, which holds its audit entry. If the
// answer of the update is lost, its outcome is found by looking for that entry in the trail.
//
// Usage:
//
//	f := published.New(published.Options{Self: "e1", Store: client, Peers: peers})
//	defer f.Close()
//	snapshot := f.Current()
//	result, err := f.Apply(ctx, time.Now(), "abebe", set, nil)
package published

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mothcart/core/config"
	"mothcart/core/publication"
)

// historyLength is the number of recent roots whose sets are retained for rebasing.
const historyLength = 8

// Follower holds the newest published configuration. Its methods are safe for concurrent use.
type Follower struct {
	opts  Options
	log   zerolog.Logger
	start time.Time
	// ctx ends when the background work must stop.
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// hints holds the latest announcement of a higher revision by a peer.
	hints chan hint
	save  chan struct{}

	random *random
	role   role
	// loading is held during a fetch of blocks: one at a time runs.
	loading ctxMutex
	publisher

	mu          sync.Mutex
	root        publication.Root
	rootData    []byte
	snapshot    *config.Snapshot
	blocks      map[publication.Digest]*block
	history     []publication.Root
	changed     chan struct{}
	confirmedAt time.Time
}

// hint records that a peer has announced a revision.
type hint struct {
	from     string
	revision uint64
}

// block is a block of the current set or a recent one.
type block struct {
	// data is the compressed block, as it is sent to peers.
	data     []byte
	objects  config.Set
	accounts []config.Account
}

// New returns a Follower that starts with the set in the data folder, or else the empty set. It fetches newer
// sets in the background until Close.
func New(opts Options) *Follower {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		opts:      opts,
		log:       opts.Log,
		start:     time.Now(),
		ctx:       ctx,
		stop:      cancel,
		hints:     make(chan hint, 1),
		random:    newRandom(opts.Seed),
		save:      make(chan struct{}, 1),
		loading:   newCtxMutex(),
		publisher: publisher{writer: opts.Self + "/" + opts.Incarnation, applying: newCtxMutex()},
		snapshot:  config.NewSnapshot(0, config.Set{}),
		blocks:    map[publication.Digest]*block{},
		changed:   make(chan struct{}),
	}
	f.loadCache()
	if opts.Peers.Serve != nil {
		opts.Peers.Serve(f.handlers())
	}
	f.run(f.watchLoop)
	f.run(f.fetchLoop)
	f.run(f.gossipLoop)
	f.run(f.saveLoop)
	return f
}

// run starts background work, unless the Follower is closed.
func (f *Follower) run(work func(context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() == nil {
		f.wg.Go(func() { work(f.ctx) })
	}
}

// Close ends the background work. It waits until the copy in the data folder is written.
func (f *Follower) Close() {
	f.mu.Lock()
	f.stop()
	f.mu.Unlock()
	f.wg.Wait()
}

// Current returns the newest published set that this VM has. It is never nil; generation 0 is
// the empty set.
func (f *Follower) Current() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// Changed returns a channel that is closed at the next change of Current.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// NeverConfirmed is what Confirmed returns until the platform or a peer has answered.
const NeverConfirmed time.Duration = math.MaxInt64

// Confirmed returns the time since the generation was last confirmed with the platform or a peer.
// For a set from the data folder it is the time since the start.
func (f *Follower) Confirmed(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return NeverConfirmed
	}
	return max(0, now.Sub(f.confirmedAt))
}

// confirm records that the platform or a peer was reached and had nothing newer.
func (f *Follower) confirm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = time.Now()
}

// confirmByPeer records that a peer was reached and had nothing newer. If this VM has no set, the peer has
// none either, which confirms nothing.
func (f *Follower) confirmByPeer() {
	if f.announcement().Revision > 0 {
		f.confirm()
	}
}

func (f *Follower) announcement() Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Announcement{Generation: f.root.Generation, Revision: f.root.Revision}
}

// install puts a root and its set in force if the revision is higher, and reports whether it did. The
// snapshot is nil when the generation is already in force.
func (f *Follower) install(root publication.Root, data []byte, snapshot *config.Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if root.Revision <= f.root.Revision || root.Generation < f.root.Generation {
		return false
	}
	if root.Generation > f.root.Generation && snapshot == nil {
		return false
	}
	advanced := root.Generation > f.root.Generation
	f.root, f.rootData = root, data
	f.confirmedAt = time.Now()
	if advanced {
		f.snapshot = snapshot
		f.history = append(f.history, root)
		f.history = f.history[max(0, len(f.history)-historyLength):]
		f.dropOldBlocks()
		close(f.changed)
		f.changed = make(chan struct{})
		f.log.Info().Uint64("generation", root.Generation).Msg("configurationInForce")
	}
	select {
	case f.save <- struct{}{}:
	default:
	}
	return true
}

// dropOldBlocks removes the blocks that no root of the history refers to; the caller holds mu.
func (f *Follower) dropOldBlocks() {
	referenced := map[publication.Digest]bool{}
	for _, root := range f.history {
		for _, ref := range root.Refs() {
			referenced[ref.Digest] = true
		}
	}
	for digest := range f.blocks {
		if !referenced[digest] {
			delete(f.blocks, digest)
		}
	}
}
