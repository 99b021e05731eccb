// Package engine is the client of the model engines: OpenAI's HTTP interface with streams, and the
// engines' own calls for load, cancellation and orders.
//
// Each call but those for load reports has a connection of its own, so that no answer of one call can be taken for that
// of another: an engine may write an earlier answer, or refusal, once more. A stream without an event for the progress
// timeout is considered to be on a dead connection: the client closes it and returns a Failure of kind Silent.
//
// Usage:
//
//	c := engine.New(engine.NewOptions())
//	defer c.Close()
//	err := c.Stream(ctx, engine.Call{Address: "10.0.0.4:8000", Path: engine.ChatPath, RequestID: id, Body: body},
//		func(e engine.Event) error { return forward(e.Data) })
package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"

	"mothcart/io/dial"
	"mothcart/io/http1"
	"mothcart/io/service"
)

// Paths of an engine's interface.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
)

// Headers of an engine's interface.
const (
	requestIDHeader  = "X-Request-Id"
	resumeFromHeader = "X-Resume-From"
	resumableHeader  = "X-Resumable"
)

// DoneEvent is the last event of a complete stream.
const DoneEvent = "[DONE]"

// errorEvent begins an event with which an engine reports that it failed in the middle of a stream.
const errorEvent = `{"error"`

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// maxAnswerBytes bounds an answer that is not a stream.
const maxAnswerBytes = 64 << 20

// Client calls engines. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	// reports keeps connections; nothing but load reports, of which each replaces the one before, is read on them.
	reports    *http.Transport
	mismatched atomic.Int64
	duplicates atomic.Int64
	silent     atomic.Int64
}

// reportIdleTimeout closes a connection on which no load report was asked for.
const reportIdleTimeout = 30 * time.Second

// New returns a client without connections.
func New(opts Options) *Client {
	single := &http.Transport{
		DialContext:        opts.Dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     opts.ReadBufferBytes,
	}
	kept := single.Clone()
	kept.DisableKeepAlives, kept.IdleConnTimeout = false, reportIdleTimeout
	return &Client{transport: http1.Transport(single), reports: http1.Transport(kept)}
}

// Close closes connections that are not in use.
func (c *Client) Close() { c.reports.CloseIdleConnections() }

// MismatchedAnswers returns the number of answers dropped because they belonged to another request.
func (c *Client) MismatchedAnswers() int64 { return c.mismatched.Load() }

// DuplicateTokens returns the number of tokens dropped because their index is below the next one expected.
func (c *Client) DuplicateTokens() int64 { return c.duplicates.Load() }

// SilentConnections returns the number of calls ended because their connection brought nothing for the
// progress timeout.
func (c *Client) SilentConnections() int64 { return c.silent.Load() }

// Call is one request to an engine.
type Call struct {
	// Address is host:port.
	Address string
	Path    string
	// RequestID is unique; the engine repeats it in the answer.
	RequestID string
	Body      []byte
	// ResumeFrom is the index of the first token wanted; a value above 0 resumes a broken stream.
	ResumeFrom int
	// Resumable asks the engine to keep the stream's state when the connection breaks.
	Resumable bool
	// ProgressTimeout is the time without an event after which Stream ends the call as Silent; 0 means no bound.
	ProgressTimeout time.Duration
}

// Event is one event of a stream.
type Event struct {
	// Index is the token's index in the answer, or NoIndex for an event that is not a token.
	Index int
	Data  string
}

// NoIndex is the index of an event without one: the usage and [DONE].
const NoIndex = -1

// Stream sends the call and passes each event to onEvent, tokens in order and once each, including the
// final [DONE]. It returns nil only after [DONE]. An error of onEvent ends the stream and is
// returned as it is; all other errors are of type *Failure.
func (c *Client) Stream(ctx context.Context, call Call, onEvent func(Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(call.ProgressTimeout, func() { cancel(errSilent) })
	defer watch.stop()
	resp, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	done := false
	seq := newSequencer(call.ResumeFrom, onEvent)
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return c.failure(ctx, call, Broken, true, err)
		}
		watch.reset()
		if strings.HasPrefix(event.Data, errorEvent) {
			return c.failure(ctx, call, Failed, true, merry.Errorf("error in the stream"))
		}
		if err := seq.add(event.LastEventID, event.Data); err != nil {
			return err
		}
		if event.Data == DoneEvent {
			done = true
			break
		}
	}
	c.duplicates.Add(seq.duplicates)
	if !done || seq.hasGaps() {
		return c.failure(ctx, call, Broken, true, io.ErrUnexpectedEOF)
	}
	return nil
}

// Complete sends the call and returns the body of the complete answer, which is not streamed. A progress
// timeout bounds the entire call. Errors are of type *Failure.
func (c *Client) Complete(ctx context.Context, call Call) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(call.ProgressTimeout, func() { cancel(errSilent) })
	defer watch.stop()
	resp, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := service.ReadAnswer(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, c.failure(ctx, call, Broken, true, err)
	}
	return body, nil
}

// send sends the request and returns the answer if its status is 200 and it belongs to the request.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &Failure{Kind: NotSent, err: merry.Errorf("build request: %w", err)}
	}
	// Without GetBody the transport never resends a request by itself.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(requestIDHeader, call.RequestID)
	if call.Resumable {
		r.Header.Set(resumableHeader, "1")
	}
	if call.ResumeFrom > 0 {
		r.Header.Set(resumeFromHeader, strconv.Itoa(call.ResumeFrom))
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, c.failure(ctx, call, Broken, !dial.Failed(err), err)
	}
	if got := resp.Header.Get(requestIDHeader); got != "" && got != call.RequestID {
		resp.Body.Close()
		c.mismatched.Add(1)
		return nil, &Failure{Kind: Mismatched, Sent: true, err: merry.Errorf("answer to request %s, want %s", got, call.RequestID)}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusFailure(resp)
	}
	return resp, nil
}

// failure converts an error of the connection to a Failure of the kind that applies.
func (c *Client) failure(ctx context.Context, call Call, kind Kind, sent bool, err error) *Failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		c.silent.Add(1)
		return &Failure{Kind: Silent, Sent: true, err: merry.Errorf("no progress for %s: %w", call.ProgressTimeout, err)}
	case cause != nil:
		return &Failure{Kind: Cancelled, Sent: sent, err: merry.Errorf("cancelled: %w", cause)}
	case !sent:
		return &Failure{Kind: NotSent, err: merry.Errorf("connect: %w", err)}
	default:
		return &Failure{Kind: kind, Sent: true, err: merry.Errorf("connection broke: %w", err)}
	}
}
