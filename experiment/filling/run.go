// Package filling measures policies that fill idle engines with batch work, in virtual time.
//
// Each run plays the same online trace over the model of fake/engine with another policy: no
// control, reserved engines, fixed concurrency, and the product's core/fill at several weights.
// Online requests keep the engine that they had in the run without batch. Notices, reports and
// cancels take the network's time.
//
// A baseline and a bound are given. The idle baseline is the rate of an engine full of batch, times
// the share of time in which online leaves the engine without any step: that of a schedule that
// never meets online, passed where batch runs beside online. The slot bound counts each free slot of
// each step, also beside online, where batch always lengthens the step.
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
	// noControlSequences is what an engine is given when everything is sent as it comes.
	noControlSequences = 128
	// spillOnline is the number of online requests at an engine from which on others go to the engines
	// that are for batch first, and splitWeight the weight on those.
	spillOnline = 12
	splitWeight = 0.75
	// parallelRuns bounds the runs at once.
	parallelRuns = 4
)

// Run plays all policies over the traces of both deployments.
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

// runScenario plays the product under a disturbance.
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

// newReservedSim takes the homes from the engines that serve online alone.
func newReservedSim(opts Options, dep deployment, p policy) *sim {
	s := newSim(opts, dep, p)
	if p.reserved == 0 {
		return s
	}
	for _, u := range s.engines[p.reserved:] {
		for _, h := range u.homes {
			h.dead = true
			for id := range h.running {
				delete(h.running, id)
			}
		}
		u.homes = nil
	}
	return s
}

// assign gives each request the engine with fewer online requests of two, in a run without batch.
// Engines that the policy reserves get online requests only when the two have p.spill of them.
func assign(opts Options, dep deployment, trace []arrival, p policy) []arrival {
	without := p.reserved
	s := newSim(opts, dep, withoutBatch())
	rng := rand.New(rand.NewPCG(opts.Seed, 13))
	list := slices.Clone(trace)
	sent := make([]int, opts.Engines)
	for i := range list {
		s.after(list[i].at, func() {
			a := without + rng.IntN(opts.Engines-without)
			b := without + rng.IntN(opts.Engines-without)
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
