package filling

import (
	"time"

	"mothcart/fake/engine"
)

// Options are the settings of the experiment. Values are immutable.
type Options struct {
	// Seed makes the traces repeatable.
	Seed uint64
	// Duration is the virtual time of each run.
	Duration time.Duration
	// Engines is the number of engines of each deployment.
	Engines int
	// Engine is the model of each engine.
	Engine engine.Options
	// ReportLag is the age of load reports, ReportEvery their interval.
	ReportLag, ReportEvery time.Duration
	// Weights are the product's weights to compare.
	Weights []float64
	// FaultWeight is the product's weight in the runs with faults; if it is negative, these are skipped.
	FaultWeight float64
	// faults are injected into one run.
	faults Faults
	// ProductOnly skips the policies that the product is compared with.
	ProductOnly bool
}

// Faults are the faults to inject into a run: loss of messages, homes and engines. The zero value injects none.
type Faults struct {
	// LostReports is the share of load reports, from 0 to 1, that never arrive.
	LostReports float64
	// LostNotices is the share of the notices about online requests, from 0 to 1, that never arrive.
	LostNotices float64
	// HomeLostEvery is the interval at which each engine loses its home; 0 means never.
	HomeLostEvery time.Duration
	// TwoHomes gives each engine two homes at once; each gets part of the notices.
	TwoHomes bool
	// CrashEvery is the interval at which each engine crashes; 0 means never.
	CrashEvery time.Duration
}

// NewOptions returns options for ten engines over two minutes with reports that lag half a second.
func NewOptions() Options {
	return Options{
		Seed:        1,
		Duration:    2 * time.Minute,
		Engines:     10,
		Engine:      engine.NewOptions(),
		ReportLag:   500 * time.Millisecond,
		ReportEvery: 200 * time.Millisecond,
		Weights:     []float64{1, 0.85, 0.75, 0.5, 0.25, 0},
		FaultWeight: 0.75,
	}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithDuration returns a copy with the virtual time of each run set.
func (o Options) WithDuration(d time.Duration) Options {
	o.Duration = d
	return o
}

// WithReportLag returns a copy with the age of load reports set.
func (o Options) WithReportLag(d time.Duration) Options {
	o.ReportLag = d
	return o
}

// WithWeights returns a copy with the product's weights set.
func (o Options) WithWeights(weights ...float64) Options {
	o.Weights = weights
	return o
}

// WithFaultWeight returns a copy with the weight of the runs with faults set.
func (o Options) WithFaultWeight(weight float64) Options {
	o.FaultWeight = weight
	return o
}

// WithProductOnly returns a copy that runs the product's policy alone if only is true.
func (o Options) WithProductOnly(only bool) Options {
	o.ProductOnly = only
	return o
}
