package home

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mothcart/io/clock"
	"mothcart/io/object"
	"mothcart/io/store"
)

const (
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 400 * time.Millisecond
	// leaseTime is how long a home's lease is valid after the start of a renewal.
	leaseTime = 1500 * time.Millisecond
	// takeoverAfter is how long the lease must have stayed unchanged before a node that can't reach the
	// home acquires the lease: the time of one missed renewal and of a slow one.
	takeoverAfter = 750 * time.Millisecond
	// retiredTakeoverAfter is how long nobody must have held the lease before a node acquires it that was asked to retire.
	retiredTakeoverAfter = 3 * time.Second
	// leasePollInterval is the polling interval of the lease while the connection to the home is not
	// healthy. Nodes that are not preferred poll at lateLeasePollInterval, so that not all of dozens of home nodes
	// compete for the lease.
	leasePollInterval     = 200 * time.Millisecond
	lateLeasePollInterval = 800 * time.Millisecond
	// healthPollInterval is the polling interval of the health of the connection to the home while the lease
	// is not polled.
	healthPollInterval = 100 * time.Millisecond
	// leaseHedge is how long a write of the lease may stay unanswered before another attempt is sent in
	// parallel, so that several attempts may be lost before the lease expires.
	leaseHedge = 150 * time.Millisecond
	// yieldTime is how long a home that released its lease because no node reached it leaves the lease to
	// other nodes, which acquire it within leasePollInterval and the time of a slow call.
	yieldTime = 1500 * time.Millisecond
	// leaseCallTimeout bounds one call that reads or writes the lease.
	leaseCallTimeout = 1500 * time.Millisecond
)

// lease is the object that the home renews.
type lease struct {
	Term int64 `json:"term"`
	// VM is the holder; empty if the last holder has released the lease.
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// Renewal is a number that differs between all attempts at renewals of a term.
	Renewal int64 `json:"renewal"`
}

// ElectorOptions are the dependencies and settings of an Elector; all are required.
type ElectorOptions struct {
	VMID        string
	Incarnation int64
	// Address is the host:port at which other nodes reach this one.
	Address string
	Objects object.Client
	// Healthy reports that this node has a healthy connection to a home that can renew its lease.
	Healthy func() bool
	// Isolated reports that all nodes have lost their connection to the home that runs here.
	Isolated func() bool
	// IsPreferred reports that this node is to be the next home rather than others.
	IsPreferred func() bool
	// Start starts the home. It returns a function that stops the home, and one that waits until the next
	// home has taken over.
	Start func(term int64, valid func(now time.Time) bool) (stop, awaitHandover func())
	// LastTerm returns the term of the home that was announced last; 0 if none was.
	LastTerm func() int64
	// IsFallback reports that this node is the one that is to act as fallback home in place of the last home.
	IsFallback func(ctx context.Context) bool
	// StartFallback starts a fallback home, which grants slots in the given term. It returns a function that
	// stops the fallback home.
	StartFallback func(term int64) (stop func())
	Now           func() time.Time
	Log           zerolog.Logger
}

// Elector makes its node the home while it holds the lease.
type Elector struct {
	opts   ElectorOptions
	cancel context.CancelFunc
	done   sync.WaitGroup

	// seen is the lease as it was read or written last. seenSince is when its revision was first read; zero
	// if that has to be determined anew.
	seen      object.Object
	seenSince time.Time
	// validUntil is the end of this node's lease. validFrom is the time from which no earlier home's lease can
	// be valid. Both are in nanoseconds of the Unix epoch.
	validUntil atomic.Int64
	validFrom  atomic.Int64
	// renewals counts the attempts at renewals, so that each one changes the object.
	renewals atomic.Int64
	// unreachable reports that the last read of the lease failed.
	unreachable bool
	// yieldUntil is the time until which this node leaves the lease to other nodes.
	yieldUntil time.Time
	// stepDown asks the node to release the lease. retiring reports that it was asked to, so that others go first from
	// then on; run alone uses it.
	stepDown atomic.Bool
	retiring bool
}

// NewElector returns an elector that tries to acquire the lease.
func NewElector(opts ElectorOptions) *Elector {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Elector{opts: opts, cancel: cancel}
	e.done.Go(func() { e.run(ctx) })
	return e
}

// Retire releases the lease, if this node holds it. From then on the node acquires it only once nobody has held it for
// retiredTakeoverAfter, since without a home no item runs.
func (e *Elector) Retire() { e.stepDown.Store(true) }

// Close releases the lease, if this node holds it, and ends the elector.
func (e *Elector) Close() {
	e.cancel()
	e.done.Wait()
}

func (e *Elector) run(ctx context.Context) {
	if !e.opts.IsPreferred() {
		if term, ok := e.tryAcquire(ctx, true); ok {
			e.hold(ctx, term)
		}
		_ = clock.Sleep(ctx, lateLeasePollInterval) // ends early only with the context
	}
	for ctx.Err() == nil {
		e.retiring = e.stepDown.Swap(false) || e.retiring
		if e.opts.Healthy() || e.opts.Now().Before(e.yieldUntil) {
			e.seenSince = time.Time{}
			_ = clock.Sleep(ctx, healthPollInterval) // ends early only with the context
			continue
		}
		if term, ok := e.tryAcquire(ctx, false); ok {
			e.hold(ctx, term)
			continue
		}
		if last := e.opts.LastTerm(); e.unreachable && last > 0 && e.opts.IsFallback(ctx) {
			e.runFallback(ctx, last)
			continue
		}
		_ = clock.Sleep(ctx, e.pollInterval()) // ends early only with the context
	}
}

func (e *Elector) pollInterval() time.Duration {
	if e.opts.IsPreferred() && !e.retiring {
		return leasePollInterval
	}
	return lateLeasePollInterval
}

// runFallback acts as fallback home in the term of the last home while the object service is unreachable. It
// ends as soon as the lease can be read or a later home is announced.
func (e *Elector) runFallback(ctx context.Context, term int64) {
	e.opts.Log.Warn().Int64("term", term).Msg("standInStarted")
	stop := e.opts.StartFallback(term)
	defer stop()
	for {
		_ = clock.Sleep(ctx, leasePollInterval) // ends early only with the context
		if ctx.Err() != nil || e.stepDown.Load() || e.opts.LastTerm() != term {
			return
		}
		getCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		_, err := e.opts.Objects.Get(getCtx, KindLease, mainName)
		cancel()
		if err == nil || errors.Is(err, store.ErrNotFound) {
			e.opts.Log.Info().Int64("term", term).Msg("standInEnded")
			return
		}
	}
}

// tryAcquire reads the lease and acquires it if nobody holds it any more. With onlyOwn it does so only if an earlier
// process of this VM held it. It returns the new term and whether the lease was acquired.
func (e *Elector) tryAcquire(ctx context.Context, onlyOwn bool) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	startedAt := e.opts.Now()
	o, err := e.opts.Objects.Get(ctx, KindLease, mainName)
	e.unreachable = err != nil && !errors.Is(err, store.ErrNotFound)
	if errors.Is(err, store.ErrNotFound) && !onlyOwn {
		return e.acquire(ctx, startedAt, lease{}, 0, startedAt)
	}
	if err != nil {
		e.opts.Log.Debug().Err(err).Msg("leaseNotRead")
		return 0, false
	}
	var l lease
	if err := json.Unmarshal(o.Spec, &l); err != nil {
		e.opts.Log.Error().Int64("revision", int64(o.Revision)).Err(err).Msg("leaseUnreadable")
	}
	if o.Revision != e.seen.Revision || e.seenSince.IsZero() {
		e.seen, e.seenSince = o, startedAt
	}
	own := l.VM == e.opts.VMID && l.Incarnation != e.opts.Incarnation
	if onlyOwn && !own {
		return 0, false
	}
	free := l.VM == "" || own
	if e.retiring && e.opts.Now().Sub(e.seenSince) < retiredTakeoverAfter {
		return 0, false
	}
	if !free && e.opts.Now().Sub(e.seenSince) < takeoverAfter {
		return 0, false
	}
	validFrom := e.seenSince.Add(leaseTime)
	if free {
		validFrom = startedAt // the last holder has released the lease or is an earlier process of this VM
	}
	return e.acquire(ctx, startedAt, l, o.Revision, validFrom)
}

// acquire replaces the lease that was read by one of the next term. From validFrom on, the lease of the
// previous holder is definitely invalid.
func (e *Elector) acquire(ctx context.Context, startedAt time.Time, old lease, revision object.Revision, validFrom time.Time) (int64, bool) {
	next := lease{Term: old.Term + 1, VM: e.opts.VMID, Incarnation: e.opts.Incarnation}
	o, err := object.Hedged(ctx, leaseHedge, func(ctx context.Context) (object.Object, error) {
		if revision == 0 {
			return object.Create(ctx, e.opts.Objects, KindLease, mainName, next)
		}
		return e.opts.Objects.Put(ctx, KindLease, mainName, next, revision)
	})
	if errors.Is(err, store.ErrConflict) && e.isOwnLease(o, next) {
		err = nil // acquired by an attempt whose answer was lost
	}
	if err != nil {
		e.opts.Log.Info().Int64("term", next.Term).Str("holder", old.VM).Err(err).Msg("leaseNotTaken")
		return 0, false
	}
	now := e.opts.Now()
	e.seen = o
	e.validUntil.Store(startedAt.Add(leaseTime).UnixNano())
	e.validFrom.Store(validFrom.UnixNano())
	e.opts.Log.Info().Int64("term", next.Term).Str("before", old.VM).Int64("revision", int64(o.Revision)).
		Dur("sureInMillis", validFrom.Sub(now)).Msg("leaseTaken")
	return next.Term, true
}

// valid reports that this node definitely holds the lease and that no earlier holder's lease can be valid.
func (e *Elector) valid(now time.Time) bool {
	n := now.UnixNano()
	return n >= e.validFrom.Load() && n < e.validUntil.Load()
}

// hold runs the home and renews its lease until the lease is lost, the context ends, the node retires or all
// nodes have lost the home.
func (e *Elector) hold(ctx context.Context, term int64) {
	stop, awaitHandover := e.opts.Start(term, e.valid)
	defer stop()
	announced := false
	l := lease{Term: term, VM: e.opts.VMID, Incarnation: e.opts.Incarnation}
	startedAt := e.opts.Now()
	for {
		if !announced {
			announced = e.announce(ctx, term)
		}
		_ = clock.Sleep(ctx, renewInterval-e.opts.Now().Sub(startedAt)) // ends early only with the context
		startedAt = e.opts.Now()
		if ctx.Err() != nil || e.stepDown.Load() {
			if e.release(l) {
				awaitHandover()
			}
			return
		}
		if e.opts.Isolated() {
			e.opts.Log.Warn().Int64("term", term).Msg("homeIsolated")
			if e.valid(e.opts.Now()) { // once the lease has expired, another node holds it or soon will
				e.release(l)
			}
			e.yieldUntil = e.opts.Now().Add(yieldTime)
			return
		}
		if !e.renew(ctx, l) {
			e.opts.Log.Warn().Int64("term", term).Msg("leaseLost")
			e.seenSince = time.Time{}
			return
		}
	}
}

// renewal is the lease as one attempt at a renewal wrote it, or found it.
type renewal struct {
	lease     object.Object
	startedAt time.Time
}

// renew writes a renewal of the lease. It reports false if another node has the lease or the lease no longer
// exists. After any other error it reports true, since this node may still hold the lease.
func (e *Elector) renew(ctx context.Context, l lease) bool {
	// A renewal that has started is awaited even if ctx ends, so that the lease can be released at its
	// revision.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseCallTimeout)
	defer cancel()
	for {
		revision := e.seen.Revision
		r, err := object.Hedged(ctx, leaseHedge, func(ctx context.Context) (renewal, error) {
			next := l
			next.Renewal = e.renewals.Add(1)
			startedAt := e.opts.Now()
			o, err := e.opts.Objects.Put(ctx, KindLease, mainName, next, revision)
			return renewal{lease: o, startedAt: startedAt}, err
		})
		switch {
		case err == nil:
			e.seen = r.lease
			e.validUntil.Store(r.startedAt.Add(leaseTime).UnixNano())
			return true
		case errors.Is(err, store.ErrNotFound):
			return false
		case !errors.Is(err, store.ErrConflict):
			e.opts.Log.Warn().Int64("term", l.Term).Int64("revision", int64(revision)).Err(err).Msg("leaseNotRenewed")
			return true
		case !e.isOwnLease(r.lease, l):
			return false
		}
		e.seen = r.lease // this node's renewal whose answer was lost
	}
}

// isOwnLease reports that an object is a lease of this process in the term of l.
func (e *Elector) isOwnLease(o object.Object, l lease) bool {
	var found lease
	if err := json.Unmarshal(o.Spec, &found); err != nil {
		e.opts.Log.Error().Int64("revision", int64(o.Revision)).Err(err).Msg("leaseUnreadable")
		return false
	}
	return found.Term == l.Term && found.VM == e.opts.VMID && found.Incarnation == l.Incarnation
}

// release releases the lease, so that another node can acquire it at once. It reports whether it succeeded.
func (e *Elector) release(l lease) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCallTimeout)
	defer cancel()
	e.validUntil.Store(0)
	l.VM = ""
	o, err := e.opts.Objects.Put(ctx, KindLease, mainName, l, e.seen.Revision)
	if errors.Is(err, store.ErrConflict) && e.isOwnLease(o, l) {
		// The answer of the last renewal was lost.
		_, err = e.opts.Objects.Put(ctx, KindLease, mainName, l, o.Revision)
	}
	e.opts.Log.Info().Int64("term", l.Term).AnErr("error", err).Msg("leaseGivenBack")
	return err == nil
}
