package inbound

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// lastLook is how long a connection that drains looks whether bytes have arrived.
const lastLook = 10 * time.Millisecond

// lingerTime is how long a caller may take to notice that its connection ends.
const lingerTime = 500 * time.Millisecond

// errEnded is an error on which net/http closes a connection without an answer.
var errEnded = os.ErrDeadlineExceeded

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

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
	// part reports that bytes of a request have been read and that nothing has been written since.
	part bool
	// headRead is the number of bytes that have been read for a head, and blank those of empty lines between two requests,
	// which are no part of one.
	headRead, blank int
	// deadline is that of reads, as net/http has set it.
	deadline time.Time
	// wakes reports that a read for a head is in progress, which Listener may end; woken that it has done so.
	wakes, woken bool
	// reading reports that a read is in progress.
	reading bool
	// last reports that a read looks for a last time for bytes that have arrived.
	last bool
	// ended reports that the sending side is closed: the caller may expect no answer to what comes now.
	ended bool
	// gone reports that the caller has closed the connection, or that it has failed.
	gone   bool
	closed bool
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.headRead, c.blank = p, 0, 0
	if p == idle {
		c.part = false
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Read implements net.Conn. Only the reading goroutine ends a connection that drains, since no other one can know that
// nothing has been read.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		head, err := c.beginRead(len(p))
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		switch next, err := c.endRead(head, p[:n], err); next {
		case readAgain:
		case refuseLate:
			return 0, c.end(http.StatusRequestTimeout)
		case endOver:
			return 0, c.end(http.StatusServiceUnavailable)
		default:
			return n, err
		}
	}
}

// afterRead is what follows a read.
type afterRead int

const (
	returnRead afterRead = iota
	readAgain
	// refuseLate: a head has begun and not come in time.
	refuseLate
	// endOver: the connection drains and nothing more has come.
	endOver
)

// beginRead reports whether a read is for the head of a request. With less room than an empty buffer has, net/http holds
// bytes that it has read before. It reads a single byte while a request is served, to notice that its caller is gone.
func (c *Conn) beginRead(room int) (head bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false, errEnded
	}
	if head = c.phase != serving && (room > 1 || c.headRead > 0); head {
		c.room = max(c.room, room)
		c.part = c.part || room < c.room-c.blank
	}
	c.wakes, c.reading = head, true
	if c.last = head && c.isOver(); c.last {
		err = c.Conn.SetReadDeadline(time.Now().Add(lastLook))
	}
	return head, err
}

// isOver reports that no request is to follow, or that one that has begun is to be refused; the mutex is held.
func (c *Conn) isOver() bool {
	if c.phase == serving {
		return false
	}
	return c.listener.stopped.Load() || c.listener.draining.Load() && c.phase == idle && !c.part
}

func (c *Conn) endRead(head bool, p []byte, err error) (afterRead, error) {
	n := len(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakes, c.reading = false, false
	if head && n > 0 {
		c.headRead += n
		if !c.part && c.phase == idle && isBlank(p) {
			c.blank += n
		} else {
			c.part = true
		}
		if c.closed {
			c.listener.countUnanswered(c)
		}
	}
	if err != nil && !isTimeout(err) {
		c.gone = true
	}
	timeout := n == 0 && isTimeout(err)
	if !c.woken && !c.last {
		if timeout && head && c.part {
			return refuseLate, nil
		}
		return returnRead, err
	}
	if timeout && c.last && c.isOver() {
		return endOver, nil
	}
	c.woken = false
	if restoreErr := c.Conn.SetReadDeadline(c.deadline); restoreErr != nil && err == nil {
		err = restoreErr
	}
	if timeout {
		return readAgain, nil
	}
	return returnRead, err
}

// wake ends a read for a head that is to look for a last time; it does nothing to others.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wakes && !c.last && c.isOver() {
		c.woken = true
		_ = c.Conn.SetReadDeadline(past) // fails only if the connection has ended
	}
}

// end closes the sending side, and returns the error for the server, which answers nothing to it. If a part of a request
// has been read, its caller is refused with a status before.
func (c *Conn) end(status int) error {
	c.mu.Lock()
	part := c.part
	c.ended, c.part = true, false
	c.mu.Unlock()
	if part {
		c.refuse(status)
	} else {
		c.listener.endedIdle.Inc(1)
	}
	_ = c.CloseWrite() // Close follows
	return errEnded
}

// refuse answers a request that has been read in part. No handler has seen it and nothing else writes.
func (c *Conn) refuse(status int) {
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	c.listener.refusedParts.Inc(1)
	c.listener.log.Info().Str("caller", c.RemoteAddr().String()).Int("status", status).AnErr("error", err).Msg("partRefused")
}

// isBlank reports that there is nothing but empty lines.
func isBlank(p []byte) bool { return len(bytes.Trim(p, "\r\n")) == 0 }

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.hasEnded() {
		return 0, net.ErrClosed
	}
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

func (c *Conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// CloseWrite closes the sending side, if the connection can do that.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. It closes the sending side, and the connection once the caller has closed it too, or after
// lingerTime: a connection that is closed with unread bytes is reset, which may destroy an answer on its way.
func (c *Conn) Close() error {
	c.mu.Lock()
	unanswered := c.part && !c.gone && !c.closed
	first, lingers := !c.closed, !c.gone && !c.reading
	c.closed, c.ended = true, true
	c.mu.Unlock()
	if unanswered {
		c.listener.countUnanswered(c)
	}
	if first && lingers && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	c.listener.remove(c)
	return c.Conn.Close()
}

// linger closes the connection once its caller has done so or lingerTime is over.
func (c *Conn) linger() {
	defer c.listener.remove(c)
	defer c.Conn.Close()
	end := time.Now().Add(lingerTime)
	if c.Conn.SetReadDeadline(end) != nil {
		return
	}
	if n, _ := c.Conn.Read(make([]byte, 1)); n > 0 {
		// A caller that had not seen the end has sent more. It isn't read: nothing can answer it.
		c.listener.crossed.Inc(1)
		time.Sleep(time.Until(end))
	}
}
