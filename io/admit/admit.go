// Package admit accepts the connections of other nodes, and bounds their number and what those that have not proved to be
// nodes hold.
//
// Usage:
//
//	l := admit.NewListener(listener, admit.Options{Name: "nodes", Connections: 400, Bytes: 8 << 20, Log: log, Registry: registry})
//	c, err := l.Accept()
//	err = c.Hold(n) // n bytes of a frame are in progress
//	c.Prove()       // a node is at the other side
package admit

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// ErrShed means that a connection was closed so that others have room.
var ErrShed = merry.Sentinel("connection closed in favour of others")

const (
	// firstPause and lastPause bound the time between attempts to accept a connection while these fail.
	firstPause = 5 * time.Millisecond
	lastPause  = time.Second
	// endingShare is the share of connections, beyond those that a listener takes, that may be on their way to their end.
	endingShare = 0.25
	// logBurst bounds the log lines in a second.
	logBurst = 10
)

// Options are those of a Listener.
type Options struct {
	// Name is that of the listener in logs and metrics.
	Name string
	// Connections is the most that are open at a time, and Bytes the most that those without proof hold together; 0 sets no
	// limit.
	Connections int
	Bytes       int64
	Log         zerolog.Logger
	// Registry is nil if nobody reads the metrics.
	Registry metrics.Registry
}

// Listener accepts connections. It is safe for concurrent use.
type Listener struct {
	below net.Listener
	opts  Options
	// failures counts the errors of the listener below, sheds the connections that ended in favour of others, and refused
	// those that weren't taken.
	failures, sheds, refused metrics.Counter
	// log is sampled: callers that misbehave don't fill it.
	log    zerolog.Logger
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	room room
	// ending is the number of connections that were closed in favour of others and that their owners have not closed yet.
	ending int
	// ended is notified when ending falls, and when the listener is closed.
	ended *sync.Cond
}

// NewListener returns a listener for connections of other nodes.
func NewListener(l net.Listener, opts Options) *Listener {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("inbound."+name, opts.Registry) }
	in := &Listener{
		below: l, opts: opts, closed: make(chan struct{}), room: newRoom(),
		failures: counter("acceptFailures"), sheds: counter("shed"), refused: counter("refusedConnections"),
		log: opts.Log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second}),
	}
	in.ended = sync.NewCond(&in.mu)
	in.registerGauges()
	return in
}

// Accept returns the next connection that there is room for. It fails only if the listener is closed; after other errors, such
// as too many open files, it tries again.
func (l *Listener) Accept() (*Conn, error) {
	for {
		l.awaitEnds()
		nc, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close() // nothing has been read from it
	}
}

// awaitEnds waits while many connections are ending, which still have descriptors; newcomers wait in the system's queue.
func (l *Listener) awaitEnds() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.opts.Connections > 0 && l.ending >= max(1, int(endingShare*float64(l.opts.Connections))) && !l.isClosed() {
		l.ended.Wait()
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *Listener) accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		nc, err := l.below.Accept()
		if err == nil {
			return nc, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, merry.Errorf("accept: %w", err)
		}
		l.failures.Inc(1)
		l.log.Warn().Str("listener", l.opts.Name).Err(err).Msg("acceptFailed")
		select {
		case <-l.closed:
			return nil, merry.Errorf("accept: %w", net.ErrClosed)
		case <-time.After(pause):
		}
	}
}

// Close closes the listener. Connections remain open.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		close(l.closed)
		l.ended.Broadcast()
	})
	return l.below.Close()
}
