package forward

import (
	"slices"
	"time"

	"mothcart/core/slot"
)

// slotRequest returns a new request for a slot, beside a number of open attempts.
func (x *exchange) slotRequest(now time.Time, open int) slot.Request {
	x.ask = x.f.opts.NextID()
	ran := x.runs+open > 0
	r := slot.Request{
		Key:              slot.Key{ID: x.ask},
		Service:          x.service,
		Priority:         x.req.Route.Priority,
		Order:            x.order(ran),
		Deadline:         x.waitUntil(now, ran),
		Exclude:          slices.Concat(x.exclude, x.silent),
		AvailabilityZone: x.f.opts.AvailabilityZone,
		Objective:        x.objective(ran),
		Parts:            x.parts,
		Identity:         x.identity,
		Account:          x.req.Account,
		Charged:          x.req.Charged || x.attempts > 0 || open > 0,
		PromptTokens:     x.size.Prompt,
		OutputTokens:     x.size.Output,
		ExpectedTokens:   x.size.Expected,
	}
	if !x.isStream() {
		r.Repeatable = x.req.Route.Repeatable() && x.runs+open+1 < x.req.Route.MaxAttempts
		return r
	}
	r.Version, r.BoundBy = x.boundVersion(), x.boundBy
	if x.req.LastEventID != "" || (x.delivered.Load() > 0 && x.beganElsewhere) {
		r.Continues, r.Resumes = true, x.origin()
	}
	if x.req.Route.Resumable && open == 0 {
		r.Stream = x.req.ID // beside an open attempt it is not known yet which of the two begins the stream
	}
	return r
}

// origin returns the ID of the request that brought the first event of the stream; empty if the caller has taken up the
// stream and doesn't say.
func (x *exchange) origin() string {
	if x.req.LastEventID != "" {
		return x.req.Resumes
	}
	return x.req.ID
}

// boundVersion returns the software version at which the stream must go on; empty if it may begin at any, or if this
// node doesn't know yet where it began.
func (x *exchange) boundVersion() string {
	if x.delivered.Load() == 0 && x.boundBy == "" {
		return ""
	}
	return x.version
}

// bind records the software version of a stream that the caller takes up, or that began through another entry, which the
// granted slot shows. No attempt may be in progress.
func (x *exchange) bind(lease Lease) {
	if x.beganElsewhere && !lease.Carried {
		x.version, x.beganElsewhere = lease.Upstream.Version, false
	}
	if x.isStream() && x.req.LastEventID != "" && x.boundBy == "" {
		x.version, x.boundBy = lease.Upstream.Version, lease.BoundBy
	}
}

// order returns the time by which requests without an objective are ordered. One that may have run already goes
// before those that arrived after it, since without a slot it can only fail.
func (x *exchange) order(ran bool) time.Time {
	if ran {
		return x.req.Arrived
	}
	return x.req.Deadline
}

// objective returns the latest time at which a slot still lets the request meet its latency objective.
// It is zero if the request has no objective, or if the request may have run already: a refusal would
// then wrongly say that it has not run.
func (x *exchange) objective(ran bool) time.Time {
	if ran || x.req.Route.Objective == 0 {
		return time.Time{}
	}
	return x.req.Arrived.Add(x.maxObjectiveWait() - x.req.Waited)
}

// maxObjectiveWait returns how long a request may wait for a slot and still meet its objective.
func (x *exchange) maxObjectiveWait() time.Duration {
	return time.Duration(float64(x.req.Route.Objective) * waitShare)
}

// waitUntil returns until when the request may wait for a slot: as long as it can meet its objective. On a
// retry, or if it can't meet the objective any more, it may wait as long again, but at most for
// lateWaitShare of the remaining time. If it may have run already, it may wait for rerunWaitShare of the
// remaining time, since without a slot it can only fail.
func (x *exchange) waitUntil(now time.Time, ran bool) time.Time {
	objective := x.maxObjectiveWait()
	until := x.req.Arrived.Add(objective - x.req.Waited)
	if x.attempts > 0 || !now.Before(until) {
		remaining := x.req.Deadline.Sub(now)
		until = now.Add(min(time.Duration(float64(remaining)*lateWaitShare), max(objective, minIdleTimeout)))
		if ran {
			until = now.Add(time.Duration(float64(remaining) * rerunWaitShare))
		}
	}
	if until.After(x.req.Deadline) {
		until = x.req.Deadline
	}
	return until
}
