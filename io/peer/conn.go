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

// States of an item.
const (
	itemQueued int32 = iota
	itemWritten
	itemAbandoned
)

// item is a frame that waits to be written.
type item struct {
	data  []byte
	state atomic.Int32
}

// call is a request that waits for its response.
type call struct {
	item   *item
	result chan result
}

type result struct {
	frame frame
	err   error
}

// conn is one connection after its hello. Its reader, writer and notice goroutines end with it.
type conn struct {
	node  *Node
	raw   net.Conn
	peer  string
	class Class
	limit int
	// openedAt is the time of the hello.
	openedAt time.Time

	out     chan *item
	notices chan *frame
	done    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	received atomic.Uint64
	used     atomic.Bool
	retired  atomic.Bool
	serving  atomic.Int32

	mu     sync.Mutex
	err    error
	calls  map[uint64]*call
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
		out:      make(chan *item, n.opts.QueueFrames),
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

// close ends the connection; calls whose request was written may have run.
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
		p.result <- result{err: lossOf(p.item)}
	}
	c.node.metrics.connections.Dec(1)
	if errors.Is(err, errSilent) {
		c.node.metrics.silent.Inc(1)
	}
	c.node.opts.Logger.Debug().Str("peer", c.peer).
		Stringer("class", c.class).AnErr("reason", err).Msg("peerClosed")
}

// lossOf tells a request that was never written from one that may have run.
func lossOf(it *item) error {
	if it.state.CompareAndSwap(itemQueued, itemAbandoned) {
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

// enqueue adds an item without blocking and reports whether there was room.
func (c *conn) enqueue(it *item) bool {
	select {
	case c.out <- it:
		c.used.Store(true)
		return true
	default:
		return false
	}
}

// register adds a call; it reports false if the connection has ended.
func (c *conn) register(id uint64, p *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	c.calls[id] = p
	return true
}

func (c *conn) forget(id uint64) {
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
	p := &pulse{conn: c}
	for {
		select {
		case it := <-c.out:
			p.sent = true
			if err := c.writeItems(w, it); err != nil {
				c.close(err)
				return
			}
		case <-t.C:
			if err := p.beat(w); err != nil {
				c.close(err)
				return
			}
		case <-c.node.closing:
			_ = c.writeItems(w, nil)
			c.close(errClosed)
			return
		case <-c.done:
			return
		}
	}
}

// writeItems writes it and all that wait behind it, and flushes once.
func (c *conn) writeItems(w *bufio.Writer, it *item) error {
	timeout := c.node.opts.HeartbeatInterval * time.Duration(c.node.opts.HeartbeatMisses)
	for {
		if it != nil && it.state.CompareAndSwap(itemQueued, itemWritten) {
			_ = c.raw.SetWriteDeadline(time.Now().Add(timeout))
			if _, err := w.Write(it.data); err != nil {
				return err
			}
			c.node.metrics.classes[c.class].framesOut.Inc(1)
		}
		select {
		case it = <-c.out:
			continue
		default:
		}
		_ = c.raw.SetWriteDeadline(time.Now().Add(timeout))
		return w.Flush()
	}
}

// read handles frames until the connection ends.
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
		c.notice(f)
	case kindCancel:
		c.cancelServed(f.ID)
	}
}

// notice hands membership messages over at once and queues all others.
func (c *conn) notice(f frame) {
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

// resolve gives a response to the call that waits for it; late ones are dropped.
func (c *conn) resolve(f frame) {
	c.mu.Lock()
	p, ok := c.calls[f.ID]
	delete(c.calls, f.ID)
	c.mu.Unlock()
	if ok {
		p.result <- result{frame: f}
	}
}

// pulse is the heartbeat of one connection. It counts intervals rather than comparing times, so
// that a pause of the process does not make all connections look silent.
type pulse struct {
	conn     *conn
	sent     bool
	received uint64
	missed   int
	idle     int
}

func (p *pulse) beat(w *bufio.Writer) error {
	c := p.conn
	received := c.received.Load()
	if received == p.received {
		p.missed++
	} else {
		p.missed = 0
	}
	p.received = received
	if p.missed >= c.node.opts.HeartbeatMisses {
		return errSilent
	}
	p.idle++
	if c.used.Swap(false) || c.busy() {
		p.idle = 0
	}
	if time.Duration(p.idle)*c.node.opts.HeartbeatInterval >= c.idleTimeout() {
		return errIdle
	}
	if p.sent {
		p.sent = false
		return nil
	}
	it := &item{data: c.node.heartbeat}
	return c.writeItems(w, it)
}

// idleTimeout is shorter for a connection that was replaced by another one.
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
