package slot

import (
	"time"

	"mothcart/core/quota"
	"mothcart/core/site"
)

// accountState is what a Pool knows of the limits of accounts.
type accountState struct {
	// startedAt is when the pool learned of upstreams first.
	startedAt time.Time
	// limiter is nil until a request of an account with a limit arrives.
	limiter *quota.Limiter
	// aloneNodes is the number of nodes that share the limits with this one if alone is set; 0 means not known.
	alone      bool
	aloneNodes int
	// expected is the number of nodes with requests of accounts at the previous home; 0 means not known.
	expected int
}

// limiter returns the limiter of accounts.
func (p *Pool) limiter(now time.Time) *quota.Limiter {
	a := &p.accounts
	if a.limiter != nil {
		return a.limiter
	}
	if a.startedAt.IsZero() {
		a.startedAt = now
	}
	a.limiter = quota.NewLimiter(a.startedAt, quota.DefaultTolerance(), p.opts.Random)
	if a.expected > 0 {
		a.limiter.Expect(a.startedAt, a.expected)
	}
	if a.alone {
		a.limiter.Alone(now, a.aloneNodes)
	}
	return a.limiter
}

// limitOf returns the account whose limit holds for requests with its name, and false if there is none.
func (p *Pool) limitOf(name string) (site.Account, bool) {
	if name == "" {
		return site.Account{}, false
	}
	a, ok := p.opts.Account(name)
	return a, ok && a.Limited()
}

// charge takes the token of an online request, or returns its refusal, and true, if its account has used up its limit.
func (p *Pool) charge(now time.Time, r *Request) (Refusal, bool) {
	if r.Batch || r.Charged {
		return Refusal{}, false
	}
	a, ok := p.limitOf(r.Account)
	if !ok {
		return Refusal{}, false
	}
	v := p.limiter(now).Take(now, a, quota.Ask{
		Owner: r.Key.Owner, Identity: r.Identity, Latest: time.Duration(float64(r.Order.Sub(now)) * maxRetryShare),
		Step: float64(r.Key.ID%retrySteps) / retrySteps,
	})
	if !v.OK {
		return Refusal{Request: *r, Reason: ReasonOverLimit, RetryAfter: max(v.RetryAfter, p.opts.MinRetryAfter)}, true
	}
	r.holdsToken = true
	return Refusal{}, false
}

// refund gives back the token of a request that leaves the pool without a slot.
func (p *Pool) refund(now time.Time, r *Request) {
	if !r.holdsToken {
		return
	}
	r.holdsToken = false
	if a, ok := p.limitOf(r.Account); ok {
		p.limiter(now).Refund(now, a, r.Key.Owner)
	}
}

// refundWaiting gives back the tokens of the waiting requests of an owner for which leaves is true.
func (p *Pool) refundWaiting(now time.Time, owner string, leaves func(id uint64) bool) {
	if p.accounts.limiter == nil {
		return
	}
	for _, s := range p.services {
		if !s.online.hasOwner(owner) {
			continue
		}
		for _, g := range s.online.items {
			if g.request.Key.Owner == owner && leaves(g.request.Key.ID) {
				p.refund(now, &g.request)
			}
		}
	}
}

// ChargeAlone takes the token of a request that the home doesn't limit from this node's part of the account's limit. It
// returns the request, or its refusal and true.
func (p *Pool) ChargeAlone(now time.Time, r Request) (Request, Refusal, bool) {
	if !p.accounts.alone {
		p.LimitAlone(now, p.accounts.aloneNodes)
	}
	refusal, refused := p.charge(now, &r)
	r.Charged = r.Charged || r.holdsToken
	return r, refusal, refused
}

// Refund gives back the token of a request that ChargeAlone charged and that got no slot.
func (p *Pool) Refund(now time.Time, r Request) { p.refund(now, &r) }

// LimitAlone begins a phase in which this node limits accounts alone, as one of a number of nodes.
func (p *Pool) LimitAlone(now time.Time, nodes int) {
	p.accounts.alone, p.accounts.aloneNodes = true, nodes
	if l := p.accounts.limiter; l != nil {
		l.Alone(now, nodes)
	}
}

// ExpectNodes sets the number of nodes with requests of accounts at the previous home.
func (p *Pool) ExpectNodes(now time.Time, nodes int) {
	p.accounts.startedAt, p.accounts.expected = now, nodes
}

// Joined records that a node has connected; asks reports that it has had requests of accounts.
func (p *Pool) Joined(now time.Time, owner string, asks bool) {
	if asks || p.accounts.limiter != nil {
		p.limiter(now).Joined(owner, asks)
	}
}

// left records that the connection of a node has ended.
func (p *Pool) left(now time.Time, owner string) {
	if l := p.accounts.limiter; l != nil {
		l.Left(now, owner)
	}
}

// AskingNodes returns the number of nodes with requests of accounts.
func (p *Pool) AskingNodes(now time.Time) int {
	if l := p.accounts.limiter; l != nil {
		return l.Asking(now)
	}
	return 0
}

// Standing returns what the node that asked for a request of an account should know, and false if it has no limit.
func (p *Pool) Standing(now time.Time, name, owner string) (quota.Standing, bool) {
	a, ok := p.limitOf(name)
	if !ok {
		return quota.Standing{}, false
	}
	return p.limiter(now).Standing(now, a, owner), true
}

// LearnStanding records what the home said with its answer to a request of an account; granted reports that the request
// got a slot.
func (p *Pool) LearnStanding(now time.Time, name string, s quota.Standing, granted bool) {
	p.limiter(now).Learn(now, name, s, granted)
}

// TrackedAccounts returns the number of accounts of which there is a state.
func (p *Pool) TrackedAccounts() int {
	if l := p.accounts.limiter; l != nil {
		return l.Tracked()
	}
	return 0
}

// LimitRefusals returns the requests refused for the limit of their account since the last call, by account.
func (p *Pool) LimitRefusals() map[string]int {
	if l := p.accounts.limiter; l != nil {
		return l.Refusals()
	}
	return nil
}
