// Package job runs batch jobs over the object service and the other VMs.
//
// Any VM accepts a job, and acceptance is durable before Submit returns. The job's home keeps the
// table of its chunks and offers them; the broker of each model knows which jobs have open chunks.
// Both are soft roles, assigned by rendezvous hashing. A VM that asks for work with Take claims
// chunks by conditional updates and keeps their items ready, so that Take never blocks. Two VMs that
// both consider themselves to have a role cause additional calls but never two outcomes of an item:
// the conditional update of a chunk's record is the fence.
//
// Usage:
//
//	j, err := job.New(job.NewOptions(self, client).WithMembers(ids).WithPeers(peers))
//	status, err := j.Submit(ctx, job.Spec{Team: "rota", Key: "lot-7", Model: "m", Items: items})
//	for _, item := range j.Take("m", 16) {
//		if !j.Start(item) {
//			continue // must not be sent any more; needs no Return
//		}
//		answer, err := send(item.Context(), item.Endpoint, item.Body)
//		j.Done(item, job.Result{Status: answer.Status, Body: answer.Body})
//	}
//	j.Close()
package job

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"mothcart/core/job"
	"mothcart/core/outcome"
	"mothcart/io/store"
)

// Errors of the calls on jobs. Each except ErrOutcomeUnknown means that the call changed nothing.
var (
	// ErrNotFound means that the team has no such job.
	ErrNotFound = merry.Sentinel("job not found")
	// ErrKeyReused means that the client key was used for a job with other content.
	ErrKeyReused = merry.Sentinel("key was used for another job")
	// ErrInvalid means that the job can't be accepted as it is.
	ErrInvalid = merry.Sentinel("invalid job")
	// ErrUnavailable means that the object service could not be reached.
	ErrUnavailable = merry.Sentinel("jobs are unavailable")
	// ErrOutcomeUnknown means that the answer of the write that decides the call was lost, so that the call
	// may have had effect. Repeating a submission or cancellation shows the outcome.
	ErrOutcomeUnknown = merry.Sentinel("outcome of the call is unknown, repeat it")
)

// calls are the errors that tell the outcome of a call on jobs.
var calls = outcome.Sentinels{
	Unknown: ErrOutcomeUnknown,
	NotDone: []error{ErrNotFound, ErrKeyReused, ErrInvalid, ErrUnavailable, ErrTooLarge, job.ErrTerminal, job.ErrNotAccepted},
}

// OutcomeOf returns what is known about a call on jobs by its error.
func OutcomeOf(err error) outcome.Outcome { return calls.Of(err) }

// afterAttempts returns the error of a call, whose last attempt failed with err, by the outcome of the attempts before it.
func afterAttempts(before outcome.Outcome, err error) error {
	if err == nil || before != outcome.Unknown || errors.Is(err, job.ErrTerminal) { // a job that was cancelled doesn't end otherwise
		return err
	}
	return calls.Lost(err)
}

// writerCount is the number of goroutines that write the records of held chunks.
const writerCount = 4

// writeQueueSize bounds the chunks that wait for a writer goroutine. If the queue is full, a chunk is
// queued at a later tick.
const writeQueueSize = 256

// Jobs runs the batch jobs of one VM. Its methods are safe for concurrent use.
type Jobs struct {
	opts   Options
	store  store.Client
	codec  *codec
	bus    *bus
	writer string
	done   chan struct{}
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	writes chan *heldChunk

	mu          sync.Mutex
	heldChunks  heldSet
	demands     map[string]*demand
	heads       headCache
	homes       homeSet
	broker      brokerState
	unconfirmed []unconfirmedClaim
	blocks      blockCache
	// cancelled holds the jobs of whose cancellation this VM was told lately, with the time.
	cancelled map[string]time.Time
	// unacknowledged holds the accepted jobs whose home has not answered the announcement yet.
	unacknowledged map[string]bool
	// pendingBytes is the size of all answers that are not yet written to the store.
	pendingBytes int
	closed       bool
}

// New starts the jobs of one VM. Close ends its goroutines.
func New(opts Options) (*Jobs, error) {
	c, err := newCodec()
	if err != nil {
		return nil, merry.Errorf("start jobs: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &Jobs{
		opts:           opts,
		store:          limitedStore(opts),
		codec:          c,
		writer:         opts.Self + "#" + uuid.NewString(),
		done:           make(chan struct{}),
		ctx:            ctx,
		cancel:         cancel,
		wake:           make(chan struct{}, 1),
		writes:         make(chan *heldChunk, writeQueueSize),
		heldChunks:     newHeldSet(),
		demands:        map[string]*demand{},
		heads:          newHeadCache(),
		homes:          newHomeSet(),
		broker:         brokerState{},
		unacknowledged: map[string]bool{},
		cancelled:      map[string]time.Time{},
	}
	j.bus = newBus(opts)
	j.registerHandlers()
	loop := func(run func()) {
		j.wg.Add(1)
		go func() {
			defer j.wg.Done()
			run()
		}()
	}
	loop(func() { j.every(opts.Tick, j.tickHeldChunks) })
	loop(func() { j.every(opts.Tick, j.tickHome) })
	loop(j.fillLoop)
	for range writerCount {
		loop(j.writeLoop)
	}
	return j, nil
}

// Close releases the held chunks, so that other VMs can claim them at once, and ends all goroutines.
// Results that can't be written to the store then are lost with the process: their items run again,
// or end as unknown if they are not idempotent.
func (j *Jobs) Close() {
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		return
	}
	j.closed = true
	j.mu.Unlock()
	close(j.done)
	j.cancel()
	j.wg.Wait()
	j.releaseAll()
	j.codec.close()
}

// every runs f once a period, first after one period, until Close.
func (j *Jobs) every(period time.Duration, f func(ctx context.Context)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-j.done:
			return
		case <-t.C:
			f(j.ctx)
		}
	}
}

// storeError turns an error of the store into one of this package.
func storeError(err error) error {
	switch store.OutcomeOf(err) {
	case outcome.Done:
		return nil
	case outcome.NotDone:
		switch {
		case errors.Is(err, store.ErrNotFound):
			return merry.Errorf("%w: %w", ErrNotFound, err)
		case store.Changed(err):
			return err
		default:
			return merry.Errorf("%w: %w", ErrUnavailable, err)
		}
	default:
		if errors.Is(err, store.ErrUnknown) {
			return calls.Lost(err)
		}
		return err // not one of the store
	}
}

// readHead reads the head of a job.
func (j *Jobs) readHead(ctx context.Context, id string) (job.Head, store.Version, error) {
	o, err := j.store.Get(ctx, headKey(id))
	if err != nil {
		return job.Head{}, 0, merry.Errorf("read job %s: %w", id, err)
	}
	var h job.Head
	if err := decode(o.Value, &h); err != nil {
		return h, 0, merry.Errorf("read job %s: %w", id, err)
	}
	return h, o.Version, nil
}

// writeHead writes the head of a job if its version is expect.
func (j *Jobs) writeHead(ctx context.Context, h job.Head, expect store.Version) (store.Version, error) {
	h = h.WithWriter(j.writer + "/" + uuid.NewString())
	raw, err := encode(h)
	if err != nil {
		return 0, err
	}
	v, err := store.PutConfirmed(ctx, j.store, headKey(h.ID), raw, expect)
	if err != nil {
		return 0, merry.Errorf("write job %s: %w", h.ID, err)
	}
	return v, nil
}

// headCache holds the heads that this VM works with; their mutable parts may be stale.
type headCache struct{ byID map[string]job.Head }

// headCacheSize bounds the cached heads.
const headCacheSize = 256

func newHeadCache() headCache { return headCache{byID: map[string]job.Head{}} }

func (c headCache) put(h job.Head) {
	for id := range c.byID {
		if len(c.byID) < headCacheSize {
			break
		}
		delete(c.byID, id)
	}
	c.byID[h.ID] = h
}
