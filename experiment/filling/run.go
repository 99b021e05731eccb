// Package filling measures policies that fill idle engines with batch work, in virtual time.
//
// Each run replays the same online trace on the engine model of fake/engine with a different policy: no
// control, reserved engines, fixed concurrency, and the product's core/fill at several weights. Online
// requests keep the engine that they had in the run without batch, unless the policy reserves engines.
// Notices, reports and cancellations are delayed by the network.
//
// The report compares batch throughput with a baseline and a bound. The idle baseline is the rate of an engine
// full of batch, times the share of time in which online leaves the engine without any step. It is the rate of
// a schedule in which batch never runs at the same time as online; a policy that runs batch beside online can
// exceed it. The slot bound counts each free slot of each step, also beside online, where batch always
// lengthens the step.
//
// Usage:
//
//	report, err := filling.Run(filling.NewOptions().WithSeed(1))
//	svg, err := report.SVG()
package filling

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// noControlSequences is the number of batch sequences at an engine when nothing limits the dispatch.
	noControlSequences = 128
	// spillOnline is the number of online requests at an engine from which on further ones may go to the
	// engines reserved for batch; splitWeight is the product's weight on the reserved engines.
	spillOnline = 12
	splitWeight = 0.75
	// parallelRuns is the maximum number of concurrent runs.
	parallelRuns = 4
)

// Run runs all policies on the traces of both deployments.
func Run(opts Options) (Report, error) {
	if opts.Engines < 4 || opts.Duration < time.Second {
		return Report{}, merry.Errorf("run filling: at least 4 engines and one second are needed")
	}
	report := Report{
		Seed: opts.Seed, Seconds: opts.Duration.Seconds(), Engines: opts.Engines,
		ReportLagMillis: opts.ReportLag.Milliseconds(),
	}
	for _, dep := range deployments() {
		d, err := runDeployment(opts, dep)
		if err != nil {
			return Report{}, merry.Errorf("run %s: %w", dep.name, err)
		}
		report.Deployments = append(report.Deployments, d)
	}
	return report, nil
}

func policies(opts Options) []policy {
	var list []policy
	if !opts.ProductOnly {
		list = baselines(opts)
	}
	for _, w := range opts.Weights {
		list = append(list, product(w))
	}
	if !opts.ProductOnly {
		list = append(list, split(opts.Engines*2/5, spillOnline, splitWeight), split(opts.Engines/2, spillOnline, splitWeight))
	}
	return list
}

func baselines(opts Options) []policy {
	return []policy{
		fixed("no control", noControlSequences),
		reserved(opts.Engines*3/10, opts.Engine.MaxRunning),
		reserved(opts.Engines/2, opts.Engine.MaxRunning),
		fixed("fixed 4", 4),
		fixed("fixed 16", 16),
		fixed("fixed 48", 48),
	}
}

func runDeployment(opts Options, dep deployment) (Deployment, error) {
	trace := dep.trace(rand.New(rand.NewPCG(opts.Seed, 11)), opts.Duration)
	baseTrace := assign(opts, dep, trace, policy{})
	base := newSim(opts, dep, withoutBatch()).run(baseTrace)
	full := newSim(opts, dep, fixed("batch alone", opts.Engine.MaxRunning)).run(nil)
	d := newDeployment(opts, dep, base, full)
	list := policies(opts)
	d.Rows = make([]Row, len(list))
	group := errgroup.Group{}
	group.SetLimit(parallelRuns)
	for i, p := range list {
		group.Go(func() error {
			runTrace := baseTrace
			if p.reserved > 0 {
				runTrace = assign(opts, dep, trace, p)
			}
			d.Rows[i] = d.row(p, newReservedSim(opts, dep, p).run(runTrace))
			return nil
		})
	}
	if opts.FaultWeight >= 0 {
		d.Faults = make([]Row, len(scenarios()))
	}
	for i := range d.Faults {
		group.Go(func() error {
			d.Faults[i] = runScenario(opts, dep, d, baseTrace, scenarios()[i])
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return Deployment{}, merry.Errorf("run policies: %w", err)
	}
	return d, nil
}

// runScenario runs the product's policy with injected faults.
func runScenario(opts Options, dep deployment, d Deployment, trace []arrival, sc scenario) Row {
	opts.faults = sc.faults
	if sc.reportLag >= 0 {
		opts.ReportLag = sc.reportLag
	}
	p := product(opts.FaultWeight)
	row := d.row(p, newSim(opts, dep, p).run(trace))
	row.Policy = sc.name
	return row
}

// newReservedSim returns a sim in which, if the policy reserves engines, the others have no home and so serve
// online requests only.
func newReservedSim(opts Options, dep deployment, p policy) *sim {
	s := newSim(opts, dep, p)
	if p.reserved == 0 {
		return s
	}
	for _, u := range s.engines[p.reserved:] {
		for _, h := range u.homes {
			h.stopped = true
			for id := range h.running {
				delete(h.running, id)
			}
		}
		u.homes = nil
	}
	return s
}

// assign runs the trace without batch and sets the engine of each request: of two random engines the one with
// fewer online requests. Reserved engines are candidates only if the engine so found has p.spill online
// requests or more; then the request goes to a third random engine if that one has fewer.
func assign(opts Options, dep deployment, trace []arrival, p policy) []arrival {
	firstUnreserved := p.reserved
	s := newSim(opts, dep, withoutBatch())
	rng := rand.New(rand.NewPCG(opts.Seed, 13))
	list := slices.Clone(trace)
	sent := make([]int, opts.Engines)
	for i := range list {
		s.after(list[i].at, func() {
			a := firstUnreserved + rng.IntN(opts.Engines-firstUnreserved)
			b := firstUnreserved + rng.IntN(opts.Engines-firstUnreserved)
			if cmp.Compare(len(s.engines[b].online), len(s.engines[a].online)) < 0 {
				a = b
			}
			if p.spill > 0 && len(s.engines[a].online) >= p.spill {
				b = rng.IntN(opts.Engines)
				if len(s.engines[b].online) < len(s.engines[a].online) {
					a = b
				}
			}
			list[i].engine = a
			sent[a]++
			s.engines[a].arrive("o"+time.Duration(i).String(), list[i])
		})
	}
	s.run(nil)
	return list
}
