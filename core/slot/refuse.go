package slot

import (
	"slices"
	"time"
)

// refuse returns a refusal, and true, for a waiting request that can't get a slot in time.
func (p *Pool) refuse(now time.Time, s *service, r Request) (Refusal, bool) {
	remaining := s.slots
	for i, id := range r.Exclude {
		u := p.upstreams[id]
		if u != nil && u.Service == s.name && !u.Draining && !slices.Contains(r.Exclude[:i], id) {
			remaining -= u.Slots
		}
	}
	if remaining == 0 {
		return Refusal{Request: r, Reason: ReasonNoUpstream, RetryAfter: p.retryAfter(now, s, r, 0)}, true
	}
	expected := p.expectedWait(now, s, s.online.before(r))
	if now.Add(expected).After(r.Deadline) || (r.late && now.Before(s.refuseLateUntil)) {
		return Refusal{Request: r, Reason: ReasonFull, RetryAfter: p.retryAfter(now, s, r, expected-r.Deadline.Sub(now))}, true
	}
	return Refusal{}, false
}

// expectedWait estimates the time until a slot is free for the request at a position of the queue, from
// how long the present online requests have held their slots and the mean hold time.
func (p *Pool) expectedWait(now time.Time, s *service, position int) time.Duration {
	n := len(s.onlineGrants)
	if n == 0 {
		return s.meanHold
	}
	rounds := time.Duration(position / n)
	remaining := s.meanHold - now.Sub(s.onlineGrants[position%n].since) // the oldest ends first
	return rounds*s.meanHold + max(remaining, 0)
}

const (
	// retrySteps is the number of steps over which the retry times of refused callers are spread.
	retrySteps = 16
	// maxRetryShare bounds the time until a caller retries, as a share of the caller's remaining time.
	maxRetryShare = 1.0 / 3
	// fallbackSpread is the share of the longest retry time over which callers are spread for whom no slot
	// is expected within it.
	fallbackSpread = 0.4
	// minSpareShare is the least share of the capacity that is assumed to be free for callers that retry,
	// since some of the arriving callers disconnect early.
	minSpareShare = 0.05
)

// retryAfter returns the time after which the caller of a refused request should retry: not before the
// expected wait, and after the callers that were refused before it, at the rate of slots that new
// requests leave free. Retry times are spread, so that callers don't retry all at once.
func (p *Pool) retryAfter(now time.Time, s *service, r Request, expected time.Duration) time.Duration {
	step := float64(r.Key.ID%retrySteps) / retrySteps
	after := max(expected, 0) + p.opts.MinRetryAfter + time.Duration(float64(p.opts.RetrySpread)*step)
	latest := time.Duration(float64(r.Order.Sub(now)) * maxRetryShare)
	if latest <= 0 {
		return after
	}
	if s.lastRetryAt.Before(now) {
		s.lastRetryAt = now
	}
	retryAt := s.lastRetryAt.Add(s.retryInterval(now))
	if retryAt.Sub(now) > latest {
		return max(after, time.Duration(float64(latest)*(1-fallbackSpread*step)))
	}
	s.lastRetryAt = retryAt
	return max(after, retryAt.Sub(now))
}

// retryInterval returns the time between the retry times of two refused callers.
func (s *service) retryInterval(now time.Time) time.Duration {
	capacity := float64(max(s.slots, 1)) / max(s.meanHold, time.Millisecond).Seconds()
	spare := max(capacity-s.rateNow(now), minSpareShare*capacity)
	return time.Duration(float64(time.Second) / spare)
}
