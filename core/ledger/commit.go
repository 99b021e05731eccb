package ledger

import (
	"slices"
	"time"
)

// Commit returns the head that makes the changes durable, as many as its size allows; it reports
// false when there are none, or while a head is being written.
func (s Shard) Commit() (Shard, Head, bool) {
	if !s.held || s.isWriting || !s.Dirty() {
		return s, Head{}, false
	}
	s = s.takeOff()
	if s.flying.len() == 0 && s.history == nil {
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
		if s.flying.has(id) {
			r = e.sent
		}
		if r.State != None && !sealed[id] {
			head.Tail = append(head.Tail, r)
		}
	}
	s.writing, s.isWriting = head, true
	return s, head, true
}

// takeOff moves changes from dirty to flying as long as the head's size allows.
func (s Shard) takeOff() Shard {
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
		e.flying, e.flyingAsync = e.record.State, e.record.Async
		s.entries = s.entries.with(id, e)
		s.flying = s.flying.with(id, struct{}{})
		s.dirty = s.dirty.without(id)
	}
	return s
}

// Committed takes in that the head being written is durable.
func (s Shard) Committed(now time.Time) (Shard, []Effect) {
	var effects []Effect
	flown := s.flying
	s.head, s.isWriting, s.flying = withoutTail(s.writing), false, idMap[struct{}]{}
	for id := range s.sealedIDs() {
		s = s.drop(id)
	}
	s.history = nil
	for id := range flown.all() {
		e, ok := s.entries.get(id)
		if !ok {
			continue
		}
		written := e.flying
		e.flying = None
		var more []Effect
		s, more = s.settle(now, e, written)
		effects = append(effects, more...)
	}
	return s, effects
}

// settle gives the effects of an entry whose state written has become durable.
func (s Shard) settle(now time.Time, e entry, written State) (Shard, []Effect) {
	news := e.durable == None || (e.flyingAsync && !e.durableAsync)
	e.durable, e.durableAsync = written, e.flyingAsync
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
	if news {
		record := e.record
		record.Async = e.durableAsync
		effects = append(effects, Effect{Kind: Durable, Record: record})
	}
	if !e.mine || !e.intent || e.executing || e.record.State.Final() || e.record.State == None {
		return s, effects
	}
	return s.proceed(now, e, effects)
}

// removal gives the effects of the durable removal of the entry.
func (e entry) removal() []Effect {
	if !e.tellNotRun {
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

// Failed takes in that the head being written had no effect because the service refused it. All
// intents that are not durable are given up; results stay to be written.
func (s Shard) Failed() (Shard, []Effect) {
	var effects []Effect
	for id := range s.flying.all() {
		e, ok := s.entries.get(id)
		if !ok {
			continue
		}
		e.flying = None
		s = s.mark(e)
	}
	s.isWriting, s.flying, s.writing = false, idMap[struct{}]{}, Head{}
	for id := range s.dirty.all() {
		e, _ := s.entries.get(id)
		if !e.intent || e.durable == Accepted || e.durableAsync {
			continue
		}
		effects = append(effects, Effect{Kind: NotRun, Record: e.record})
		s = s.giveUp(e)
	}
	return s, effects
}

// giveUp removes an intent that was never durable.
func (s Shard) giveUp(e entry) Shard {
	if e.durable == None {
		return s.drop(e.record.ID)
	}
	e.intent = false
	e.record.State = None
	return s.mark(e)
}

// Fenced takes in that another home has updated the shard. Applied tells of the head that was
// being written. Executions go on; their results and those in hand are for the new home.
func (s Shard) Fenced(applied Applied) (Shard, []Effect) {
	var effects []Effect
	for id, e := range s.entries.all() {
		if e.flying.Final() && applied == IsApplied {
			effects = append(effects, Effect{Kind: Recorded, Record: e.record})
			continue
		}
		if e.flying != None && !e.flying.Final() && applied != NotApplied {
			e.durable = e.flying
		}
		sent := e.record.Attempt
		switch {
		case e.executing:
			s.away = s.away.with(id, held{record: e.record, executing: true})
		case e.mine && e.record.State.Final() && !e.durable.Final():
			result := Result{Kind: Completed, State: e.record.State, Answer: e.record.Answer, Attempt: sent}
			s.away = s.away.with(id, held{record: e.record, result: result})
			effects = append(effects, Effect{Kind: Handoff, Record: e.record, Result: result})
		case e.mine && e.durable == Started:
			result := Result{Kind: DidNotRun, Attempt: sent}
			s.away = s.away.with(id, held{record: e.record, result: result})
			effects = append(effects, Effect{Kind: Handoff, Record: e.record, Result: result}, Effect{Kind: Reroute, Record: e.record})
		case e.durable.Final():
			continue
		default:
			effects = append(effects, Effect{Kind: Reroute, Record: e.record})
		}
	}
	fresh := s.Release()
	fresh.away = s.away
	return fresh, effects
}

func withoutTail(h Head) Head {
	h.Tail = nil
	h.Blocks = slices.Clip(h.Blocks)
	return h
}
