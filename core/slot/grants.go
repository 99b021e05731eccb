package slot

import (
	"slices"
	"time"
)

// grant is a slot in use.
type grant struct {
	request  Request
	upstream *upstream
	since    time.Time
}

// addGrant records that a request holds a slot of an upstream.
func (p *Pool) addGrant(now time.Time, r Request, u *upstream) {
	u.used++
	g := &grant{request: r, upstream: u, since: now}
	p.grants[r.Key] = g
	owned := p.byOwner[r.Key.Owner]
	if owned == nil {
		owned = make(map[uint64]*grant)
		p.byOwner[r.Key.Owner] = owned
	}
	owned[r.Key.ID] = g
	s := p.service(r.Service)
	list := s.grantsOf(r)
	*list = append(*list, g)
	if r.late && !r.Batch {
		s.refuseLateUntil = time.Time{}
	}
}

func (p *Pool) removeGrant(g *grant) {
	g.upstream.used--
	key := g.request.Key
	delete(p.grants, key)
	delete(p.byOwner[key.Owner], key.ID)
	if len(p.byOwner[key.Owner]) == 0 {
		delete(p.byOwner, key.Owner)
	}
	list := p.service(g.request.Service).grantsOf(g.request)
	if i := slices.Index(*list, g); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

// grantsOf returns the list of the service's grants of r's kind: batch items or online requests.
func (s *service) grantsOf(r Request) *[]*grant {
	if r.Batch {
		return &s.batchGrants
	}
	return &s.onlineGrants
}

// victim returns the batch grant to preempt for the request, or nil. It considers the upstreams that
// the request may use, and chooses an item that will miss its due time in any case, or else the one
// that is due last.
func (p *Pool) victim(now time.Time, s *service, r Request) *grant {
	var last *grant
	for _, g := range s.batchGrants {
		if !g.upstream.eligible(now, r) || p.upstreams[g.upstream.ID] != g.upstream {
			continue
		}
		if last == nil || compare(g.request, last.request) > 0 {
			last = g
		}
	}
	return last
}

// Grants returns the slots in use, in no particular order.
func (p *Pool) Grants() []Grant {
	out := make([]Grant, 0, len(p.grants))
	for _, g := range p.grants {
		out = append(out, Grant{Request: g.request, Upstream: g.upstream.Upstream})
	}
	return out
}
