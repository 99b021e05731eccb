package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/slot"
	"mothcart/io/carrier"
	"mothcart/io/held"
	"mothcart/io/service"
)

const (
	// maxAnswerBytes bounds the body of an answer that is not streamed.
	maxAnswerBytes = 4 << 20
	// maxStreamBytes bounds the events of a stream together.
	maxStreamBytes = 16 << 20
)

var (
	// ErrSilent means that an upstream sent nothing within the idle timeout of a call.
	ErrSilent = merry.Sentinel("upstream sent nothing within the time limit")
	// errReplaced means that an attempt was ended because another one has taken its place.
	errReplaced = merry.Sentinel("another attempt took its place")
	// errNoEvent means that the connection ended before the first event of a stream without a length.
	errNoEvent = merry.Sentinel("connection ended before the first event")
	// errNotContinued means that an upstream has answered with something else than the rest of a stream.
	errNotContinued = merry.Sentinel("answer doesn't go on after the last event")
	// errCut means that an answer without a length ended with its upstream.
	errCut = merry.Sentinel("upstream ended with an answer that has no length")
	// errOverdue means that a stream ended once the request's time was over, when upstreams stop their work, whole or not.
	errOverdue = merry.Sentinel("stream ended after its deadline")
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
	// Carried is that of Lease.
	Carried bool
	// Continues reports that the attempt continues a stream, of which nothing may be left.
	Continues bool
	// After is the event after which the stream must go on; empty if it may begin with any.
	After string
	// IdleTimeout is the longest time to the headers of the answer, from there to the complete body or the first
	// event, and between events, before the upstream counts as silent; 0 means no limit.
	IdleTimeout time.Duration
	// OnSilence is called with true when the upstream has become silent, and with false when it goes on. It must
	// not block. Without it, silence ends the attempt with ErrSilent.
	OnSilence func(silent bool)
	// OnLoad is called with the upstream's load if the headers of its answer report it, and OnLeaving if they say
	// that the upstream is leaving, both before the answer is used.
	OnLoad    func(m AnswerInfo)
	OnLeaving func()
	// OnLimit is called with the rate that the headers of an answer name, or with the lack of one, before the answer is
	// used.
	OnLimit func(rate float64, named bool)
	// Holds ends when the body of an answer is no longer held; nil means with the attempt's context.
	Holds context.Context
	// OnWrote is called once the upstream has sent writtenEvents events of a stream.
	OnWrote func()
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
	// Events is the number of events of a stream that have arrived.
	Events int
	// Ended reports that the upstream ended before it had written on the request.
	Ended bool
	// Err is why there is no answer, or why a stream was interrupted.
	Err error
	// unframed is service.Answer.Unframed.
	unframed bool
}

// Success reports a complete answer with a status of success.
func (a Answer) Success() bool { return a.Err == nil && a.Status >= 200 && a.Status < 300 }

// refused reports that the upstream did not run the request. A success that says so contradicts itself.
func (a Answer) refused() bool {
	if a.Err != nil || a.Status < http.StatusMultipleChoices {
		return false
	}
	return a.Info.NotRun || a.Status == http.StatusMisdirectedRequest
}

// Result returns what the outcome shows about the upstream.
func (a Answer) Result(ctx context.Context) slot.Result {
	switch {
	case errors.Is(a.Err, ErrSilent):
		return slot.Broken
	case errors.Is(a.Err, errReplaced):
		return slot.Abandoned // its silence was reported when it began
	case errors.Is(a.Err, errOverdue):
		return slot.Abandoned
	case a.Err != nil && ctx.Err() != nil:
		return slot.Abandoned
	case a.Err != nil && !a.Sent:
		return slot.Unreachable
	case a.Ended:
		return slot.Ended
	case a.Err != nil:
		return slot.Broken
	case a.Status == http.StatusMisdirectedRequest:
		return slot.Moved
	case a.refused():
		return slot.Full
	case a.Status >= http.StatusInternalServerError:
		return slot.Errored
	case !a.Success():
		return slot.Failed
	default:
		return slot.Served
	}
}

// Do makes one attempt. For a successful answer, if stream is set, it calls stream.Start with the headers
// and then stream.Event with each event; an error of either ends the attempt. Other answers are read
// completely; their bodies count as held by the client until ctx ends. A panic, which would end the process with all its
// requests and then the next process that runs the same item, ends only the attempt.
func Do(ctx context.Context, client *service.Client, codec HeaderCodec, call Call, stream *Sink) (a Answer) {
	defer func() {
		if v := recover(); v != nil {
			a = Answer{Sent: true, Err: merry.Errorf("attempt panicked: %v\n%s", v, debug.Stack())}
		}
	}()
	a = do(ctx, client, codec, call, stream)
	if !a.mayHaveEnded(ctx) || !client.Refuses(ctx, call.Upstream.Address) {
		return a
	}
	a.Ended = a.Events < writtenEvents
	if a.Err == nil {
		a.Body, a.Err = nil, errCut
	}
	return a
}

// mayHaveEnded reports that the upstream's end may be why the attempt failed before the upstream had written, or why an
// answer without a length looks complete. The body of a refusal isn't passed on.
func (a Answer) mayHaveEnded(ctx context.Context) bool {
	if a.Err == nil {
		return a.unframed && !a.Info.Leaving && !a.refused()
	}
	return a.Sent && a.Events < writtenEvents && ctx.Err() == nil && !errors.Is(a.Err, ErrSilent) && !errors.Is(a.Err, errOverdue)
}

// writtenEvents is the number of events after which an upstream has written on a request; the first one may arrive as
// the upstream ends.
const writtenEvents = 2

func do(ctx context.Context, client *service.Client, codec HeaderCodec, call Call, stream *Sink) Answer {
	holds := cmp.Or(call.Holds, ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	onSilence := call.OnSilence
	if onSilence == nil {
		onSilence = func(bool) { cancel(ErrSilent) }
	}
	idle := newIdleTimer(call.IdleTimeout, onSilence)
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
	idle.heard()
	idle.await()
	a := Answer{Status: resp.Status, Header: resp.Header, Info: codec.Read(resp.Header), Sent: true, unframed: resp.Unframed}
	if call.Carried && !a.Info.Signed && isOwnRefusal(a.Status, a.Header) {
		a.Info.NotRun = true // the other entry's own answer
	}
	call.observe(a)
	if a.Success() && !a.Info.Signed {
		return Answer{Sent: true, Err: merry.Errorf("status %d: %w", a.Status, errUnsigned)}
	}
	if a.Success() && stream != nil {
		if a.Events, err = stream.copy(resp, idle, call); err == nil && isOverdue(ctx) {
			err = errOverdue
		}
		a.Err = cause(ctx, err)
		return a
	}
	if resp.Body != http.NoBody {
		resp.Body = answerBody{idle.reader(resp.Body), resp.Body}
	}
	a.Body, err = client.ReadAnswer(holds, resp, maxAnswerBytes)
	if err != nil {
		return Answer{Sent: true, Err: cause(ctx, err)}
	}
	return a
}

// isOverdue reports that the time of an attempt is over, whether or not its context has ended yet.
func isOverdue(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// answerBody is the body of an answer that is read by way of another reader.
type answerBody struct {
	io.Reader
	io.Closer
}

// isOwnRefusal reports that an unsigned answer of another entry shows that it has not sent the request. It passes on no
// upstream's 503 or 429, but others; entries of earlier releases don't mark their own ones.
func isOwnRefusal(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || h.Get(carrier.HeaderNotSent) != ""
}

// observe passes on what the headers of an answer say about the upstream.
func (c Call) observe(a Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return // another process answers
	}
	if a.Info.HasLoad {
		c.OnLoad(a.Info)
	}
	if !a.Info.RateUnreadable {
		c.OnLimit(a.Info.Rate, a.Info.HasRate)
	}
	if a.Info.Leaving {
		c.OnLeaving()
	}
}

// cause returns err with the reason why the attempt was cancelled, if it was for one of this package's.
func cause(ctx context.Context, err error) error {
	for _, reason := range []error{ErrSilent, errReplaced} {
		if err != nil && errors.Is(context.Cause(ctx), reason) {
			return merry.Errorf("%w: %w", reason, err)
		}
	}
	return err
}

// Sink receives a stream.
type Sink struct {
	// Start is called with the status and headers before each event, and before the end of a stream without events.
	// Until then the caller can get another answer.
	Start func(status int, h http.Header) error
	// Event is called for each complete event, and without bytes when there are none to send but all are to be flushed;
	// more reports that the next one is already buffered.
	Event func(e Event, more bool) error
	// Caller is the connection of the caller; while the caller is behind, the stream is read ahead within Budget. Nil if
	// there is none.
	Caller *held.Conn
	Budget *held.Budget
}

// readAhead returns a reader of a stream's body that reads ahead of a caller that is behind, and a function to be called
// at its end.
func (s *Sink) readAhead(body io.Reader) (io.Reader, func()) {
	if s.Caller == nil {
		return body, func() {}
	}
	r := newReadAhead(body, s.Budget)
	s.Caller.OnBehind(r.start)
	return r, func() {
		s.Caller.OnBehind(nil)
		r.close()
	}
}

// copy passes on the events of a stream and returns their number. It calls OnWrote after writtenEvents of them. Without
// any it returns errNoEvent, unless the stream may be empty, and errNotContinued before the first one if that doesn't go
// on after call.After.
func (s *Sink) copy(resp service.Answer, idle *idleTimer, call Call) (n int, err error) {
	mayBeEmpty := call.Continues || !resp.Unframed
	body, done := s.readAhead(idle.reader(resp.Body))
	defer done()
	events := newEventReader(body)
	out := lastHeld{send: s.Event, numbered: call.After != ""}
	received := 0
	for {
		e, err := events.next()
		if err != nil && err != io.EOF {
			return n, merry.Errorf("read stream: %w", err)
		}
		if e.Blank {
			idle.hold()
		} else {
			idle.heard()
		}
		if err == io.EOF && n == 0 && !mayBeEmpty {
			return n, errNoEvent
		}
		if call.After != "" && n == 0 && !e.isFiller() && !e.follows(call.After) {
			return n, merry.Errorf("event %q after %q: %w", e.ID, call.After, errNotContinued)
		}
		if err := s.Start(resp.Status, resp.Header); err != nil {
			return n, merry.Errorf("start stream: %w", err)
		}
		if err == io.EOF {
			return n, out.release(false)
		}
		if received += len(e.Raw); received > maxStreamBytes {
			return n, merry.Errorf("stream over %d bytes: %w", maxStreamBytes, service.ErrTooLarge)
		}
		if err := out.add(e, events.buffered()); err != nil {
			return n, merry.Errorf("forward event: %w", err)
		}
		if e.Blank {
			idle.resume()
			continue
		}
		if n++; n == writtenEvents {
			call.OnWrote()
		}
		idle.await()
	}
}
