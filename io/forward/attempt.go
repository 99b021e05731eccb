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

// maxAnswerBytes bounds the body of an answer that is not streamed.
const maxAnswerBytes = 16 << 20

var (
	// ErrSilent means that an upstream sent nothing within the idle timeout of a call.
	ErrSilent = merry.Sentinel("upstream sent nothing within the time limit")
	// errUnsigned means that an answer with a status of success lacks the upstream's signature.
	errUnsigned = merry.Sentinel("answer lacks the upstream's signature")
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
	// IdleTimeout bounds the time to the headers of the answer, from there to the complete body or the first
	// event, and between events; 0 means no limit.
	IdleTimeout time.Duration
	// OnLoad is called with the upstream's load if the headers of its answer report it, and OnLeaving if they say
	// that the upstream is leaving, both before the answer is used.
	OnLoad    func(m AnswerInfo)
	OnLeaving func()
}

// Answer is the outcome of an attempt. Status is 0 if there was no answer; Err is then set.
type Answer struct {
	Status int
	Header http.Header
	// Body is the body of an answer that is not streamed.
	Body []byte
	Info AnswerInfo
	// Sent reports that a part of the request may have reached the upstream.
	Sent bool
	// Err is why there is no answer, or why a stream was interrupted.
	Err error
}

// Success reports a complete answer with a status of success.
func (a Answer) Success() bool { return a.Err == nil && a.Status >= 200 && a.Status < 300 }

// Result returns what the outcome shows about the upstream.
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
	case a.Info.NotRun:
		return slot.Full
	default:
		return slot.Served
	}
}

// Do makes one attempt. For a successful answer, if stream is set, it calls stream.Start with the headers
// and then stream.Event with each event; an error of either ends the attempt. Other answers are read
// completely.
func Do(ctx context.Context, client *service.Client, codec HeaderCodec, call Call, stream *Sink) Answer {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := newIdleTimer(call.IdleTimeout, cancel)
	defer idle.stop()
	resp, err := client.Do(ctx, service.Call{
		Address: call.Upstream.Address, Host: call.Host, Method: call.Method, Path: call.Path,
		Header: codec.Outgoing(call.Header, call.Attempt), Body: call.Body, RequestID: call.ID,
	})
	if err != nil {
		var failure *service.Failure
		sent := !errors.As(err, &failure) || failure.Sent
		return Answer{Sent: sent, Err: cause(ctx, err)}
	}
	defer resp.Body.Close()
	idle.reset()
	a := Answer{Status: resp.Status, Header: resp.Header, Info: codec.Read(resp.Header), Sent: true}
	call.observe(a)
	if a.Success() && !a.Info.Signed {
		return Answer{Sent: true, Err: merry.Errorf("status %d: %w", a.Status, errUnsigned)}
	}
	if a.Success() && stream != nil {
		a.Err = cause(ctx, stream.copy(resp, idle))
		return a
	}
	a.Body, err = service.ReadAnswer(resp.Body, maxAnswerBytes)
	if err != nil {
		return Answer{Sent: true, Err: cause(ctx, err)}
	}
	return a
}

// observe passes on what the headers of an answer say about the upstream.
func (c Call) observe(a Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return // another process answers
	}
	if a.Info.HasLoad {
		c.OnLoad(a.Info)
	}
	if a.Info.Leaving {
		c.OnLeaving()
	}
}

// cause wraps err in ErrSilent if the idle timeout cancelled ctx, and otherwise returns err.
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
	// Event is called for each complete event; more reports that further bytes are already buffered.
	Event func(e Event, more bool) error
}

func (s *Sink) copy(resp service.Answer, idle *idleTimer) error {
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
		idle.reset()
		if err := s.Event(e, events.buffered()); err != nil {
			return merry.Errorf("forward event: %w", err)
		}
	}
}

// idleTimer cancels an attempt with ErrSilent if it receives nothing within a limit.
type idleTimer struct {
	limit time.Duration
	timer *time.Timer
	ended atomic.Bool
}

func newIdleTimer(limit time.Duration, cancel context.CancelCauseFunc) *idleTimer {
	t := &idleTimer{limit: limit}
	if limit > 0 {
		t.timer = time.AfterFunc(limit, func() {
			if !t.ended.Load() {
				cancel(ErrSilent)
			}
		})
	}
	return t
}

func (t *idleTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(t.limit)
	}
}

func (t *idleTimer) stop() {
	t.ended.Store(true)
	if t.timer != nil {
		t.timer.Stop()
	}
}
