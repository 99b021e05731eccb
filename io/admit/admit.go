// Package admit accepts the connections of other nodes.
//
// Usage:
//
//	l := admit.NewListener(listener, admit.Options{Name: "nodes", Log: log, Registry: registry})
//	c, err := l.Accept()
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

const (
	// firstPause and lastPause bound the time between attempts to accept a connection while these fail.
	firstPause = 5 * time.Millisecond
	lastPause  = time.Second
	// logBurst bounds the log lines in a second.
	logBurst = 10
)

// Options are those of a Listener.
type Options struct {
	// Name is that of the listener in logs and metrics.
	Name     string
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Listener accepts connections. It is safe for concurrent use.
type Listener struct {
	below net.Listener
	opts  Options
	// failures counts the errors of the listener below.
	failures metrics.Counter
	// log is sampled: callers that misbehave don't fill it.
	log    zerolog.Logger
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a listener for connections of other nodes.
func NewListener(l net.Listener, opts Options) *Listener {
	return &Listener{
		below: l, opts: opts, closed: make(chan struct{}),
		failures: metrics.GetOrRegisterCounter("inbound.acceptFailures", opts.Registry),
		log:      opts.Log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second}),
	}
}

// Accept returns the next connection. It fails only if the listener is closed; after other errors, such as too many open files,
// it tries again.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		c, err := l.below.Accept()
		if err == nil {
			return c, nil
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
	l.once.Do(func() { close(l.closed) })
	return l.below.Close()
}
