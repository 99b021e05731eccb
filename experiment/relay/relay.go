// Package relay measures the latency that an entry VM adds to a request, compared with requests that go
// directly to the same fake engines.
//
// Everything runs in one process over loopback, so the figures include the load generator's and the engines'
// use of the machine.
//
// Usage:
//
//	results, err := relay.Run(ctx, relay.NewOptions().WithRate(5000, 10*time.Second))
package relay

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/fake/engine"
	"mothcart/fake/fleet"
	"mothcart/load"
)

// Options are the settings of the measurement. Values are immutable.
type Options struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	Engines  int
	// Tokens is the length of each answer in tokens.
	Tokens int
}

// NewOptions returns options for 5,000 requests per second of one token each to eight engines for ten seconds.
func NewOptions() Options {
	return Options{Seed: 1, Rate: 5000, Duration: 10 * time.Second, Engines: 8, Tokens: 1}
}

// WithRate returns a copy with the rate and the duration set.
func (o Options) WithRate(perSecond float64, d time.Duration) Options {
	o.Rate = perSecond
	o.Duration = d
	return o
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// readyTimeout limits how long the site may take to start.
const readyTimeout = 20 * time.Second

// Run measures the load sent directly to the engines, then the same load through one VM.
func Run(ctx context.Context, opts Options) ([]load.Named, error) {
	fast := engine.NewOptions().WithCapacity(512, 1_000_000).WithStep(500*time.Microsecond, 0, 0)
	f, err := fleet.New(fleet.NewOptions().WithVMs(1).WithEngines(opts.Engines, fast))
	if err != nil {
		return nil, merry.Errorf("start site: %w", err)
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Ready(readyCtx); err != nil {
		return nil, merry.Errorf("start site: %w", err)
	}
	var direct []string
	for _, e := range f.Engines {
		direct = append(direct, "http://"+e.Address())
	}
	var results []load.Named
	for _, target := range []struct {
		name string
		urls []string
	}{{"direct", direct}, {"through a VM", []string{"http://" + f.Server(0).CallerAddress()}}} {
		o := load.NewOptions(target.urls...).WithTarget(fleet.OnlineKey, fleet.Model).WithSeed(opts.Seed).WithRate(opts.Rate, opts.Duration)
		o.Tokens = opts.Tokens
		result, err := load.Run(ctx, o)
		if err != nil {
			return nil, merry.Errorf("%s: %w", target.name, err)
		}
		results = append(results, load.Named{Name: target.name, Result: result})
	}
	return results, nil
}
