package http1

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn is a connection whose reads fail with ErrHead at a broken head, and with ErrReset at an end that is none. One
// goroutine reads.
type conn struct {
	net.Conn
	// kept reports that the connection may carry several requests, one after the other.
	kept bool
	// onFault is that of Counting.
	onFault func(error)

	mu   sync.Mutex
	head head
	// fault is the first error that a read has found; later reads fail with it.
	fault error
	// writes is the number of writes in progress; idle is signalled when it becomes 0.
	writes int
	idle   sync.Cond
	// writeErr is the error of the first write that failed.
	writeErr error
}

func newConn(c net.Conn, kept bool, onFault func(error)) *conn {
	out := &conn{Conn: c, kept: kept, onFault: onFault}
	out.idle.L = &out.mu
	return out
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	if c.kept && c.head.done {
		c.head = head{} // the next answer follows
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.writes--; c.writes == 0 {
		c.idle.Broadcast()
	}
	return n, err
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	reset := err == io.EOF && c.wasReset()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault != nil {
		return 0, c.fault
	}
	fault := c.head.add(p[:n])
	if fault == nil && reset {
		fault = ErrReset
	}
	if fault != nil {
		c.fault = fault
		c.onFault(fault)
		return 0, fault
	}
	return n, err
}

// wasReset reports that the end which a read has found is due to a reset or another failure that the system has reported
// to a write, since it reports each to one call. An end in order that a reset follows while the request is being written
// is none either, since the other side has not taken the request and may have closed in the middle of its answer.
func (c *conn) wasReset() bool {
	closed := c.isClosed()
	c.mu.Lock()
	defer c.mu.Unlock()
	for closed && c.writes > 0 {
		c.idle.Wait() // a write to a closed socket returns at once
	}
	var errno syscall.Errno
	return errors.As(c.writeErr, &errno)
}

// isClosed reports that the socket is closed on both sides, as it isn't after an end in order until the client closes its
// own. It is false if that isn't known.
func (c *conn) isClosed() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}
