package ledger

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
)

// waiterEvents is the number of events that one asker can receive without reading.
const waiterEvents = 8

// waiter is one asker of an open request.
type waiter struct {
	events chan core.Effect
}

// register adds an asker; the caller holds mu.
func (s *shard) register(id core.ID) *waiter {
	w := &waiter{events: make(chan core.Effect, waiterEvents)}
	s.waiters[id] = append(s.waiters[id], w)
	return w
}

func (s *shard) unregister(id core.ID, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.waiters[id][:0:0]
	for _, other := range s.waiters[id] {
		if other != w {
			left = append(left, other)
		}
	}
	if len(left) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = left
}

// publish gives the effect to the askers of its request; the caller holds mu.
func (s *shard) publish(e core.Effect) {
	for _, w := range s.waiters[e.Record.ID] {
		select {
		case w.events <- e:
		default:
		}
	}
}

// ask submits the request and waits for its acceptance or outcome.
func (s *shard) ask(ctx context.Context, q core.Request, accept bool) (Reply, error) {
	var searched []string
	for {
		if err := s.hold(ctx); err != nil {
			return s.refuse(err)
		}
		if err := s.movePayload(ctx, &q); err != nil {
			return s.refuse(err)
		}
		v, w := s.submit(q, searched)
		switch v.Kind {
		case core.Wait:
			defer s.unregister(q.ID, w)
			return s.await(ctx, w, v, accept)
		case core.WasRecorded:
			return s.recorded(ctx, v.Record)
		case core.Mismatch:
			return Reply{}, merry.Errorf("shard %d: %w", s.number, ErrBodyMismatch)
		case core.Full:
			return s.refuse(merry.New("full, or the object service is out"))
		case core.Search:
			found, done, err := s.search(ctx, q.ID, v.Blocks)
			if err != nil {
				return s.refuse(err)
			}
			if found == nil {
				searched = append(searched, done...)
				continue
			}
			if core.Matches(*found, q).Kind == core.Mismatch {
				return Reply{}, merry.Errorf("shard %d: %w", s.number, ErrBodyMismatch)
			}
			return s.recorded(ctx, *found)
		}
	}
}

// refuse answers that the request did not run.
func (s *shard) refuse(cause error) (Reply, error) {
	s.l.counts.refused.Inc(1)
	return Reply{}, merry.Errorf("shard %d: %w: %w", s.number, ErrDidNotRun, cause)
}

// submit hands the request to the state; the waiter is set when the verdict is Wait.
func (s *shard) submit(q core.Request, searched []string) (core.Verdict, *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	state, v := s.state.Submit(now, q, s.candidates(q.ID), searched)
	if v.Fresh && (now.Before(s.refuseUntil) || s.l.heldBytes.Load() > s.l.opts.MaxHeldBytes) {
		return core.Verdict{Kind: core.Full}, nil
	}
	s.state = state
	if v.Kind != core.Wait {
		return v, nil
	}
	s.signal()
	return v, s.register(q.ID)
}

// await follows an open request to its acceptance or outcome.
func (s *shard) await(ctx context.Context, w *waiter, v core.Verdict, accept bool) (Reply, error) {
	if accept && v.Durable != core.None {
		return reply(v.Record, false), nil
	}
	a := &waiting{s: s, w: w, record: v.Record, durable: v.Durable != core.None, inHand: v.Pending}
	a.timer = time.NewTimer(a.bound())
	defer a.timer.Stop()
	for {
		select {
		case e := <-w.events:
			r, done, err := a.take(ctx, e, accept)
			if done {
				return r, err
			}
		case <-a.timer.C:
			return a.tooLate(merry.New("not durable in time"))
		case <-ctx.Done():
			return a.tooLate(ctx.Err())
		case <-s.l.ctx.Done():
			return a.tooLate(s.l.ctx.Err())
		}
	}
}

// waiting is the progress of one asker.
type waiting struct {
	s               *shard
	w               *waiter
	record          core.Record
	durable, inHand bool
	timer           *time.Timer
}

// openPause stands for no bound: the request's own timeout ends the wait.
const openPause = 24 * time.Hour

// bound returns how long the asker waits for the next event.
func (a *waiting) bound() time.Duration {
	switch {
	case a.inHand:
		return a.s.l.opts.ResultWait
	case a.durable:
		return openPause
	default:
		return a.s.l.opts.IntentWait
	}
}

func (a *waiting) take(ctx context.Context, e core.Effect, accept bool) (Reply, bool, error) {
	switch e.Kind {
	case core.Durable:
		a.durable = a.durable || !accept || e.Record.Async
		if accept && a.durable {
			return reply(e.Record, false), true, nil
		}
	case core.OutcomePending:
		a.inHand, a.record = true, e.Record
	case core.Recorded:
		r, err := a.s.recorded(ctx, e.Record)
		return r, true, err
	case core.NotRun:
		a.s.l.counts.refused.Inc(1)
		return Reply{}, true, merry.Errorf("shard %d: %w", a.s.number, ErrDidNotRun)
	case core.Uncertain:
		return Reply{}, true, merry.Errorf("shard %d: %w", a.s.number, ErrMayHaveRun)
	case core.Reroute:
		return Reply{}, true, merry.Errorf("shard %d: %w", a.s.number, errReroute)
	}
	a.timer.Reset(a.bound())
	return Reply{}, false, nil
}

// tooLate answers an asker whose wait has ended. An intent that is not durable is withdrawn.
func (a *waiting) tooLate(cause error) (Reply, error) {
	if a.inHand && !a.record.Idempotent && a.record.State == core.Done {
		return reply(a.record, false), nil
	}
	if !a.durable && a.s.withdraw(a.record.ID) {
		a.s.l.counts.refused.Inc(1)
		return Reply{}, merry.Errorf("shard %d: %w: %w", a.s.number, ErrDidNotRun, cause)
	}
	return Reply{}, merry.Errorf("shard %d: %w: %w", a.s.number, ErrMayHaveRun, cause)
}

// withdraw takes back an intent; its other askers learn that it did not run.
func (s *shard) withdraw(id core.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.state.Withdraw(id)
	if !ok {
		return false
	}
	s.apply(state, []core.Effect{{Kind: core.NotRun, Record: core.Record{ID: id}}})
	return true
}

func reply(r core.Record, recorded bool) Reply {
	return Reply{
		Outcome:   Outcome{ID: r.ID.String(), State: r.State, Answer: r.Answer, Recorded: recorded},
		AtSeconds: r.AtSeconds,
	}
}
