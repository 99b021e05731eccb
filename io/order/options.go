package order

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/io/engine"
	"mothcart/io/store"
)

// Options are the settings and seams of a Runner. Values are immutable.
type Options struct {
	// Holder names this VM and its incarnation.
	Holder  string
	Store   store.Client
	Engines *engine.Client
	// Targets returns the engines that this VM is home of.
	Targets func() []Target
	// WeightSlots bounds the engines of the whole fleet that load from the weight store at once.
	WeightSlots int
	// LookInterval is the time between two looks at the engines.
	LookInterval time.Duration
	// ReadBack is the time between two reads of the state of an engine that changes.
	ReadBack time.Duration
	Log      zerolog.Logger
	Registry metrics.Registry
}

// NewOptions returns options without targets.
func NewOptions(holder string, s store.Client, engines *engine.Client) Options {
	return Options{
		Holder: holder, Store: s, Engines: engines,
		Targets:      func() []Target { return nil },
		WeightSlots:  8,
		LookInterval: 2 * time.Second,
		ReadBack:     200 * time.Millisecond,
		Log:          zerolog.Nop(),
		Registry:     metrics.NewRegistry(),
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

// WithIntervals returns a copy with the times between looks and between reads set.
func (o Options) WithIntervals(look, readBack time.Duration) Options {
	o.LookInterval = look
	o.ReadBack = readBack
	return o
}
