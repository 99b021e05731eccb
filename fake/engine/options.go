package engine

import "time"

// Options are the settings of the fake engine. Values are immutable.
type Options struct {
	// Seed makes the injected faults repeatable.
	Seed uint64
	// Address is the host:port that the HTTP server listens on; port 0 picks a free one.
	Address string
	// Models are the names of the models loaded at start.
	Models []string
	// MaxRunning is the number of sequences that one step can hold.
	MaxRunning int
	// KVTokens is the capacity of the KV memory, in tokens, shared by sequences and prefix cache.
	KVTokens int
	// PrefillChunk is the largest number of prompt tokens computed in one step.
	PrefillChunk int
	// StepBase is the time of a step without sequences.
	StepBase time.Duration
	// StepPerSequence is added to a step for each decoding sequence.
	StepPerSequence time.Duration
	// StepPerPrefill is added to a step for each prompt token computed in it.
	StepPerPrefill time.Duration
	// KeepState is how long the state of a paused stream is kept for a resume.
	KeepState time.Duration
	// ReportLag is the age of the state in a load report.
	ReportLag time.Duration
	// EventDelay is the age at which a cache event is published.
	EventDelay time.Duration
	// EventGapShare is the share of cache events, from 0 to 1, that are never published.
	EventGapShare float64
	// CheckFencing makes the engine refuse an order with an old fencing number.
	CheckFencing bool
	// LoadDelay is the time that an ordered model takes to load.
	LoadDelay time.Duration
	// DefaultTokens is the length of an answer whose request sets no limit.
	DefaultTokens int
	// StalledShare is the share of streams, from 0 to 1, that stop sending midway while the connection
	// stays open.
	StalledShare float64
	// MismatchedShare is the share of answers, from 0 to 1, that carry another request's ID.
	MismatchedShare float64
	// ShuffleShare is the share of streams, from 0 to 1, that send two chunks in the wrong order.
	ShuffleShare float64
}

// NewOptions returns the options of an engine with 64 sequences, 60,000 KV tokens and no faults.
func NewOptions() Options {
	return Options{
		Seed:            1,
		Address:         "127.0.0.1:0",
		Models:          []string{"rota-scribe"},
		MaxRunning:      64,
		KVTokens:        60_000,
		PrefillChunk:    512,
		StepBase:        14 * time.Millisecond,
		StepPerSequence: 120 * time.Microsecond,
		StepPerPrefill:  40 * time.Microsecond,
		KeepState:       5 * time.Second,
		EventDelay:      200 * time.Millisecond,
		LoadDelay:       500 * time.Millisecond,
		DefaultTokens:   16,
	}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithAddress returns a copy with the listening address set.
func (o Options) WithAddress(address string) Options {
	o.Address = address
	return o
}

// WithModels returns a copy with the models loaded at start set.
func (o Options) WithModels(models ...string) Options {
	o.Models = models
	return o
}

// WithCapacity returns a copy with the limits of sequences and KV tokens set.
func (o Options) WithCapacity(maxRunning, kvTokens int) Options {
	o.MaxRunning = maxRunning
	o.KVTokens = kvTokens
	return o
}

// WithStep returns a copy with the times of a step set.
func (o Options) WithStep(base, perSequence, perPrefill time.Duration) Options {
	o.StepBase = base
	o.StepPerSequence = perSequence
	o.StepPerPrefill = perPrefill
	return o
}

// WithPrefillChunk returns a copy with the prompt tokens of one step set.
func (o Options) WithPrefillChunk(tokens int) Options {
	o.PrefillChunk = tokens
	return o
}

// WithKeepState returns a copy with the retention of paused streams set.
func (o Options) WithKeepState(d time.Duration) Options {
	o.KeepState = d
	return o
}

// WithReportLag returns a copy with the age of load reports set.
func (o Options) WithReportLag(d time.Duration) Options {
	o.ReportLag = d
	return o
}

// WithCacheEvents returns a copy with the delay of cache events and the share that is never published set.
func (o Options) WithCacheEvents(delay time.Duration, gapShare float64) Options {
	o.EventDelay = delay
	o.EventGapShare = gapShare
	return o
}

// WithCheckFencing returns a copy that checks fencing numbers, or ignores them.
func (o Options) WithCheckFencing(check bool) Options {
	o.CheckFencing = check
	return o
}

// WithLoadDelay returns a copy with the time to load a model set.
func (o Options) WithLoadDelay(d time.Duration) Options {
	o.LoadDelay = d
	return o
}

// WithStalledShare returns a copy with the share of streams that stall midway set.
func (o Options) WithStalledShare(share float64) Options {
	o.StalledShare = share
	return o
}

// WithMismatchedShare returns a copy with the share of answers with another request's ID set.
func (o Options) WithMismatchedShare(share float64) Options {
	o.MismatchedShare = share
	return o
}

// WithShuffleShare returns a copy with the share of streams with chunks out of order set.
func (o Options) WithShuffleShare(share float64) Options {
	o.ShuffleShare = share
	return o
}
