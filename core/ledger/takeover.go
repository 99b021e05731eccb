package ledger

import "time"

// Load applies the shard's head as read from the store. previousAlive reports that the head's last
// writer is considered live: this home then waits for that writer's idempotent requests before it
// runs them too. The takeover itself is the first head that Commit returns.
func (s Shard) Load(now time.Time, head Head, previousAlive bool) (Shard, []Effect) {
	fresh := s.Release()
	fresh.held = true
	fresh.head = withoutTail(head)
	for _, r := range head.Tail {
		e := entry{record: r, before: r, durable: r.State, durableAsync: r.Async, since: now}
		h, ok := s.detached.get(r.ID)
		switch {
		case r.State.Final():
		case ok && h.executing && h.record.Attempt == r.Attempt:
			e.runsHere, e.executing = true, true
		case r.State == Accepted && (!r.Idempotent || !previousAlive):
			e.dueAt = now
		default:
			e.dueAt = now.Add(r.Timeout() + s.limits.HandoffGrace)
		}
		fresh = fresh.put(e)
	}
	fresh.detached = s.detached
	var effects []Effect
	for id, h := range s.detached.all() {
		if h.executing {
			continue
		}
		var more []Effect
		fresh, more = fresh.Result(now, id, h.result)
		effects = append(effects, more...)
	}
	return fresh, effects
}

// Tick takes the steps that are due and returns the time of the next one, or zero.
func (s Shard) Tick(now time.Time) (Shard, []Effect, time.Time) {
	var effects []Effect
	var next time.Time
	if !s.held {
		return s, nil, next
	}
	for _, e := range s.entries.all() {
		if e.dueAt.IsZero() {
			continue
		}
		if e.dueAt.After(now) {
			if next.IsZero() || e.dueAt.Before(next) {
				next = e.dueAt
			}
			continue
		}
		e.dueAt = time.Time{}
		var more []Effect
		s, more = s.due(now, e)
		effects = append(effects, more...)
	}
	return s, effects, next
}

func (s Shard) due(now time.Time, e entry) (Shard, []Effect) {
	late := !now.Before(e.since.Add(e.record.Timeout()))
	switch {
	case e.runsHere && late && e.mayHaveRunBefore(), !e.runsHere && e.record.State == Started:
		return s.finish(e, Unknown)
	case e.runsHere && late:
		return s.finish(e, Expired)
	case e.runsHere:
		e.executing = true
		return s.put(e), []Effect{{Kind: Dispatch, Record: e.record}}
	case int(e.record.Tries) >= s.limits.MaxTries:
		return s.finish(e, Unknown)
	}
	s, e = s.withAttempt(e)
	return s.mark(e), nil
}

func (s Shard) finish(e entry, state State) (Shard, []Effect) {
	e.record = e.record.WithFinal(state, Answer{})
	return s.mark(e), []Effect{{Kind: OutcomePending, Record: e.record}}
}

// ResultKind says how an execution ended.
type ResultKind uint8

const (
	// Completed means that State and Answer are the outcome.
	Completed ResultKind = iota + 1
	// DidNotRun means that the request definitely did not run.
	DidNotRun
	// MayHaveRun means that the execution failed after the request may have been sent.
	MayHaveRun
)

// Result is how an execution ended.
type Result struct {
	Kind    ResultKind `msgpack:"k"`
	State   State      `msgpack:"s"`
	Answer  Answer     `msgpack:"e"`
	Attempt Attempt    `msgpack:"a"`
}

// Result records how an execution ended, here or at a previous home. The first result counts;
// one of a non-idempotent request counts only for the recorded attempt.
func (s Shard) Result(now time.Time, id ID, result Result) (Shard, []Effect) {
	h, wasDetached := s.detached.get(id)
	if wasDetached && !s.held {
		h.executing, h.result = false, result
		s.detached = s.detached.with(id, h)
		return s, []Effect{{Kind: Handoff, Record: h.record, Result: result}}
	}
	s.detached = s.detached.without(id)
	e, ok := s.entries.get(id)
	switch {
	case !ok:
		return s, []Effect{{Kind: Uncertain, Record: Record{ID: id}}}
	case e.durable.Final():
		return s, []Effect{{Kind: Recorded, Record: e.record}}
	case e.record.State.Final():
		return s, nil
	}
	own := e.record.Attempt == result.Attempt
	if !own && (!e.record.Idempotent || result.Kind != Completed) {
		return s, nil
	}
	e.executing = false
	return s.resolve(now, e, result)
}

func (s Shard) resolve(now time.Time, e entry, result Result) (Shard, []Effect) {
	switch {
	case result.Kind == Completed:
		e.runsHere, e.intent, e.dueAt = true, false, time.Time{}
		e.record = e.record.WithFinal(result.State, result.Answer)
		return s.mark(e), []Effect{{Kind: OutcomePending, Record: e.record}}
	case result.Kind == MayHaveRun && !e.record.Idempotent:
		e.runsHere, e.dueAt = true, time.Time{}
		return s.finish(e, Unknown)
	case e.record.Async && e.runsHere:
		e.mayHaveRun = e.mayHaveRun || result.Kind == MayHaveRun
		e.dueAt = now.Add(s.limits.RetryPause)
		return s.put(e), nil
	case e.record.Async:
		e.dueAt = time.Time{}
		s, e = s.withAttempt(e)
		return s.mark(e), nil
	}
	return s.remove(e, result.Kind)
}

// remove removes the record of a request that nobody waits for any more. Until the removal is
// durable, another home could run an idempotent request, so its callers are told only then that it
// did not run.
func (s Shard) remove(e entry, kind ResultKind) (Shard, []Effect) {
	record := e.record
	e.dueAt, e.intent = time.Time{}, false
	e.record.State = None
	switch {
	case kind == MayHaveRun || e.mayHaveRunBefore():
		return s.mark(e), []Effect{{Kind: Uncertain, Record: record}}
	case record.Idempotent:
		e.notifyNotRun = true
		return s.mark(e), nil
	}
	return s.mark(e), []Effect{{Kind: NotRun, Record: record}}
}

// HandoffAcknowledged records that the shard's present home has acknowledged the handoff of the
// request's result.
func (s Shard) HandoffAcknowledged(id ID) Shard {
	if h, ok := s.detached.get(id); ok && !h.executing {
		s.detached = s.detached.without(id)
	}
	return s
}
