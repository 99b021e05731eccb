package slot

import "time"

// serve grants free slots to waiting requests, and preempts batch items for waiting online requests.
func (p *Pool) serve(now time.Time, s *service) Outcome {
	out := p.refuseOutgrown(now, s)
	p.updateReservation(now, s)
	s.updateOnlineMean(now)
	defer s.updateOnlineMean(now)
	p.plan(now, s)
	p.endFigures(now)
	free := 0
	if len(s.online.items)+len(s.batch.items) > 0 {
		free = s.index.freeSlots(now, p.opts)
	}
	s.online.serveEach(func(g *grant) verdict {
		if p.isHeld(now, &g.request) {
			return isHeld
		}
		r := p.candidate(now, &g.request)
		var u *upstream
		p.weigh(now, s, r)
		if free > 0 {
			u = p.place(now, s, r)
		}
		if u != nil {
			free--
		} else {
			victims := len(out.Preempted)
			u = p.preempt(now, s, r, &out)
			if u == nil && r != &g.request {
				return isHeld
			}
			if u == nil {
				return p.missed(now, s, r, free)
			}
			free += len(out.Preempted) - victims - 1
		}
		p.addGrant(now, g, u)
		out.Granted = append(out.Granted, Grant{Request: g.request, Upstream: u.Upstream, Choice: p.choice(now, g, u), Trial: g.trial})
		return gotSlot
	})
	if len(s.batch.items) == 0 {
		return out
	}
	spare := free - p.reserve(now, s)
	s.batch.serveEach(func(g *grant) verdict {
		if spare <= 0 {
			return endPass
		}
		if p.isHeld(now, &g.request) {
			return isHeld
		}
		r := p.candidate(now, &g.request)
		p.weigh(now, s, r)
		u := p.place(now, s, r)
		if u == nil && r != &g.request {
			return isHeld
		}
		if u == nil {
			return p.missed(now, s, r, free)
		}
		spare--
		p.addGrant(now, g, u)
		out.Granted = append(out.Granted, Grant{Request: g.request, Upstream: u.Upstream, Choice: p.choice(now, g, u), Trial: g.trial})
		return gotSlot
	})
	return out
}

// reserve returns the number of free slots that batch leaves for online requests that are about to
// arrive.
func (p *Pool) reserve(now time.Time, s *service) int {
	return int(s.rateNow(now) * p.opts.ArrivalReserve.Seconds())
}
