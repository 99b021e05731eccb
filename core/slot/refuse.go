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
	if now.Add(expected).After(r.Deadline) || (r.late && now.Before(s.lateClosedUntil)) {
		return Refusal{Request: r, Reason: ReasonFull, RetryAfter: p.retryAfter(r, expected-r.Deadline.Sub(now))}, true
	}
	return Refusal{}, false
}

// expected returns the time until a slot is free for the request at a position of the queue, from the
// ages of the online requests that hold slots now and the mean time for which one does.
func (p *Pool) expected(now time.Time, s *service, position int) time.Duration {
	n := len(s.onlineGrants)
	if n == 0 {
		return s.hold
	}
	rounds := time.Duration(position / n)
	left := s.hold - now.Sub(s.onlineGrants[position%n].since) // the oldest ends first
	return rounds*s.hold + max(left, 0)
}

// spreadSteps is the number of places that returning callers are spread over.
const spreadSteps = 16

// retryAfter adds to the expected time a part of the spread that differs between requests.
func (p *Pool) retryAfter(r Request, expected time.Duration) time.Duration {
	step := time.Duration(r.Key.ID % spreadSteps)
	return max(expected, 0) + p.opts.MinRetryAfter + p.opts.RetrySpread*step/spreadSteps
}
