package peer

import (
	"fmt"

	"mothcart/io/msgframe"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrUnreachable means that nothing was sent: the call or notice did not run.
	ErrUnreachable = merry.Sentinel("peer unreachable")
	// ErrLost means that the call was sent and its answer did not arrive: it may have run.
	ErrLost = merry.Sentinel("answer of peer lost")
	// ErrTooLarge means that a frame exceeds the limit of its class; nothing was sent.
	ErrTooLarge = msgframe.ErrTooLarge
	// ErrQueueFull means that a notice was dropped because the queue was full.
	ErrQueueFull = merry.Sentinel("queue of peer full")

	errClosed       = merry.Sentinel("node closed")
	errUnresponsive = merry.Sentinel("connection unresponsive")
	errIdle         = merry.Sentinel("connection idle")
)

// Codes of a RemoteError that the protocol itself sets.
const (
	// CodeFailed is the code of a handler's error that is not a *RemoteError.
	CodeFailed = "failed"
	// CodeNoMethod means that the peer has no such method; the call did not run.
	CodeNoMethod = "noMethod"
	// CodeOverloaded means that the peer has too many calls in progress; the call did not run.
	CodeOverloaded = "overloaded"
	// CodeBadRequest means that the peer could not decode the request; the call did not run.
	CodeBadRequest = "badRequest"
	// CodeTooLarge means that the call ran and its response exceeds the limit of the class.
	CodeTooLarge = "tooLarge"
)

// RemoteError is the error of a handler on the peer. A handler that returns a *RemoteError
// chooses the code.
type RemoteError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer: %s: %s", e.Code, e.Message) }
