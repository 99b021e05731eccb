package service

import "time"

// Options are the settings of the fake service. Values are immutable.
type Options struct {
	// Address is the host:port that the service listens on; port 0 picks a free one.
	Address string
	// Latency is the time that a call takes.
	Latency time.Duration
	// MaxRunning is the number of concurrent calls that the service reports as its limit.
	MaxRunning int
}

// NewOptions returns the options of a service on a free port that takes 5 ms a call.
func NewOptions() Options {
	return Options{Address: "127.0.0.1:0", Latency: 5 * time.Millisecond, MaxRunning: 32}
}

// WithAddress returns a copy with the address set.
func (o Options) WithAddress(address string) Options {
	o.Address = address
	return o
}

// WithLatency returns a copy with the time of a call set.
func (o Options) WithLatency(d time.Duration) Options {
	o.Latency = d
	return o
}
