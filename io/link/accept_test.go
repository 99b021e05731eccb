package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// faultyListener accepts the connections that it is given, after some failures.
type faultyListener struct {
	failures atomic.Int64
	conns    chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newFaultyListener(failures int64) *faultyListener {
	l := &faultyListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l.failures.Store(failures)
	return l
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *faultyListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *faultyListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect returns the other end of a connection that the listener accepts.
func (l *faultyListener) connect(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a port between nodes that accepts nothing any more since the process once had too many open files.
func TestServerGoesOnAfterAcceptErrors(t *testing.T) {
	for _, failures := range []int64{0, 1, 20} {
		synctest.Test(t, func(t *testing.T) {
			l := newFaultyListener(failures)
			s := NewServer(l, Options{Handle: func(_ *Conn, in Incoming) { in.Answer("yes") }})
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			c, err := Dial(ctx, l.connect, "n:1", Options{Handle: func(*Conn, Incoming) {}})
			require.NoError(t, err, "after %d failures", failures)
			defer c.Close()
			var answer string
			require.NoError(t, c.Call(ctx, "m", 1, &answer))
			require.Equal(t, "yes", answer)
		})
	}
}

// Guards against a close that waits for a listener that fails.
func TestServerClosesWhileAcceptFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFaultyListener(1 << 40)
		s := NewServer(l, Options{Handle: func(*Conn, Incoming) {}})
		time.Sleep(time.Minute)
		began := time.Now()
		s.Close()
		require.Zero(t, time.Since(began))
		require.Less(t, int64(1<<40)-l.failures.Load(), int64(100), "it pauses between attempts")
	})
}
