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
		return Refusal{Request: r, Reason: ReasonNoUpstream, RetryAfter: p.retryAfter(now, s, r, 0)}, true
	}
	expected := p.expected(now, s, s.online.before(r))
	if now.Add(expected).After(r.Deadline) || (r.late && now.Before(s.lateClosedUntil)) {
		return Refusal{Request: r, Reason: ReasonFull, RetryAfter: p.retryAfter(now, s, r, expected-r.Deadline.Sub(now))}, true
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

const (
	// spreadSteps is the number of places that returning callers are spread over.
	spreadSteps = 16
	// returnShare is the part of its time left that a caller waits at most before it returns.
	returnShare = 1.0 / 3
	// latestSpread is the part of that over which callers are spread for whom no place is expected.
	latestSpread = 0.4
	// leastSpare is the part of the capacity that returning callers are taken to find at least, since
	// some of those who arrive leave early.
	leastSpare = 0.05
)

// retryAfter is when a place is expected: after the expected time, and after the callers who were told
// to return before, at the rate that new arrivals leave. Callers are spread, so that they don't return
// together.
func (p *Pool) retryAfter(now time.Time, s *service, r Request, expected time.Duration) time.Duration {
	step := float64(r.Key.ID%spreadSteps) / spreadSteps
	after := max(expected, 0) + p.opts.MinRetryAfter + time.Duration(float64(p.opts.RetrySpread)*step)
	latest := time.Duration(float64(r.Order.Sub(now)) * returnShare)
	if latest <= 0 {
		return after
	}
	if s.returnsUntil.Before(now) {
		s.returnsUntil = now
	}
	place := s.returnsUntil.Add(s.returnInterval(now))
	if place.Sub(now) > latest {
		return max(after, time.Duration(float64(latest)*(1-latestSpread*step)))
	}
	s.returnsUntil = place
	return max(after, place.Sub(now))
}

// returnInterval is the time between two places for returning callers.
func (s *service) returnInterval(now time.Time) time.Duration {
	capacity := float64(max(s.slots(), 1)) / max(s.hold, time.Millisecond).Seconds()
	spare := max(capacity-s.rateNow(now), leastSpare*capacity)
	return time.Duration(float64(time.Second) / spare)
}
