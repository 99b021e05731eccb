package fleet

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"mothcart/fake/engine"
	"mothcart/fake/store"
)

// Options are the settings of a fleet. Values are immutable.
type Options struct {
	Seed     uint64
	VMs      int
	Engines  int
	PlainVMs int
	Engine   engine.Options
	Store    store.Options
	// HarmWeight is the harm weight of the engine service.
	HarmWeight float64
	// ProgressTimeout is the progress timeout of the engine service.
	ProgressTimeout time.Duration
	Log             zerolog.Logger
	// WrapCallers wraps the listeners of the callers' ports; nil leaves them as they are.
	WrapCallers func(net.Listener) net.Listener
}

// NewOptions returns the options of a site with three entry VMs, four engines and two plain upstreams.
func NewOptions() Options {
	return Options{
		Seed: 1, VMs: 3, Engines: 4, PlainVMs: 2,
		Engine:          engine.NewOptions().WithCapacity(16, 30000),
		Store:           store.NewOptions().WithLatency(2 * time.Millisecond),
		HarmWeight:      0.75,
		ProgressTimeout: time.Second,
		Log:             zerolog.Nop(),
	}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithVMs returns a copy with the number of entry VMs set.
func (o Options) WithVMs(n int) Options {
	o.VMs = n
	return o
}

// WithEngines returns a copy with the number of engines and their settings set.
func (o Options) WithEngines(n int, e engine.Options) Options {
	o.Engines = n
	o.Engine = e
	return o
}

// WithStore returns a copy with the settings of the object service set.
func (o Options) WithStore(s store.Options) Options {
	o.Store = s
	return o
}

// WithLog returns a copy with the log set.
func (o Options) WithLog(log zerolog.Logger) Options {
	o.Log = log
	return o
}
