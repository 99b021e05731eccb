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
	// Rejected means that the engine found the request wrong; it did not run.
	Rejected Kind = "rejected"
	// Failed means that the engine ran the request and failed.
	Failed Kind = "failed"
	// Broken means that the connection ended before the answer was whole.
	Broken Kind = "broken"
	// Silent means that the connection brought nothing for the progress timeout.
	Silent Kind = "silent"
	// Foreign means that the answer belonged to another request.
	Foreign Kind = "foreign"
	// Cancelled means that the caller of the client gave up.
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
	// RetryAfter is the engine's advice, or 0.
	RetryAfter time.Duration
	err        error
}

// Error describes the failure.
func (f *Failure) Error() string { return fmt.Sprintf("engine call %s: %v", f.Kind, f.err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// DidNotRun reports that the request certainly did not run.
func (f *Failure) DidNotRun() bool {
	return !f.Sent || f.Kind == NotSent || f.Kind == Refused || f.Kind == Rejected
}

// UpstreamFault reports that the failure speaks against the engine rather than the request.
func (f *Failure) UpstreamFault() bool {
	return f.Kind != Rejected && f.Kind != Cancelled && f.Kind != Refused
}

// maxErrorBody bounds the part of an error's body that is kept.
const maxErrorBody = 16 << 10

// refusal reads an answer that is not a success.
func refusal(resp *http.Response) *Failure {
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

// watchdog calls a function after a time without touch.
type watchdog struct {
	after time.Duration
	timer *time.Timer
}

func newWatchdog(after time.Duration, bark func()) *watchdog {
	if after <= 0 {
		return &watchdog{}
	}
	return &watchdog{after: after, timer: time.AfterFunc(after, bark)}
}

func (w *watchdog) touch() {
	if w.timer != nil {
		w.timer.Reset(w.after)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
