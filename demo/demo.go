// Package demo runs a small site in one process, loads it with online requests, requests that may run at most
// once and a batch job, injects one fault, and checks that nothing was lost or ran twice.
//
// Usage:
//
//	report, err := demo.Run(ctx, demo.NewOptions().WithDuration(10*time.Second), os.Stdout)
//	ok := report.OK()
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/fake/engine"
	"mothcart/fake/fleet"
	"mothcart/load"
)

// Faults that can be injected during the run.
const (
	FaultNone              = ""
	FaultEngineCrash       = "engineCrash"
	FaultNodeKill          = "nodeKill"
	FaultStoreOutage       = "storeOutage"
	FaultSilentConnections = "silentConnections"
)

// Faults returns the names of the faults.
func Faults() []string {
	return []string{FaultEngineCrash, FaultNodeKill, FaultStoreOutage, FaultSilentConnections}
}

const (
	// readyTimeout limits how long the site may take to start.
	readyTimeout = 20 * time.Second
	// finishTimeout limits how long the batch job may take to end after the load.
	finishTimeout = 60 * time.Second
	// failingItemEvery is the number of items of which one fails at each attempt.
	failingItemEvery = 50
	// failingItemMark in a prompt makes the fake engine fail the item at each attempt.
	failingItemMark = "[hopeless]"
)

// Run runs the demo and writes its progress to w. It returns an error if the site did not start or did not
// accept the job; the report tells whether an invariant broke.
func Run(ctx context.Context, opts Options, w io.Writer) (Report, error) {
	f, err := fleet.New(fleet.NewOptions().WithSeed(opts.Seed).WithVMs(opts.VMs).
		WithEngines(opts.Engines, engine.NewOptions().WithCapacity(engineSequences, engineTokens)))
	if err != nil {
		return Report{}, merry.Errorf("start site: %w", err)
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Ready(readyCtx); err != nil {
		return Report{}, merry.Errorf("start site: %w", err)
	}
	fmt.Fprintf(w, "site is up: %d entry VMs, %d engines, generation %d in force everywhere\n", opts.VMs, opts.Engines, f.Server(0).Follower().Current().Generation)
	r := &run{opts: opts, fleet: f, out: w}
	return r.play(ctx)
}

// Capacity of one fake engine.
const (
	engineSequences = 16
	engineTokens    = 30000
)

// run is one demo in progress.
type run struct {
	opts  Options
	fleet *fleet.Fleet
	out   io.Writer
}

// play runs the phases: online requests alone, then online requests beside a batch job with the fault, then
// the rest of the job.
func (r *run) play(ctx context.Context) (Report, error) {
	alone := newOnline(r.fleet, r.opts.Seed)
	phase := r.opts.Duration / 3
	fmt.Fprintf(r.out, "online alone for %s\n", phase)
	idle := r.sampleIdle(ctx)
	alone.play(ctx, phase)
	idleShare := idle()

	job, err := submitJob(ctx, r.fleet, r.opts)
	if err != nil {
		return Report{}, merry.Errorf("submit job: %w", err)
	}
	fmt.Fprintf(r.out, "job %s accepted: %d items; online beside batch for %s\n", job.id, job.items, r.opts.Duration-phase)
	beside := newOnline(r.fleet, r.opts.Seed+1)
	calls := newCalls(r.fleet, r.opts.Seed+2)
	faultDone := r.injectLater(ctx, (r.opts.Duration-phase)/3)
	progress := job.watch(ctx, r.out)
	callsDone := make(chan struct{})
	go func() {
		defer close(callsDone)
		calls.play(ctx, r.opts.Duration-phase)
	}()
	before := job.done()
	started := time.Now()
	beside.play(ctx, r.opts.Duration-phase)
	batchRate := float64(job.done()-before) / time.Since(started).Seconds()
	<-callsDone
	<-faultDone
	fmt.Fprintln(r.out, "load ended; waiting for the job and for open calls")
	calls.wait(ctx)
	result := job.finish(ctx)
	progress()
	return r.report(alone, beside, calls, job, result, batchRate, idleShare), nil
}

// idleSampleInterval is the interval at which the engines are sampled for idleness.
const idleSampleInterval = 2 * time.Millisecond

// sampleIdle samples the engines until the returned function is called, which returns the share of samples in
// which an engine had no request.
func (r *run) sampleIdle(ctx context.Context) func() float64 {
	ctx, cancel := context.WithCancel(ctx)
	share := make(chan float64)
	go func() {
		idle, samples := 0, 0
		for load.Wait(ctx, idleSampleInterval) {
			for _, e := range r.fleet.Engines {
				samples++
				if running, waiting := e.Running(); running+waiting == 0 {
					idle++
				}
			}
		}
		share <- float64(idle) / float64(max(1, samples))
	}()
	return func() float64 {
		cancel()
		return <-share
	}
}

// injectLater injects the fault after a time and undoes it once that time has passed again. The channel is
// closed when it is done.
func (r *run) injectLater(ctx context.Context, after time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if r.opts.Fault == FaultNone || !load.Wait(ctx, after) {
			return
		}
		fmt.Fprintf(r.out, "fault: %s\n", r.opts.Fault)
		undo := r.inject()
		load.Wait(ctx, after)
		undo()
		fmt.Fprintf(r.out, "fault undone: %s\n", r.opts.Fault)
	}()
	return done
}

func (r *run) inject() (undo func()) {
	f := r.fleet
	switch r.opts.Fault {
	case FaultEngineCrash:
		f.Engines[0].Crash()
		return func() { _ = f.Engines[0].Restart() }
	case FaultNodeKill:
		f.KillVM(0)
		return func() { _ = f.StartVM(0) }
	case FaultStoreOutage:
		f.Store.SetOutage(true)
		return func() { f.Store.SetOutage(false) }
	case FaultSilentConnections:
		for _, e := range f.Engines {
			e.SetStalledShare(silentShare)
		}
		return func() {
			for _, e := range f.Engines {
				e.SetStalledShare(0)
			}
		}
	default:
		return func() {}
	}
}

// silentShare is the share of streams whose connection stops sending under FaultSilentConnections.
const silentShare = 0.1
