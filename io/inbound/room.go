package inbound

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Limits bound what a caller may send before its request is complete.
type Limits struct {
	// HeadBytes is the most that a head may have; up to readAhead bytes more are read before it is refused.
	HeadBytes int
	// HeadTime is how long a head may take from its first byte.
	HeadTime time.Duration
	// IdleTime is how long a connection may be idle.
	IdleTime time.Duration
}

// DefaultLimits hold while no configuration sets others.
func DefaultLimits() Limits {
	return Limits{HeadBytes: 64 << 10, HeadTime: 5 * time.Second, IdleTime: 75 * time.Second}
}

// or returns the limits with those of other where l has none.
func (l Limits) or(other Limits) Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = other.HeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = other.HeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = other.IdleTime
	}
	return l
}

const (
	// freshTime is how long a new connection may be without a request.
	freshTime = 5 * time.Second
	// maxTurnedAway bounds the connections that are told at a time that there is no room; others are closed.
	maxTurnedAway = 64
	// endingShare is the share of connections, beyond those that a listener takes, that may be on their way to their end.
	endingShare = 0.25
	// readAhead is the size of net/http's read buffer, in bytes.
	readAhead = 4 << 10
	// byteCost and lineCost are the bytes of memory that net/http keeps for a byte and for a line of a head.
	byteCost = 2
	lineCost = 160
)

// headCost returns the bytes of memory that bytes of a head cost once they are parsed.
func headCost(p []byte) int64 {
	cost := int64(byteCost * len(p))
	for _, b := range p {
		if b == '\n' {
			cost += lineCost
		}
	}
	return cost
}

// room is what a listener holds for callers. The listener's mutex guards it.
type room struct {
	// live counts the connections that have not been shed.
	live int
	// heads is what the heads of live connections cost, in bytes of memory.
	heads int64
	// addresses has what each caller's address holds of both.
	addresses map[string]*holding
}

type holding struct {
	conns int
	heads int64
}

func (r *room) add(c *Conn, conns int, heads int64) {
	r.live += conns
	r.heads += heads
	h := r.addresses[c.address]
	if h == nil {
		h = &holding{}
		r.addresses[c.address] = h
	}
	h.conns += conns
	h.heads += heads
	if h.conns == 0 {
		delete(r.addresses, c.address)
	}
}

func addressOf(c net.Conn) string {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return string(tcp.IP)
	}
	return c.RemoteAddr().String()
}

// admit takes a new connection, in the place of another if the listener is full. If none can be shed, its caller is told that
// there is no room, and admit reports false.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opts.Connections > 0 && len(l.conns) > l.opts.Connections+int(endingShare*float64(l.opts.Connections)) {
		l.refused.Inc(1)
		_ = c.Conn.Close() // many are ending already; nothing has been read from it
		return false
	}
	for l.opts.Connections > 0 && l.room.live >= l.opts.Connections {
		worst := l.worst(func(h *holding) int64 { return int64(h.conns) }, func(*Conn) bool { return true })
		if worst == nil {
			l.refused.Inc(1)
			l.log.Info().Str("listener", l.opts.Name).Str("caller", c.RemoteAddr().String()).Int("connections", l.room.live).Msg("connectionRefused")
			l.turnAway(c)
			return false
		}
		l.shed(worst, "connections")
	}
	l.conns[c] = struct{}{}
	l.room.add(c, 1, 0)
	return true
}

// turnAway answers a connection from which nothing is read, or closes it if many are answered already; the mutex is held.
func (l *Listener) turnAway(c *Conn) {
	if !c.takeTurn() {
		_ = c.Conn.Close() // nothing has been read from it
		return
	}
	go func() {
		c.refuse(http.StatusServiceUnavailable)
		if c.CloseWrite() == nil {
			c.linger()
			return
		}
		_ = c.Conn.Close() // the caller has been told
		l.remove(c)
	}()
}

// takeTurn reports that a connection may be told that there is no room, and may stay until its caller has read that.
func (c *Conn) takeTurn() bool {
	limit := int64(maxTurnedAway)
	if n := c.listener.opts.Connections; n > 0 {
		limit = min(limit, int64(endingShare/2*float64(n)))
	}
	if c.listener.turnedAway.Add(1) <= limit {
		c.hasTurn.Store(true)
		return true
	}
	c.listener.turnedAway.Add(-1)
	return false
}

// charge counts the cost of bytes of a head that have been read; others are shed if that is too much for all.
func (l *Listener) charge(c *Conn, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; !open || c.isShed.Load() {
		return
	}
	c.heads += cost
	l.room.add(c, 0, cost)
	for l.opts.HeadBytes > 0 && l.room.heads > l.opts.HeadBytes {
		worst := l.worst(func(h *holding) int64 { return h.heads }, func(c *Conn) bool { return c.heads > 0 })
		if worst == nil {
			return // all heads are complete, and their requests in progress
		}
		l.shed(worst, "heads")
	}
}

// chargeParsed counts the cost of a head as far as it isn't counted: net/http may have read it with the request before.
func (l *Listener) chargeParsed(c *Conn, r *http.Request) {
	cost := int64(byteCost * len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			cost += lineCost + byteCost*int64(len(name)+len(value))
		}
	}
	l.mu.Lock()
	missing := cost - c.heads
	l.mu.Unlock()
	if missing > 0 {
		l.charge(c, missing)
	}
}

// release ends the count of a head.
func (l *Listener) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.isShed.Load() {
		l.room.add(c, 0, -c.heads)
	}
	c.heads = 0
}

// worst returns the connection to shed, or nil: of the address that holds the most, the one that has been on its way to a
// request for the longest time. A connection whose request is complete is never shed. The mutex is held.
func (l *Listener) worst(held func(*holding) int64, counts func(*Conn) bool) *Conn {
	var worst *Conn
	var most, since int64
	for c := range l.conns {
		if c.isShed.Load() || c.inProgress.Load() || !counts(c) {
			continue
		}
		holds, at := held(l.room.addresses[c.address]), c.since.Load()
		if worst == nil || holds > most || holds == most && at < since {
			worst, most, since = c, holds, at
		}
	}
	return worst
}

// shed ends a connection and the count of what it holds; the mutex is held.
func (l *Listener) shed(c *Conn, reason string) {
	l.room.add(c, -1, -c.heads)
	c.isShed.Store(true)
	l.sheds.Inc(1)
	l.log.Info().Str("listener", l.opts.Name).Str("caller", c.RemoteAddr().String()).Str("reason", reason).
		Int("connections", l.room.live).Int64("headBytes", l.room.heads).Msg("connectionShed")
	go c.wake() // it takes the mutex of the connection
}

func (l *Listener) remove(c *Conn) {
	if c.hasTurn.Swap(false) {
		l.turnedAway.Add(-1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if !c.isShed.Load() {
		l.room.add(c, -1, -c.heads)
	}
	c.heads = 0
}

// limits returns the limits in force.
func (l *Listener) limits() Limits {
	if l.opts.Limits == nil {
		return DefaultLimits()
	}
	return l.opts.Limits().or(DefaultLimits())
}

func (l *Listener) registerGauges() {
	gauge := func(name string, value func() int64) {
		l.opts.Registry.GetOrRegister("inbound."+l.opts.Name+"."+name, func() metrics.Gauge { return metrics.NewFunctionalGauge(value) })
	}
	gauge("connections", func() int64 { l.mu.Lock(); defer l.mu.Unlock(); return int64(l.room.live) })
	gauge("headBytes", func() int64 { l.mu.Lock(); defer l.mu.Unlock(); return l.room.heads })
}
