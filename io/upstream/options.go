package upstream

import (
	"mothcart/core/config"
	"mothcart/core/vm"
	"mothcart/io/engine"
)

// Options are the router's dependencies. Values are immutable.
type Options struct {
	Self vm.VM
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Upstreams returns all upstream VMs and a revision that changes with them.
	Upstreams func() (list []vm.VM, revision uint64)
	// VMs returns the number of live entry VMs.
	VMs func() int
	// Counted is called on each start and end of this VM's own requests at an upstream. It must not
	// block.
	Counted func(Count)
	// Engines is the client for online requests.
	Engines *engine.Client
}

// Count is one start or end of an online request at an upstream.
type Count struct {
	Upstream vm.VM
	// Number is the request's number at this VM.
	Number uint64
	// Started is true for a start and false for an end.
	Started bool
	// InFlight is the number of this VM's requests at the upstream after the change.
	InFlight int
	// Tokens is the estimated length of the prompt of a request that starts.
	Tokens int
}

// NewOptions returns options for a single VM without upstreams.
func NewOptions(self vm.VM, engines *engine.Client) Options {
	empty := config.NewSnapshot(0, config.Set{})
	return Options{
		Self:      self,
		Snapshot:  func() *config.Snapshot { return empty },
		Upstreams: func() ([]vm.VM, uint64) { return nil, 0 },
		VMs:       func() int { return 1 },
		Counted:   func(Count) {},
		Engines:   engines,
	}
}

// WithSnapshot returns a copy with the source of the configuration set.
func (o Options) WithSnapshot(f func() *config.Snapshot) Options {
	o.Snapshot = f
	return o
}

// WithUpstreams returns a copy with the source of the upstreams set.
func (o Options) WithUpstreams(f func() ([]vm.VM, uint64)) Options {
	o.Upstreams = f
	return o
}

// WithVMs returns a copy with the count of entry VMs set.
func (o Options) WithVMs(f func() int) Options {
	o.VMs = f
	return o
}

// WithCounted returns a copy with the callback for counts set.
func (o Options) WithCounted(f func(Count)) Options {
	o.Counted = f
	return o
}
