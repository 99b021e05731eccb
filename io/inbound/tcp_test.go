package inbound

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stream is one direction of a connection: bytes wait in the buffers of the system until they are read.
type stream struct {
	mu         sync.Mutex
	buf        []byte
	eof, reset bool
	deadline   time.Time
	changed    chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) read(p []byte) (int, error) {
	for {
		s.mu.Lock()
		changed, wait := s.changed, time.Until(s.deadline)
		if s.deadline.IsZero() {
			wait = time.Hour
		}
		switch {
		case s.reset:
			s.mu.Unlock()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
		case wait <= 0:
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(s.buf) > 0:
			n := copy(p, s.buf)
			s.buf = s.buf[n:]
			s.mu.Unlock()
			return n, nil
		case s.eof:
			s.mu.Unlock()
			return 0, io.EOF
		}
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tcpConn is one end of a connection with buffers. As with TCP, a close with unread bytes, and bytes that arrive after a
// close, reset it: the other end loses what it has not read.
type tcpConn struct {
	in, out *stream
	mu      *sync.Mutex
	closed  *[2]bool
	end     int
}

func tcpPipe() (a, b *tcpConn) {
	there, back := newStream(), newStream()
	mu, closed := &sync.Mutex{}, &[2]bool{}
	return &tcpConn{in: back, out: there, mu: mu, closed: closed}, &tcpConn{in: there, out: back, mu: mu, closed: closed, end: 1}
}

func (c *tcpConn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *tcpConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed[c.end] {
		return 0, net.ErrClosed
	}
	if c.closed[1-c.end] {
		c.in.change(func() { c.in.reset = true })
		return len(p), nil
	}
	c.out.change(func() { c.out.buf = append(c.out.buf, p...) })
	return len(p), nil
}

func (c *tcpConn) CloseWrite() error {
	c.out.change(func() { c.out.eof = true })
	return nil
}

func (c *tcpConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[c.end] = true
	c.in.change(func() { c.in.eof = true })
	c.in.mu.Lock()
	unread := len(c.in.buf) > 0
	c.in.mu.Unlock()
	c.out.change(func() { c.out.eof, c.out.reset = true, c.out.reset || unread })
	return nil
}

func (c *tcpConn) SetReadDeadline(t time.Time) error {
	c.in.change(func() { c.in.deadline = t })
	return nil
}

func (c *tcpConn) SetWriteDeadline(time.Time) error { return nil }
func (c *tcpConn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *tcpConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *tcpConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
