package slot

import (
	"time"

	"mothcart/core/zone"
)

const (
	// patience is how many times its remaining time a batch item must have until its due time to go to a slow upstream, where
	// it takes twice as long and may be preempted.
	patience = 4
	// batchCrossing is how much more of its slots an upstream of the item's zone must have in use than one of another zone
	// for the item to leave. Items leave before online requests do, which thereby keep the slots of their zone.
	batchCrossing = 0.2
	// exploring is the number of online requests of which one goes to the next group of upstreams in turn, whatever its pace, if
	// that is as idle as others. An upstream that was slow for a while would otherwise never be measured again where others
	// always have free slots. It is a prime, so that these requests don't keep step with the turns within a group.
	exploring = 17
	// fastPenalty ranks upstreams that aren't slow behind all slow ones for an item that can wait.
	fastPenalty = 2
)

// zoneCosts returns the costs by which requests of a service leave their zone.
func (p *Pool) zoneCosts(s *service) zone.Costs {
	if !p.opts.Zones.IsSet() && s.paces.known {
		return zone.NewCosts()
	}
	return p.opts.Zones
}

// weigh sets by what a request compares upstreams: by pace, load and zone together, if the service's upstreams name their
// pace or the costs of leaving a zone are set, and else by zone and then by load.
func (p *Pool) weigh(now time.Time, s *service, r *Request) {
	costs := p.zoneCosts(s)
	if !costs.IsSet() || p.opts.TrustReports { // a node that decides alone doesn't know the load of other zones
		r.weighed = false
		return
	}
	r.weighed, r.explores, r.firstGroup = true, false, 0
	if !r.Batch {
		s.weighed++
		if r.explores = s.weighed%exploring == 0; r.explores {
			r.firstGroup = s.weighed / exploring
		}
	}
	hold := s.meanHold
	if r.Batch {
		hold = s.meanBatchHold
		r.patient = s.paces.known && (r.late || patience*s.remaining(*r, 0) < r.Order.Sub(now))
	}
	r.crossing = float32(costs.Crossing(r.bytes())) / float32(max(hold, time.Millisecond))
	if r.patient {
		r.crossing = batchCrossing
	}
}

// rank returns how well an upstream with a number of requests suits a request, lower is better. For an online request it is
// the time until its answer as a multiple of the usual one, with the crossing to another zone. A batch item that can wait
// goes to slow upstreams first.
func (u *upstream) rank(load int, r *Request) float64 {
	return rank(r, u.pace.class, load, u.Slots, u.Zone == r.AvailabilityZone)
}

func rank(r *Request, class, load, slots int, near bool) float64 {
	x := float64(load) / float64(max(slots, 1))
	switch {
	case r.explores:
		if !near {
			x++ // not worth a crossing
		}
	case !r.patient:
		x = paceFactors[class-minPaceClass] * (1 + loadSlowdown*x)
	case class < slowClass:
		x += fastPenalty
	}
	if !near {
		x += float64(r.crossing)
	}
	return x
}

// bestWeighed returns the upstream in a bucket that ranks best for a request, or nil.
func (x *versionIndex) bestWeighed(r *Request, turn int) *upstream {
	var best *upstream
	var least float64
	for i := range x.groups {
		g := x.groups[(r.firstGroup+i)%len(x.groups)]
		u := g.lowest(r, turn)
		if u == nil {
			continue
		}
		if y := rank(r, g.class, u.place.used, g.slots, g.zone == r.AvailabilityZone); best == nil || y < least {
			best, least = u, y
		}
	}
	return best
}

// pacedWait returns the time until n requests that hold slots have ended as often as the position says. Where some hold
// theirs far longer than others, the oldest is not the next to end, so that only the rate at which they end counts.
func (s *service) pacedWait(position, n int) time.Duration {
	return time.Duration(float64(s.meanHold) * float64(position+1) / float64(n))
}
