package ledger

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/io/clock"
)

const (
	// handoffTries bounds the calls that send one result to the shard's present home.
	handoffTries = 60
	// handoffTimeout bounds one of these calls.
	handoffTimeout = 10 * time.Second
)

// startHandoff sends the result to the shard's present home in the background; the caller holds mu.
func (s *shard) startHandoff(r core.Record, result core.Result) {
	s.l.wg.Go(func() {
		e := s.handoff(s.l.ctx, r, result)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(s.state.HandoffAcknowledged(r.ID), []core.Effect{e})
	})
}

// handoff sends the result to the shard's present home until that answers, at most handoffTries times. It
// returns the effect to publish to the waiters at this VM.
func (s *shard) handoff(ctx context.Context, r core.Record, result core.Result) core.Effect {
	wait := minBackoff
	for range handoffTries {
		if e, ok := s.tryHandoff(ctx, r, result); ok {
			s.l.counts.handoffs.Inc(1)
			return e
		}
		if clock.Sleep(ctx, wait) != nil {
			break
		}
		wait = min(2*wait, maxBackoff)
	}
	return core.Effect{Kind: core.Uncertain, Record: r}
}

func (s *shard) tryHandoff(ctx context.Context, r core.Record, result core.Result) (core.Effect, bool) {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	c := Call{Op: opHandoff, ID: r.ID, Team: r.Team, Result: result}
	owner := s.l.owner(s.number)
	var rep Reply
	if owner == s.l.opts.Self {
		rep = s.l.Serve(ctx, c)
	} else {
		var err error
		if rep, err = s.l.opts.Call(ctx, owner, c); err != nil {
			return core.Effect{}, false
		}
	}
	switch rep.Code {
	case codeOK:
		r.State, r.Answer = rep.Outcome.State, rep.Outcome.Answer
		return core.Effect{Kind: core.Recorded, Record: r}, true
	case codeDidNotRun:
		if result.Kind != core.DidNotRun {
			return core.Effect{Kind: core.Uncertain, Record: r}, true // the home speaks of another attempt
		}
		return core.Effect{Kind: core.NotRun, Record: r}, true
	case codeMayHaveRun:
		return core.Effect{Kind: core.Uncertain, Record: r}, true
	default:
		return core.Effect{}, false
	}
}

// recordResult records the result of a previous home's execution and replies with the outcome.
func (s *shard) recordResult(ctx context.Context, id core.ID, result core.Result) (Reply, error) {
	if err := s.waitLoaded(ctx); err != nil {
		return Reply{}, merry.Errorf("shard %d: %w: %w", s.number, ErrUnavailable, err)
	}
	s.mu.Lock()
	w := s.register(id)
	s.apply(s.state.Result(time.Now(), id, result))
	s.signal()
	s.mu.Unlock()
	defer s.unregister(id, w)
	for {
		select {
		case e := <-w.events:
			switch e.Kind {
			case core.Recorded:
				return s.recorded(ctx, e.Record)
			case core.NotRun:
				return Reply{}, merry.Errorf("shard %d: %w", s.number, ErrDidNotRun)
			case core.Uncertain:
				return Reply{}, merry.Errorf("shard %d: %w", s.number, ErrMayHaveRun)
			case core.Reroute:
				return Reply{}, merry.Errorf("shard %d: %w", s.number, errReroute)
			}
		case <-ctx.Done():
			return Reply{}, merry.Errorf("shard %d: %w: %w", s.number, ErrUnavailable, ctx.Err())
		}
	}
}
