package service

import (
	"context"
	"net"
	"time"
)

// Options are the settings of a client. Values are immutable.
type Options struct {
	// HeaderTimeout bounds the wait for the answer's headers after the request was written.
	HeaderTimeout time.Duration
	// RequestIDHeader carries the request's ID to the upstream, which may repeat it in the answer.
	RequestIDHeader string
	// AnswerBytes bounds the memory in bytes of all answers that ReadAnswer holds.
	AnswerBytes int64
	// Take takes room for n bytes of answers from what the process may hold and reports whether there is enough, and Free
	// gives it back.
	Take func(n int64) bool
	Free func(n int64)
	// OnFault is called once for each connection on which an answer breaks the rules of HTTP or is reset without the
	// reader's knowledge, with http1.ErrHead or http1.ErrReset in the error's chain. It must not block.
	OnFault func(err error)
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// DefaultAnswerBytes is the default of Options.AnswerBytes.
	DefaultAnswerBytes = 16 << 20
)

// NewOptions returns the default settings, which are sized for a few dozen upstreams.
func NewOptions() Options {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return Options{HeaderTimeout: 60 * time.Second,
		RequestIDHeader: "X-Request-Id", AnswerBytes: DefaultAnswerBytes, Take: func(int64) bool { return true }, Free: func(int64) {}, OnFault: func(error) {}, Dial: dialer.DialContext}
}

// WithAnswerBytes returns a copy whose answers in memory are bounded by n bytes.
func (o Options) WithAnswerBytes(n int64) Options {
	o.AnswerBytes = n
	return o
}

// WithRoom returns a copy whose answers also count by take and free.
func (o Options) WithRoom(take func(n int64) bool, free func(n int64)) Options {
	o.Take, o.Free = take, free
	return o
}

// WithHeaderTimeout returns a copy with the wait for headers bounded by d.
func (o Options) WithHeaderTimeout(d time.Duration) Options {
	o.HeaderTimeout = d
	return o
}

// WithRequestIDHeader returns a copy with another header for the request's ID.
func (o Options) WithRequestIDHeader(name string) Options {
	o.RequestIDHeader = name
	return o
}

// WithOnFault returns a copy that calls onFault.
func (o Options) WithOnFault(onFault func(err error)) Options {
	o.OnFault = onFault
	return o
}

// WithDial returns a copy that opens connections by dial.
func (o Options) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Options {
	o.Dial = dial
	return o
}
