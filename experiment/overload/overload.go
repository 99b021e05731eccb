// Package overload measures a site under several times the load that it can serve.
//
// One team, the calm one, stays within its share; another floods the site with requests. The report gives the
// latencies of the calm team with and without the flood, and the goodput as a share of the engines' capacity.
// Everything runs in one process over loopback in real time.
//
// Usage:
//
//	report, err := overload.Run(ctx, overload.NewOptions())
package overload

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/fake/engine"
	"mothcart/fake/fleet"
	"mothcart/load"
)

// Options are the settings of the measurement. Values are immutable.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Calm is the load of the team that stays within its share, Flood that of the other team, both as shares
	// of the engines' capacity.
	Calm, Flood float64
}

// NewOptions returns options for ten seconds with a calm load of 20% and a flood of 280% of the capacity.
func NewOptions() Options {
	return Options{Seed: 1, Duration: 10 * time.Second, Calm: 0.2, Flood: 2.8}
}

// WithDuration returns a copy with the duration of each run set.
func (o Options) WithDuration(d time.Duration) Options {
	o.Duration = d
	return o
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// Report holds the results of the measurement.
type Report struct {
	Runs []load.Named `json:"runs"`
	// Goodput is the rate of complete answers under the flood as a share of the engines' capacity.
	Goodput float64 `json:"goodput"`
}

const (
	// answerTokens is the length of each answer in tokens.
	answerTokens = 24
	engines      = 4
	sequences    = 16
	// readyTimeout limits how long the site may take to start.
	readyTimeout = 20 * time.Second
)

// Run measures the calm team alone, then beside the flood.
func Run(ctx context.Context, opts Options) (Report, error) {
	engineOpts := engine.NewOptions().WithCapacity(sequences, 30000)
	f, err := fleet.New(fleet.NewOptions().WithVMs(3).WithEngines(engines, engineOpts))
	if err != nil {
		return Report{}, merry.Errorf("start site: %w", err)
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Ready(readyCtx); err != nil {
		return Report{}, merry.Errorf("start site: %w", err)
	}
	var urls []string
	for _, s := range f.Servers() {
		urls = append(urls, "http://"+s.CallerAddress())
	}
	step := engineOpts.StepBase + sequences*engineOpts.StepPerSequence
	capacity := engines * sequences / step.Seconds() / answerTokens
	target := func(key string, share float64, seed uint64) load.Options {
		o := load.NewOptions(urls...).WithTarget(key, fleet.Model).WithSeed(seed).WithRate(share*capacity, opts.Duration)
		o.Tokens = answerTokens
		return o
	}
	calm := target(fleet.OnlineKey, opts.Calm, opts.Seed)
	alone, err := load.Run(ctx, calm)
	if err != nil {
		return Report{}, merry.Errorf("calm team: %w", err)
	}
	var flood load.Result
	var floodErr error
	var wg sync.WaitGroup
	started := time.Now()
	wg.Go(func() { flood, floodErr = load.Run(ctx, target(fleet.BatchKey, opts.Flood, opts.Seed+1)) })
	inFlood, err := load.Run(ctx, calm)
	wg.Wait()
	if err != nil || floodErr != nil {
		return Report{}, merry.Errorf("flood: %w", errors.Join(err, floodErr))
	}
	seconds := time.Since(started).Seconds()
	return Report{
		Runs:    []load.Named{{Name: "calm alone", Result: alone}, {Name: "calm in flood", Result: inFlood}, {Name: "flood", Result: flood}},
		Goodput: float64(inFlood.Whole+flood.Whole) / seconds / capacity,
	}, nil
}
