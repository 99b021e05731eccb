// Package inbound accepts the connections of an HTTP/1 server's callers, and knows what the process has read from them.
//
// net/http calls a connection idle until it has parsed the next head. A Conn knows sooner: as soon as a byte of the next
// request has been read, its caller is owed an answer. Drain ends only connections from which nothing has been read since
// their last answer, where http.Server's own methods also end those whose next request is being read.
//
// Usage:
//
//	l := inbound.NewListener(listener, inbound.Options{Log: log, Registry: registry})
//	srv := &http.Server{Handler: l.Handler(h), ConnContext: inbound.ConnContext, ConnState: l.ConnState}
//	srv.Serve(l)
//	err := l.Drain(ctx)
package inbound

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// logBurst bounds the log lines about single connections in a second.
const logBurst = 10

// Options are the dependencies of a Listener; Log and Registry are required.
type Options struct {
	// Name is that of the listener in logs and metrics.
	Name string
	// Connections is the most that are open at a time, and HeadBytes the most memory, in bytes, for heads of requests that
	// have no answer yet; 0 sets no limit.
	Connections int
	HeadBytes   int64
	// Opaque reports that the bytes of connections aren't HTTP/1, but TLS: heads are neither counted nor refused, and Drain
	// can't tell what has been read.
	Opaque bool
	// Limits returns the limits in force; nil stands for DefaultLimits.
	Limits   func() Limits
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Listener wraps the connections of a listener. It is safe for concurrent use.
type Listener struct {
	net.Listener
	opts Options
	// unanswered counts connections that ended with bytes of a request read and no answer.
	unanswered metrics.Counter
	// endedIdle counts connections that a drain has ended without a request in progress.
	endedIdle metrics.Counter
	// refusedParts counts requests of which only a part had been read when their time, or that of the server, was over.
	refusedParts metrics.Counter
	// crossed counts connections on which bytes came after the sending side was closed.
	crossed metrics.Counter
	// sheds counts connections that ended in favour of others, refused those that weren't taken.
	sheds, refused metrics.Counter
	// log is sampled: callers that misbehave don't fill it.
	log zerolog.Logger
	// leaving, draining and stopped report how far the server has come on its way to its end.
	leaving, draining, stopped atomic.Bool
	// accepting counts calls of Accept: one that has returned from the system may have a connection that isn't known yet.
	accepting atomic.Int64
	// turnedAway counts connections that are being told that there is no room.
	turnedAway atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
	room  room
}

// NewListener returns a listener whose connections are of type *Conn.
func NewListener(l net.Listener, opts Options) *Listener {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("inbound."+name, opts.Registry)
	}
	if opts.Name == "" {
		opts.Name = "callers"
	}
	in := &Listener{
		Listener: l, opts: opts, conns: make(map[*Conn]struct{}), room: room{addresses: make(map[string]*holding)},
		unanswered: counter("unanswered"), endedIdle: counter("endedIdle"), refusedParts: counter("refusedParts"), crossed: counter("crossed"),
		sheds: counter("shed"), refused: counter("refusedConnections"),
		log: opts.Log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second}),
	}
	in.registerGauges()
	return in
}

// Accept implements net.Listener. Its error is http.ErrServerClosed after Drain has begun.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Add(1)
	defer l.accepting.Add(-1)
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if l.draining.Load() {
				return nil, http.ErrServerClosed
			}
			return nil, err
		}
		c := newConn(nc, l)
		if l.admit(c) {
			return c, nil
		}
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ConnState follows the connections of a server; it is meant for http.Server.ConnState.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	c := connOf(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(serving)
		if l.opts.Opaque {
			c.inProgress.Store(true)
		}
	case http.StateIdle:
		c.setPhase(idle)
	}
}

// connOf returns the Conn that a connection is or wraps, or nil.
func connOf(nc net.Conn) *Conn {
	switch c := nc.(type) {
	case *Conn:
		return c
	case interface{ NetConn() net.Conn }:
		return connOf(c.NetConn())
	default:
		return nil
	}
}

func (l *Listener) countUnanswered(c *Conn) {
	l.unanswered.Inc(1)
	l.log.Warn().Str("caller", c.RemoteAddr().String()).Msg("requestUnanswered")
}
