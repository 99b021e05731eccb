package admit

import (
	"net"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
)

// Conn is a connection. One without a listener, which this process has opened itself, has no bounds.
type Conn struct {
	net.Conn
	listener *Listener
	// address is that of the other side without its port.
	address string
	// done is closed when the connection is closed, by its owner or in favour of others.
	done chan struct{}

	// The listener's mutex guards these. order is that of acceptance, and bytes what the connection holds.
	order       uint64
	bytes       int64
	proved      bool
	ended, shed bool
	// ending reports that the owner has not closed the connection since it was shed.
	ending bool
}

// Opened returns a connection that this process has opened.
func Opened(nc net.Conn) *Conn { return &Conn{Conn: nc, proved: true} }

// Hold sets the number of bytes that the connection holds. If that is too much for all, others are closed, or the connection
// itself, which Hold reports by ErrShed.
func (c *Conn) Hold(n int) error {
	if c.listener == nil {
		return nil
	}
	return c.listener.hold(c, int64(n))
}

// Prove notes that a node is at the other side. What the connection holds no longer counts.
func (c *Conn) Prove() {
	if c.listener != nil {
		c.listener.prove(c)
	}
}

// Done returns a channel that is closed when an accepted connection has been closed, by its owner or in favour of others.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.listener != nil {
		c.listener.remove(c)
	}
	return c.Conn.Close()
}

// room is what connections hold. The listener's mutex guards it.
type room struct {
	conns    map[*Conn]struct{}
	accepted uint64
	// bytes is what connections without proof hold, and addresses what those of each address hold.
	bytes     int64
	addresses map[string]*holding
}

type holding struct {
	conns, bytes int64
}

func newRoom() room {
	return room{conns: make(map[*Conn]struct{}), addresses: make(map[string]*holding)}
}

// add counts connections, and bytes, of the address of a connection without proof.
func (r *room) add(c *Conn, conns, bytes int64) {
	r.bytes += bytes
	h := r.addresses[c.address]
	if h == nil {
		h = &holding{}
		r.addresses[c.address] = h
	}
	h.conns += conns
	h.bytes += bytes
	if h.conns == 0 {
		delete(r.addresses, c.address)
	}
}

// remove ends the count of a connection.
func (r *room) remove(c *Conn) {
	if c.ended {
		return
	}
	c.ended = true
	close(c.done)
	delete(r.conns, c)
	if !c.proved {
		r.add(c, -1, -c.bytes)
	}
}

// worst returns the connection to close, or nil: of the address that holds the most, the one that has been without proof for
// the longest time.
func (r *room) worst(held func(*holding) int64, counts func(*Conn) bool) *Conn {
	var worst *Conn
	var most int64
	for c := range r.conns {
		if c.proved || !counts(c) {
			continue
		}
		holds := held(r.addresses[c.address])
		if worst == nil || holds > most || holds == most && c.order < worst.order {
			worst, most = c, holds
		}
	}
	return worst
}

func addressOf(nc net.Conn) string {
	address := nc.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// admit takes a new connection, in the place of another if there is no room; it returns nil if none can be closed.
func (l *Listener) admit(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, listener: l, address: addressOf(nc), done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.opts.Connections > 0 && len(l.room.conns) >= l.opts.Connections {
		worst := l.room.worst(func(h *holding) int64 { return h.conns }, func(*Conn) bool { return true })
		if worst == nil {
			l.refused.Inc(1)
			l.log.Info().Str("listener", l.opts.Name).Str("caller", nc.RemoteAddr().String()).Int("connections", len(l.room.conns)).Msg("connectionRefused")
			return nil
		}
		l.shed(worst, "connections")
	}
	l.room.accepted++
	c.order = l.room.accepted
	l.room.conns[c] = struct{}{}
	l.room.add(c, 1, 0)
	return c
}

func (l *Listener) hold(c *Conn, n int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.proved && !c.ended {
		l.room.add(c, 0, n-c.bytes)
		c.bytes = n
		for l.opts.Bytes > 0 && l.room.bytes > l.opts.Bytes {
			l.shed(l.room.worst(func(h *holding) int64 { return h.bytes }, func(c *Conn) bool { return c.bytes > 0 }), "bytes")
		}
	}
	if c.shed {
		return merry.Errorf("hold %d bytes: %w", n, ErrShed)
	}
	return nil
}

func (l *Listener) prove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.proved || c.ended {
		return
	}
	c.proved = true
	l.room.add(c, -1, -c.bytes)
	c.bytes = 0
}

// shed closes a connection; the mutex is held.
func (l *Listener) shed(c *Conn, reason string) {
	l.room.remove(c)
	c.shed, c.ending = true, true
	l.ending++
	l.sheds.Inc(1)
	l.log.Info().Str("listener", l.opts.Name).Str("caller", c.RemoteAddr().String()).Str("reason", reason).
		Int("connections", len(l.room.conns)).Int64("bytes", l.room.bytes).Msg("connectionShed")
	_ = c.Conn.Close() // it is abandoned in any case
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room.remove(c)
	if c.ending {
		c.ending = false
		l.ending--
		l.ended.Signal()
	}
}

func (l *Listener) registerGauges() {
	gauge := func(name string, value func(r *room) int) {
		l.opts.Registry.GetOrRegister("inbound."+l.opts.Name+"."+name, func() metrics.Gauge {
			return metrics.NewFunctionalGauge(func() int64 { l.mu.Lock(); defer l.mu.Unlock(); return int64(value(&l.room)) })
		})
	}
	gauge("connections", func(r *room) int { return len(r.conns) })
	gauge("frameBytes", func(r *room) int { return int(r.bytes) })
}
