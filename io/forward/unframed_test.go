package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/service"
)

// unframedHead is the head of an answer with neither a length nor chunks.
const unframedHead = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"

// failureHead is the same with a status of failure.
const failureHead = "HTTP/1.1 500 Broken\r\nX-Signature: s\r\n\r\n"

// ending is how an upstream ends an answer without a length.
type ending int

const (
	closes ending = iota
	resets
	// crashes means that the upstream ends and the system closes its connections.
	crashes
)

// upstream serves each connection with serve, once the head of a request has been read, and then closes it. It returns its
// address.
func upstream(t *testing.T, serve func(l net.Listener, conn *net.TCPConn, r *http.Request)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // the test has ended, or the upstream
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return // a connection without a request
				}
				serve(l, conn.(*net.TCPConn), r)
			}()
		}
	}()
	return l.Addr().String()
}

// unframedUpstream answers each request with some bytes and then ends the connection. It returns its address.
func unframedUpstream(t *testing.T, answer string, how ending) string {
	return upstream(t, func(l net.Listener, conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // bytes that are not read would reset the connection
		_, _ = io.WriteString(conn, answer)
		switch how {
		case resets:
			_ = conn.SetLinger(0)
		case crashes:
			_ = l.Close()
		case closes:
		}
	})
}

// Guards against cut answers without a length that look whole, and against whole ones that count as cut.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, tc := range []struct {
		name   string
		stream bool
		answer string
		how    ending
		// continues is set for an attempt that continues a stream.
		continues bool
		success   bool
		events    int
		body      string
		result    slot.Result
	}{
		{name: "stream, after an event", stream: true, answer: unframedHead + event1 + event2, success: true, events: 2, result: slot.Served},
		{name: "stream, inside an event", stream: true, answer: unframedHead + event1 + "id: 2\n", events: 1, result: slot.Broken},
		{name: "stream, inside a line", stream: true, answer: unframedHead + event1 + "id: 2\nda", events: 1, result: slot.Broken},
		{name: "stream, inside the first line", stream: true, answer: unframedHead + "i", result: slot.Broken},
		{name: "stream, before the first event", stream: true, answer: unframedHead, result: slot.Broken},
		{name: "stream, empty lines before the first event", stream: true, answer: unframedHead + "\n\n", events: -1, result: slot.Broken},
		{name: "stream, a comment before the first event", stream: true, answer: unframedHead + ": wait\n\n", events: -1, result: slot.Broken},
		{name: "continued stream, nothing left", stream: true, answer: unframedHead, continues: true, success: true, result: slot.Served},
		{name: "stream, inside the head", stream: true, answer: unframedHead[:30], result: slot.Broken},
		{name: "stream, reset after an event", stream: true, answer: unframedHead + event1, how: resets, events: -1, result: slot.Broken},
		{name: "stream, the upstream ends after an event", stream: true, answer: unframedHead + event1, how: crashes, events: 1, result: slot.Ended},
		{name: "stream, the upstream ends before the first event", stream: true, answer: unframedHead, how: crashes, result: slot.Ended},
		{name: "stream, the upstream ends after two events", stream: true, answer: unframedHead + event1 + event2, how: crashes, events: 2, result: slot.Broken},
		{name: "plain answer", answer: unframedHead + "whole", success: true, body: "whole", result: slot.Served},
		{name: "plain answer, reset", answer: unframedHead + "whole", how: resets, result: slot.Broken},
		{name: "plain answer, the upstream ends", answer: unframedHead + "whole", how: crashes, result: slot.Ended},
		{name: "failure", answer: failureHead + "whole", body: "whole", result: slot.Errored},
		{name: "failure, the upstream ends", answer: failureHead + "who", how: crashes, result: slot.Ended},
		{name: "rejection, the upstream ends", answer: strings.Replace(failureHead, "500", "422", 1) + "who", how: crashes, result: slot.Ended},
		{name: "refusal, the upstream ends", answer: strings.Replace(failureHead, "X-Signature", "X-Not-Run", 1) + "who", how: crashes, body: "who", result: slot.Full},
		{name: "plain answer, inside the head", answer: unframedHead[:30], result: slot.Broken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := service.New(service.NewOptions())
			defer client.Close()
			codec := HeaderCodec{
				Outgoing: func(h http.Header, _ Attempt) http.Header { return h },
				Read: func(h http.Header) AnswerInfo {
					return AnswerInfo{Signed: h.Get("X-Signature") != "", NotRun: h.Get("X-Not-Run") != ""}
				},
			}
			call := Call{
				ID: "r1", Method: http.MethodPost, Path: "/", OnWrote: func() {}, OnLimit: func(float64, bool) {},
				Attempt:   Attempt{Upstream: site.Upstream{ID: "u", Address: unframedUpstream(t, tc.answer, tc.how)}},
				Continues: tc.continues,
			}
			var sink *Sink
			started := false
			if tc.stream {
				sink = &Sink{Start: func(int, http.Header) error { started = true; return nil }, Event: func(Event, bool) error { return nil }}
			}
			a := Do(t.Context(), client, codec, call, sink)
			require.Equal(t, tc.success, a.Success(), "%v", a.Err)
			require.Equal(t, tc.result, a.Result(t.Context()))
			require.Equal(t, tc.body, string(a.Body))
			if tc.events >= 0 {
				require.Equal(t, tc.events, a.Events)
				require.Equal(t, tc.success || tc.events > 0, started || !tc.stream && tc.success, "the caller gets another answer if nothing was sent")
			}
		})
	}
}

// lateContext is a context whose time is over and that has not ended yet, as on a busy machine.
type lateContext struct{ context.Context }

// Deadline implements context.Context.
func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// Guards against a stream that looks whole since its upstream stops its work, and ends the answer in order, when the time of
// the request is over.
func TestStreamThatEndsAfterItsDeadlineIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	address := unframedUpstream(t, head+"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", closes)
	client := service.New(service.NewOptions())
	defer client.Close()
	codec := HeaderCodec{
		Outgoing: func(h http.Header, _ Attempt) http.Header { return h },
		Read:     func(h http.Header) AnswerInfo { return AnswerInfo{Signed: h.Get("X-Signature") != ""} },
	}
	for _, tc := range []struct {
		name   string
		ctx    context.Context
		whole  bool
		result slot.Result
	}{
		{"in time", t.Context(), true, slot.Served},
		{"late", lateContext{t.Context()}, false, slot.Abandoned},
	} {
		call := Call{ID: "r1", Method: http.MethodPost, Path: "/", OnWrote: func() {}, OnLimit: func(float64, bool) {}, Attempt: Attempt{Upstream: site.Upstream{ID: "u", Address: address}}}
		a := Do(tc.ctx, client, codec, call, &Sink{Start: func(int, http.Header) error { return nil }, Event: func(Event, bool) error { return nil }})
		require.Equal(t, tc.whole, a.Success(), "%s: %v", tc.name, a.Err)
		require.Equal(t, 1, a.Events, tc.name)
		require.Equal(t, tc.result, a.Result(tc.ctx), tc.name)
	}
}
