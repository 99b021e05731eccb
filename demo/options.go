package demo

import "time"

// Options are the settings of a demo. Values are immutable.
type Options struct {
	Seed     uint64
	Duration time.Duration
	VMs      int
	Engines  int
	// Fault is one of Faults, or FaultNone.
	Fault string
	// Items is the number of items of the batch job; 0 derives it from Duration.
	Items int
}

// NewOptions returns options for a demo with three VMs and four engines for ten seconds.
func NewOptions() Options {
	return Options{Seed: 1, Duration: 10 * time.Second, VMs: 3, Engines: 4}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithDuration returns a copy with the duration of the load set.
func (o Options) WithDuration(d time.Duration) Options {
	o.Duration = d
	return o
}

// WithFault returns a copy with the fault set.
func (o Options) WithFault(fault string) Options {
	o.Fault = fault
	return o
}

// itemsPerSecond is the number of items per second of load, such that the job lasts until the load ends.
const itemsPerSecond = 130

// items returns the number of items of the batch job.
func (o Options) items() int {
	if o.Items > 0 {
		return o.Items
	}
	return max(200, int(o.Duration.Seconds()*itemsPerSecond))
}
