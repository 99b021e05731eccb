package operator

import (
	"time"

	"github.com/rs/zerolog"

	"mothcart/io/published"
)

// Options are the settings of the handler. Values are immutable.
type Options struct {
	// Follower publishes and follows the configuration.
	Follower *published.Follower
	// Plain accepts the operator's name from OperatorHeader on connections without TLS; it is for
	// tests and demonstrations on loopback.
	Plain bool
	// Allow reports whether the named operator may use the port; nil allows every name.
	Allow func(name string) bool
	// Now returns the current time.
	Now func() time.Time
	// Log receives one line for each apply, and for each request refused because it names no operator or one
	// that Allow rejects.
	Log zerolog.Logger
}

// NewOptions returns the settings for a port with TLS.
func NewOptions(f *published.Follower) Options {
	return Options{Follower: f, Allow: func(string) bool { return true }, Now: time.Now, Log: zerolog.Nop()}
}

// WithPlain returns a copy with Plain set.
func (o Options) WithPlain(plain bool) Options {
	o.Plain = plain
	return o
}

// WithAllow returns a copy that admits the operators for which allow is true.
func (o Options) WithAllow(allow func(name string) bool) Options {
	o.Allow = allow
	return o
}

// WithNow returns a copy with the clock set.
func (o Options) WithNow(now func() time.Time) Options {
	o.Now = now
	return o
}

// WithLog returns a copy that logs to log.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.Log = log
	return o
}
