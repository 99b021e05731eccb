package inbound

import (
	"net"
	"sync"
)

// phase is what a server does with a connection.
type phase int

const (
	// fresh: no request has been parsed yet.
	fresh phase = iota
	// serving: a request has been parsed and its answer has not ended.
	serving
	// idle: the last answer has ended.
	idle
)

// Conn is the connection of a caller, as net/http uses it: one goroutine reads at a time.
type Conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	phase phase
	// room is the length of the longest buffer that a read was given: that of net/http's empty read buffer.
	room int
	// part reports that bytes of the next request have been read and that nothing has been written since.
	part bool
	// gone reports that the caller has closed the connection, or that it has failed.
	gone   bool
	closed bool
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.part = p, false
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	head := c.beginRead(len(p))
	n, err := c.Conn.Read(p)
	c.endRead(head, n, err)
	return n, err
}

// beginRead reports whether a read is for the head of a request. With less room than an empty buffer has, net/http holds
// bytes that it has read before. It reads a single byte while a request is served, to notice that its caller is gone.
func (c *Conn) beginRead(room int) (head bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.room = max(c.room, room)
	head = c.phase != serving && room > 1
	if head && room < c.room {
		c.part = true
	}
	return head
}

func (c *Conn) endRead(head bool, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if head && n > 0 {
		c.part = true
		if c.closed {
			c.listener.countUnanswered(c)
		}
	}
	if err != nil && !isTimeout(err) {
		c.gone = true
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.part = false
	}
	if err != nil {
		c.gone = true
	}
	return n, err
}

// CloseWrite closes the sending side, if the connection can do that.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	unanswered := c.part && !c.gone && !c.closed
	c.closed = true
	c.mu.Unlock()
	c.listener.remove(c)
	if unanswered {
		c.listener.countUnanswered(c)
	}
	return c.Conn.Close()
}
