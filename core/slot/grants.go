package slot

import (
	"slices"
	"time"
)

// grant is a slot in use, or the place of a waiting request, which has no upstream yet.
type grant struct {
	request  Request
	upstream *upstream
	since    time.Time
	// excess and lasting are those of the upstream's pace at the time of the grant.
	excess, lasting float32
	// trial reports that the grant decides about a suspected part of the prompt, or about the request.
	trial bool
	// tokens is what the request holds at the upstream, and large that it is more than the share of one slot.
	tokens int
	large  bool
	// adopted reports that another pool made the grant, at a time that isn't known.
	adopted bool
}

// addGrant records that the request of g holds a slot of an upstream.
func (p *Pool) addGrant(now time.Time, g *grant, u *upstream) {
	p.update(now, u, func() {
		u.used++
		u.limit = u.limit.Taken(now)
	})
	r := &g.request
	g.upstream, g.since = u, now
	g.excess, g.lasting = float32(u.pace.excess), float32(u.pace.lasting)
	p.grants[r.Key] = g
	owned := p.byOwner[r.Key.Owner]
	if owned == nil {
		owned = make(map[uint64]*grant)
		p.byOwner[r.Key.Owner] = owned
	}
	owned[r.Key.ID] = g
	p.recordOrigin(r, u)
	if g.trial = p.judge.Granted(now, trialID(r.Key), r.work()); g.trial {
		p.trials[g] = struct{}{}
	}
	s := p.service(r.Service)
	s.takeRoom(g)
	if r.Batch {
		i, _ := slices.BinarySearchFunc(s.batchGrants, g, compareGrants)
		s.batchGrants = slices.Insert(s.batchGrants, i, g)
		s.countBatch(u.Version, 1)
		return
	}
	if n := len(s.onlineGrants); n > 0 && s.onlineGrants[n-1].since.After(now) {
		g.since = s.onlineGrants[n-1].since // keeps the order if an event was dated later than this one
	}
	s.onlineGrants = append(s.onlineGrants, g)
	s.shares.countHeld(now, r, 1)
	if r.late {
		s.refuseLateUntil = time.Time{}
	}
}

// recordOrigin records the software version at which the stream of a request begins.
func (p *Pool) recordOrigin(r *Request, u *upstream) {
	if r.Stream != "" {
		p.opts.Began(r.Stream, u.Version)
	}
}

func (p *Pool) removeGrant(now time.Time, g *grant) {
	p.update(now, g.upstream, func() { g.upstream.used-- })
	p.recordOrigin(&g.request, g.upstream) // it is remembered from the end of the attempt on
	key := g.request.Key
	p.judge.Done(trialID(key))
	delete(p.trials, g)
	delete(p.grants, key)
	delete(p.byOwner[key.Owner], key.ID)
	if len(p.byOwner[key.Owner]) == 0 {
		delete(p.byOwner, key.Owner)
	}
	s := p.service(g.request.Service)
	s.freeRoom(g)
	if g.request.Batch {
		i, _ := slices.BinarySearchFunc(s.batchGrants, g, compareGrants)
		s.batchGrants = slices.Delete(s.batchGrants, i, i+1)
		s.countBatch(g.upstream.Version, -1)
		return
	}
	s.shares.countHeld(now, &g.request, -1)
	i, _ := slices.BinarySearchFunc(s.onlineGrants, g, func(a, b *grant) int { return a.since.Compare(b.since) })
	i += slices.Index(s.onlineGrants[i:], g) // the first of the grants with the same time is at i
	s.onlineGrants = slices.Delete(s.onlineGrants, i, i+1)
}

// countBatch adds to the number of slots that batch items use at upstreams of a version.
func (s *service) countBatch(version string, n int) {
	s.batchByVersion[version] += n
	if s.batchByVersion[version] == 0 {
		delete(s.batchByVersion, version)
	}
}

// compareGrants orders grants of batch items; the last one is preempted first.
func compareGrants(a, b *grant) int { return compare(&a.request, &b.request) }

// victim returns the batch grant to preempt for the request, or nil. It considers the upstreams that
// the request may use, and chooses an item that will miss its due time in any case, or else the one
// that is due last.
func (p *Pool) victim(now time.Time, s *service, r *Request) *grant {
	if r.Version != "" && s.batchByVersion[r.Version] == 0 {
		return nil
	}
	for _, g := range slices.Backward(s.batchGrants) {
		if g.upstream.eligible(now, r) && g.upstream.allows(now, r) && p.upstreams[g.upstream.ID] == g.upstream && s.mayPreempt(g, r) {
			return g
		}
	}
	return nil
}

// Grants returns the slots in use, in no particular order.
func (p *Pool) Grants() []Grant {
	out := make([]Grant, 0, len(p.grants))
	for _, g := range p.grants {
		out = append(out, Grant{Request: g.request, Upstream: g.upstream.Upstream})
	}
	return out
}
