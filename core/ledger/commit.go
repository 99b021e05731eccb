package ledger

import (
	"slices"
	"time"
)

// Commit returns the head that makes the changes durable, as many as its size allows; it reports
// false when there is nothing to write, or while a head is being written.
func (s Shard) Commit() (Shard, Head, bool) {
	if !s.held || s.isWriting || !s.Dirty() {
		return s, Head{}, false
	}
	s = s.moveToInFlight()
	if s.inFlight.len() == 0 && s.history == nil {
		return s, Head{}, false
	}
	s.sequence++
	head := s.head.WithUpdate(s.writer, s.sequence)
	if s.history != nil {
		head.Blocks, head.Indexes = s.history.Blocks, s.history.Indexes
	}
	sealed := s.sealedIDs()
	for id, e := range s.entries.all() {
		r := e.before
		if s.inFlight.has(id) {
			r = e.sent
		}
		if r.State != None && !sealed[id] {
			head.Tail = append(head.Tail, r)
		}
	}
	s.writing, s.isWriting = head, true
	return s, head, true
}

// moveToInFlight moves changes from dirty to inFlight, as many as the head's size allows.
func (s Shard) moveToInFlight() Shard {
	size := 0
	sealed := s.sealedIDs()
	for id, e := range s.entries.all() {
		if e.before.State != None && !sealed[id] {
			size += e.before.headBytes()
		}
	}
	for id := range s.dirty.all() {
		e, _ := s.entries.get(id)
		e.sent = e.record.withoutUnusedPayload()
		more := 0
		if e.record.State != None {
			more = e.sent.bytes()
		}
		if e.before.State != None {
			more -= e.before.headBytes()
		}
		if more > 0 && size+more > s.limits.MaxHeadBytes {
			continue
		}
		size += more
		e.inFlight, e.inFlightAsync = e.record.State, e.record.Async
		s.entries = s.entries.with(id, e)
		s.inFlight = s.inFlight.with(id, struct{}{})
		s.dirty = s.dirty.without(id)
	}
	return s
}

// Committed records that the head being written is durable and returns the effects.
func (s Shard) Committed(now time.Time) (Shard, []Effect) {
	var effects []Effect
	committed := s.inFlight
	s.head, s.isWriting, s.inFlight = withoutTail(s.writing), false, idMap[struct{}]{}
	for id := range s.sealedIDs() {
		s = s.drop(id)
	}
	s.history = nil
	for id := range committed.all() {
		e, ok := s.entries.get(id)
		if !ok {
			continue
		}
		written := e.inFlight
		e.inFlight = None
		var more []Effect
		s, more = s.complete(now, e, written)
		effects = append(effects, more...)
	}
	return s, effects
}

// complete records that the state written of the entry is durable and returns the effects.
func (s Shard) complete(now time.Time, e entry, written State) (Shard, []Effect) {
	newlyDurable := e.durable == None || (e.inFlightAsync && !e.durableAsync)
	e.durable, e.durableAsync = written, e.inFlightAsync
	e.before = e.sent
	s = s.put(e)
	switch {
	case written == None && e.record.State == None:
		return s.drop(e.record.ID), e.removal()
	case written == None:
		return s, nil
	case written.Final():
		return s, []Effect{{Kind: Recorded, Record: e.record}}
	}
	var effects []Effect
	if newlyDurable {
		record := e.record
		record.Async = e.durableAsync
		effects = append(effects, Effect{Kind: Durable, Record: record})
	}
	if !e.runsHere || !e.intent || e.executing || e.record.State.Final() || e.record.State == None {
		return s, effects
	}
	return s.proceed(now, e, effects)
}

// removal returns the effects of the durable removal of the entry.
func (e entry) removal() []Effect {
	if !e.notifyNotRun {
		return nil
	}
	return []Effect{{Kind: NotRun, Record: e.record}}
}

// proceed takes the next step of an intent of this VM that has become durable.
func (s Shard) proceed(now time.Time, e entry, effects []Effect) (Shard, []Effect) {
	switch {
	case e.withdrawn:
		e.intent, e.withdrawn = false, false
		e.record.State = None
		return s.mark(e), effects
	case e.durable == Accepted && !e.record.Idempotent:
		s, e = s.withAttempt(e)
		return s.mark(e), effects
	}
	e.intent, e.executing, e.since = false, true, now
	return s.put(e), append(effects, Effect{Kind: Dispatch, Record: e.record})
}

// Failed records that the object service refused the head being written, which had no effect. All
// intents that are not durable are removed and reported as not run; results stay to be written.
func (s Shard) Failed() (Shard, []Effect) {
	var effects []Effect
	for id := range s.inFlight.all() {
		e, ok := s.entries.get(id)
		if !ok {
			continue
		}
		e.inFlight = None
		s = s.mark(e)
	}
	s.isWriting, s.inFlight, s.writing = false, idMap[struct{}]{}, Head{}
	for id := range s.dirty.all() {
		e, _ := s.entries.get(id)
		if !e.intent || e.durable == Accepted || e.durableAsync {
			continue
		}
		effects = append(effects, Effect{Kind: NotRun, Record: e.record})
		s = s.removeIntent(e)
	}
	return s, effects
}

// removeIntent removes an intent that was never durable.
func (s Shard) removeIntent(e entry) Shard {
	if e.durable == None {
		return s.drop(e.record.ID)
	}
	e.intent = false
	e.record.State = None
	return s.mark(e)
}

// Fenced records that another home has updated the shard's head. applied reports whether the head
// that was being written had effect. Executions continue; their results, and those not yet written,
// are handed off to the new home.
func (s Shard) Fenced(applied Applied) (Shard, []Effect) {
	var effects []Effect
	for id, e := range s.entries.all() {
		if e.inFlight.Final() && applied == IsApplied {
			effects = append(effects, Effect{Kind: Recorded, Record: e.record})
			continue
		}
		if e.inFlight != None && !e.inFlight.Final() && applied != NotApplied {
			e.durable = e.inFlight
		}
		attempt := e.record.Attempt
		switch {
		case e.executing:
			s.detached = s.detached.with(id, detachedRequest{record: e.record, executing: true})
		case e.runsHere && e.record.State.Final() && !e.durable.Final():
			result := Result{Kind: Completed, State: e.record.State, Answer: e.record.Answer, Attempt: attempt}
			s.detached = s.detached.with(id, detachedRequest{record: e.record, result: result})
			effects = append(effects, Effect{Kind: Handoff, Record: e.record, Result: result})
		case e.runsHere && e.durable == Started:
			result := Result{Kind: DidNotRun, Attempt: attempt}
			s.detached = s.detached.with(id, detachedRequest{record: e.record, result: result})
			effects = append(effects, Effect{Kind: Handoff, Record: e.record, Result: result}, Effect{Kind: Reroute, Record: e.record})
		case e.durable.Final():
			continue
		default:
			effects = append(effects, Effect{Kind: Reroute, Record: e.record})
		}
	}
	fresh := s.Release()
	fresh.detached = s.detached
	return fresh, effects
}

func withoutTail(h Head) Head {
	h.Tail = nil
	h.Blocks = slices.Clip(h.Blocks)
	return h
}
