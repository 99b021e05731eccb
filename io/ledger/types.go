package ledger

import (
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
)

var (
	// ErrDidNotRun means that the request did not run and will not; it may be sent again.
	ErrDidNotRun = merry.Sentinel("request did not run")
	// ErrMayHaveRun means that the outcome isn't known at this VM; send again with the same key.
	ErrMayHaveRun = merry.Sentinel("request may have run")
	// ErrBodyMismatch means that the key was used before with another body.
	ErrBodyMismatch = merry.Sentinel("key was used with another body")
	// ErrNotFound means that the team has no such request, or that its retention has passed.
	ErrNotFound = merry.Sentinel("request not found")
	// ErrUnavailable means that a lookup could not be answered.
	ErrUnavailable = merry.Sentinel("ledger unavailable")
	// ErrUnreachable is the error that Options.Call wraps when nothing was sent.
	ErrUnreachable = merry.Sentinel("VM unreachable")
	// errReroute means that another VM has become home of the shard; the call is routed again.
	errReroute = merry.Sentinel("shard has another home")
)

// Answer is the upstream's complete answer.
type Answer = core.Answer

// Field is one header field of an answer.
type Field = core.Field

// Digest is a hash of a request's body.
type Digest = core.Digest

// HashBody returns the digest of a request's body.
func HashBody(body []byte) Digest { return core.HashBody(body) }

// requests are the errors that tell whether a request runs.
var requests = outcome.Sentinels{Unknown: ErrMayHaveRun, NotDone: []error{ErrDidNotRun, ErrBodyMismatch}}

// OutcomeOf returns what is known about a request by the error of Do or Accept.
func OutcomeOf(err error) outcome.Outcome { return requests.Of(err) }

// Request is a caller's request.
type Request struct {
	Team string
	// Key is the caller's idempotency key, scoped by the team; it may be empty.
	Key      string
	BodyHash Digest
	// Idempotent reports that the request may be sent more than once.
	Idempotent bool
	// Deadline is the end of the request's time; zero means Options.DefaultTimeout from now.
	Deadline time.Time
	// Payload is the data that Execute needs to send the request. The ledger stores it without decoding it.
	Payload []byte
	// ID is the request's ID in the ledger. It is set for Execute only, where Key is empty.
	ID string
}

// Outcome is the state of a request, and its answer if it has one.
type Outcome struct {
	ID     string     `msgpack:"i"`
	State  core.State `msgpack:"s"`
	Answer Answer     `msgpack:"a"`
	// Recorded reports that the outcome is durable: every later call for the request gets the same.
	Recorded bool `msgpack:"r"`
}

// Record is a request that was looked up.
type Record struct {
	Outcome
	// AcceptedAt is the wall time at the VM that accepted the request.
	AcceptedAt time.Time
}

// Operations of a Call.
const (
	opRun     = "run"
	opAccept  = "accept"
	opLookup  = "lookup"
	opHandoff = "handoff"
)

// Call is a message to the ledger of another VM.
type Call struct {
	Op            string      `msgpack:"o"`
	ID            core.ID     `msgpack:"i"`
	Team          string      `msgpack:"t,omitempty"`
	BodyHash      Digest      `msgpack:"h"`
	Idempotent    bool        `msgpack:"d,omitempty"`
	TimeoutMillis int64       `msgpack:"m,omitempty"`
	Payload       []byte      `msgpack:"p,omitempty"`
	Result        core.Result `msgpack:"r,omitempty"`
}

// Codes of a Reply.
const (
	codeOK uint8 = iota
	codeDidNotRun
	codeMayHaveRun
	codeBodyMismatch
	codeNotFound
	codeUnavailable
	codeReroute
)

// codeErrors are the errors of the codes, by code.
var codeErrors = []error{nil, ErrDidNotRun, ErrMayHaveRun, ErrBodyMismatch, ErrNotFound, ErrUnavailable, errReroute}

// Reply answers a Call.
type Reply struct {
	Code      uint8   `msgpack:"c,omitempty"`
	Reason    string  `msgpack:"e,omitempty"`
	Outcome   Outcome `msgpack:"o"`
	AtSeconds int64   `msgpack:"w,omitempty"`
}
