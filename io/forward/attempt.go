package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/slot"
	"mothcart/io/service"
)

// maxAnswerBytes bounds an answer that is not a stream.
const maxAnswerBytes = 16 << 20

var (
	// ErrSilent means that an upstream sent nothing for too long.
	ErrSilent = merry.Sentinel("upstream is silent")
	// errUnsigned means that a success carries no signature of its upstream.
	errUnsigned = merry.Sentinel("answer without signature")
)

// Call is one attempt at one upstream.
type Call struct {
	ID     string
	Method string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
	Attempt
	// Silence is the longest time without a byte; 0 means no bound.
	Silence time.Duration
	// Loaded is told of the upstream's load as soon as the headers of its answer say it.
	Loaded func(m Marks)
}

// Answer is what an attempt brought. Status is 0 if there was no answer; Err is then set.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body of an answer that is not a stream.
	Body  []byte
	Marks Marks
	// Sent reports that a part of the request may have reached the upstream.
	Sent bool
	// Err is why there is no answer, or why a stream broke off.
	Err error
}

// Success reports a complete answer with a status of success.
func (a Answer) Success() bool { return a.Err == nil && a.Status >= 200 && a.Status < 300 }

// Result returns what the answer says of the upstream.
func (a Answer) Result(ctx context.Context) slot.Result {
	switch {
	case errors.Is(a.Err, ErrSilent):
		return slot.Broken
	case a.Err != nil && ctx.Err() != nil:
		return slot.Abandoned
	case a.Err != nil && !a.Sent:
		return slot.Unreachable
	case a.Err != nil:
		return slot.Broken
	case a.Status == http.StatusMisdirectedRequest:
		return slot.Moved
	case a.Marks.NotRun:
		return slot.Full
	default:
		return slot.Served
	}
}

// Do makes one attempt. Events of a successful stream go to onEvent, after onStart with the
// headers; other answers are read whole. An error of onStart or onEvent ends the attempt.
func Do(ctx context.Context, client *service.Client, wire Wire, call Call, stream *Sink) Answer {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := newSilenceGuard(call.Silence, cancel)
	defer guard.stop()
	resp, err := client.Do(ctx, service.Call{
		Address: call.Upstream.Address, Host: call.Host, Method: call.Method, Path: call.Path,
		Header: wire.Outgoing(call.Header, call.Attempt), Body: call.Body, RequestID: call.ID,
	})
	if err != nil {
		var failure *service.Failure
		sent := !errors.As(err, &failure) || failure.Sent
		return Answer{Sent: sent, Err: cause(ctx, err)}
	}
	defer resp.Body.Close()
	guard.reset()
	a := Answer{Status: resp.Status, Header: resp.Header, Marks: wire.Read(resp.Header), Sent: true}
	if a.Marks.HasLoad {
		call.Loaded(a.Marks)
	}
	if a.Success() && !a.Marks.Signed {
		return Answer{Sent: true, Err: merry.Errorf("status %d: %w", a.Status, errUnsigned)}
	}
	if a.Success() && stream != nil {
		a.Err = cause(ctx, stream.copy(resp, guard))
		return a
	}
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{Sent: true, Err: cause(ctx, merry.Errorf("read answer: %w", err))}
	}
	return a
}

// cause returns the reason for which ctx was cancelled in place of the error that it led to.
func cause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		return merry.Errorf("%w: %w", ErrSilent, err)
	}
	return err
}

// Sink receives a stream.
type Sink struct {
	// Start is called with the status and headers before the first event.
	Start func(status int, h http.Header) error
	// Event is called for each whole event; more reports that another one has been read already.
	Event func(e Event, more bool) error
}

func (s *Sink) copy(resp service.Answer, guard *silenceGuard) error {
	if err := s.Start(resp.Status, resp.Header); err != nil {
		return merry.Errorf("start stream: %w", err)
	}
	events := newEventReader(resp.Body)
	for {
		e, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return merry.Errorf("read stream: %w", err)
		}
		guard.reset()
		if err := s.Event(e, events.buffered()); err != nil {
			return merry.Errorf("pass on event: %w", err)
		}
	}
}

// silenceGuard cancels an attempt that brings nothing for too long.
type silenceGuard struct {
	limit time.Duration
	timer *time.Timer
	ended atomic.Bool
}

func newSilenceGuard(limit time.Duration, cancel context.CancelCauseFunc) *silenceGuard {
	g := &silenceGuard{limit: limit}
	if limit > 0 {
		g.timer = time.AfterFunc(limit, func() {
			if !g.ended.Load() {
				cancel(ErrSilent)
			}
		})
	}
	return g
}

func (g *silenceGuard) reset() {
	if g.timer != nil {
		g.timer.Reset(g.limit)
	}
}

func (g *silenceGuard) stop() {
	g.ended.Store(true)
	if g.timer != nil {
		g.timer.Stop()
	}
}
