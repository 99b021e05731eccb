package home

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"mothcart/io/clock"
	"mothcart/io/object"
	"mothcart/io/store"
)

const (
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 400 * time.Millisecond
	// leaseTime is how long a home is sure of its lease after the start of a renewal.
	leaseTime = 1500 * time.Millisecond
	// takeoverAfter is how long a lease must have stayed unchanged before a node that can't reach the
	// home takes it: a renewal that was missed, and the time of a slow one.
	takeoverAfter = 750 * time.Millisecond
	// lookInterval is the time between two looks at the lease while the home does not seem sound.
	lookInterval = 200 * time.Millisecond
	// idleInterval is the time between two looks at the home while it is sound.
	idleInterval = 100 * time.Millisecond
	// leaseHedge is how long a write of the lease may stay unanswered before it is sent again beside the
	// first, so that several may be lost before the home is no longer sure.
	leaseHedge = 150 * time.Millisecond
	// yieldTime is how long a home that gave way because no node reached it leaves the lease to others,
	// who take it within lookInterval and the time of a slow call.
	yieldTime = 1500 * time.Millisecond
	// leaseCallTimeout bounds one call about the lease.
	leaseCallTimeout = 1500 * time.Millisecond
)

// lease is the object that the home renews.
type lease struct {
	Term int64 `json:"term"`
	// VM is the holder; empty if the last one has given the lease back.
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	// Renewal differs between all attempts at renewals of a term.
	Renewal int64 `json:"renewal"`
}

// ElectorOptions are the parts that an Elector works with; all are required.
type ElectorOptions struct {
	VMID        string
	Incarnation int64
	// Address is where nodes reach this one.
	Address string
	Objects object.Client
	// Sound reports that this node is connected to a home that can renew its lease.
	Sound func() bool
	// Isolated reports that all nodes have lost the home that runs here.
	Isolated func() bool
	// Start begins to be the home and returns what ends it, and what waits for the next home to take
	// over.
	Start func(term int64, valid func(now time.Time) bool) (stop, awaitHandover func())
	// LastTerm returns the term of the last home that this node knows of; 0 if it knows none.
	LastTerm func() int64
	// IsNext reports that this node is the one to stand in for the last home.
	IsNext func(ctx context.Context) bool
	// StandIn begins to grant slots in the name of the home of a term and returns what ends it.
	StandIn func(term int64) (stop func())
	Now     func() time.Time
	Log     zerolog.Logger
}

// Elector makes its node the home while it holds the lease.
type Elector struct {
	opts   ElectorOptions
	cancel context.CancelFunc
	done   sync.WaitGroup

	// seen is the lease as it was read last, and since when it is unchanged.
	seen      object.Object
	seenSince time.Time
	// sureUntil is until when the lease is surely held; sureFrom is since when no earlier home can be
	// sure of its own. Both are in nanoseconds of the Unix epoch.
	sureUntil atomic.Int64
	sureFrom  atomic.Int64
	// renewals counts the attempts at renewals, so that each one changes the object.
	renewals atomic.Int64
	// unreached reports that the lease could not be read last.
	unreached bool
	// yieldUntil is until when the lease is left to others.
	yieldUntil time.Time
	// retired reports that the node must not be the home any more.
	retired atomic.Bool
}

// NewElector starts to seek the lease.
func NewElector(opts ElectorOptions) *Elector {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Elector{opts: opts, cancel: cancel}
	e.done.Go(func() { e.run(ctx) })
	return e
}

// Retire gives the lease back, if this node holds it, and never seeks it again.
func (e *Elector) Retire() { e.retired.Store(true) }

// Close gives the lease back, if this node holds it, and ends the elector.
func (e *Elector) Close() {
	e.cancel()
	e.done.Wait()
}

func (e *Elector) run(ctx context.Context) {
	for ctx.Err() == nil {
		if e.retired.Load() || e.opts.Sound() || e.opts.Now().Before(e.yieldUntil) {
			e.seenSince = time.Time{}
			_ = clock.Sleep(ctx, idleInterval) // ends early only with the context
			continue
		}
		if term, ok := e.seek(ctx); ok {
			e.hold(ctx, term)
			continue
		}
		if last := e.opts.LastTerm(); e.unreached && last > 0 && e.opts.IsNext(ctx) {
			e.standIn(ctx, last)
			continue
		}
		_ = clock.Sleep(ctx, lookInterval) // ends early only with the context
	}
}

// standIn grants slots in the name of the last home while the object service is away. It ends as soon as
// the lease can be read or a later home is known.
func (e *Elector) standIn(ctx context.Context, term int64) {
	e.opts.Log.Warn().Int64("term", term).Msg("standInStarted")
	stop := e.opts.StandIn(term)
	defer stop()
	for {
		_ = clock.Sleep(ctx, lookInterval) // ends early only with the context
		if ctx.Err() != nil || e.retired.Load() || e.opts.LastTerm() != term {
			return
		}
		readable, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		_, err := e.opts.Objects.Get(readable, KindLease, mainName)
		cancel()
		if err == nil || errors.Is(err, store.ErrNotFound) {
			e.opts.Log.Info().Int64("term", term).Msg("standInEnded")
			return
		}
	}
}

// seek looks at the lease and takes it if nobody holds it any more.
func (e *Elector) seek(ctx context.Context) (int64, bool) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	began := e.opts.Now()
	o, err := e.opts.Objects.Get(ctx, KindLease, mainName)
	e.unreached = err != nil && !errors.Is(err, store.ErrNotFound)
	if errors.Is(err, store.ErrNotFound) {
		return e.take(ctx, began, lease{}, 0, began)
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
		e.seen, e.seenSince = o, began
	}
	free := l.VM == "" || (l.VM == e.opts.VMID && l.Incarnation != e.opts.Incarnation)
	if !free && e.opts.Now().Sub(e.seenSince) < takeoverAfter {
		return 0, false
	}
	sureFrom := e.seenSince.Add(leaseTime)
	if free {
		sureFrom = began // the last holder has given the lease back or is an earlier process of this VM
	}
	return e.take(ctx, began, l, o.Revision, sureFrom)
}

// take writes a lease of the next term over the one that was read, whose holder can't be sure of it any
// more from sureFrom on.
func (e *Elector) take(ctx context.Context, began time.Time, old lease, revision object.Revision, sureFrom time.Time) (int64, bool) {
	next := lease{Term: old.Term + 1, VM: e.opts.VMID, Incarnation: e.opts.Incarnation}
	o, err := object.Hedged(ctx, leaseHedge, func(ctx context.Context) (object.Object, error) {
		if revision == 0 {
			return e.opts.Objects.Create(ctx, KindLease, mainName, next)
		}
		return e.opts.Objects.Put(ctx, KindLease, mainName, next, revision)
	})
	if errors.Is(err, store.ErrConflict) && e.ownLease(o, next) {
		err = nil // taken by an attempt whose answer was lost
	}
	if err != nil {
		e.opts.Log.Info().Int64("term", next.Term).Str("holder", old.VM).Err(err).Msg("leaseNotTaken")
		return 0, false
	}
	now := e.opts.Now()
	e.seen = o
	e.sureUntil.Store(began.Add(leaseTime).UnixNano())
	e.sureFrom.Store(sureFrom.UnixNano())
	e.opts.Log.Info().Int64("term", next.Term).Str("before", old.VM).Int64("revision", int64(o.Revision)).
		Dur("sureInMillis", sureFrom.Sub(now)).Msg("leaseTaken")
	return next.Term, true
}

// valid reports that this node surely holds the lease and no earlier holder can be sure of it.
func (e *Elector) valid(now time.Time) bool {
	n := now.UnixNano()
	return n >= e.sureFrom.Load() && n < e.sureUntil.Load()
}

// hold is the home until the lease is lost or the context ends.
func (e *Elector) hold(ctx context.Context, term int64) {
	stop, awaitHandover := e.opts.Start(term, e.valid)
	defer stop()
	announced := false
	l := lease{Term: term, VM: e.opts.VMID, Incarnation: e.opts.Incarnation}
	began := e.opts.Now()
	for {
		if !announced {
			announced = e.announce(ctx, term)
		}
		_ = clock.Sleep(ctx, renewInterval-e.opts.Now().Sub(began)) // ends early only with the context
		began = e.opts.Now()
		if ctx.Err() != nil || e.retired.Load() {
			if e.giveBack(l) {
				awaitHandover()
			}
			return
		}
		if e.opts.Isolated() {
			e.opts.Log.Warn().Int64("term", term).Msg("homeIsolated")
			if e.valid(e.opts.Now()) { // without a valid lease another node has it by now, or soon
				e.giveBack(l)
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

// renewal is the lease as one attempt wrote it, or found it.
type renewal struct {
	lease object.Object
	began time.Time
}

// renew writes the lease anew. It reports false if another node has it; without an answer the lease
// may still be held.
func (e *Elector) renew(ctx context.Context, l lease) bool {
	// A renewal that has begun is awaited, so that the lease can be given back at its revision.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseCallTimeout)
	defer cancel()
	for {
		revision := e.seen.Revision
		r, err := object.Hedged(ctx, leaseHedge, func(ctx context.Context) (renewal, error) {
			next := l
			next.Renewal = e.renewals.Add(1)
			began := e.opts.Now()
			o, err := e.opts.Objects.Put(ctx, KindLease, mainName, next, revision)
			return renewal{lease: o, began: began}, err
		})
		switch {
		case err == nil:
			e.seen = r.lease
			e.sureUntil.Store(r.began.Add(leaseTime).UnixNano())
			return true
		case errors.Is(err, store.ErrNotFound):
			return false
		case !errors.Is(err, store.ErrConflict):
			e.opts.Log.Warn().Int64("term", l.Term).Int64("revision", int64(revision)).Err(err).Msg("leaseNotRenewed")
			return true
		case !e.ownLease(r.lease, l):
			return false
		}
		e.seen = r.lease // an own renewal whose answer was lost
	}
}

// ownLease reports that an object is the lease of this node's present term.
func (e *Elector) ownLease(o object.Object, l lease) bool {
	var found lease
	if err := json.Unmarshal(o.Spec, &found); err != nil {
		e.opts.Log.Error().Int64("revision", int64(o.Revision)).Err(err).Msg("leaseUnreadable")
		return false
	}
	return found.Term == l.Term && found.VM == e.opts.VMID && found.Incarnation == l.Incarnation
}

// giveBack frees the lease, so that another node can take it at once. It reports that it did.
func (e *Elector) giveBack(l lease) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCallTimeout)
	defer cancel()
	e.sureUntil.Store(0)
	l.VM = ""
	o, err := e.opts.Objects.Put(ctx, KindLease, mainName, l, e.seen.Revision)
	if errors.Is(err, store.ErrConflict) && e.ownLease(o, l) {
		// The answer of the last renewal was lost.
		_, err = e.opts.Objects.Put(ctx, KindLease, mainName, l, o.Revision)
	}
	e.opts.Log.Info().Int64("term", l.Term).AnErr("error", err).Msg("leaseGivenBack")
	return err == nil
}

// announce names this node as the home, unless a later one is named.
func (e *Elector) announce(ctx context.Context, term int64) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	a := Announcement{Term: term, VM: e.opts.VMID, Address: e.opts.Address}
	err := e.writeAnnouncement(ctx, a)
	if err != nil {
		e.opts.Log.Warn().Int64("term", term).Err(err).Msg("homeNotAnnounced")
		return false
	}
	return true
}

func (e *Elector) writeAnnouncement(ctx context.Context, a Announcement) error {
	o, err := e.opts.Objects.Create(ctx, KindHomes, mainName, a)
	if err == nil {
		return nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return merry.Errorf("create announcement: %w", err)
	}
	old, err := decodeAnnouncement(o)
	if err == nil && old.Term >= a.Term {
		return nil
	}
	if _, err := e.opts.Objects.Put(ctx, KindHomes, mainName, a, o.Revision); err != nil {
		return merry.Errorf("replace announcement of term %d: %w", old.Term, err)
	}
	return nil
}

func decodeAnnouncement(o object.Object) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(o.Spec, &a); err != nil {
		return a, merry.Errorf("decode announcement at revision %d: %w", o.Revision, err)
	}
	return a, nil
}

// ApplyAnnouncements passes changes of KindHomes on to a client.
func ApplyAnnouncements(c *Client, change object.Change, log zerolog.Logger) {
	for _, e := range change.Events {
		if !e.Deleted {
			change.Objects = append(change.Objects, e.Object)
		}
	}
	for _, o := range change.Objects {
		a, err := decodeAnnouncement(o)
		if err != nil {
			log.Error().Err(err).Msg("announcementSkipped")
			continue
		}
		c.Announce(a)
	}
}
