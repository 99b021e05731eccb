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
	var lastRequest Request
	for _, g := range s.batchGrants {
		if !g.upstream.suits(now, r) || p.upstreams[g.upstream.ID] != g.upstream {
			continue
		}
		held := g.request
		held.late = s.missesDue(now, held, now.Sub(g.since))
		if last == nil || compare(held, lastRequest) > 0 {
			last, lastRequest = g, held
		}
	}
	return last
}

// missesDue reports that a batch item that has run for a while can't end by its due time.
func (s *service) missesDue(now time.Time, r Request, ran time.Duration) bool {
	left := s.batchHold - ran
	if r.Resumed {
		left = 0 // less than a whole run, but how much is not known
	}
	return now.Add(max(left, 0)).After(r.Order)
}

// Grants returns the grants that are in use, in no order.
func (p *Pool) Grants() []Grant {
	out := make([]Grant, 0, len(p.grants))
	for _, g := range p.grants {
		out = append(out, Grant{Request: g.request, Upstream: g.upstream.Upstream})
	}
	return out
}
