package store

import "time"

// Options are the settings of the fake store. Values are immutable.
type Options struct {
	// Seed makes the choice of lost answers repeatable.
	Seed uint64
	// Latency is added to every call.
	Latency time.Duration
	// WritesPerSecond and ReadsPerSecond are the rates above which calls are refused.
	WritesPerSecond, ReadsPerSecond float64
	// LostAnswerShare is the share of writes, from 0 to 1, whose answer is lost.
	LostAnswerShare float64
}

// NewOptions returns options with the rates that the platform states, no latency and no faults.
func NewOptions() Options {
	return Options{Seed: 1, WritesPerSecond: 400, ReadsPerSecond: 2000}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithLatency returns a copy with the latency set.
func (o Options) WithLatency(d time.Duration) Options {
	o.Latency = d
	return o
}

// WithRates returns a copy with the rates of writes and reads a second set.
func (o Options) WithRates(writes, reads float64) Options {
	o.WritesPerSecond = writes
	o.ReadsPerSecond = reads
	return o
}

// WithLostAnswerShare returns a copy with the share of lost answers set.
func (o Options) WithLostAnswerShare(share float64) Options {
	o.LostAnswerShare = share
	return o
}
