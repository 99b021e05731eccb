package order

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/io/engine"
	"mothcart/io/store"
)

// Options are the settings and dependencies of a Runner. Values are immutable.
type Options struct {
	// Holder names this VM and its incarnation.
	Holder  string
	Store   store.Client
	Engines *engine.Client
	// Targets returns the engines that this VM is home of.
	Targets func() []Target
	// WeightSlots bounds the engines, over the whole fleet, that load from the weight store at once.
	WeightSlots int
	// CheckInterval is the polling interval of the engines' states.
	CheckInterval time.Duration
	// ReadBackInterval is the polling interval of the state of an engine while it executes an order.
	ReadBackInterval time.Duration
	Log              zerolog.Logger
	Registry         metrics.Registry
}

// NewOptions returns options without targets.
func NewOptions(holder string, s store.Client, engines *engine.Client) Options {
	return Options{
		Holder: holder, Store: s, Engines: engines,
		Targets:          func() []Target { return nil },
		WeightSlots:      8,
		CheckInterval:    2 * time.Second,
		ReadBackInterval: 200 * time.Millisecond,
		Log:              zerolog.Nop(),
		Registry:         metrics.NewRegistry(),
	}
}

// WithTargets returns a copy with the source of targets set.
func (o Options) WithTargets(f func() []Target) Options {
	o.Targets = f
	return o
}

// WithLog returns a copy with the log and the registry of metrics set.
func (o Options) WithLog(log zerolog.Logger, r metrics.Registry) Options {
	o.Log = log
	o.Registry = r
	return o
}

// WithIntervals returns a copy with CheckInterval and ReadBackInterval set.
func (o Options) WithIntervals(check, readBack time.Duration) Options {
	o.CheckInterval = check
	o.ReadBackInterval = readBack
	return o
}
