package forward

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"mothcart/core/retry"
	"mothcart/core/slot"
)

// attempt is one attempt at an upstream in progress.
type attempt struct {
	lease  Lease
	cancel context.CancelCauseFunc
	// answer is valid once the attempt has ended.
	answer Answer
	// silent reports that the upstream is silent; silentSince is when that was reported, zero if it was not.
	silent      atomic.Bool
	silentSince time.Time
}

// race runs an attempt and, while its upstream is silent, looks for a slot of another upstream. A silent attempt
// stays open until there is one.
type race struct {
	x    *exchange
	ctx  context.Context
	open []*attempt
	// ended receives each attempt when it has ended, changed a value when an upstream became silent or went on.
	ended   chan *attempt
	changed chan struct{}
	// search is the search for another slot, nil if there is none; found receives its outcome.
	search *search
	found  chan found
	// again starts the next search while the upstreams are still silent.
	again  *time.Timer
	limit  time.Duration
	closed chan struct{}
}

// search is a request for a slot beside an attempt.
type search struct{ cancel context.CancelFunc }

// found is the outcome of a search; lease is set if there was a slot.
type found struct {
	search *search
	lease  *Lease
}

// attempt makes an attempt with a slot, and others beside it or after it while no upstream sends anything. It
// returns the slot and the answer of the one that decides.
func (x *exchange) attempt(ctx context.Context, lease Lease) (Lease, Answer) {
	limit := x.idleTimeout(0)
	if limit == 0 {
		return lease, Do(ctx, x.f.opts.Client, x.f.opts.Wire, x.call(lease), x.sink(lease))
	}
	r := &race{
		x: x, ctx: ctx, limit: limit, ended: make(chan *attempt), changed: make(chan struct{}, 1), found: make(chan found),
		again: time.NewTimer(time.Hour), closed: make(chan struct{}),
	}
	defer r.close()
	r.start(lease)
	for {
		select {
		case at := <-r.ended:
			if r.settle(at) {
				return at.lease, at.answer
			}
		case <-r.changed:
			r.check()
		case <-r.again.C:
			r.check()
		case f := <-r.found:
			if at := r.use(f); at != nil {
				return at.lease, at.answer
			}
		}
	}
}

// start starts an attempt in the background.
func (r *race) start(lease Lease) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	at := &attempt{lease: lease, cancel: cancel}
	call, sink := r.x.call(lease), r.x.sink(lease)
	call.IdleTimeout = r.x.idleTimeout(len(r.open))
	call.OnSilence = func(silent bool) {
		at.silent.Store(silent)
		select {
		case r.changed <- struct{}{}:
		default: // check looks at all attempts
		}
	}
	r.open = append(r.open, at)
	go func() {
		defer cancel(nil)
		at.answer = Do(ctx, r.x.f.opts.Client, r.x.f.opts.Wire, call, sink)
		select {
		case r.ended <- at:
		case <-r.closed:
		}
	}()
}

// settle handles the end of an attempt and reports whether it decides about the request.
func (r *race) settle(at *attempt) bool {
	r.open = slices.DeleteFunc(r.open, func(other *attempt) bool { return other == at })
	if len(r.open) == 0 || at.answer.Success() || r.x.isFinal(at.answer) || r.ctx.Err() != nil {
		return true
	}
	r.x.book(r.ctx, at.lease, at.answer)
	r.check() // the attempts that are left may all be silent
	return false
}

// check reports upstreams that have become silent or gone on, and starts or ends the search for another slot.
func (r *race) check() {
	now := r.x.f.opts.Now()
	for _, at := range r.open {
		silent := at.silent.Load()
		if silent != at.silentSince.IsZero() {
			continue
		}
		if !silent || !r.x.f.opts.Links.Doubtful() {
			at.lease.Silence(silent)
		}
		r.x.logSilence(now, at, silent)
		if silent {
			at.silentSince = now
		} else {
			at.silentSince = time.Time{}
		}
	}
	switch {
	case !r.isSilent():
		r.endSearch()
	case r.search == nil:
		r.startSearch(now)
	}
}

// isSilent reports that the upstreams of all open attempts are silent.
func (r *race) isSilent() bool {
	return !slices.ContainsFunc(r.open, func(at *attempt) bool { return !at.silent.Load() })
}

// startSearch asks for a slot of another upstream, if the request may run once more.
func (r *race) startSearch(now time.Time) {
	x := r.x
	r.again.Reset(r.limit)
	if !x.mayRunBeside(now, len(r.open)) {
		return
	}
	x.f.refund(x.service) // the budget is spent when the slot is used
	request := x.slotRequest(now, len(r.open))
	for _, at := range r.open {
		request.Exclude = append(request.Exclude, at.lease.Upstream.ID)
	}
	ctx, cancel := context.WithCancel(r.ctx)
	s := &search{cancel: cancel}
	r.search = s
	go func() {
		defer cancel()
		f := found{search: s}
		if lease, refusal, err := x.lease(ctx, request); err == nil && refusal == nil {
			f.lease = &lease
		}
		select {
		case r.found <- f:
		case <-r.closed:
			r.drop(f)
		}
	}()
}

// endSearch ends the search in progress, if any; its outcome is dropped.
func (r *race) endSearch() {
	if r.search != nil {
		r.search.cancel()
		r.search = nil
	}
}

// drop releases a slot that is not used.
func (r *race) drop(f found) {
	if f.lease != nil {
		f.lease.Release(r.x.f.opts.Now(), slot.Abandoned)
	}
}

// use starts an attempt with the slot that a search has found. Where only one attempt may run, it first ends the
// silent one; if that one has succeeded meanwhile, use returns it.
func (r *race) use(f found) *attempt {
	if f.search != r.search {
		r.drop(f) // the upstream went on before the slot was found
		return nil
	}
	r.search = nil
	if f.lease == nil || !r.isSilent() || !r.x.mayRunBeside(r.x.f.opts.Now(), len(r.open)) {
		r.again.Reset(r.limit)
		r.drop(f)
		return nil
	}
	if r.x.runsAlone() {
		at := r.open[0]
		at.cancel(errReplaced)
		<-r.ended
		r.open = nil
		bound := r.x.boundVersion()
		moved := bound == "" || f.lease.Carried || bound == f.lease.Upstream.Version // its first event may have come just before its end
		if at.answer.Success() || r.x.isFinal(at.answer) || r.ctx.Err() != nil || !moved {
			r.x.f.refund(r.x.service)
			r.drop(f)
			return at
		}
		r.x.book(r.ctx, at.lease, at.answer)
		r.x.bind(*f.lease)
	}
	if r.x.isStream() {
		f.lease.Began(r.x.req.ID)
	}
	r.x.f.metrics.replacements.Inc(1)
	r.x.attempts++
	r.x.basis, r.x.granted = f.lease.Basis, *f.lease
	r.start(*f.lease)
	return nil
}

// close ends the attempts and the search that are still open.
func (r *race) close() {
	r.again.Stop()
	r.endSearch()
	close(r.closed)
	for _, at := range r.open {
		r.x.runs++ // it may have run
		at.cancel(errReplaced)
		at.lease.Release(r.x.f.opts.Now(), slot.Abandoned)
	}
}

// book releases the slot of an attempt that ended while the request goes on.
func (x *exchange) book(ctx context.Context, lease Lease, a Answer) {
	x.release(ctx, x.f.opts.Now(), lease, a)
	x.recordFailure(lease, a)
	x.logFailure(lease, a, true)
}

// runsAlone reports that at most one attempt at the request may be open.
func (x *exchange) runsAlone() bool {
	return x.isStream() || x.req.Generates(x.service)
}

// mayRunBeside reports whether the request may run once more beside a number of open attempts.
func (x *exchange) mayRunBeside(now time.Time, open int) bool {
	return x.f.decide(now, x.req.Deadline, x.service, x.failure(true, false, open)) != retry.Fail
}

// logSilence logs that an upstream is silent, or that it goes on.
func (x *exchange) logSilence(now time.Time, at *attempt, silent bool) {
	event, e := "upstreamSilent", x.log.Info()
	if silent {
		x.f.metrics.silences.Inc(1)
	} else {
		event = "upstreamHeard"
		e = e.Dur("silentMillis", now.Sub(at.silentSince))
	}
	e.Str("upstream", at.lease.Upstream.ID).Int64("incarnation", at.lease.Upstream.Incarnation).Str("version", at.lease.Upstream.Version).Int("attempt", x.attempts).
		Int("runs", x.runs).Int32("delivered", x.delivered.Load()).Dur("leftMillis", x.req.Deadline.Sub(now)).Msg(event)
}
