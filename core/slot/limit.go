package slot

import (
	"time"

	"mothcart/core/site"
	"mothcart/core/throttle"
)

// LimitRecord is what a node knows of the rate that an upstream names.
type LimitRecord struct {
	Upstream site.Key
	// Rate is in requests a second; Age is the time since the upstream named it last.
	Rate float64
	Age  time.Duration
}

// LimitChange is a change of the rate that an upstream names; 0 means no limit.
type LimitChange struct {
	Upstream      site.Upstream
	Before, After float64
}

// Limit records what an answer to a request that holds a slot says of the rate that its upstream takes: rate in requests
// a second, or none if named is false.
func (p *Pool) Limit(now time.Time, k Key, rate float64, named bool) Outcome {
	g, ok := p.grants[k]
	if !ok {
		return Outcome{}
	}
	u := g.upstream
	return p.changeLimit(now, u, func(l throttle.Limit) throttle.Limit {
		if named {
			return l.Named(now, g.since, rate)
		}
		return l.Lifted(g.since)
	})
}

func (p *Pool) changeLimit(now time.Time, u *upstream, change func(l throttle.Limit) throttle.Limit) Outcome {
	before, wasActive := u.limit.Rate(), u.limit.Active()
	p.update(now, u, func() {
		u.limit = change(u.limit)
		if before == 0 && p.aloneNodes > 0 && u.limit.Active() {
			u.limit = u.limit.Alone(now, p.aloneNodes, p.aloneLevel())
		}
	})
	s := p.service(u.Service)
	if p.upstreams[u.ID] == u {
		s.noteLimited(wasActive, u.limit.Active())
	}
	var out Outcome
	if after := u.limit.Rate(); after != before {
		out.Limits = []LimitChange{{Upstream: u.Upstream, Before: before, After: after}}
	}
	if before > 0 && !u.limit.Active() {
		out.add(p.serve(now, s))
	}
	return out
}

// ImportLimits adds what another node knows. If the records are complete, limits that they lack and that were not named
// within the last staleLimit end.
func (p *Pool) ImportLimits(now time.Time, records []LimitRecord, complete bool) Outcome {
	var out Outcome
	known := make(map[site.Key]bool, len(records))
	for _, r := range records {
		known[r.Upstream] = true
		u := p.upstreams[r.Upstream.ID]
		if u != nil && u.Incarnation == r.Upstream.Incarnation && throttle.IsValid(r.Rate) && r.Age < limitLifetime {
			out.add(p.changeLimit(now, u, func(l throttle.Limit) throttle.Limit { return l.Learned(now, now.Add(-r.Age), r.Rate) }))
		}
	}
	for _, u := range p.upstreams {
		if complete && u.limit.Active() && !known[u.Key()] && now.Sub(u.limit.NamedAt()) > staleLimit {
			out.add(p.changeLimit(now, u, func(throttle.Limit) throttle.Limit { return throttle.Limit{} }))
		}
	}
	return out
}

const (
	// limitLifetime is the age up to which another node's record of a limit is used.
	limitLifetime = time.Minute
	// staleLimit is the time after which a limit that the home doesn't know has ended, and not just begun.
	staleLimit = 5 * time.Second
)

// IsLimited reports that an upstream names a rate.
func (p *Pool) IsLimited(upstreamID string) bool {
	u := p.upstreams[upstreamID]
	return u != nil && u.limit.Active()
}

// LimitedUpstreams returns the number of upstreams that name a rate.
func (p *Pool) LimitedUpstreams() int {
	n := 0
	for _, s := range p.services {
		n += s.limited
	}
	return n
}

// ExportLimits returns the limits of all upstreams.
func (p *Pool) ExportLimits(now time.Time) []LimitRecord {
	var out []LimitRecord
	for _, s := range p.services {
		if s.limited == 0 {
			continue
		}
		for _, u := range s.upstreams {
			if u.limit.Active() {
				out = append(out, LimitRecord{Upstream: u.Key(), Rate: u.limit.Rate(), Age: now.Sub(u.limit.NamedAt())})
			}
		}
	}
	return out
}

// DecideAlone shares the rates of all upstreams with the other nodes that decide alone, from now on. The function level
// returns random numbers from 0 to 1, which spread the requests of the nodes.
func (p *Pool) DecideAlone(now time.Time, nodes int, level func() float64) {
	p.aloneNodes, p.aloneLevel = nodes, level
	for _, s := range p.services {
		p.countRoom(s)
		if s.limited == 0 {
			continue
		}
		for _, u := range s.upstreams {
			if u.limit.Active() {
				p.update(now, u, func() { u.limit = u.limit.Alone(now, nodes, level()) })
			}
		}
	}
}

// noteLimited updates the number of upstreams that name a rate after one of them has changed.
func (s *service) noteLimited(was, is bool) {
	switch {
	case is && !was:
		s.limited++
	case was && !is:
		s.limited--
	}
}

// countLimited counts the upstreams that name a rate.
func (s *service) countLimited() {
	s.limited = 0
	for _, u := range s.upstreams {
		if u.limit.Active() {
			s.limited++
		}
	}
}

// capacity returns the number of requests a second that the service can take.
func (s *service) capacity() float64 {
	perSlot := 1 / max(s.meanHold, time.Millisecond).Seconds()
	if s.limited == 0 {
		return float64(max(s.slots, 1)) * perSlot
	}
	var n float64
	for _, u := range s.upstreams {
		full := float64(u.Slots) * perSlot
		if u.limit.Active() {
			full = min(full, u.limit.Usable())
		}
		if !u.Draining {
			n += full
		}
	}
	return max(n, perSlot)
}

// limitedWait estimates the time until a waiting request gets a slot of a service of which some upstreams name a rate:
// from the rates, and from how often online requests end at the others.
func (p *Pool) limitedWait(now time.Time, s *service, r *Request, position int) time.Duration {
	var perSecond, ready float64
	for _, u := range s.upstreams {
		if u.limit.Active() && u.eligible(now, r) {
			perSecond += u.limit.Usable()
			ready += u.limit.Level(now)
		}
	}
	for _, g := range s.onlineGrants {
		if u := g.upstream; !u.limit.Active() && u.eligible(now, r) {
			perSecond += 1 / max(s.meanHold, time.Millisecond).Seconds()
		}
	}
	if perSecond == 0 {
		return s.meanHold
	}
	return time.Duration(max(float64(position+1)-ready, 0) / perSecond * float64(time.Second))
}
