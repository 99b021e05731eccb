package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// minBackoff and maxBackoff bound the time after a failed dial in which no other dial is tried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxConnsPerLink bounds the connections of one class to one peer.
	maxConnsPerLink = 4
	// minFreshAge is the minimum age of a connection that is replaced after an unanswered probe; it
	// bounds the connections that a node under load opens.
	minFreshAge = 2 * time.Second
	// maxPending bounds the notices that wait for a connection.
	maxPending = 64
)

// linkKey identifies the link to one peer in one class.
type linkKey struct {
	peer  string
	class Class
}

// link holds the connections to one peer in one class. The newest one carries new frames.
type link struct {
	node  *Node
	key   linkKey
	calls chan struct{}

	mu           sync.Mutex
	conns        []*conn
	pending      []*outFrame
	dialing      chan struct{}
	dialErr      error
	failures     int
	retryAt      time.Time
	usedAt       time.Time
	hasConnected bool
}

func newLink(n *Node, key linkKey) *link {
	limit := n.opts.MaxControlCalls
	if key.class == Bulk {
		limit = n.opts.MaxBulkCalls
	}
	return &link{node: n, key: key, calls: make(chan struct{}, limit)}
}

// current returns the newest open connection, or nil.
func (l *link) current() *conn {
	open := l.conns[:0]
	for _, c := range l.conns {
		if !c.closed() {
			open = append(open, c)
		}
	}
	clear(l.conns[len(open):])
	l.conns = open
	if len(open) == 0 {
		return nil
	}
	return open[len(open)-1]
}

// connect returns an open connection, dialling if there is none.
func (l *link) connect(ctx context.Context) (*conn, error) {
	for {
		l.mu.Lock()
		l.usedAt = time.Now()
		if c := l.current(); c != nil {
			l.mu.Unlock()
			return c, nil
		}
		if err := l.startDial(); err != nil {
			l.mu.Unlock()
			return nil, err
		}
		dialing := l.dialing
		l.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, merry.Errorf("dial %s: %w: %w", l.key.peer, ErrUnreachable, ctx.Err())
		}
		l.mu.Lock()
		err := l.dialErr
		l.mu.Unlock()
		if err != nil {
			return nil, merry.Errorf("dial %s: %w: %w", l.key.peer, ErrUnreachable, err)
		}
	}
}

// startDial begins to dial unless a dial is in progress; l.mu is held.
func (l *link) startDial() error {
	if l.dialing != nil {
		return nil
	}
	if time.Now().Before(l.retryAt) {
		return merry.Errorf("dial %s again too soon: %w", l.key.peer, ErrUnreachable)
	}
	dialing := make(chan struct{})
	if !l.node.goUnlessClosing(func() { l.dial(dialing) }) {
		return merry.Errorf("dial %s: %w: %w", l.key.peer, ErrUnreachable, errClosed)
	}
	l.dialing = dialing
	return nil
}

func (l *link) dial(dialing chan struct{}) {
	l.node.metrics.dials.Inc(1)
	raw, err := l.node.handshake.dial(l.node.ctx, l.key)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(dialing)
	l.dialing = nil
	l.dialErr = err
	if err != nil {
		l.node.metrics.dialErrors.Inc(1)
		l.node.opts.Logger.Debug().Str("peer", l.key.peer).
			Stringer("class", l.key.class).Err(err).Msg("peerDialFailed")
		l.failures++
		backoff := min(maxBackoff, minBackoff<<min(l.failures, 8))
		l.retryAt = time.Now().Add(backoff/2 + rand.N(backoff/2))
		l.node.metrics.noticesDropped.Inc(int64(len(l.pending)))
		l.pending = nil
		return
	}
	l.adoptLocked(newConn(l.node, raw, l.key.peer, l.key.class))
}

// adopt makes c the connection that carries new frames.
func (l *link) adopt(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adoptLocked(c)
}

func (l *link) adoptLocked(c *conn) {
	if l.hasConnected {
		l.node.metrics.reconnects.Inc(1)
	}
	l.hasConnected = true
	l.failures = 0
	l.retryAt = time.Time{}
	l.usedAt = time.Now()
	l.current()
	for _, old := range l.conns {
		old.retired.Store(true)
	}
	if len(l.conns) >= maxConnsPerLink {
		oldest := l.conns[0]
		l.conns = l.conns[1:]
		l.node.goUnlessClosing(func() { oldest.close(errIdle) })
	}
	l.conns = append(l.conns, c)
	for _, f := range l.pending {
		if !c.enqueue(f) {
			l.node.metrics.noticesDropped.Inc(1)
		}
	}
	l.pending = nil
}

// notify queues a notice without blocking; with fresh, it goes over a new connection unless the present one
// is younger than minFreshAge.
func (l *link) notify(f *outFrame, fresh bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usedAt = time.Now()
	if c := l.current(); c != nil && (!fresh || time.Since(c.openedAt) < minFreshAge) {
		if c.enqueue(f) {
			return nil
		}
		l.node.metrics.noticesDropped.Inc(1)
		return merry.Errorf("notify %s: %w", l.key.peer, ErrQueueFull)
	}
	if err := l.startDial(); err != nil {
		l.node.metrics.noticesDropped.Inc(1)
		return err
	}
	if len(l.pending) >= maxPending {
		l.node.metrics.noticesDropped.Inc(1)
		return merry.Errorf("notify %s: %w", l.key.peer, ErrQueueFull)
	}
	l.pending = append(l.pending, f)
	return nil
}

// unused reports whether the link has no connection and has been idle long enough to be removed.
func (l *link) unused(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current() == nil && l.dialing == nil && now.Sub(l.usedAt) > l.node.opts.IdleTimeout
}
