// Package ledger decides the steps of the durable online requests of one shard.
//
// A Shard is an immutable value. Each event gives a new value and the effects to carry out. Package
// io/ledger reads the head object, passes it to Load, and writes what Commit returns conditionally
// on the version that it read: that update is the only fence. A request is dispatched only by the
// effects of a confirmed update, so an intent is durable before its request is sent.
//
// After a takeover, requests in state Accepted run at this home. A request in state Started belongs
// to the previous home's attempt: this home waits for its result until the request's own timeout
// has passed on this home's clock, and then the request becomes Unknown.
//
// Usage:
//
//	s := ledger.NewShard(ledger.NewLimits(), writer)
//	s, effects := s.Load(now, head, alive)
//	s, verdict := s.Submit(now, request, candidates, searched)
//	s, head, ok := s.Commit()
//	s, effects = s.Committed(now) // or Failed, or Fenced
package ledger

import "time"

// Shard is the state of one shard at one VM.
type Shard struct {
	limits   Limits
	writer   Writer
	sequence uint64
	attempts uint64
	held     bool
	// head is the last head read or confirmed, without its tail.
	head    Head
	entries idMap[entry]
	// detached are this VM's executions and results for requests whose shard now has another home.
	detached  idMap[detachedRequest]
	dirty     idMap[struct{}]
	inFlight  idMap[struct{}]
	writing   Head
	isWriting bool
	// history replaces the head's references in the next head.
	history   *History
	open      int
	openBytes int
	// headBytes is the size of the open records in a head.
	headBytes int
}

// entry is one request of the head's tail, with the changes that are not durable yet.
type entry struct {
	record Record
	// before is the record in the last confirmed head, if durable is not None, and sent the one in
	// the head being written.
	before, sent Record
	// durable and inFlight are the states in the last confirmed head and in the head being written.
	durable, inFlight State
	// durableAsync and inFlightAsync report that acceptance is part of these states.
	durableAsync, inFlightAsync bool
	// runsHere reports that this VM runs the request.
	runsHere bool
	// intent reports that the attempt of this VM is not durable yet.
	intent bool
	// executing reports that the request was dispatched here and has no result yet.
	executing bool
	// withdrawn reports that the waiting caller was told that the request did not run.
	withdrawn bool
	// notifyNotRun reports that the callers are told that the request did not run once its removal
	// is durable.
	notifyNotRun bool
	// since is the start of the request's timeout at this VM: when the VM first saw the request, or
	// later the time at which the VM's intent became durable.
	since time.Time
	// dueAt is when Tick takes the next step, if it is set.
	dueAt time.Time
	// mayHaveRun reports that the request may have run in an earlier execution here.
	mayHaveRun bool
}

// mayHaveRunBefore reports that an execution before the last one may have run the request, here or at an earlier home. Only an
// idempotent request is tried by several homes without a word of the one before.
func (e entry) mayHaveRunBefore() bool {
	return e.mayHaveRun || (e.record.Idempotent && e.record.Tries > 1)
}

// detachedRequest is an execution or a result of this VM for a shard that now has another home.
type detachedRequest struct {
	record    Record
	executing bool
	result    Result
}

// Request is a caller's request to be recorded and run.
type Request struct {
	ID         ID
	Team       string
	BodyHash   Digest
	Idempotent bool
	// Async reports that the caller asks for acceptance and reads the result later.
	Async        bool
	Timeout      time.Duration
	Payload      []byte
	PayloadParts []string
	AtSeconds    int64
}

// EffectKind says what package io/ledger has to do.
type EffectKind uint8

const (
	// Dispatch asks to execute the record's request; its intent is durable.
	Dispatch EffectKind = iota + 1
	// Durable tells the waiting callers that the request is accepted durably.
	Durable
	// OutcomePending tells the waiting callers that an outcome exists that is not durable yet.
	OutcomePending
	// Recorded tells the waiting callers the final outcome, which is durable.
	Recorded
	// NotRun tells the waiting callers that the request did not run and that no outcome is recorded.
	NotRun
	// Uncertain tells the waiting callers that the request may run and that its outcome is not known
	// here.
	Uncertain
	// Reroute asks to submit the waiting requests again, at the shard's present home.
	Reroute
	// Handoff asks to send the result to the shard's present home.
	Handoff
)

// Effect is one action that package io/ledger has to carry out.
type Effect struct {
	Kind   EffectKind
	Record Record
	// Result is set for Handoff.
	Result Result
}

// NewShard returns the state of a VM that has not read the shard's head.
func NewShard(limits Limits, writer Writer) Shard { return Shard{limits: limits, writer: writer} }

// Held reports whether the head has been read and no other home is known to have updated it since.
func (s Shard) Held() bool { return s.held }

// Writing reports whether a head is being written.
func (s Shard) Writing() bool { return s.isWriting }

// Leads reports whether this VM has written the last confirmed head.
func (s Shard) Leads() bool { return s.held && s.head.Last.Writer == s.writer }

// Dirty reports whether there are changes to write.
func (s Shard) Dirty() bool { return s.dirty.len() > 0 || s.history != nil }

// Open returns the number of requests without a recorded outcome.
func (s Shard) Open() int { return s.open }

// Idle reports whether nothing is open, being written or detached.
func (s Shard) Idle() bool {
	return s.open == 0 && !s.Dirty() && !s.isWriting && s.detached.len() == 0
}

// Release returns the state of a VM that has released the shard, which must be Idle.
func (s Shard) Release() Shard {
	fresh := NewShard(s.limits, s.writer)
	fresh.sequence, fresh.attempts = s.sequence, s.attempts
	return fresh
}

// Record returns the request's record as far as it is durable.
func (s Shard) Record(id ID) (Record, bool) {
	e, ok := s.entries.get(id)
	if !ok || e.durable == None {
		return Record{}, false
	}
	r := e.record
	if r.State.Final() && !e.durable.Final() {
		r = r.WithFinal(e.durable, Answer{})
	}
	return r, true
}

// put stores the entry and updates the counts of open requests.
func (s Shard) put(e entry) Shard {
	s = s.uncount(e.record.ID)
	s.entries = s.entries.with(e.record.ID, e)
	if !e.durable.Final() {
		s.open++
		s.openBytes += e.record.bytes()
		s.headBytes += e.record.headBytes()
	}
	return s
}

// drop removes the entry.
func (s Shard) drop(id ID) Shard {
	s = s.uncount(id)
	s.entries = s.entries.without(id)
	s.dirty = s.dirty.without(id)
	return s
}

func (s Shard) uncount(id ID) Shard {
	old, ok := s.entries.get(id)
	if ok && !old.durable.Final() {
		s.open--
		s.openBytes -= old.record.bytes()
		s.headBytes -= old.record.headBytes()
	}
	return s
}

// mark stores the entry as changed.
func (s Shard) mark(e entry) Shard {
	s = s.put(e)
	s.dirty = s.dirty.with(e.record.ID, struct{}{})
	return s
}

// withAttempt gives the entry a new attempt of this VM.
func (s Shard) withAttempt(e entry) (Shard, entry) {
	s.attempts++
	e.record = e.record.WithAttempt(Attempt{Incarnation: s.writer.Incarnation, Number: s.attempts})
	e.runsHere, e.intent = true, true
	return s, e
}
