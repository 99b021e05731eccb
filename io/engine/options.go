package engine

import (
	"context"
	"net"
	"time"
)

// Options are the settings of a client. Values are immutable.
type Options struct {
	// ReadBufferBytes is the size of each connection's read buffer.
	ReadBufferBytes int
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// keepAlive is the interval of TCP keep-alive probes on an idle connection.
	keepAlive = 10 * time.Second
)

// NewOptions returns the default settings, which are sized for a few hundred engines.
func NewOptions() Options {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return Options{
		ReadBufferBytes: 4 << 10,
		Dial:            dialer.DialContext,
	}
}

// WithDial returns a copy that opens connections with dial.
func (o Options) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Options {
	o.Dial = dial
	return o
}
