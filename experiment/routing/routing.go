// Package routing compares policies that pick an engine for a request, in virtual time, with the real table
// of core/route and the engine model of fake/engine.
//
// Several entry VMs get Poisson arrivals with bursts and shared prompt prefixes; the digests by which they know
// the load of an engine are late by the report lag. Every policy gets the same arrivals.
//
// Usage:
//
//	report, err := routing.Run(routing.NewOptions())
//	fmt.Print(report.Markdown())
package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"mothcart/fake/engine"
)

// Options are the settings of the experiment. Values are immutable.
type Options struct {
	Seed     uint64
	VMs      int
	Engines  int
	Duration time.Duration
	// Load is the mean load as a share of what the engines can decode.
	Load float64
	// Lags are the report lags to compare: the age of the digests, by which a VM learns of other VMs' requests.
	Lags []time.Duration
	// LoseEngine stops one engine halfway through the run; its requests are sent again to others.
	LoseEngine bool
}

// NewOptions returns options for nine VMs and ten engines at 70% load for a minute.
func NewOptions() Options {
	return Options{
		Seed: 1, VMs: 9, Engines: 10, Duration: time.Minute, Load: 0.7,
		Lags: []time.Duration{0, 500 * time.Millisecond, 2 * time.Second},
	}
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithDuration returns a copy with the virtual time set.
func (o Options) WithDuration(d time.Duration) Options {
	o.Duration = d
	return o
}

// WithLoad returns a copy with the load set.
func (o Options) WithLoad(share float64) Options {
	o.Load = share
	return o
}

// WithSize returns a copy with the numbers of VMs and engines set.
func (o Options) WithSize(vms, engines int) Options {
	o.VMs = vms
	o.Engines = engines
	return o
}

// WithLoseEngine returns a copy that stops one engine halfway through the run if lose is true.
func (o Options) WithLoseEngine(lose bool) Options {
	o.LoseEngine = lose
	return o
}

// Row holds the results of one policy at one lag. Times are in milliseconds.
type Row struct {
	Policy    string  `json:"policy"`
	LagMillis int64   `json:"lagMillis"`
	Requests  int     `json:"requests"`
	First50   float64 `json:"firstTokenP50Millis"`
	First95   float64 `json:"firstTokenP95Millis"`
	First99   float64 `json:"firstTokenP99Millis"`
	Inter99   float64 `json:"interTokenP99Millis"`
	// CacheHits is the share of requests whose prefix was in the engine's prefix cache.
	CacheHits float64 `json:"cacheHits"`
	// Unfinished is the number of requests without a complete answer at the end of the run.
	Unfinished int `json:"unfinished"`
	// RecoverySeconds is the time from the loss of an engine to the first second in which the p99 of the first
	// token is at most twice the p99 before the loss; 0 without a loss.
	RecoverySeconds int `json:"recoverySeconds"`
}

// Report holds the results of all policies at all lags.
type Report struct {
	Options Options `json:"options"`
	Rows    []Row   `json:"rows"`
}

// Shape of the requests.
const (
	maxRunning   = 24
	promptTokens = 450
	prefixTokens = 400
	prefixes     = 200
	// answerTokens is the mean length of an answer; lengths are exponential.
	answerTokens = 60
	// slowFactor lengthens the steps of one engine in four.
	slowFactor = 1.6
	burstEvery = 5 * time.Second
	burstSize  = 40
)

// engineOptions returns the options of engine i; its cache holds only some of the prefixes.
func engineOptions(seed uint64, i int) engine.Options {
	o := engine.NewOptions().WithSeed(seed+uint64(i)).WithCapacity(maxRunning, 16_000)
	if i%4 == 3 {
		slow := func(d time.Duration) time.Duration { return time.Duration(slowFactor * float64(d)) }
		o = o.WithStep(slow(o.StepBase), slow(o.StepPerSequence), slow(o.StepPerPrefill))
	}
	return o
}

// tokensPerSecond is the total decoding rate of the engines when all are full.
func tokensPerSecond(engines int) float64 {
	total := 0.0
	for i := range engines {
		o := engineOptions(0, i)
		total += maxRunning / (o.StepBase + maxRunning*o.StepPerSequence).Seconds()
	}
	return total
}

// Run runs every policy at every lag.
func Run(opts Options) (Report, error) {
	if opts.VMs < 1 || opts.Engines < 2 || opts.Duration < time.Second {
		return Report{}, merry.New("routing: at least 1 VM, 2 engines and 1 s are needed")
	}
	report := Report{Options: opts}
	trace := arrivals(opts)
	for _, lag := range opts.Lags {
		for _, p := range policies() {
			report.Rows = append(report.Rows, newSite(opts, p, lag).play(trace))
		}
	}
	return report, nil
}

// arrival is one request.
type arrival struct {
	at     time.Duration
	vm     int
	prefix uint64
	answer int
}

// arrivals draws the trace that every policy gets.
func arrivals(opts Options) []arrival {
	rng := rand.New(rand.NewPCG(opts.Seed, 11))
	perSecond := opts.Load * tokensPerSecond(opts.Engines) / answerTokens
	draw := func(at time.Duration) arrival {
		// A few prefixes are frequent, because callers of the same parish share one.
		prefix := uint64(rng.ExpFloat64()*prefixes/4) % prefixes
		return arrival{at: at, vm: rng.IntN(opts.VMs), prefix: prefix + 1, answer: 4 + int(rng.ExpFloat64()*answerTokens)}
	}
	bursts := float64(burstSize) / burstEvery.Seconds()
	base := max(1, perSecond-bursts)
	var trace []arrival
	nextBurst := burstEvery
	for at := time.Duration(0); at < opts.Duration; {
		at += time.Duration(rng.ExpFloat64() / base * float64(time.Second))
		if at > nextBurst {
			for range burstSize {
				trace = append(trace, draw(nextBurst))
			}
			nextBurst += burstEvery
		}
		trace = append(trace, draw(at))
	}
	return trace
}

// Markdown renders the report as a table.
func (r Report) Markdown() string {
	var b strings.Builder
	b.WriteString("| Lag | Policy | First token p50 / p95 / p99 ms | Inter-token p99 ms | Prefix hits | Recovery s |\n|---|---|---|---|---|---|\n")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "| %.1f s | %s | %.0f / %.0f / %.0f | %.1f | %.0f%% | %d |\n", float64(row.LagMillis)/1000, row.Policy,
			row.First50, row.First95, row.First99, row.Inter99, 100*row.CacheHits, row.RecoverySeconds)
	}
	return b.String()
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
