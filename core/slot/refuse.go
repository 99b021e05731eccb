package slot

import (
	"slices"
	"time"
)

// refuse decides whether a request that waits can't be served in time.
func (p *Pool) refuse(now time.Time, s *service, r Request) (Refusal, bool) {
	slots := 0
	for _, u := range s.upstreams {
		if !u.Draining && !slices.Contains(r.Exclude, u.ID) {
			slots += u.Slots
		}
	}
	if slots == 0 {
		return Refusal{Request: r, Reason: ReasonNoUpstream, RetryAfter: p.retryAfter(r, 0)}, true
	}
	expected := p.expected(now, s, s.online.before(r))
	if now.Add(expected).After(r.Deadline) {
		return Refusal{Request: r, Reason: ReasonFull, RetryAfter: p.retryAfter(r, expected-r.Deadline.Sub(now))}, true
	}
	return Refusal{}, false
}

// expected returns the time until a slot is free for the request at a position of the queue, from the
// ages of the online requests that hold slots now and the mean time for which one does.
func (p *Pool) expected(now time.Time, s *service, position int) time.Duration {
	left := make([]time.Duration, 0, len(p.grants))
	for _, g := range p.grants {
		if g.request.Service == s.name && !g.request.Batch {
			left = append(left, max(s.hold-now.Sub(g.since), 0))
		}
	}
	if len(left) == 0 {
		return s.hold
	}
	slices.Sort(left)
	rounds := time.Duration(position / len(left))
	return rounds*s.hold + left[position%len(left)]
}

// spreadSteps is the number of places that returning callers are spread over.
const spreadSteps = 16

// retryAfter adds to the expected time a part of the spread that differs between requests.
func (p *Pool) retryAfter(r Request, expected time.Duration) time.Duration {
	step := time.Duration(r.Key.ID % spreadSteps)
	return max(expected, 0) + p.opts.MinRetryAfter + p.opts.RetrySpread*step/spreadSteps
}
