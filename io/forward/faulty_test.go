package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/service"
)

// stays is the ending of an upstream that keeps the connection open; the others are in unframed_test.go.
const stays ending = -1

// scripted is what one upstream sends for a request; ID stands for the ID of the request. It waits for after first.
type scripted struct {
	text  string
	how   ending
	after time.Duration
}

// resettable is the end of a connection that can report a reset.
type resettable struct {
	net.Conn
	reset *atomic.Bool
}

// Read implements io.Reader.
func (c resettable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.reset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// pipes is a listener whose connections are pipes.
type pipes chan net.Conn

// Accept implements net.Listener.
func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (p pipes) Close() error { return nil }

// Addr implements net.Listener.
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// faulty runs requests at upstreams that answer by script, the next one at each attempt.
type faulty struct {
	script []scripted
	// carried reports that the upstreams are other entries.
	carried bool

	mu sync.Mutex
	// asked holds, for each request that an upstream has read, after which event it was to go on.
	asked []string
	// slots counts the slots that were granted.
	slots int
}

// runs returns how many upstreams have read the request.
func (u *faulty) runs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.asked)
}

func (u *faulty) acquire(_ context.Context, r slot.Request) (Lease, *slot.Refusal, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.slots == len(u.script) {
		return Lease{}, &slot.Refusal{Request: r, Reason: slot.ReasonFull}, nil
	}
	name := fmt.Sprint(u.slots)
	u.slots++
	return Lease{
		Upstream: site.Upstream{ID: name, Address: name + ":80"}, Carried: u.carried, Release: func(time.Time, slot.Result) {}, Report: func(time.Time, int, int) {},
		Limit: func(float64, bool) {}, Began: func(string) {}, Wrote: func() {}, Silence: func(bool) {}, Leaving: func(string) {},
	}, nil, nil
}

func (u *faulty) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	reset := new(atomic.Bool)
	go u.serve(far, u.script[int(address[0]-'0')], reset)
	return resettable{near, reset}, nil
}

func (u *faulty) serve(conn net.Conn, s scripted, reset *atomic.Bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return // a connection without a request
	}
	_, _ = io.Copy(io.Discard, req.Body) // fails if the request was given up
	u.mu.Lock()
	u.asked = append(u.asked, req.Header.Get("Last-Event-Id"))
	u.mu.Unlock()
	time.Sleep(s.after)
	_, _ = io.WriteString(conn, strings.ReplaceAll(s.text, "ID", req.Header.Get("X-Id"))) // the other side may have closed
	reset.Store(s.how == resets)
	if s.how == stays {
		_, _ = io.Copy(io.Discard, r) // ends when the other side closes the connection
	}
}

// heard is what the caller gets: whole reports that its answer doesn't look cut off.
type heard struct {
	status int
	body   string
	whole  bool
}

// faultyRoute returns a route of a kind: "once" and "ask" are streams, "swap" and "fetch" plain requests, of which "ask"
// and "fetch" may run three times.
func faultyRoute(kind string) site.Route {
	r := site.Route{Name: kind, Kind: site.Streaming, MaxAttempts: 1, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, Targets: []site.Target{{Service: "s", Weight: 1}}}
	switch kind {
	case "ask":
		r.Resumable, r.MaxAttempts = true, 3
	case "fetch":
		r.Kind, r.MaxAttempts = site.Idempotent, 3
	case "swap":
		r.Kind = site.NonIdempotent
	}
	return r
}

// serve1 sends one request of a kind through a forwarder and returns what its caller hears.
func (u *faulty) serve1(t *testing.T, kind, lastEventID string) heard {
	t.Helper()
	client := service.New(service.NewOptions().WithRequestIDHeader("X-Id").WithDial(u.dial))
	defer client.Close()
	f := New(Options{
		Client: client, Acquire: u.acquire, NextID: func() uint64 { return 1 }, Now: time.Now, Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
		Links: Links{
			Lost: never, Doubtful: never, Judge: func(report func(bool)) { report(true) },
			CarrierAnswered: func(string, http.Header) {},
		},
		Wire: HeaderCodec{
			SharedParts: func(http.Header) []poison.Part { return nil }, Caller: func(http.Header) string { return "" }, Size: func(http.Header) Size { return Size{} },
			Read: func(h http.Header) AnswerInfo {
				return AnswerInfo{Signed: h.Get("X-Signature") != "", NotRun: h.Get("X-Not-Run") != ""}
			},
			Outgoing: func(h http.Header, a Attempt) http.Header {
				out := h.Clone()
				if a.LastEventID != "" {
					out.Set("Last-Event-Id", a.LastEventID)
				}
				return out
			},
		},
	})
	l := make(pipes, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.Serve(r.Context(), w, Request{
			ID: "r1", Method: r.Method, Path: "/", Header: http.Header{}, Body: []byte("b"), Route: faultyRoute(kind), Arrived: time.Now(),
			Deadline: time.Now().Add(5 * time.Second), Generates: func(string) bool { return false }, LastEventID: lastEventID,
		}, 0)
	})}
	go func() { _ = server.Serve(l) }()
	near, far := net.Pipe()
	l <- far
	close(l)
	defer near.Close()
	go func() {
		_, _ = io.WriteString(near, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}()
	raw, err := io.ReadAll(near)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	require.NoError(t, err)
	require.True(t, resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, "an answer that ends with its connection would always look whole")
	body, err := io.ReadAll(resp.Body)
	return heard{resp.StatusCode, string(body), err == nil}
}

// events returns some events of a stream.
func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// chunk returns one chunk of a body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const (
	idLine = "X-Id: ID\r\n"
	signed = "X-Signature: s\r\n"
	notRun = "X-Not-Run: 1\r\n"
	sse    = "Content-Type: text/event-stream\r\n"
	chunks = "Transfer-Encoding: chunked\r\n"
)

// wholeStream is a sound stream of events, a sound answer the body "whole".
func wholeStream(from, to int) scripted {
	return scripted{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n" + chunk(events(from, to)) + "0\r\n\r\n"}
}

const lastEvent = 5

func sound(kind string) scripted {
	if kind == "ask" || kind == "once" {
		return wholeStream(1, lastEvent)
	}
	return scripted{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + "Content-Length: 5\r\n\r\nwhole"}
}

func soundBody(kind string) string {
	if kind == "ask" || kind == "once" {
		return events(1, lastEvent)
	}
	return "whole"
}

// errorText is in the head and in the body of each error that no caller of a stream may see.
const errorText = "upstream broke"

// requireNotAnswered requires that an upstream whose answer is cut has not answered: a request that may run once fails as
// one that may have run, the others get the answer of the next upstream.
func requireNotAnswered(t *testing.T, kind string, cut scripted) {
	t.Helper()
	u := &faulty{script: []scripted{cut, sound(kind)}}
	got := u.serve1(t, kind, "")
	if kind == "swap" || kind == "once" {
		require.Equal(t, heard{http.StatusBadGateway, "upstream failed; the request may have run\n", true}, got, "%q", cut.text)
		require.Equal(t, 1, u.runs())
		return
	}
	require.Equal(t, heard{http.StatusOK, soundBody(kind), true}, got, "%q", cut.text)
	require.Equal(t, 2, u.runs())
}

// Guards against callers that get a success, or a promise that nothing has run, when the upstream stops inside the head of
// its answer: after each byte, closed or reset, with each kind of framing.
func TestHeadThatIsCutIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"Content-Length: 15\r\n", chunks, "", "HTTP/1.0"} {
		head := "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + framing + "X-Last: " + errorText + "\r\n\r\n"
		if framing == "HTTP/1.0" {
			head = strings.Replace("HTTP/1.0 200 OK\r\n"+idLine+signed+sse+"\r\n", "ID", "r1", 1)
		}
		for _, kind := range []string{"swap", "once", "fetch", "ask"} {
			t.Run(kind+" "+framing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for n := range len(head) - 1 {
						requireNotAnswered(t, kind, scripted{text: head[:n], how: closes})
						requireNotAnswered(t, kind, scripted{text: head[:n], how: resets})
					}
				})
			})
		}
	}
}
