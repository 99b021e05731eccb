package inbound

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
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
	// deadline is that of reads, as net/http has set it.
	deadline time.Time
	// wakes reports that a read for a head is in progress, which Listener may end; woken that it has done so.
	wakes, woken bool
	// reading reports that a read is in progress, forBody that the last one outside a head was for a body.
	reading, forBody bool
	// last reports that a read looks for a last time for bytes that have arrived.
	last bool
	// ended reports that the sending side is closed: the caller may expect no answer to what comes now.
	ended bool
	// gone reports that the caller has closed the connection, or that it has failed.
	gone   bool
	closed bool
	// idleBegan is when the connection was accepted or became idle, idleLimit how long it may be idle, headBegan when the head
	// was begun, and headRead the number of bytes that have been read since.
	idleBegan, headBegan time.Time
	idleLimit            time.Duration
	headRead             int
	// blank is the number of bytes of empty lines between two requests, which are no part of one.
	blank int

	// address is that of the caller without its port.
	address string
	// heads is what the head costs in bytes of memory; the listener's mutex guards it.
	heads int64
	// since is when the connection was accepted, became idle or had a head begun, in nanoseconds of the Unix epoch. It only
	// orders connections, since the time of day may jump.
	since atomic.Int64
	// inProgress reports that a request is complete and has no answer yet, isShed that the connection is to end for others.
	inProgress, isShed atomic.Bool
	// hasTurn reports that the caller of a shed connection is told so.
	hasTurn atomic.Bool
}

func newConn(nc net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: nc, listener: l, address: addressOf(nc), idleBegan: time.Now()}
	c.since.Store(c.idleBegan.UnixNano())
	return c
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

func (c *Conn) setPhase(p phase) {
	now := time.Now()
	if p == idle {
		c.inProgress.Store(false)
		c.since.Store(now.UnixNano())
		c.listener.release(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.headRead, c.blank = p, 0, 0
	if p == idle {
		c.part, c.idleBegan = false, now
		c.idleLimit = c.listener.limits().IdleTime
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
		head, next := c.beginRead(len(p))
		n := 0
		var err error
		if next == returnRead {
			n, err = c.Conn.Read(p)
			next, err = c.endRead(head, p[:n], err)
		}
		switch next {
		case readAgain:
		case endBody:
			return 0, os.ErrDeadlineExceeded
		case refuseLarge:
			return 0, c.end(http.StatusRequestHeaderFieldsTooLarge)
		case refuseLate:
			return 0, c.end(http.StatusRequestTimeout)
		case endOver:
			return 0, c.end(http.StatusServiceUnavailable)
		case hasEnded:
			return 0, errEnded
		default:
			if head && n > 0 {
				c.listener.charge(c, headCost(p[:n]))
			}
			return n, err
		}
	}
}

// verdict is what becomes of a read.
type verdict int

const (
	returnRead verdict = iota
	readAgain
	// endBody: the room for a request whose body has not come is needed for others.
	endBody
	// refuseLarge: a head is too large.
	refuseLarge
	// refuseLate: a head has begun and not come in time.
	refuseLate
	// endOver: the connection drains or is shed, and nothing more has come.
	endOver
	// hasEnded: the sending side is closed.
	hasEnded
)

// beginRead reports whether a read is for the head of a request. With less room than an empty buffer has, net/http holds
// bytes that it has read before. It reads a single byte while a request is served, to notice that its caller is gone.
func (c *Conn) beginRead(room int) (head bool, _ verdict) {
	limits := c.listener.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false, hasEnded
	}
	if c.phase == serving || c.listener.opts.Opaque {
		// A read of one byte watches for the caller's end: the request is complete.
		c.forBody = room > 1
		if c.forBody && c.isShed.Load() && !c.inProgress.Load() {
			return false, endBody
		}
		c.reading, c.last = true, false
		return false, returnRead
	}
	if head = room > 1 || c.headRead > 0; head {
		c.room = max(c.room, room)
		c.setPart(c.part || room < c.room-c.blank)
		switch {
		case c.isShed.Load():
			return true, endOver
		case c.headRead >= limits.HeadBytes+readAhead:
			return true, refuseLarge
		}
	}
	c.wakes, c.reading = head, true
	if c.last = head && c.isOver(); c.last {
		c.setReadDeadline(time.Now().Add(lastLook))
	} else if head {
		c.setReadDeadline(c.headDeadline(limits))
	}
	return head, returnRead
}

// setPart notes that bytes of the next request have been read; the mutex is held.
func (c *Conn) setPart(part bool) {
	if part && !c.part {
		c.headBegan = time.Now()
		c.since.Store(c.headBegan.UnixNano())
	}
	c.part = part
}

// headDeadline is that of net/http, or an earlier one of the limits; the mutex is held.
func (c *Conn) headDeadline(limits Limits) time.Time {
	deadline := c.headBegan.Add(limits.HeadTime)
	switch {
	case c.part:
	case c.phase == fresh:
		deadline = c.idleBegan.Add(max(limits.HeadTime, freshTime))
	default:
		// Callers may still rely on the longer time that was in force.
		deadline = c.idleBegan.Add(max(limits.IdleTime, c.idleLimit))
	}
	if !c.deadline.IsZero() && c.deadline.Before(deadline) {
		return c.deadline
	}
	return deadline
}

// setReadDeadline sets the deadline below; the mutex is held.
func (c *Conn) setReadDeadline(t time.Time) {
	_ = c.Conn.SetReadDeadline(t) // fails only if the connection has ended, which the read reports
}

// isOver reports that no request is to follow, or that one that has begun is to be refused; the mutex is held.
func (c *Conn) isOver() bool {
	if c.phase == serving {
		return false
	}
	return c.isShed.Load() || c.listener.stopped.Load() || c.listener.draining.Load() && c.phase == idle && !c.part
}

func (c *Conn) endRead(head bool, p []byte, err error) (verdict, error) {
	n := len(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakes, c.reading = false, false
	if head && n > 0 {
		c.headRead += n
		if !c.part && c.phase == idle && isBlank(p) {
			c.blank += n
		} else {
			c.setPart(true)
		}
		if c.closed {
			c.listener.countUnanswered(c)
		}
	}
	if err != nil && !isTimeout(err) {
		c.gone = true
	}
	timeout := n == 0 && isTimeout(err)
	woken := c.woken
	c.woken = false
	switch {
	case timeout && woken && !head:
		return endBody, nil
	case timeout && head && c.isOver() && (c.last || c.isShed.Load()):
		return endOver, nil
	case timeout && (woken || c.last):
		c.setReadDeadline(c.deadline)
		return readAgain, nil
	case timeout && head && c.part:
		return refuseLate, nil
	}
	if head || woken {
		c.setReadDeadline(c.deadline)
	}
	return returnRead, err
}

// wake ends a read for a head that is to look for a last time, and one for a body whose room is needed; it does nothing to
// others.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := (c.phase == serving || c.listener.opts.Opaque) && c.reading && c.forBody && c.isShed.Load() && !c.inProgress.Load()
	if c.wakes && !c.last && c.isOver() || body {
		c.woken = true
		c.setReadDeadline(past)
	}
}

// end closes the sending side, and returns the error for the server, which answers nothing to it. If a part of a request
// has been read, its caller is refused with a status before.
func (c *Conn) end(status int) error {
	c.mu.Lock()
	part := c.part
	c.ended, c.part = true, false
	c.mu.Unlock()
	if part && c.isShed.Load() && !c.takeTurn() {
		return errEnded // Close follows
	}
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
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime)) // fails only if the connection has ended
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
	if c.isEnded() {
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

func (c *Conn) isEnded() bool {
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
	first, lingers := !c.closed, !c.gone && !c.reading && (!c.isShed.Load() || c.hasTurn.Load() || c.takeTurn())
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
