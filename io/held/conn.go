package held

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// behindAfter is how long a write may wait for its caller before the caller counts as behind: more than the round
	// trips in which a link between zones takes a window.
	behindAfter = 100 * time.Millisecond
	// checkInterval is the time between looks at a caller that is behind.
	checkInterval = 500 * time.Millisecond
	// stallTime is how long a caller may take less than minMoved bytes before its connection ends. Callers give up a
	// stream after a gap of some seconds.
	stallTime = 8 * time.Second
	// minMoved is the number of bytes that a caller must take within stallTime.
	minMoved = 64
	// evictAfter is how long a caller must have read nothing before it loses its connection to others that need the
	// memory.
	evictAfter = 3 * time.Second
)

var (
	// ErrStalled means that a caller has not read for stallTime.
	ErrStalled = merry.Sentinel("caller reads nothing")
	// ErrEvicted means that a caller has not read and that the process needs the memory.
	ErrEvicted = merry.Sentinel("caller reads nothing and the memory is needed")
)

// Listener wraps the connections of a listener.
type Listener struct {
	net.Listener
	budget *Budget
}

// NewListener returns a listener whose connections are of type *Conn.
func NewListener(l net.Listener, b *Budget) *Listener { return &Listener{Listener: l, budget: b} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, budget: l.budget}, nil
}

// Conn is the connection of a caller. One goroutine may write to it at a time.
type Conn struct {
	net.Conn
	budget *Budget
	// onBehind is called by the goroutine that writes.
	onBehind func()
	evicted  atomic.Bool
	// movedAt is when the caller has last taken minMoved bytes; it is guarded by the budget's mutex while the
	// connection is in Budget.behind.
	movedAt time.Time
}

type connKey struct{}

// ConnContext adds a connection, or the one that it wraps, to the context of its requests; it is meant for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		if held, ok := c.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, held)
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		c = outer.NetConn()
	}
}

// FromContext returns the connection of a request's caller; nil if there is none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// OnBehind sets a function that is called within a write to the caller when that has waited for behindAfter; nil removes
// it. It must be called by the goroutine that writes or while none does.
func (c *Conn) OnBehind(f func()) {
	if c != nil {
		c.onBehind = f
	}
}

// CloseWrite closes the sending side, if the connection can do that.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Write implements net.Conn. It waits for the caller as long as that takes bytes.
func (c *Conn) Write(p []byte) (int, error) {
	if c.evicted.Load() {
		return 0, ErrEvicted
	}
	written, err := c.writeFor(behindAfter, p)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	if c.onBehind != nil {
		c.onBehind()
	}
	c.setBehind()
	defer c.setCurrent()
	moved, unread := 0, time.Duration(0) // counted in checks, since the process may have been stopped
	for {
		n, err := c.writeFor(checkInterval, p[written:])
		written += n
		moved += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if unread += checkInterval; moved >= minMoved {
			moved, unread = 0, 0
			c.setMoved()
		}
		if err := c.ended(unread); err != nil {
			c.drop()
			return written, err
		}
	}
}

// writeFor writes for at most a time.
func (c *Conn) writeFor(d time.Duration, p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(d)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *Conn) setBehind() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.movedAt = b.opts.Now().Add(-behindAfter)
	b.behind[c] = struct{}{}
}

func (c *Conn) setMoved() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.movedAt = b.opts.Now()
}

func (c *Conn) setCurrent() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.behind, c)
}

// ended returns why the connection of a caller that has not read for some time is to end, or nil.
func (c *Conn) ended(unread time.Duration) error {
	if c.evicted.Load() {
		return ErrEvicted
	}
	if b := c.budget; unread >= stallTime {
		b.stalled.Inc(1)
		b.opts.Log.Info().Str("caller", c.RemoteAddr().String()).Dur("unreadMillis", unread).Msg("callerStalled")
		return ErrStalled
	}
	return nil
}

// drop makes the system discard what the caller has not read when the connection is closed.
func (c *Conn) drop() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
}

// evict ends the write in progress at its next check.
func (c *Conn) evict() { c.evicted.Store(true) }
