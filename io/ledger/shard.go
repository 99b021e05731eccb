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

// shard is one shard at this VM. One goroutine reads and writes its objects.
type shard struct {
	l      *Ledger
	number int
	prefix string
	wake   chan struct{}
	pacer  *rate.Limiter

	mu      sync.Mutex
	state   core.Shard
	version store.Version
	// confirmedAt is when the head was last known to have the version.
	confirmedAt time.Time
	waiters     map[core.ID][]*waiter
	// wantLoad asks the writer goroutine to read the head; loaded is closed when it has tried.
	wantLoad bool
	loaded   chan struct{}
	loadErr  error
	// checked reports that the head has been read since the shard fell to this VM.
	checked bool
	// backoff is the pause after the last failure, and refuseUntil its end.
	backoff     time.Duration
	refuseUntil time.Time
	// filters find the sealed blocks that may hold an ID; nextFilters take their place when the
	// head being written is durable.
	filters, nextFilters []core.Filter
	// garbage are the keys of objects that no head points to any more.
	garbage, nextGarbage []string
	// sweepAt is when objects without a reference are looked for.
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

// signal makes the writer goroutine look at the state.
func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the writer goroutine. Its timer is never due at once: in Go 1.26 such a timer in a synctest
// bubble crashes the race detector.
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

// step loads the head if asked to, takes the steps that are due, writes the changes, and returns
// the time until the next step.
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
		s.settle(s.write(ctx, head, version))
	}
	return idlePause
}

// prepare returns the next head to write, or the time until the next step.
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

// settle takes in the end of a write.
func (s *shard) settle(w written) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch w.end {
	case committed:
		s.version, s.confirmedAt = w.version, time.Now()
		s.backoff = 0
		s.adoptHistory()
		s.apply(s.state.Committed(time.Now()))
	case refusedByStore:
		s.fail()
		s.apply(s.state.Failed())
	case fenced:
		s.l.counts.conflicts.Inc(1)
		s.lose(w.applied)
	}
}

// lose gives the shard up; the caller holds mu.
func (s *shard) lose(applied core.Applied) {
	s.checked = false
	s.filters, s.nextFilters, s.garbage, s.nextGarbage = nil, nil, nil, nil
	s.apply(s.state.Fenced(applied))
}

// fail notes a failed call of the object service; the caller holds mu.
func (s *shard) fail() {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.refuseUntil = time.Now().Add(s.backoff/2 + rand.N(s.backoff/2))
}

// apply stores the state and carries out the effects; the caller holds mu.
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

// follow reads the head when the shard falls to this VM and lets go of it when it is another's.
func (s *shard) follow(owned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case owned && !s.state.Held() && !s.checked:
		s.requestLoad()
	case !owned && s.state.Held() && s.state.Idle() && len(s.waiters) == 0:
		s.state = s.state.Release()
		s.filters, s.garbage = nil, nil
		s.checked = false
	case !owned && !s.state.Held():
		s.checked = false
	}
}

func (s *shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Idle()
}
