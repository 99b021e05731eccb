package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/held"
)

const (
	// readLag is the time between the read of bytes from a connection and their use, as on a busy VM.
	readLag = 120 * time.Millisecond
	// streamTime is how long the answer of /stream lasts after its head.
	streamTime = 300 * time.Millisecond
	// drainInterval is the time between two looks of a drain whether connections are left.
	drainInterval = 50 * time.Millisecond
)

// lagListener accepts connections that it is given. Their reads return late.
type lagListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *lagListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *lagListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *lagListener) Addr() net.Addr { return &net.TCPAddr{} }

type lagConn struct {
	net.Conn
	// taken counts the bytes that the server has read.
	taken atomic.Int64
}

func (c *lagConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.taken.Add(int64(n))
		time.Sleep(readLag)
	}
	return n, err
}

// drainSite is a server of callers with one connection.
type drainSite struct {
	server *port
	caller net.Conn
	near   *lagConn
	reader *bufio.Reader
}

func newDrainSite(t *testing.T) *drainSite {
	l := &lagListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	opts := Options{Log: zerolog.Nop(), Now: time.Now, Registry: metrics.NewRegistry()}
	opts.Listen = func(context.Context, string) (net.Listener, error) { return l, nil }
	b := held.NewBudget(held.Options{Bytes: 1 << 20, Now: time.Now, Log: zerolog.Nop(), Registry: opts.Registry})
	h := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // fails only if the caller is gone
		if r.URL.Path == "/stream" {
			w.Header().Set("Content-Length", "4")
			w.(http.Flusher).Flush()
			time.Sleep(streamTime)
		}
		_, _ = io.WriteString(w, "done")
	}
	server, err := servePort(t.Context(), opts, "", opts.inbound("callers", callersShare, nil), b, http.HandlerFunc(h))
	require.NoError(t, err)
	caller, near := net.Pipe()
	s := &drainSite{server: server, caller: caller, near: &lagConn{Conn: near}, reader: bufio.NewReader(caller)}
	l.conns <- s.near
	return s
}

// send sends a request in pieces, with a pause after each.
func (s *drainSite) send(pause time.Duration, pieces ...string) {
	for _, piece := range pieces {
		if _, err := io.WriteString(s.caller, piece); err != nil {
			return // the connection has ended
		}
		time.Sleep(pause)
	}
}

// answer reads a complete answer.
func (s *drainSite) answer() (*http.Response, error) {
	r, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

const (
	plainRequest  = "GET /plain HTTP/1.1\r\nHost: a\r\n\r\n"
	streamRequest = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n"
)

// Guards against a connection that a drain closes as idle though the process has read the next request, or a part of it.
func TestDrainAnswersRequestsThatAreRead(t *testing.T) {
	head, rest := plainRequest[:len(plainRequest)-8], plainRequest[len(plainRequest)-8:]
	for _, tc := range []struct {
		name string
		// first is a request before the one that counts, if any.
		first string
		// early is how long before the drain the request that counts is sent; it may be sent behind the answer to the
		// first one or before that has ended.
		early  time.Duration
		pieces []string
		pause  time.Duration
	}{
		{"kept connection", plainRequest, readLag / 2, []string{plainRequest}, 0},
		{"kept connection, head in pieces", plainRequest, 2 * readLag, []string{head, rest}, 2*readLag + 3*drainInterval},
		{"kept connection, three bytes", plainRequest, 2 * readLag, []string{plainRequest[:3], plainRequest[3:]}, 2*readLag + 3*drainInterval},
		{"kept connection, one byte", plainRequest, readLag / 2, []string{plainRequest[:1], plainRequest[1:]}, 0},
		{"new connection", "", readLag / 2, []string{plainRequest}, 0},
		{"new connection, head in pieces", "", 2 * readLag, []string{head, rest}, 2*readLag + 3*drainInterval},
		{"before the answer has ended", streamRequest, streamTime / 2, []string{plainRequest}, 0},
		{"before the answer has ended, in pieces", streamRequest, streamTime / 2, []string{plainRequest[:1], plainRequest[1:]}, streamTime},
		{"body in pieces", plainRequest, 2 * readLag, []string{"POST /plain HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab", "cd"}, 2*readLag + 3*drainInterval},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newDrainSite(t)
				defer time.Sleep(2 * streamTime) // the caller's goroutines end
				defer s.server.Server.Close()
				defer s.caller.Close()
				first := make(chan error, 1)
				first <- nil
				if tc.first != "" {
					s.send(0, tc.first)
					<-first
					go func() {
						_, err := s.answer()
						first <- err
					}()
					if tc.first == plainRequest {
						time.Sleep(10 * readLag)
					} else {
						time.Sleep(2 * readLag)
					}
				}
				before := s.near.taken.Load()
				go s.send(tc.pause, tc.pieces...)
				time.Sleep(tc.early)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				began := time.Now()
				drained := make(chan error, 1)
				go func() { drained <- s.server.drain(ctx) }()
				require.NoError(t, <-first)
				r, err := s.answer()
				require.Positive(t, s.near.taken.Load()-before, "bytes of the request that the process has read")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, r.StatusCode)
				require.True(t, r.Close, "the caller is told that the connection ends")
				require.NoError(t, <-drained)
				require.Less(t, time.Since(began), 3*time.Second, "the drain waits for nothing else")
			})
		})
	}
}

// Guards against a head that a drain's end cuts off without an answer, and against a drain that waits for it.
func TestEndOfDrainAnswersPartsOfRequests(t *testing.T) {
	for _, first := range []string{"", plainRequest} {
		for _, part := range []string{plainRequest[:1], plainRequest[:20], plainRequest + plainRequest[:9]} {
			t.Run(first+part, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newDrainSite(t)
					defer time.Sleep(2 * streamTime) // the caller's goroutines end
					defer s.server.Server.Close()
					defer s.caller.Close()
					if first != "" {
						s.send(0, first)
						_, err := s.answer()
						require.NoError(t, err)
					}
					go s.send(0, part)
					if strings.HasPrefix(part, plainRequest) {
						_, err := s.answer()
						require.NoError(t, err)
					}
					time.Sleep(5 * readLag)
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					drained := make(chan error, 1)
					go func() { drained <- s.server.drain(ctx) }()
					r, err := s.answer()
					require.NoError(t, err)
					require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
					require.True(t, r.Close)
					<-drained
				})
			})
		}
	}
}
