package engine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// errSilent is the cause of a cancellation by the watchdog.
var errSilent = merry.Sentinel("connection is silent")

// Kind says how a call failed.
type Kind string

// Kinds of failure.
const (
	// NotSent means that no connection could be opened; the request did not run.
	NotSent Kind = "notSent"
	// Refused means that the engine said that it did not run the request.
	Refused Kind = "refused"
	// Rejected means that the engine found the request invalid; it did not run.
	Rejected Kind = "rejected"
	// Failed means that the engine ran the request and failed.
	Failed Kind = "failed"
	// Broken means that the connection ended before the answer was complete.
	Broken Kind = "broken"
	// Silent means that the connection brought no event for the progress timeout.
	Silent Kind = "silent"
	// Mismatched means that the answer belonged to another request.
	Mismatched Kind = "foreign"
	// Cancelled means that the context of the call was cancelled or its deadline passed.
	Cancelled Kind = "cancelled"
)

// Failure is the error of a call.
type Failure struct {
	Kind Kind
	// Sent reports that any part of the request may have reached the engine.
	Sent bool
	// Status and Body are the engine's answer, if it gave one.
	Status int
	Body   []byte
	// RetryAfter is the value of the engine's Retry-After header, or 0.
	RetryAfter time.Duration
	err        error
}

// Error describes the failure.
func (f *Failure) Error() string { return fmt.Sprintf("engine call %s: %v", f.Kind, f.err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// DidNotRun reports whether the request definitely did not run.
func (f *Failure) DidNotRun() bool {
	return !f.Sent || f.Kind == NotSent || f.Kind == Refused || f.Kind == Rejected
}

// UpstreamFault reports whether the failure counts against the engine's health: a refusal, a rejected request
// and a cancellation don't.
func (f *Failure) UpstreamFault() bool {
	return f.Kind != Rejected && f.Kind != Cancelled && f.Kind != Refused
}

// maxErrorBody bounds the bytes of an error answer's body that are stored in a Failure.
const maxErrorBody = 16 << 10

// statusFailure converts an answer with an error status to a Failure.
func statusFailure(resp *http.Response) *Failure {
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	f := &Failure{Kind: Failed, Sent: true, Status: resp.StatusCode, Body: body, err: merry.Errorf("status %d", resp.StatusCode)}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		f.Kind = Refused
	case resp.StatusCode < http.StatusInternalServerError:
		f.Kind = Rejected
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}

// watchdog calls a function once it was not reset for the timeout; without a timeout it does nothing.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
}

func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	if timeout <= 0 {
		return &watchdog{}
	}
	return &watchdog{timeout: timeout, timer: time.AfterFunc(timeout, onTimeout)}
}

func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
