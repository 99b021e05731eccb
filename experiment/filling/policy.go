package filling

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"mothcart/core/fill"
)

// control holds the callbacks of a policy in one home; report, onlineStart and onlineEnd may be nil. The
// tokens of a batch stream that ended or was paused are those since its last dispatch.
type control struct {
	onlineStart func(now time.Time, id string, tokens int)
	onlineEnd   func(now time.Time, id string, first, inter time.Duration)
	report      func(now time.Time, r fill.Report)
	batchStart  func(now time.Time, id string, tokens int)
	batchToken  func(now time.Time, id string)
	batchEnd    func(now time.Time, id string, tokens int)
	batchPaused func(now time.Time, id string, tokens int)
	decide      func(now time.Time) fill.Decision
}

// policy is a way to fill engines with batch items.
type policy struct {
	name string
	// weight is the product's weight, or -1 for other policies.
	weight float64
	// reserved is the number of engines for batch; online requests get there only by spill.
	reserved int
	// spill is the number of online requests at an engine from which on further ones may also go to the
	// reserved engines; 0 means never.
	spill int
	// start returns the control of one home; if it is nil, no batch runs.
	start func(now time.Time, opts Options) control
}

// withoutBatch runs online requests only.
func withoutBatch() policy { return policy{name: "without batch", weight: -1} }

// fixed keeps a fixed number of batch sequences at each engine, independent of the online load.
func fixed(name string, sequences int) policy {
	return policy{name: name, weight: -1, start: func(time.Time, Options) control {
		return fixedControl(sequences)
	}}
}

func fixedControl(sequences int) control {
	running := 0
	return control{
		batchStart:  func(time.Time, string, int) { running++ },
		batchToken:  func(time.Time, string) {},
		batchEnd:    func(time.Time, string, int) { running-- },
		batchPaused: func(time.Time, string, int) { running-- },
		decide: func(time.Time) fill.Decision {
			return fill.Decision{Admit: sequences - running, AdmitTokens: math.MaxInt}
		},
	}
}

// reserved uses some engines for batch only and the others for online requests only.
func reserved(engines int, maxRunning int) policy {
	p := fixed("reserved "+strconv.Itoa(engines)+" engines", maxRunning)
	p.reserved = engines
	return p
}

// product runs core/fill, the product's policy, with a weight.
func product(weight float64) policy {
	name := "product, weight " + strconv.FormatFloat(weight, 'g', 3, 64)
	return policy{name: name, weight: weight, start: func(now time.Time, opts Options) control {
		params := fill.NewParams(opts.Engine.MaxRunning, opts.Engine.KVTokens).
			WithWeight(weight).WithKeepState(opts.Engine.KeepState)
		return productControl(now, params)
	}}
}

func productControl(now time.Time, params fill.Params) control {
	s := fill.New(now, params)
	return control{
		onlineStart: func(now time.Time, id string, tokens int) { s = s.WithOnlineStart(now, id, tokens) },
		onlineEnd: func(now time.Time, id string, first, inter time.Duration) {
			s = s.WithOnlineEnd(now, id).WithOnlineLatency(now, first, inter)
		},
		report:     func(now time.Time, r fill.Report) { s = s.WithReport(now, r) },
		batchStart: func(now time.Time, id string, tokens int) { s = s.WithBatchStart(now, id, tokens) },
		batchToken: func(now time.Time, id string) { s = s.WithBatchFirstToken(now, id) },
		batchEnd: func(now time.Time, id string, tokens int) {
			s = s.WithBatchLatency(now, id, tokens).WithBatchEnd(now, id)
		},
		batchPaused: func(now time.Time, id string, tokens int) {
			s = s.WithBatchLatency(now, id, tokens).WithBatchPaused(now, id)
		},
		decide: func(now time.Time) fill.Decision { return s.Decide(now) },
	}
}

// split reserves some engines for batch; the others serve online requests only. An online request whose
// engine has spill requests or more may go to a reserved engine, where batch yields to it by core/fill.
func split(engines, spill int, weight float64) policy {
	p := product(weight)
	p.name = fmt.Sprintf("split %d engines, spill at %d, weight %g", engines, spill, weight)
	p.reserved = engines
	p.spill = spill
	return p
}
