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

// hold counts a request as a user of an upstream.
func (p *Pool) hold(now time.Time, r Request, u *upstream) {
	u.used++
	g := &grant{request: r, upstream: u, since: now}
	p.grants[r.Key] = g
	s := p.service(r.Service)
	list := s.grantsLike(r)
	*list = append(*list, g)
	if r.late && !r.Batch {
		s.lateClosedUntil = time.Time{}
	}
}

func (p *Pool) drop(g *grant) {
	g.upstream.used--
	delete(p.grants, g.request.Key)
	list := p.service(g.request.Service).grantsLike(g.request)
	if i := slices.Index(*list, g); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

// grantsLike returns the service's grants of batch items, or those of online requests.
func (s *service) grantsLike(r Request) *[]*grant {
	if r.Batch {
		return &s.batchGrants
	}
	return &s.onlineGrants
}

// victim returns the batch grant that yields first among those on upstreams that suit the request:
// one that will be late in any case, or the one that is due last.
func (p *Pool) victim(now time.Time, s *service, r Request) *grant {
	var last *grant
	for _, g := range s.batchGrants {
		if !g.upstream.suits(now, r) || p.upstreams[g.upstream.ID] != g.upstream {
			continue
		}
		if last == nil || compare(g.request, last.request) > 0 {
			last = g
		}
	}
	return last
}

// Grants returns the grants that are in use, in no order.
func (p *Pool) Grants() []Grant {
	out := make([]Grant, 0, len(p.grants))
	for _, g := range p.grants {
		out = append(out, Grant{Request: g.request, Upstream: g.upstream.Upstream})
	}
	return out
}
