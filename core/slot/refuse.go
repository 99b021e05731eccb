package slot

import (
	"slices"
	"time"
)

// refuse returns a refusal, and true, for a waiting request that can't get a slot in time.
func (p *Pool) refuse(now time.Time, s *service, g *grant) (Refusal, bool) {
	r := &g.request
	if refusal, ok := p.refuseVersion(now, s, r); ok {
		return refusal, true
	}
	if p.remainingSlots(s, r) == 0 {
		return Refusal{Request: *r, Reason: ReasonNoUpstream, RetryAfter: p.retryAfter(now, s, *r, 0)}, true
	}
	if p.isHeld(now, r) || p.candidate(now, r) != r {
		return Refusal{}, false
	}
	if refusal, ok := p.refuseOverShare(now, s, r); ok {
		return refusal, true
	}
	expected, reason := p.expectedWait(now, s, g), ReasonFull
	if wait, ok := p.roomWait(now, s, g); ok {
		expected, reason = wait, ReasonNoRoom
	}
	if now.Add(expected).After(r.Deadline) || (r.late && now.Before(s.refuseLateUntil)) {
		return Refusal{Request: *r, Reason: reason, RetryAfter: p.retryAfter(now, s, *r, expected-r.Deadline.Sub(now))}, true
	}
	return Refusal{}, false
}

// refuseVersion returns a refusal, and true, for a request that is bound to a version of which no upstream accepts
// it. A batch item has no caller that retries.
func (p *Pool) refuseVersion(now time.Time, s *service, r *Request) (Refusal, bool) {
	if r.Version == "" || p.remainingSlots(s, r) > 0 {
		return Refusal{}, false
	}
	refusal := Refusal{Request: *r, Reason: ReasonNoVersion, Unknown: s.slots == 0}
	if !r.Batch {
		refusal.RetryAfter = p.retryAfter(now, s, *r, 0)
	}
	return refusal, true
}

// refuseAbandoned removes and refuses the waiting requests that are bound to a version of which no upstream is left.
func (p *Pool) refuseAbandoned(now time.Time) Outcome {
	var out Outcome
	for _, s := range p.sortedServices() {
		for _, l := range []*waitList{&s.online, &s.batch} {
			if l.bound == 0 {
				continue
			}
			for _, r := range l.removeIf(func(r Request) bool { return r.Version != "" && p.remainingSlots(s, &r) == 0 }) {
				p.refund(now, &r)
				refusal, _ := p.refuseVersion(now, s, &r)
				out.Refused = append(out.Refused, refusal)
			}
		}
	}
	return out
}

// remainingSlots returns the number of slots, free or not, of the upstreams that accept the request.
func (p *Pool) remainingSlots(s *service, r *Request) int {
	remaining := s.slots
	if r.Version != "" {
		remaining = s.index.slotsOf(r.Version)
	}
	for i, id := range r.Exclude {
		u := p.upstreams[id]
		if u != nil && u.Service == s.name && !u.Draining && r.accepts(u.Version) && !slices.Contains(r.Exclude[:i], id) {
			remaining -= u.Slots
		}
	}
	return remaining
}

// expectedWait estimates the time until a slot is free for a waiting request, from how long the present online
// requests have held their slots and the mean hold time. Where upstreams of several versions serve, requests that
// are bound compete for the slots of their version only.
func (p *Pool) expectedWait(now time.Time, s *service, g *grant) time.Duration {
	position := s.online.before(g)
	if s.limited > 0 {
		return p.limitedWait(now, s, &g.request, position)
	}
	if len(s.index.versions) > 1 {
		if g.request.Version != "" {
			return p.expectedWaitAt(now, s, g)
		}
		position = max(position-s.online.bound, 0)
	}
	n := len(s.onlineGrants)
	if n == 0 {
		return s.meanHold
	}
	return s.waitFor(now, position, n, s.onlineGrants[position%n])
}

// expectedWaitAt is expectedWait for a request that is bound to one of several versions.
func (p *Pool) expectedWaitAt(now time.Time, s *service, g *grant) time.Duration {
	version := g.request.Version
	var held []*grant
	for _, h := range s.onlineGrants {
		u := h.upstream
		if u.Version == version && !u.Draining && p.upstreams[u.ID] == u {
			held = append(held, h)
		}
	}
	if len(held) == 0 {
		return s.meanHold
	}
	bound, unbound := s.online.boundBefore(g)
	position := bound + unbound*s.index.slotsOf(version)/s.slots
	return s.waitFor(now, position, len(held), held[position%len(held)])
}

// waitFor returns the time until n requests that hold slots have ended as often as the position says; last is the
// one that ends last.
func (s *service) waitFor(now time.Time, position, n int, last *grant) time.Duration {
	if s.paces.known {
		return s.pacedWait(position, n)
	}
	rounds := time.Duration(position / n)
	remaining := s.meanHold - now.Sub(last.since) // the oldest ends first
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
	lastRetryAt, interval := s.retryTurn(now, &r)
	if lastRetryAt.Before(now) {
		*lastRetryAt = now
	}
	retryAt := lastRetryAt.Add(interval)
	if retryAt.Sub(now) > latest {
		return max(after, time.Duration(float64(latest)*(1-fallbackSpread*step)))
	}
	*lastRetryAt = retryAt
	return max(after, retryAt.Sub(now))
}

// retryInterval returns the time between the retry times of two refused callers.
func (s *service) retryInterval(now time.Time) time.Duration {
	capacity := s.capacity()
	spare := max(capacity-s.rateNow(now), minSpareShare*capacity)
	return time.Duration(float64(time.Second) / spare)
}
