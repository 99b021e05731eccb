package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	core "mothcart/core/ledger"
	"mothcart/io/store"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call of the object service.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// shard is the state of one shard at this VM. Only its writer goroutine writes the head.
type shard struct {
	l      *Ledger
	number int
	prefix string
	wake   chan struct{}
	pacer  *rate.Limiter

	mu      sync.Mutex
	state   core.Shard
	version store.Version
	// confirmedAt is the last time at which the head was known to have the version.
	confirmedAt time.Time
	waiters     map[core.ID][]*waiter
	// wantLoad asks the writer goroutine to read the head; loaded is closed after the attempt.
	wantLoad bool
	loaded   chan struct{}
	loadErr  error
	// headRead reports that the head has been read since the shard was assigned to this VM.
	headRead bool
	// backoff is the upper bound of the pause after the last failed call of the object service, and refuseUntil
	// the end of that pause.
	backoff     time.Duration
	refuseUntil time.Time
	// filters find the sealed blocks that may hold an ID; nextFilters replace them when the head being
	// written is durable.
	filters, nextFilters []core.Filter
	// garbage are the keys of objects that the head no longer references; nextGarbage is added to them
	// when the head being written is durable.
	garbage, nextGarbage []string
	// sweepAt is the time of the next sweep for unreferenced objects.
	sweepAt time.Time
}

func newShard(l *Ledger, number int) *shard {
	return &shard{
		l:       l,
		number:  number,
		prefix:  fmt.Sprintf("ledger/%03d/", number),
		wake:    make(chan struct{}, 1),
		pacer:   rate.NewLimiter(rate.Limit(l.opts.WritesPerSecond), l.opts.WriteBurst),
		state:   core.NewShard(l.opts.Limits, l.writer),
		waiters: map[core.ID][]*waiter{},
		loaded:  make(chan struct{}),
	}
}

func (s *shard) headKey() string { return s.prefix + "head" }

// signal wakes the writer goroutine.
func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the writer goroutine. Its timer always has a positive duration: in Go 1.26 a timer that is due
// at once crashes the race detector in a synctest bubble.
func (s *shard) run(ctx context.Context) {
	t := time.AfterFunc(time.Nanosecond, s.signal)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		t.Reset(max(time.Nanosecond, s.step(ctx)))
	}
}

// idlePause is the longest time between two steps of a writer goroutine.
const idlePause = time.Minute

// step loads the head if that was requested, does the upkeep that is due, writes changes of the head,
// and returns the time until the next step.
func (s *shard) step(ctx context.Context) time.Duration {
	for ctx.Err() == nil {
		if wait := s.loadIfWanted(ctx); wait > 0 {
			return wait
		}
		if err := s.maintain(ctx); err != nil {
			s.l.opts.Log.Info().Int("shard", s.number).Err(err).Msg("ledgerUpkeepPutOff")
		}
		head, version, wait, ok := s.prepare()
		if !ok {
			return wait
		}
		s.finishWrite(s.write(ctx, head, version))
	}
	return idlePause
}

// prepare returns the next head to write, or false and the time until the next step.
func (s *shard) prepare() (core.Head, store.Version, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state, effects, next := s.state.Tick(now)
	s.apply(state, effects)
	wait := idlePause
	if !next.IsZero() {
		wait = min(wait, time.Until(next))
	}
	if len(s.garbage) > 0 {
		wait = min(wait, garbagePause)
	}
	if !s.state.Dirty() {
		return core.Head{}, 0, max(wait, time.Millisecond), false
	}
	if until := s.refuseUntil.Sub(now); until > 0 {
		return core.Head{}, 0, until, false
	}
	r := s.pacer.ReserveN(now, 1)
	if delay := r.DelayFrom(now); delay > 0 {
		r.CancelAt(now)
		return core.Head{}, 0, delay, false
	}
	state, head, ok := s.state.Commit()
	s.state = state
	return head, s.version, max(wait, time.Millisecond), ok
}

// finishWrite applies the outcome of a write of the head.
func (s *shard) finishWrite(w writeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch w.outcome {
	case committed:
		s.version, s.confirmedAt = w.version, time.Now()
		s.backoff = 0
		s.adoptHistory()
		s.apply(s.state.Committed(time.Now()))
	case refusedByStore:
		s.startBackoff()
		s.apply(s.state.Failed())
	case fenced:
		s.l.counts.conflicts.Inc(1)
		s.dropState(w.applied)
	}
}

// dropState drops the shard's state after another VM has become its home; the caller holds mu.
func (s *shard) dropState(applied core.Applied) {
	s.headRead = false
	s.filters, s.nextFilters, s.garbage, s.nextGarbage = nil, nil, nil, nil
	s.apply(s.state.Fenced(applied))
}

// startBackoff pauses after a failed call of the object service: new requests are refused and the head is
// not written until refuseUntil; the caller holds mu.
func (s *shard) startBackoff() {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.refuseUntil = time.Now().Add(s.backoff/2 + rand.N(s.backoff/2))
}

// apply stores the state and executes the effects; the caller holds mu.
func (s *shard) apply(state core.Shard, effects []core.Effect) {
	s.state = state
	for _, e := range effects {
		switch e.Kind {
		case core.Dispatch:
			s.dispatch(e.Record)
		case core.Handoff:
			s.startHandoff(e.Record, e.Result)
		case core.OutcomePending:
			if e.Record.State == core.Unknown {
				s.l.counts.unknowns.Inc(1)
			}
			s.publish(e)
		default:
			s.publish(e)
		}
	}
}

// setOwned requests a load when the shard is assigned to this VM, and releases the shard once it is idle
// when it is assigned to another VM.
func (s *shard) setOwned(owned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case owned && !s.state.Held() && !s.headRead:
		s.requestLoad()
	case !owned && s.state.Held() && s.state.Idle() && len(s.waiters) == 0:
		s.state = s.state.Release()
		s.filters, s.garbage = nil, nil
		s.headRead = false
	case !owned && !s.state.Held():
		s.headRead = false
	}
}

func (s *shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Idle()
}
