package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mothcart/io/msgframe"
)

// States of an outFrame.
const (
	frameQueued int32 = iota
	frameWritten
	frameAbandoned
)

// outFrame is an encoded frame in the write queue of a connection.
type outFrame struct {
	data  []byte
	state atomic.Int32
}

// call is a request that waits for its response.
type call struct {
	request *outFrame
	result  chan result
}

type result struct {
	frame frame
	err   error
}

// conn is one connection after the exchange of hellos. Its reader, writer and notice goroutines end when
// it is closed.
type conn struct {
	node  *Node
	raw   net.Conn
	peer  string
	class Class
	limit int
	// openedAt is the time of the hello.
	openedAt time.Time

	out     chan *outFrame
	notices chan *frame
	done    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	// received counts the bytes read.
	received atomic.Uint64
	// used reports that a frame other than a heartbeat was queued or received since the last tick.
	used atomic.Bool
	// retired reports that a newer connection has replaced this one.
	retired atomic.Bool
	// serving counts the handlers that run for requests of the peer.
	serving atomic.Int32

	mu  sync.Mutex
	err error
	// calls holds the calls to the peer that wait for a response, by request ID.
	calls map[uint64]*call
	// served holds the cancel functions of the requests of the peer in progress, by request ID.
	served map[uint64]context.CancelFunc
}

func newConn(n *Node, raw net.Conn, peer string, class Class) *conn {
	c := &conn{
		node:     n,
		raw:      raw,
		peer:     peer,
		class:    class,
		limit:    n.opts.frameLimit(class),
		openedAt: time.Now(),
		out:      make(chan *outFrame, n.opts.QueueFrames),
		notices:  make(chan *frame, n.opts.QueueFrames),
		done:     make(chan struct{}),
		calls:    map[uint64]*call{},
		served:   map[uint64]context.CancelFunc{},
	}
	c.ctx, c.cancel = context.WithCancel(n.ctx)
	n.metrics.connections.Inc(1)
	n.wg.Go(c.write)
	n.wg.Go(c.read)
	n.wg.Go(c.handleNotices)
	return c
}

// close ends the connection. Waiting calls fail with ErrLost if their request was written, since it may have
// run, else with ErrUnreachable.
func (c *conn) close(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	calls := c.calls
	c.calls = nil
	close(c.done)
	c.mu.Unlock()
	c.cancel()
	_ = c.raw.Close()
	for _, p := range calls {
		p.result <- result{err: lossError(p.request)}
	}
	c.node.metrics.connections.Dec(1)
	if errors.Is(err, errUnresponsive) {
		c.node.metrics.unresponsive.Inc(1)
	}
	c.node.opts.Logger.Debug().Str("peer", c.peer).
		Stringer("class", c.class).AnErr("reason", err).Msg("peerClosed")
}

// lossError returns ErrUnreachable for a request that was never written, which it marks as abandoned, and
// ErrLost for one that may have run.
func lossError(f *outFrame) error {
	if f.state.CompareAndSwap(frameQueued, frameAbandoned) {
		return ErrUnreachable
	}
	return ErrLost
}

func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// enqueue adds a frame to the write queue without blocking and reports whether there was room.
func (c *conn) enqueue(f *outFrame) bool {
	select {
	case c.out <- f:
		c.used.Store(true)
		return true
	default:
		return false
	}
}

// register adds a call; it reports false if the connection is closed.
func (c *conn) register(id uint64, p *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	c.calls[id] = p
	return true
}

func (c *conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) > 0 || c.serving.Load() > 0
}

// write sends queued frames, and heartbeats when there are none.
func (c *conn) write() {
	w := bufio.NewWriter(countingWriter{c})
	t := time.NewTicker(c.node.opts.HeartbeatInterval)
	defer t.Stop()
	h := &heartbeater{conn: c}
	for {
		select {
		case f := <-c.out:
			h.sent = true
			if err := c.writeFrames(w, f); err != nil {
				c.close(err)
				return
			}
		case <-t.C:
			if err := h.tick(w); err != nil {
				c.close(err)
				return
			}
		case <-c.node.closing:
			_ = c.writeFrames(w, nil)
			c.close(errClosed)
			return
		case <-c.done:
			return
		}
	}
}

// writeFrames writes f and all frames queued behind it, and flushes once.
func (c *conn) writeFrames(w *bufio.Writer, f *outFrame) error {
	timeout := c.node.opts.HeartbeatInterval * time.Duration(c.node.opts.HeartbeatMisses)
	for {
		if f != nil && f.state.CompareAndSwap(frameQueued, frameWritten) {
			_ = c.raw.SetWriteDeadline(time.Now().Add(timeout))
			if _, err := w.Write(f.data); err != nil {
				return err
			}
			c.node.metrics.classes[c.class].framesOut.Inc(1)
		}
		select {
		case f = <-c.out:
			continue
		default:
		}
		_ = c.raw.SetWriteDeadline(time.Now().Add(timeout))
		return w.Flush()
	}
}

// read handles incoming frames until the connection ends.
func (c *conn) read() {
	r := bufio.NewReader(countingReader{c})
	for {
		f, err := readFrame(r, c.limit)
		if err != nil {
			if errors.Is(err, msgframe.ErrProtocol) {
				c.node.metrics.refused.Inc(1)
			}
			c.close(err)
			return
		}
		c.node.metrics.classes[c.class].framesIn.Inc(1)
		c.handle(f)
	}
}

func (c *conn) handle(f frame) {
	if f.Kind != kindHeartbeat {
		c.used.Store(true)
	}
	switch f.Kind {
	case kindRequest:
		c.serve(f)
	case kindResponse:
		c.resolve(f)
	case kindNotice:
		c.dispatchNotice(f)
	case kindCancel:
		c.cancelServed(f.ID)
	}
}

// dispatchNotice handles membership messages at once and queues all other notices.
func (c *conn) dispatchNotice(f frame) {
	if f.Method == memberMethod {
		c.node.receiveMember(c.peer, f.Body)
		return
	}
	select {
	case c.notices <- &f:
	default:
		c.node.metrics.noticesDropped.Inc(1)
	}
}

// handleNotices runs the handlers of notices one after another, in the order of arrival.
func (c *conn) handleNotices() {
	for {
		select {
		case f := <-c.notices:
			c.node.handleNotice(c.peer, *f)
		case <-c.done:
			return
		}
	}
}

// resolve passes a response to the call that waits for it; a response without a waiting call is dropped.
func (c *conn) resolve(f frame) {
	c.mu.Lock()
	p, ok := c.calls[f.ID]
	delete(c.calls, f.ID)
	c.mu.Unlock()
	if ok {
		p.result <- result{frame: f}
	}
}

// heartbeater sends the heartbeats of one connection and detects an unresponsive or idle peer. It counts
// intervals rather than comparing times, so that a pause of the process does not make all connections look
// unresponsive.
type heartbeater struct {
	conn     *conn
	sent     bool
	received uint64
	missed   int
	idle     int
}

func (h *heartbeater) tick(w *bufio.Writer) error {
	c := h.conn
	received := c.received.Load()
	if received == h.received {
		h.missed++
	} else {
		h.missed = 0
	}
	h.received = received
	if h.missed >= c.node.opts.HeartbeatMisses {
		return errUnresponsive
	}
	h.idle++
	if c.used.Swap(false) || c.busy() {
		h.idle = 0
	}
	if time.Duration(h.idle)*c.node.opts.HeartbeatInterval >= c.idleTimeout() {
		return errIdle
	}
	if h.sent {
		h.sent = false
		return nil
	}
	f := &outFrame{data: c.node.heartbeat}
	return c.writeFrames(w, f)
}

// idleTimeout returns the idle time after which the connection is closed. It is shorter for a connection that
// was replaced by a newer one.
func (c *conn) idleTimeout() time.Duration {
	if c.retired.Load() {
		return c.node.opts.HeartbeatInterval * time.Duration(c.node.opts.HeartbeatMisses)
	}
	return c.node.opts.IdleTimeout
}

type countingReader struct{ c *conn }

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.c.raw.Read(b)
	r.c.received.Add(uint64(n))
	r.c.node.metrics.classes[r.c.class].bytesIn.Inc(int64(n))
	return n, err
}

type countingWriter struct{ c *conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.c.raw.Write(b)
	w.c.node.metrics.classes[w.c.class].bytesOut.Inc(int64(n))
	return n, err
}

var (
	_ io.Reader = countingReader{}
	_ io.Writer = countingWriter{}
)
