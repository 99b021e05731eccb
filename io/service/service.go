// Package service forwards HTTP calls to plain services with method, headers and body.
//
// Do makes one attempt, on a connection of its own, so that no answer of one call can be taken for that of another and no
// call uses a connection that the upstream is about to close. The transport never repeats a request by itself, so that a
// call that may not be repeated is sent at most once; the caller decides by the Failure whether to try again. A body that
// ends early gives an error when Body is read, never a short answer. An answer whose head breaks the rules of HTTP is an
// error (io/http1). Answers that are read into memory share Options.AnswerBytes.
//
// Usage:
//
//	c := service.New(service.NewOptions())
//	answer, err := c.Do(ctx, service.Call{Address: "10.0.0.7:8000", Method: "POST", Path: "/swap", Body: body})
//	defer answer.Body.Close()
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/http1"
)

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	transport       *http.Transport
	requestIDHeader string
	mismatched      atomic.Int64
	// answers is the room for answers that are held in memory.
	answers room
}

// maxHeadBytes bounds the head of an answer in bytes, together with all interim answers before it.
const maxHeadBytes = 64 << 10

// New returns a client without connections.
func New(opts Options) *Client {
	return &Client{requestIDHeader: opts.RequestIDHeader, answers: room{free: opts.AnswerBytes, takeShared: opts.Take, freeShared: opts.Free}, transport: http1.Counting(&http.Transport{
		DialContext:            opts.Dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		ResponseHeaderTimeout:  opts.HeaderTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}, opts.OnFault)}
}

// Close closes connections that no call uses.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// MismatchedAnswers returns the number of answers dropped because they belonged to another request.
func (c *Client) MismatchedAnswers() int64 { return c.mismatched.Load() }

// Call is one request to a plain service.
type Call struct {
	// Address is host:port.
	Address string
	// Host is the host header; empty means Address.
	Host   string
	Method string
	// Path holds the escaped path and the query.
	Path      string
	Header    http.Header
	Body      []byte
	RequestID string
}

// Answer is the upstream's answer; the caller closes Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 if it is not known.
	Length int64
	// Unframed reports that the body has neither a length nor chunks and ends with its connection, so that its end
	// looks the same if the upstream ends.
	Unframed bool
}

// Failure is the error of an attempt without an answer.
type Failure struct {
	// Sent reports that any part of the request may have reached the upstream.
	Sent bool
	err  error
}

// Error describes the failure.
func (f *Failure) Error() string { return "service call: " + f.err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// Do makes one attempt. Errors are of type *Failure.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, onceReader(call.Body))
	if err != nil {
		return Answer{}, &Failure{err: merry.Errorf("build request: %w", err)}
	}
	r.ContentLength = int64(len(call.Body))
	r.Host = call.Host
	r.Header = EndToEnd(call.Header)
	r.Header.Set(c.requestIDHeader, call.RequestID)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return Answer{}, &Failure{Sent: connected.Load(), err: merry.Errorf("round trip: %w", err)}
	}
	if got, ok := otherID(resp.Header.Values(c.requestIDHeader), call.RequestID); ok {
		resp.Body.Close()
		c.mismatched.Add(1)
		return Answer{}, &Failure{Sent: true, err: merry.Errorf("answer to request %s, want %s", got, call.RequestID)}
	}
	return Answer{Status: resp.StatusCode, Header: EndToEnd(resp.Header), Body: resp.Body, Length: resp.ContentLength, Unframed: isUnframed(resp)}, nil
}

// otherID returns the first of the IDs in an answer that is not the request's, and false if there is none.
func otherID(ids []string, requestID string) (string, bool) {
	for _, id := range ids {
		if id != "" && id != requestID {
			return id, true
		}
	}
	return "", false
}

// isUnframed reports that a body ends with its connection.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// refuseTimeout bounds the check whether an address refuses connections.
const refuseTimeout = 150 * time.Millisecond

// Refuses reports that nothing listens at an address. It is false if that can't be told in time.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // it was opened only to see whether it can be
	return false
}

// onceReader hides the type of the reader, so that the transport has no way to read a body twice
// and thus never repeats the request.
func onceReader(body []byte) io.Reader { return struct{ io.Reader }{bytes.NewReader(body)} }

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the headers that concern one connection only.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
