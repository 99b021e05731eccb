package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mothcart/io/clock"
)

const (
	// EndTime is how long callers may take at the end of a drain to read what became of their requests.
	EndTime = 200 * time.Millisecond
	// unreadTime is how long the rest of a body is awaited that the answer doesn't need.
	unreadTime = time.Second
	// drainInterval is the time between two looks whether connections are left.
	drainInterval = 50 * time.Millisecond
)

// Leave makes answers tell from now on that their connection ends.
func (l *Listener) Leave() { l.leaving.Store(true) }

// Drain accepts no more connections, ends those without a request in progress, and waits until all have ended or ctx ends.
// What has been read by then, wholly or in part, is a request in progress; a part is refused when ctx ends. Callers have
// EndTime then to read what became of their requests.
func (l *Listener) Drain(ctx context.Context) error {
	l.Leave()
	l.draining.Store(true)
	if err := l.Close(); err != nil {
		l.log.Warn().Str("listener", l.opts.Name).Err(err).Msg("listenerNotClosed")
	}
	err := l.await(ctx)
	if err == nil {
		return nil
	}
	l.stopped.Store(true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), EndTime)
	defer cancel()
	_ = l.await(ctx)
	return err
}

// await ends the connections that are over, and waits until all have ended or ctx ends.
func (l *Listener) await(ctx context.Context) error {
	for _, c := range l.open() {
		c.wake()
	}
	for l.accepting.Load() > 0 || l.Open() > 0 {
		if err := clock.Sleep(ctx, drainInterval); err != nil {
			return err
		}
	}
	return nil
}

func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// Handler returns a handler whose answers tell when their connection ends.
func (l *Listener) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c != nil && !l.opts.Opaque {
			c.setPhase(serving) // net/http doesn't report a request that it had read with the one before
			c.inProgress.Store(r.ContentLength == 0)
			l.chargeParsed(c, r)
		}
		a := &answer{ResponseWriter: w, listener: l}
		if r.ContentLength != 0 {
			a.body = &body{ReadCloser: r.Body, conn: c}
			r = r.WithContext(r.Context())
			r.Body = a.body
		}
		h.ServeHTTP(a, r)
		a.begin(http.StatusOK) // net/http writes the head of an empty answer
	})
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests; it is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(c))
}

// answer is the answer to a request.
type answer struct {
	http.ResponseWriter
	listener *Listener
	// body is that of the request; nil if it has none.
	body  *body
	begun bool
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *Conn // nil if it isn't known
	// read reports that all of it has been read.
	read atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.read.Store(true)
		if b.conn != nil && !b.conn.listener.opts.Opaque {
			b.conn.inProgress.Store(true)
		}
	}
	return n, err
}

// Unwrap is for http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// begin is called before the head is written. A body that has not been read is awaited for unreadTime at most: by net/http
// before it writes the head, or after the answer if that tells that the connection ends.
func (a *answer) begin(status int) {
	if a.begun {
		return
	}
	a.begun = true
	unread := a.body != nil && !a.body.read.Load()
	if unread {
		// It fails only if the connection has ended.
		_ = http.NewResponseController(a.ResponseWriter).SetReadDeadline(time.Now().Add(unreadTime))
	}
	if a.listener.leaving.Load() || unread && (status == http.StatusRequestTimeout || status == http.StatusRequestEntityTooLarge) {
		a.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.begin(status)
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.begin(http.StatusOK)
	return a.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }

// FlushError sends what is buffered; it is for http.ResponseController.
func (a *answer) FlushError() error {
	a.begin(http.StatusOK)
	return http.NewResponseController(a.ResponseWriter).Flush()
}
