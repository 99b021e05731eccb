package ledger

import (
	"slices"
	"time"
)

// State is the progress of a request.
type State uint8

const (
	// None means that there is no record.
	None State = iota
	// Accepted means that the request will run. If it is not idempotent, it has not been sent yet.
	Accepted
	// Started means that a non-idempotent request may have been sent by the attempt's VM.
	Started
	// Done means that the answer is recorded.
	Done
	// Unknown means that the request may have run and is never sent again.
	Unknown
	// Expired means that the request did not run within its time and never will.
	Expired
)

// String returns the name that callers see.
func (s State) String() string {
	return [...]string{"none", "accepted", "running", "done", "unknown", "expired"}[min(s, Expired)]
}

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Done }

// Field is one header field of an answer.
type Field struct {
	Name  string `json:"name" msgpack:"n"`
	Value string `json:"value" msgpack:"v"`
}

// Answer is the upstream's complete answer.
type Answer struct {
	// Status is the HTTP status.
	Status int     `json:"status" msgpack:"s"`
	Header []Field `json:"header" msgpack:"h,omitempty"`
	Body   []byte  `json:"body" msgpack:"b,omitempty"`
	// Parts are the keys of the objects that hold a large body, in order.
	Parts []string `json:"-" msgpack:"p,omitempty"`
}

// Attempt names one try to run a request: the incarnation of the process and a count.
type Attempt struct {
	Incarnation uint64 `msgpack:"i"`
	Number      uint64 `msgpack:"n"`
}

// Record is what the ledger stores about one request. Values are immutable.
type Record struct {
	ID         ID      `msgpack:"i"`
	Team       string  `msgpack:"t"`
	BodyHash   Digest  `msgpack:"h"`
	State      State   `msgpack:"s"`
	Idempotent bool    `msgpack:"d,omitempty"`
	Async      bool    `msgpack:"y,omitempty"`
	Attempt    Attempt `msgpack:"a"`
	// Tries counts the homes that have run the request.
	Tries uint8 `msgpack:"r,omitempty"`
	// TimeoutMillis is the longest time that one attempt may run, in milliseconds.
	TimeoutMillis uint32 `msgpack:"o"`
	// AtSeconds is the wall time of acceptance in Unix seconds, for retention and for display.
	AtSeconds int64 `msgpack:"w"`
	// Payload is stored while the request may have to be run again.
	Payload []byte `msgpack:"p,omitempty"`
	// PayloadParts are the keys of the objects that hold a large payload, in order.
	PayloadParts []string `msgpack:"q,omitempty"`
	Answer       Answer   `msgpack:"e,omitempty"`
}

// Timeout returns the longest time that one attempt may run.
func (r Record) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// WithFinal returns a copy with the final state and the answer; the payload is no longer needed.
func (r Record) WithFinal(s State, a Answer) Record {
	r.State, r.Answer = s, a
	r.Payload = nil
	return r
}

// Parts returns the keys of the objects that belong to the record alone.
func (r Record) Parts() []string {
	return append(slices.Clone(r.PayloadParts), r.Answer.Parts...)
}

// WithAttempt returns a copy that the attempt is about to run.
func (r Record) WithAttempt(a Attempt) Record {
	r.Attempt = a
	r.Tries++
	if !r.Idempotent {
		r.State = Started
	}
	return r
}

// withAcceptance returns a copy that will run even when nobody waits for it.
func (r Record) withAcceptance(q Request) Record {
	r.Async = true
	if len(r.Payload) == 0 && len(r.PayloadParts) == 0 {
		r.Payload, r.PayloadParts = q.Payload, q.PayloadParts
	}
	return r
}

// withoutUnusedPayload returns a copy without the payload when no other home can need it.
func (r Record) withoutUnusedPayload() Record {
	if r.State == Started && !r.Async {
		r.Payload = nil
	}
	return r
}

// bytes returns an upper bound of the record's size in memory and before compression, in bytes.
func (r Record) bytes() int {
	const fixed, perField, perPart = 144, 12, 64
	n := fixed + len(r.Team) + len(r.Payload) + len(r.Answer.Body)
	for _, f := range r.Answer.Header {
		n += perField + len(f.Name) + len(f.Value)
	}
	return n + perPart*(len(r.PayloadParts)+len(r.Answer.Parts))
}

// headBytes returns an upper bound of the record's size in a head, in bytes.
func (r Record) headBytes() int { return r.withoutUnusedPayload().bytes() }
