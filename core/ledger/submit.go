package ledger

import (
	"slices"
	"time"
)

// VerdictKind is the answer to a submission.
type VerdictKind uint8

const (
	// Wait means that the request is open; later effects report its progress.
	Wait VerdictKind = iota + 1
	// WasRecorded means that Record is the durable outcome.
	WasRecorded
	// Mismatch means that the key was used with another body.
	Mismatch
	// Full means that the open requests have reached a limit, or that the request was withdrawn while
	// its intent was being written; the request did not run.
	Full
	// Search means that a sealed block may hold the request: read Blocks and submit again.
	Search
	// NotHeld means that the head must be loaded first.
	NotHeld
)

// Verdict is the answer to a submission.
type Verdict struct {
	Kind   VerdictKind
	Record Record
	// Fresh reports that the submission made a new intent.
	Fresh bool
	// Durable is the request's durable state.
	Durable State
	// Pending reports that the record's outcome is known and not durable yet.
	Pending bool
	// Blocks are the keys to read.
	Blocks []string
}

// Submit accepts a request, or joins the one with the same ID. Searched are the keys of the sealed
// blocks that were found not to hold the ID; candidates are those whose fingerprints match it.
func (s Shard) Submit(now time.Time, q Request, candidates, searched []string) (Shard, Verdict) {
	if !s.held {
		return s, Verdict{Kind: NotHeld}
	}
	e, ok := s.entries.get(q.ID)
	if ok && e.record.State != None {
		return s.join(e, q)
	}
	if missing := without(candidates, searched); !ok && len(missing) > 0 {
		return s, Verdict{Kind: Search, Blocks: missing}
	}
	record := newRecord(q)
	if s.isFull(record) {
		return s, Verdict{Kind: Full}
	}
	fresh := entry{record: record, before: e.before, sent: e.sent, durable: e.durable, inFlight: e.inFlight, runsHere: true, intent: true, since: now}
	if !q.Async || q.Idempotent {
		s, fresh = s.withAttempt(fresh)
	}
	return s.mark(fresh), Verdict{Kind: Wait, Record: fresh.record, Fresh: true}
}

func (s Shard) isFull(r Record) bool {
	return s.open >= s.limits.MaxOpen ||
		s.openBytes+r.bytes() > s.limits.MaxOpenBytes ||
		s.headBytes+r.headBytes() > s.limits.MaxHeadBytes/2
}

// Matches reports whether a record that was found in a sealed block answers the request.
func Matches(r Record, q Request) Verdict {
	if r.BodyHash != q.BodyHash {
		return Verdict{Kind: Mismatch, Record: r, Durable: r.State}
	}
	return Verdict{Kind: WasRecorded, Record: r, Durable: r.State}
}

func (s Shard) join(e entry, q Request) (Shard, Verdict) {
	if e.record.BodyHash != q.BodyHash {
		return s, Verdict{Kind: Mismatch, Record: e.record, Durable: e.durable}
	}
	if e.durable.Final() {
		return s, Verdict{Kind: WasRecorded, Record: e.record, Durable: e.durable}
	}
	if e.withdrawn {
		return s, Verdict{Kind: Full}
	}
	v := Verdict{Kind: Wait, Durable: e.durable, Pending: e.record.State.Final()}
	if q.Async && !e.durableAsync {
		v.Durable = None
	}
	if q.Async && !e.record.Async && !v.Pending {
		e.record = e.record.withAcceptance(q)
		s = s.mark(e)
	}
	v.Record = e.record
	return s, v
}

// Withdraw withdraws an intent that has not become durable in time. It reports whether the request
// did not and will not run; otherwise the request continues.
func (s Shard) Withdraw(id ID) (Shard, bool) {
	e, ok := s.entries.get(id)
	switch {
	case !ok:
		return s, false
	case !e.intent || !e.runsHere || e.durable == Accepted || e.durableAsync:
		return s, false
	case e.inFlight != None && (e.record.Idempotent || e.record.Async):
		return s, false
	case e.inFlight == None:
		return s.removeIntent(e), true
	}
	e.withdrawn = true
	return s.put(e), true
}

func newRecord(q Request) Record {
	return Record{
		ID: q.ID, Team: q.Team, BodyHash: q.BodyHash, State: Accepted, Idempotent: q.Idempotent, Async: q.Async,
		TimeoutMillis: uint32(q.Timeout.Milliseconds()), AtSeconds: q.AtSeconds,
		Payload: q.Payload, PayloadParts: q.PayloadParts,
	}
}

func without(keys, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(keys), func(k string) bool { return slices.Contains(removed, k) })
}
