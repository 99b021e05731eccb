package forward

import (
	"context"
	"errors"
	"time"

	"mothcart/core/slot"
	"mothcart/io/carrier"
)

// drain is the plan of a stop.
type drain struct {
	// late is when callers should have gone elsewhere, and end when Stop is called.
	late, end time.Time
}

// Drain refuses, from a time on, requests that have not been passed on and can't be answered before the end. Until then,
// callers may not know yet that they should go elsewhere.
func (f *Forwarder) Drain(late, end time.Time) { f.drain.Store(&drain{late: late, end: end}) }

// refuseLate refuses a request that has not run if there is too little time left for it before the node stops: for one
// that came late the time that its caller would wait, for one that has waited for a slot its latency objective.
func (x *exchange) refuseLate(ctx context.Context, now time.Time) bool {
	d := x.f.drain.Load()
	if d == nil || x.runs > 0 || x.started || now.Before(d.late) {
		return false
	}
	until := x.req.Deadline
	if x.read.Before(d.late) {
		until = now.Add(x.req.Route.Objective)
	}
	if !until.After(d.end) {
		return false
	}
	x.f.metrics.late.Inc(1)
	if x.req.Carried {
		x.w.Header().Set(carrier.HeaderUnable, carrier.ReasonStopping)
	}
	x.fail(ctx, "late", now, slot.Refusal{RetryAfter: minRetryAfter})
	return true
}

// Stop ends all requests: those whose answer has not begun are told whether they may have run, streams are broken off.
func (f *Forwarder) Stop() { f.stop() }

// limit returns the context of a request, which ends after timeout or with Stop.
func (f *Forwarder) limit(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	unlink := context.AfterFunc(f.stopped, cancel)
	return ctx, func() {
		unlink()
		cancel()
	}
}

// callerGone reports that the context of a request was cancelled since its caller has gone.
func (f *Forwarder) callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && f.stopped.Err() == nil
}
