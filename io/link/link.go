// Package link carries calls and notices over one connection between two processes of a site. A call has an
// answer; a notice has none.
//
// Frames are msgpack with a length prefix, over TCP. Both sides may call; answers come in any order.
// Each side sends heartbeats, and a connection that is idle for some heartbeat intervals is closed. Writes
// are queued; a connection whose queue is full is closed, since its other side doesn't read.
//
// Usage:
//
//	c, err := link.Dial(ctx, connect, "10.0.0.7:7660", link.Options{Handle: handle})
//	defer c.Close()
//	err = c.Call(ctx, "ask", askRequest{Service: "scribe"}, &answer)
//
//	l := link.NewServer(listener, link.Options{Handle: handle, Closed: closed})
//	defer l.Close()
package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/io/admit"
	"mothcart/io/msgframe"
)

var (
	// ErrClosed means that the connection ended before the answer came; the call may have run.
	ErrClosed = merry.Sentinel("connection between nodes is closed")
	// ErrRemote means that the other side could not run the call.
	ErrRemote = merry.Sentinel("call between nodes failed")
)

const (
	// heartbeatInterval is how long a side sends nothing before it sends a heartbeat.
	heartbeatInterval = 200 * time.Millisecond
	// ioTimeout bounds the read of a frame, including the wait for it, and the write of queued frames; a
	// connection that exceeds it is closed.
	ioTimeout = 650 * time.Millisecond
	// maxFrame bounds a frame in bytes; the largest holds a page of results.
	maxFrame = 4 << 20
	// maxQueued bounds the frames that wait to be written.
	maxQueued = 512
	// writeBuffer is the size of the buffer that gathers frames, in bytes.
	writeBuffer = 4 << 10
)

type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindCall
	kindAnswer
	kindFailure
	kindNotice
	// kindPackedNotice is a notice whose body is compressed.
	kindPackedNotice
)

type frame struct {
	Kind   kind
	ID     uint64
	Method string
	Body   msgpack.RawMessage
}

// Incoming is a call or a notice from the other side.
type Incoming struct {
	Method string
	body   msgpack.RawMessage
	conn   *Conn
	id     uint64
}

// Decode decodes the message.
func (in Incoming) Decode(v any) error {
	if err := msgpack.Unmarshal(in.body, v); err != nil {
		return merry.Errorf("decode %s: %w", in.Method, err)
	}
	return nil
}

// Conn returns the connection on which the message arrived.
func (in Incoming) Conn() *Conn { return in.conn }

// Answer answers a call, now or later; for notices it does nothing.
func (in Incoming) Answer(v any) {
	if in.id != 0 {
		in.conn.send(kindAnswer, in.id, "", v)
	}
}

// Fail answers a call with an error.
func (in Incoming) Fail(err error) {
	if in.id != 0 {
		in.conn.send(kindFailure, in.id, "", err.Error())
	}
}

// Options are the handlers of a connection.
type Options struct {
	// Handle is called for each incoming message in order; it must not block.
	Handle func(c *Conn, in Incoming)
	// Closed is called once when a connection has ended; nil is allowed.
	Closed func(c *Conn, err error)
	// Admit are the options of a server's listener.
	Admit admit.Options
}

// Conn is one connection. Its methods are safe for concurrent use.
type Conn struct {
	opts   Options
	conn   *admit.Conn
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
	// lastRead is when the last frame was read, in nanoseconds of the Unix epoch.
	lastRead atomic.Int64

	mu     sync.Mutex
	nextID uint64
	calls  map[uint64]chan<- frame
	err    error
}

// Dial opens a connection to another process.
func Dial(ctx context.Context, connect func(ctx context.Context, network, address string) (net.Conn, error), address string, opts Options) (*Conn, error) {
	nc, err := connect(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Errorf("connect to node %s: %w", address, err)
	}
	return newConn(admit.Opened(nc), opts), nil
}

func newConn(nc *admit.Conn, opts Options) *Conn {
	c := &Conn{
		opts:   opts,
		conn:   nc,
		queue:  make(chan []byte, maxQueued),
		closed: make(chan struct{}),
		calls:  make(map[uint64]chan<- frame),
	}
	c.lastRead.Store(time.Now().UnixNano())
	go c.read()
	go c.write()
	return c
}

// Idle returns the time since the last frame from the other side.
func (c *Conn) Idle() time.Duration { return time.Duration(time.Now().UnixNano() - c.lastRead.Load()) }

// Prove notes that a node is at the other side. Others are closed first when a server has no room.
func (c *Conn) Prove() { c.conn.Prove() }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Err returns why the connection has ended; nil while it has not.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Silent reports that the connection has ended since nothing arrived or was accepted in time, not by a close of a side.
func (c *Conn) Silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var timeout net.Error
	return errors.As(c.err, &timeout) && timeout.Timeout()
}

// Close ends the connection.
func (c *Conn) Close() { c.fail(ErrClosed) }

func (c *Conn) fail(err error) {
	c.once.Do(func() {
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(c.closed)
		_ = c.conn.Close() // the connection is abandoned in any case
		if c.opts.Closed != nil {
			c.opts.Closed(c, err)
		}
	})
}

// Call sends a request and decodes its answer into resp.
func (c *Conn) Call(ctx context.Context, method string, req, resp any) error {
	return c.Begin(method, req)(ctx, resp)
}

// Begin sends a request before all that is sent after it. The function that it returns waits for the answer and decodes it
// into resp; it must be called.
func (c *Conn) Begin(method string, req any) func(ctx context.Context, resp any) error {
	answer := make(chan frame, 1)
	id := c.register(answer)
	c.send(kindCall, id, method, req)
	return func(ctx context.Context, resp any) error {
		defer c.unregister(id)
		select {
		case f := <-answer:
			return decodeAnswer(method, f, resp)
		case <-c.closed:
			return merry.Errorf("call %s: %w", method, ErrClosed)
		case <-ctx.Done():
			return merry.Errorf("call %s: %w", method, ctx.Err())
		}
	}
}

func decodeAnswer(method string, f frame, resp any) error {
	if f.Kind == kindFailure {
		var text string
		if err := msgpack.Unmarshal(f.Body, &text); err != nil {
			return merry.Errorf("call %s: %w: %w", method, ErrRemote, err)
		}
		return merry.Errorf("call %s: %w: %s", method, ErrRemote, text)
	}
	if err := msgpack.Unmarshal(f.Body, resp); err != nil {
		return merry.Errorf("decode answer of %s: %w", method, err)
	}
	return nil
}

// Notify sends a message that has no answer; it is lost if the connection ends.
func (c *Conn) Notify(method string, msg any) { c.send(kindNotice, 0, method, msg) }

func (c *Conn) register(answer chan<- frame) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	c.calls[c.nextID] = answer
	return c.nextID
}

func (c *Conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

func (c *Conn) send(k kind, id uint64, method string, msg any) {
	body, err := msgframe.EncodeBody(msg)
	if err != nil {
		c.fail(merry.Errorf("encode %s: %w", method, err))
		return
	}
	b, err := msgframe.Encode(frame{Kind: k, ID: id, Method: method, Body: body}, maxFrame)
	if err != nil {
		c.fail(merry.Errorf("encode %s: %w", method, err))
		return
	}
	c.enqueue(b)
}

func (c *Conn) enqueue(b []byte) {
	select {
	case c.queue <- b:
	case <-c.closed:
	default:
		c.fail(merry.Errorf("%d frames wait to be written: %w", maxQueued, ErrClosed))
	}
}

func (c *Conn) read() {
	r := bufio.NewReader(c.conn)
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(ioTimeout)); err != nil {
			c.fail(merry.Errorf("set read deadline: %w", err))
			return
		}
		b, err := msgframe.ReadGrowing(r, maxFrame, c.conn.Hold)
		if err != nil {
			c.fail(merry.Errorf("read: %w", err))
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		var f frame
		if err := msgframe.Decode(b, &f); err != nil {
			c.fail(merry.Errorf("decode frame: %w", err))
			return
		}
		c.receive(f)
		if err := c.conn.Hold(0); err != nil {
			c.fail(merry.Errorf("read: %w", err))
			return
		}
	}
}

func (c *Conn) receive(f frame) {
	switch f.Kind {
	case kindCall, kindNotice:
		in := Incoming{Method: f.Method, body: f.Body, conn: c}
		if f.Kind == kindCall {
			in.id = f.ID
		}
		c.opts.Handle(c, in)
	case kindPackedNotice:
		body, err := unpack(f.Body, c.conn.Hold)
		if err != nil {
			c.fail(merry.Errorf("notice %s: %w", f.Method, err))
			return
		}
		c.opts.Handle(c, Incoming{Method: f.Method, body: body, conn: c})
	case kindAnswer, kindFailure:
		c.mu.Lock()
		answer := c.calls[f.ID]
		delete(c.calls, f.ID)
		c.mu.Unlock()
		if answer != nil {
			answer <- f
		}
	case kindHeartbeat:
	}
}

func (c *Conn) write() {
	w := bufio.NewWriterSize(c.conn, writeBuffer)
	beat, err := msgframe.Encode(frame{Kind: kindHeartbeat}, maxFrame)
	if err != nil {
		c.fail(merry.Errorf("encode heartbeat: %w", err))
		return
	}
	t := time.NewTimer(heartbeatInterval)
	defer t.Stop()
	for {
		b := beat
		select {
		case <-c.closed:
			return
		case b = <-c.queue:
		case <-t.C:
		}
		t.Reset(heartbeatInterval)
		if err := c.writeAll(w, b); err != nil {
			c.fail(merry.Errorf("write: %w", err))
			return
		}
	}
}

// writeAll writes b and all queued frames, with one flush.
func (c *Conn) writeAll(w *bufio.Writer, b []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(ioTimeout)); err != nil {
		return merry.Errorf("set write deadline: %w", err)
	}
	for {
		if _, err := w.Write(b); err != nil {
			return merry.Errorf("write frame: %w", err)
		}
		select {
		case b = <-c.queue:
		default:
			if err := w.Flush(); err != nil {
				return merry.Errorf("flush: %w", err)
			}
			return nil
		}
	}
}
