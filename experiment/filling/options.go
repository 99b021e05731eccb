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
	// ReportLag is the age of load reports; ReportEvery the time between two of them.
	ReportLag, ReportEvery time.Duration
	// Weights are the product's weights to compare.
	Weights []float64
	// FaultWeight is the product's weight in the runs with faults; a negative one leaves them out.
	FaultWeight float64
	// faults disturb one run.
	faults Faults
	// ProductOnly leaves out the policies that the product is compared with.
	ProductOnly bool
}

// Faults disturb the control. The zero value has none.
type Faults struct {
	// LostReports is the share of load reports, from 0 to 1, that never arrive.
	LostReports float64
	// LostNotices is the share of online notices, from 0 to 1, that never arrive.
	LostNotices float64
	// HomeLostEvery is the time between two losses of each engine's home; 0 is never.
	HomeLostEvery time.Duration
	// TwoHomes gives each engine two homes that share out the notices between them.
	TwoHomes bool
	// CrashEvery is the time between two crashes of each engine; 0 is never.
	CrashEvery time.Duration
}

// NewOptions returns two minutes of ten engines with reports that lag half a second.
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

// WithProductOnly returns a copy that leaves out, or not, the policies to compare with.
func (o Options) WithProductOnly(only bool) Options {
	o.ProductOnly = only
	return o
}
