package filling

import (
	"math"
	"strconv"
	"time"

	"mothcart/core/fill"
)

// control is a policy's part in a home; report, onlineStart and onlineEnd may be nil. The tokens of
// an ended batch stream are those since its last dispatch.
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

// policy names a way to fill engines.
type policy struct {
	name string
	// weight is the product's weight, or -1.
	weight float64
	// reserved is the number of engines that serve batch alone.
	reserved int
	// start returns the control of one home; nil runs no batch.
	start func(now time.Time, opts Options) control
}

// withoutBatch runs online alone.
func withoutBatch() policy { return policy{name: "without batch", weight: -1} }

// fixed keeps a number of sequences at each engine, whatever online does.
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

// reserved gives engines to batch alone and the others to online alone.
func reserved(engines int, maxRunning int) policy {
	p := fixed("reserved "+strconv.Itoa(engines)+" engines", maxRunning)
	p.reserved = engines
	return p
}

// product runs core/fill.
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
