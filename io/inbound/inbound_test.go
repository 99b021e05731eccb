package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// chanListener accepts the connections that it is given.
type chanListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *chanListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *chanListener) Addr() net.Addr { return &net.TCPAddr{} }

// site is a server with one connection.
type site struct {
	listener *Listener
	caller   net.Conn
	reader   *bufio.Reader
	close    func()
}

// newSite returns a site whose connection has no buffers.
func newSite(h http.HandlerFunc) *site {
	caller, near := net.Pipe()
	return serve(h, caller, near)
}

// newTCPSite returns a site whose connection has buffers.
func newTCPSite(h http.HandlerFunc) *site {
	caller, near := tcpPipe()
	return serve(h, caller, near)
}

func serve(h http.HandlerFunc, caller, near net.Conn) *site {
	below := &chanListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l := NewListener(below, Options{Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
	srv := &http.Server{Handler: l.Handler(h), ConnContext: ConnContext, ConnState: l.ConnState, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 75 * time.Second}
	go func() { _ = srv.Serve(l) }()
	below.conns <- near
	return &site{listener: l, caller: caller, reader: bufio.NewReader(caller), close: func() {
		_ = caller.Close()
		_ = srv.Close()
		time.Sleep(time.Second) // the goroutines end
	}}
}

func (s *site) answer() (*http.Response, error) {
	r, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// readAll is a handler that reads the body and answers.
func readAll(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "done")
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against a drain that waits for a connection from which nothing has been read, since the rule for that rests on the
// buffer of net/http.
func TestDrainEndsIdleConnections(t *testing.T) {
	large := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, tc := range []struct {
		name  string
		sends []string
		count int
	}{
		{"one request", []string{request}, 1},
		{"some requests", []string{request, request, request}, 3},
		{"a large body", []string{large}, 1},
		{"a body in chunks", []string{chunked}, 1},
		{"two requests at once", []string{request + request}, 2},
		{"two large ones at once", []string{large + large, request}, 3},
		{"a head in pieces", []string{request[:1], request[1:5], request[5:]}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(readAll)
				defer s.close()
				go func() {
					for _, piece := range tc.sends {
						_, _ = io.WriteString(s.caller, piece)
						time.Sleep(time.Millisecond)
					}
				}()
				for range tc.count {
					_, err := s.answer()
					require.NoError(t, err)
				}
				time.Sleep(time.Second)
				began := time.Now()
				require.NoError(t, s.listener.Drain(t.Context()))
				require.LessOrEqual(t, time.Since(began), drainInterval+lastLook)
				_, err := s.reader.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				require.EqualValues(t, 1, s.listener.endedIdle.Count())
				require.Zero(t, s.listener.unanswered.Count())
			})
		})
	}
}

// Guards against a second request, sent at once with the first one, that a drain takes for none.
func TestDrainServesRequestsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			readAll(w, r)
		})
		defer s.close()
		go func() { _, _ = io.WriteString(s.caller, request+request) }()
		time.Sleep(1500 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- s.listener.Drain(context.Background()) }()
		for _, closes := range []bool{false, true} {
			r, err := s.answer()
			require.NoError(t, err)
			require.Equal(t, closes, r.Close)
		}
		require.NoError(t, <-drained)
	})
}

// Guards against a time for heads that a drain changes for one that has begun; it counts from the first byte.
func TestDrainKeepsTimeForHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(readAll)
		defer s.close()
		_, _ = io.WriteString(s.caller, request)
		_, err := s.answer()
		require.NoError(t, err)
		time.Sleep(time.Second)
		drained := make(chan error, 1)
		_, _ = io.WriteString(s.caller, request[:3])
		go func() { drained <- s.listener.Drain(context.Background()) }()
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(s.caller, request[3:10])
		time.Sleep(2900 * time.Millisecond)
		_, _ = io.WriteString(s.caller, request[10:])
		r, err := s.answer()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.StatusCode)
		require.NoError(t, <-drained)
	})
}

// Guards against a head that comes too slowly and whose connection is closed without an answer.
func TestSlowHeadIsAnswered(t *testing.T) {
	for _, first := range []string{"", request} {
		for _, part := range []string{"", request[:1], request[:9], request[:len(request)-1]} {
			t.Run(first+part, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(readAll)
					defer s.close()
					if first != "" {
						_, _ = io.WriteString(s.caller, first)
						_, err := s.answer()
						require.NoError(t, err)
					}
					_, _ = io.WriteString(s.caller, part)
					r, err := s.answer()
					if part == "" {
						require.ErrorIs(t, err, io.ErrUnexpectedEOF)
						return
					}
					require.NoError(t, err)
					require.Equal(t, http.StatusRequestTimeout, r.StatusCode)
					require.True(t, r.Close)
					_, err = s.reader.ReadByte()
					require.ErrorIs(t, err, io.EOF, "one answer only")
				})
			})
		}
	}
}

// Guards against a process that hangs after the last look of a drain has found a request: net/http ends the read that watches
// for the caller's end by a deadline in the past.
func TestRequestOfTheLastLookIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTCPSite(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			readAll(w, r)
		})
		defer s.close()
		_, _ = io.WriteString(s.caller, request)
		_, err := s.answer()
		require.NoError(t, err)
		drained := make(chan error, 1)
		go func() { drained <- s.listener.Drain(context.Background()) }()
		time.Sleep(lastLook / 2)
		_, _ = io.WriteString(s.caller, request)
		r, err := s.answer()
		require.NoError(t, err)
		require.True(t, r.Close)
		_ = s.caller.Close()
		require.NoError(t, <-drained)
	})
}
