package ledger

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
)

// waiterEvents is the size of a waiter's event buffer.
const waiterEvents = 8

// waiter is one call that waits for an open request.
type waiter struct {
	events chan core.Effect
}

// register adds a waiter for the request; the caller holds mu.
func (s *shard) register(id core.ID) *waiter {
	w := &waiter{events: make(chan core.Effect, waiterEvents)}
	s.waiters[id] = append(s.waiters[id], w)
	return w
}

func (s *shard) unregister(id core.ID, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.waiters[id][:0:0]
	for _, other := range s.waiters[id] {
		if other != w {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = remaining
}

// publish sends the effect to the waiters of its request and drops it for a waiter whose buffer is
// full; the caller holds mu.
func (s *shard) publish(e core.Effect) {
	for _, w := range s.waiters[e.Record.ID] {
		select {
		case w.events <- e:
		default:
		}
	}
}

// submitAndWait submits the request to the shard's state and waits for its acceptance or outcome.
func (s *shard) submitAndWait(ctx context.Context, q core.Request, accept bool) (Reply, error) {
	var searched []string
	for {
		if err := s.waitLoaded(ctx); err != nil {
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

// refuse returns the error of a request that did not run.
func (s *shard) refuse(cause error) (Reply, error) {
	s.l.counts.refused.Inc(1)
	return Reply{}, merry.Errorf("shard %d: %w: %w", s.number, ErrDidNotRun, cause)
}

// submit adds the request to the shard's state. The waiter is set if the verdict is Wait.
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

// await waits for the acceptance or outcome of an open request.
func (s *shard) await(ctx context.Context, w *waiter, v core.Verdict, accept bool) (Reply, error) {
	if accept && v.Durable != core.None {
		return reply(v.Record, false), nil
	}
	ws := &waitState{s: s, w: w, record: v.Record, durable: v.Durable != core.None, pending: v.Pending}
	ws.timer = time.NewTimer(ws.bound())
	defer ws.timer.Stop()
	for {
		select {
		case e := <-w.events:
			r, done, err := ws.handle(ctx, e, accept)
			if done {
				return r, err
			}
		case <-ws.timer.C:
			return ws.endWait(merry.New("not durable in time"))
		case <-ctx.Done():
			return ws.endWait(ctx.Err())
		case <-s.l.ctx.Done():
			return ws.endWait(s.l.ctx.Err())
		}
	}
}

// waitState is the progress of one waiting call.
type waitState struct {
	s                *shard
	w                *waiter
	record           core.Record
	durable, pending bool
	timer            *time.Timer
}

// unboundedWait stands for no limit: the request's own timeout ends the wait.
const unboundedWait = 24 * time.Hour

// bound returns how long the call waits for the next event.
func (ws *waitState) bound() time.Duration {
	switch {
	case ws.pending:
		return ws.s.l.opts.ResultWait
	case ws.durable:
		return unboundedWait
	default:
		return ws.s.l.opts.IntentWait
	}
}

func (ws *waitState) handle(ctx context.Context, e core.Effect, accept bool) (Reply, bool, error) {
	switch e.Kind {
	case core.Durable:
		ws.durable = ws.durable || !accept || e.Record.Async
		if accept && ws.durable {
			return reply(e.Record, false), true, nil
		}
	case core.OutcomePending:
		ws.pending, ws.record = true, e.Record
	case core.Recorded:
		r, err := ws.s.recorded(ctx, e.Record)
		return r, true, err
	case core.NotRun:
		ws.s.l.counts.refused.Inc(1)
		return Reply{}, true, merry.Errorf("shard %d: %w", ws.s.number, ErrDidNotRun)
	case core.Uncertain:
		return Reply{}, true, merry.Errorf("shard %d: %w", ws.s.number, ErrMayHaveRun)
	case core.Reroute:
		return Reply{}, true, merry.Errorf("shard %d: %w", ws.s.number, errReroute)
	}
	ws.timer.Reset(ws.bound())
	return Reply{}, false, nil
}

// endWait returns the reply of a call whose wait has ended without a recorded outcome. An intent that
// is not durable is withdrawn.
func (ws *waitState) endWait(cause error) (Reply, error) {
	if ws.pending && !ws.record.Idempotent && ws.record.State == core.Done {
		return reply(ws.record, false), nil
	}
	if !ws.durable && ws.s.withdraw(ws.record.ID) {
		ws.s.l.counts.refused.Inc(1)
		return Reply{}, merry.Errorf("shard %d: %w: %w", ws.s.number, ErrDidNotRun, cause)
	}
	return Reply{}, merry.Errorf("shard %d: %w", ws.s.number, requests.Lost(cause))
}

// withdraw removes an intent that is not durable; the other waiters of the request are notified that it
// did not run. It reports false if the intent can't be withdrawn.
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
