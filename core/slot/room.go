package slot

import (
	"slices"
	"time"
)

// The requests at one upstream share its memory, which Options.TokenCapacity gives in tokens. A request counts with its
// prompt and its longest output from its grant to its end, since an upstream whose memory runs out ends with all its
// requests. Requests that don't fit wait; the first large one that waits reserves an upstream, so that smaller ones
// don't fill the room there again and again.

const (
	// hintMargin is the factor by which an output may exceed its caller's estimate where the longest output isn't known.
	// The estimate is right for half of the requests, and outputs of twice the median are common.
	hintMargin = 4
	// maxTokens bounds the tokens of a prompt or an output that are counted, so that sums don't overflow.
	maxTokens = 1 << 40
	// smallPart is the part of the share of each free slot that large requests leave to small ones, as a divisor: it
	// holds twice the usual request of 450 tokens, and takes a twentieth of the memory from large ones.
	smallPart = 16
	// tooLargeRetryAfter is the Retry-After of a request that fits no upstream: only a new configuration helps it.
	tooLargeRetryAfter = 10 * time.Second
)

// reservation keeps an upstream free for a large request that waits.
type reservation struct {
	request  Request
	upstream *upstream
}

// need returns the number of tokens that the request may hold at an upstream with a capacity, of which share is that of
// one slot. Without a capacity it is 0; an output that isn't known counts as what is left of the share.
func (r *Request) need(capacity, share int) int {
	prompt := min(r.PromptTokens, maxTokens)
	switch {
	case capacity == 0:
		return 0
	case r.OutputTokens > 0:
		return prompt + min(r.OutputTokens, maxTokens)
	case r.ExpectedTokens > 0:
		return prompt + hintMargin*min(r.ExpectedTokens, maxTokens)
	default:
		return max(prompt, share)
	}
}

// share returns the tokens of one slot of the upstream.
func (u *upstream) share() int { return u.capacity / max(u.Slots, 1) }

func (u *upstream) need(r *Request) int { return r.need(u.capacity, u.share()) }

// fits reports whether the upstream has room for the request beside a number of requests of others, whose sizes aren't
// known. A large one leaves room for small ones in the slots that stay free. While several nodes decide alone, none knows
// the sizes of the others' requests, and large ones wait: as long as all fit into the share of a slot, no upstream is
// overfilled.
func (u *upstream) fits(r *Request, others int) bool {
	if u.capacity == 0 {
		return true
	}
	need, share := u.need(r), u.share()
	if need > share {
		if u.othersLarge {
			return false
		}
		if u.used+others > 0 {
			need += max(u.Slots-u.used-others-1, 0) * share / smallPart
		}
	}
	return u.held+others*share+need <= u.capacity
}

// need returns the number of tokens that a request may hold at an upstream of the service.
func (s *service) need(r *Request) int { return r.need(s.tokenCapacity, s.share) }

// isLarge reports whether a request needs more than the share of one slot. As long as none does, all requests that have
// slots fit.
func (s *service) isLarge(r *Request) bool {
	return s.tokenCapacity > 0 && s.need(r) > s.share
}

// updateCapacity takes over the capacity of a service's upstreams from the configuration in force.
func (p *Pool) updateCapacity(s *service) {
	if s.tokenCapacity != p.opts.TokenCapacity(s.name) {
		p.countRoom(s)
	}
}

// countRoom sets the capacity of a service's upstreams and counts what is held there.
func (p *Pool) countRoom(s *service) {
	s.tokenCapacity = max(p.opts.TokenCapacity(s.name), 0)
	s.share, s.large, s.held, s.allTokens = s.tokenCapacity, 0, 0, len(s.upstreams)*s.tokenCapacity
	for _, u := range s.upstreams {
		u.capacity, u.held, u.othersLarge = s.tokenCapacity, 0, p.aloneNodes > 1
		s.share = min(s.share, u.share())
	}
	s.online.countTokens()
	s.batch.countTokens()
	for _, list := range [][]*grant{s.onlineGrants, s.batchGrants} {
		for _, g := range list {
			s.takeRoom(g)
		}
	}
}

// takeRoom counts what a grant holds.
func (s *service) takeRoom(g *grant) {
	u := g.upstream
	g.tokens, g.large = u.need(&g.request), s.isLarge(&g.request)
	s.hold(u, g.tokens)
	if g.large {
		s.large++
	}
	if s.reserved != nil && s.reserved.request.Key == g.request.Key {
		s.reserved = nil
	}
}

// freeRoom ends what a grant holds.
func (s *service) freeRoom(g *grant) {
	s.hold(g.upstream, -g.tokens)
	if g.large {
		s.large--
	}
}

// hold adds to what requests hold at an upstream.
func (s *service) hold(u *upstream, tokens int) {
	u.held += tokens
	if u.listed {
		s.held += tokens
	}
}

// refuseTooLarge returns a refusal, and true, for a request that fits no upstream of its service.
func (p *Pool) refuseTooLarge(s *service, r *Request) (Refusal, bool) {
	p.updateCapacity(s)
	if s.need(r) <= s.tokenCapacity {
		return Refusal{}, false
	}
	return Refusal{Request: *r, Reason: ReasonTooLarge, RetryAfter: tooLargeRetryAfter}, true
}

// refuseOutgrown removes and refuses the waiting requests that fit no upstream since the capacity has shrunk.
func (p *Pool) refuseOutgrown(now time.Time, s *service) Outcome {
	var out Outcome
	if s.tokenCapacity == p.opts.TokenCapacity(s.name) {
		return out
	}
	for _, l := range []*waitList{&s.online, &s.batch} {
		l.removeIf(func(r Request) bool {
			refusal, ok := p.refuseTooLarge(s, &r)
			if ok {
				p.refund(now, &r)
				out.Refused = append(out.Refused, refusal)
			}
			return ok
		})
	}
	p.updateCapacity(s)
	return out
}

// place returns the best upstream with a free slot and room for the request, or nil. The reserved one is left to the
// request for which it is reserved, and to those before it that can go nowhere else. Online requests pass over what items
// have reserved.
func (p *Pool) place(now time.Time, s *service, r *Request) *upstream {
	if s.reserved == nil || s.reserved.request.Key == r.Key || (s.reserved.request.Batch && !r.Batch) {
		return s.index.best(now, r, p.opts)
	}
	elsewhere := *r
	elsewhere.Exclude = append(slices.Clone(r.Exclude), s.reserved.upstream.ID)
	if u := s.index.best(now, &elsewhere, p.opts); u != nil || !s.mayUse(r, s.reserved.upstream) {
		return u
	}
	return s.index.best(now, r, p.opts)
}

// mayUse reports whether an upstream is not reserved for a request that is served before r.
func (s *service) mayUse(r *Request, u *upstream) bool {
	if s.reserved == nil || s.reserved.upstream != u || s.reserved.request.Key == r.Key {
		return true
	}
	holder := &s.reserved.request
	if r.Batch != holder.Batch {
		return holder.Batch
	}
	return compare(r, holder) < 0
}

// mayPreempt reports whether the room of a batch item, if it ends, is enough for the request.
func (s *service) mayPreempt(g *grant, r *Request) bool {
	u := g.upstream
	return u.capacity == 0 || (u.held-g.tokens+u.need(r) <= u.capacity && s.mayUse(r, u))
}

// preempt ends as many batch items at an upstream as an online request needs to go there, and returns the upstream; nil
// if there are too few.
func (p *Pool) preempt(now time.Time, s *service, r *Request, out *Outcome) *upstream {
	if g := p.victim(now, s, r); g != nil {
		p.end(now, g, out)
		return g.upstream
	}
	victims := p.victims(now, s, r)
	if len(victims) == 0 {
		return nil
	}
	for _, g := range victims {
		p.end(now, g, out)
	}
	return victims[0].upstream
}

// end preempts an item.
func (p *Pool) end(now time.Time, g *grant, out *Outcome) {
	p.removeGrant(now, g)
	out.Preempted = append(out.Preempted, Grant{Request: g.request, Upstream: g.upstream.Upstream})
}

// victims returns items at one upstream whose room is enough for a large request; none if no upstream has enough. Those
// that are served last are chosen first.
func (p *Pool) victims(now time.Time, s *service, r *Request) []*grant {
	if !s.isLarge(r) {
		return nil
	}
	items := make(map[*upstream][]*grant)
	freed := make(map[*upstream]int)
	for _, g := range slices.Backward(s.batchGrants) {
		u := g.upstream
		if !u.eligible(now, r) || !u.allows(now, r) || !s.mayUse(r, u) || p.upstreams[u.ID] != u {
			continue
		}
		items[u] = append(items[u], g)
		if freed[u] += g.tokens; u.held-freed[u]+u.need(r) <= u.capacity {
			return items[u]
		}
	}
	return nil
}

// missed returns the verdict on a request that found no upstream though a number of slots are free. A large one reserves
// an upstream, unless another one has; online requests go before items.
func (p *Pool) missed(now time.Time, s *service, r *Request, free int) verdict {
	large := s.isLarge(r)
	if free <= 0 || (s.large == 0 && !large) {
		return gotNone
	}
	if large && (s.reserved == nil || (s.reserved.request.Batch && !r.Batch)) {
		if u := s.emptiest(now, r); u != nil {
			s.reserved = &reservation{request: *r, upstream: u}
			s.reservations++
		}
	}
	return gotNoRoom
}

// emptiest returns the upstream that may take the request and holds the fewest tokens, or nil.
func (s *service) emptiest(now time.Time, r *Request) *upstream {
	var best *upstream
	for _, u := range s.upstreams {
		if u.eligible(now, r) && (best == nil || u.held < best.held) {
			best = u
		}
	}
	return best
}

// updateReservation ends a reservation whose request no longer waits or whose upstream can't take it any more.
func (p *Pool) updateReservation(now time.Time, s *service) {
	h := s.reserved
	if h == nil {
		return
	}
	list := &s.online
	if h.request.Batch {
		list = &s.batch
	}
	if !list.has(h.request.Key) || p.upstreams[h.upstream.ID] != h.upstream || !h.upstream.eligible(now, &h.request) {
		s.reserved = nil
		return
	}
	h.request.late = h.request.late || h.request.missesObjective(now)
}

// roomWait estimates the time until a waiting request gets room, and reports false if it lacks a slot and not room. Items
// are preempted, so that only online requests count.
func (p *Pool) roomWait(now time.Time, s *service, g *grant) (time.Duration, bool) {
	r := &g.request
	large := s.isLarge(r)
	if (s.large == 0 && !large) || s.index.freeSlots(now, p.opts) <= 0 {
		return 0, false
	}
	wait := s.tokensWait(now, g)
	if large {
		wait = max(wait, p.fitWait(now, s, r))
	}
	return wait, true
}

// tokensWait estimates the time until the online requests that end have freed what a waiting request needs together with
// those before it.
func (s *service) tokensWait(now time.Time, g *grant) time.Duration {
	needed := s.need(&g.request)
	for _, ahead := range s.online.items[:s.online.before(g)] {
		needed += s.need(&ahead.request)
	}
	held := 0
	for _, h := range s.onlineGrants {
		held += h.tokens
	}
	if held == 0 {
		return s.meanHold
	}
	rounds := time.Duration((needed - 1) / held)
	needed -= int(rounds) * held
	for _, h := range s.onlineGrants { // oldest first
		if needed -= h.tokens; needed <= 0 {
			return rounds*s.meanHold + max(s.meanHold-now.Sub(h.since), 0)
		}
	}
	return (rounds + 1) * s.meanHold
}

// fitWait estimates the time until one upstream has room for a large request.
func (p *Pool) fitWait(now time.Time, s *service, r *Request) time.Duration {
	held := make(map[*upstream]int)
	for _, g := range s.onlineGrants {
		held[g.upstream] += g.tokens
	}
	for _, g := range s.onlineGrants { // oldest first
		u := g.upstream
		held[u] -= g.tokens
		if u.eligible(now, r) && p.upstreams[u.ID] == u && held[u]+u.need(r) <= u.capacity {
			return max(s.meanHold-now.Sub(g.since), 0)
		}
	}
	return s.meanHold
}

// RoomLoad is what the requests of a service hold at its upstreams, in tokens; Capacity is 0 if it isn't known. Waiting
// is what those that wait need, and Reservations is how often an upstream was reserved for a large request.
type RoomLoad struct {
	Held, Capacity, Waiting int
	Reservations            int
}

// room returns what the requests of the service hold.
func (s *service) room() RoomLoad {
	l := RoomLoad{Reservations: s.reservations}
	if s.tokenCapacity == 0 {
		return l
	}
	l.Held, l.Capacity, l.Waiting = s.held, s.allTokens, s.online.tokens+s.batch.tokens
	return l
}
