package slot

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mothcart/core/site"
)

// Pool holds slots, grants and waiting requests. It is one live value, not safe for concurrent use.
type Pool struct {
	opts      Options
	upstreams map[string]*upstream
	services  map[string]*service
	grants    map[Key]*grant
}

type service struct {
	name      string
	upstreams []*upstream
	online    waitList
	batch     waitList
	// onlineGrants and batchGrants are the slots in use, oldest first.
	onlineGrants, batchGrants []*grant
	// hold is the moving mean of the time that online requests hold a slot.
	hold time.Duration
	// batchHold is the same of batch items that run as a whole; 0 until one did.
	batchHold time.Duration
	// lateClosedUntil is until when requests that missed their objective are refused at once.
	lateClosedUntil time.Time
	// returnsUntil is until when refused callers have been given places to return at.
	returnsUntil time.Time
	// rate is the moving mean of online requests a second, as of rateAt.
	rate   float64
	rateAt time.Time
	// onlineMean is the moving mean of the slots of online requests, as of observedAt; onlineCount is
	// their number since then.
	onlineMean  float64
	onlineCount int
	observedAt  time.Time
	// plannedAt is when it was decided last which batch items will be late.
	plannedAt time.Time
}

// rateWindow is the time over which the rate of online requests is averaged.
const rateWindow = time.Second

// countArrival takes an online request up in the rate.
func (s *service) countArrival(now time.Time) {
	s.rate = s.rateNow(now) + 1/rateWindow.Seconds()
	s.rateAt = now
}

// rateNow returns the rate, which decays while nothing arrives.
func (s *service) rateNow(now time.Time) float64 {
	return s.rate * math.Exp(-now.Sub(s.rateAt).Seconds()/rateWindow.Seconds())
}

// slots returns the number of slots of the upstreams that don't leave.
func (s *service) slots() int {
	n := 0
	for _, u := range s.upstreams {
		if !u.Draining {
			n += u.Slots
		}
	}
	return n
}

// NewPool returns a pool without upstreams.
func NewPool(opts Options) *Pool {
	return &Pool{
		opts:      opts,
		upstreams: make(map[string]*upstream),
		services:  make(map[string]*service),
		grants:    make(map[Key]*grant),
	}
}

func (p *Pool) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{name: name, hold: p.opts.HoldTime}
		p.services[name] = s
	}
	return s
}

// SetUpstreams replaces the upstreams. A new incarnation of an upstream starts without grants; the
// grants of one that is gone stay until they are released.
func (p *Pool) SetUpstreams(now time.Time, list []site.Upstream) Outcome {
	old := p.upstreams
	p.upstreams = make(map[string]*upstream, len(list))
	for _, s := range p.services {
		s.upstreams = nil
	}
	for _, u := range list {
		state := old[u.ID]
		if state == nil || state.Upstream.Incarnation != u.Incarnation || state.Upstream.Address != u.Address {
			state = &upstream{}
		}
		state.Upstream = u
		p.upstreams[u.ID] = state
		s := p.service(u.Service)
		s.upstreams = append(s.upstreams, state)
	}
	for _, s := range p.services {
		slices.SortFunc(s.upstreams, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return p.serveAll(now)
}

// Ask grants a slot, lets the request wait, or refuses it. A key that is known already is ignored.
func (p *Pool) Ask(now time.Time, r Request) Outcome {
	if p.known(r.Key) {
		return Outcome{}
	}
	s := p.service(r.Service)
	if r.Batch {
		r.late = s.left(r, 0) > r.Order.Sub(now)
		s.batch.push(r)
		return p.serve(now, s)
	}
	s.countArrival(now)
	r.late = r.missesObjective(now)
	s.online.push(r)
	out := p.serve(now, s)
	if s.online.has(r.Key) {
		if refusal, ok := p.refuse(now, s, r); ok {
			s.online.remove(r.Key)
			out.Refused = append(out.Refused, refusal)
		}
	}
	return out
}

func (p *Pool) known(k Key) bool {
	if _, ok := p.grants[k]; ok {
		return true
	}
	for _, s := range p.services {
		if s.online.has(k) || s.batch.has(k) {
			return true
		}
	}
	return false
}

// Adopt counts a grant that was made elsewhere, such as by the home before this one.
func (p *Pool) Adopt(now time.Time, r Request, upstreamID string) {
	u := p.upstreams[upstreamID]
	if u == nil || p.known(r.Key) {
		return
	}
	p.hold(now, r, u)
}

// Release ends the use of a slot, or the wait for one.
func (p *Pool) Release(now time.Time, k Key, result Result) Outcome {
	g, ok := p.grants[k]
	if !ok {
		for _, s := range p.services {
			s.online.remove(k)
			s.batch.remove(k)
		}
		return Outcome{}
	}
	p.drop(g)
	g.upstream.note(now, result, p.opts)
	s := p.service(g.request.Service)
	if result == Served {
		s.learnHold(g.request, now.Sub(g.since))
	}
	return p.serve(now, s)
}

// learnHold takes up for how long a request that was served has held slots. Of a batch item all attempts
// count, since in waves of callers few items run in one; of an online request only a whole run does.
func (s *service) learnHold(r Request, held time.Duration) {
	switch {
	case r.Batch && s.batchHold == 0:
		s.batchHold = held + r.Ran
		s.plannedAt = time.Time{} // now there is something to plan by
	case r.Batch:
		s.batchHold += (held + r.Ran - s.batchHold) / holdWeight
	case r.Ran == 0:
		s.hold += (held - s.hold) / holdWeight
	}
}

// holdWeight is the number of requests over which the mean hold time moves.
const holdWeight = 32

// DropOwner releases all that a VM has, since its process or the connection to it ended.
func (p *Pool) DropOwner(now time.Time, owner string) Outcome {
	for _, g := range p.grants {
		if g.request.Key.Owner == owner {
			p.drop(g)
		}
	}
	for _, s := range p.services {
		s.online.removeOwner(owner)
		s.batch.removeOwner(owner)
	}
	return p.serveAll(now)
}

// Report counts what an upstream says of its load: running and waiting requests of all VMs. Unless
// all reports are trusted, only one with waiting requests counts: where a pool knows all requests
// nothing waits inside an upstream, so that others use its slots, such as requests of a process that
// has vanished.
func (p *Pool) Report(now time.Time, upstreamID string, running, waiting int) {
	u := p.upstreams[upstreamID]
	if u == nil || (!p.opts.TrustReports && waiting == 0) {
		return
	}
	u.others = max(running+waiting-u.used, 0)
	u.reported = now
}

// Tick ends waits that are over and serves upstreams whose pause is over.
func (p *Pool) Tick(now time.Time) Outcome {
	out := p.serveAll(now)
	for _, s := range p.services {
		s.online.demote(func(r Request) bool { return r.missesObjective(now) })
		for _, r := range s.online.expired(now) {
			if r.late && r.Deadline.After(r.Objective) {
				s.lateClosedUntil = now.Add(lateClosure)
			}
			out.Refused = append(out.Refused, Refusal{Request: r, Reason: ReasonWaited, RetryAfter: p.retryAfter(now, s, r, 0)})
		}
	}
	return out
}

// lateClosure is how long late requests are refused at once after one has waited in vain; a wave of
// callers lasts a few seconds.
const lateClosure = 4 * time.Second

// Waiting reports that any request waits.
func (p *Pool) Waiting() bool {
	for _, s := range p.services {
		if len(s.online.items)+len(s.batch.items) > 0 {
			return true
		}
	}
	return false
}

// Load is the use of a service's slots.
type Load struct {
	Slots, Online, Batch        int
	WaitingOnline, WaitingBatch int
	Upstreams, PausedUpstreams  int
	// Reserve is the number of free slots that batch leaves.
	Reserve int
}

// Load returns the use of a service's slots.
func (p *Pool) Load(now time.Time, name string) Load {
	s := p.service(name)
	l := Load{
		Online: len(s.onlineGrants), Batch: len(s.batchGrants),
		WaitingOnline: len(s.online.items), WaitingBatch: len(s.batch.items), Upstreams: len(s.upstreams), Reserve: p.reserve(now, s),
	}
	for _, u := range s.upstreams {
		l.Slots += u.Slots
		if u.paused(now) {
			l.PausedUpstreams++
		}
	}
	return l
}

func (p *Pool) serveAll(now time.Time) Outcome {
	var out Outcome
	names := make([]string, 0, len(p.services))
	for name := range p.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		out.add(p.serve(now, p.services[name]))
	}
	return out
}

// serve gives free slots to waiting requests, and slots of batch to waiting online requests.
func (p *Pool) serve(now time.Time, s *service) Outcome {
	var out Outcome
	s.observe(now)
	defer s.observe(now)
	p.plan(now, s)
	free := 0
	if len(s.online.items)+len(s.batch.items) > 0 {
		free = p.free(now, s)
	}
	s.online.take(func(r Request) bool {
		var u *upstream
		if free > 0 {
			u = p.pick(now, s, r)
		}
		if u != nil {
			free--
		} else {
			victim := p.victim(now, s, r)
			if victim == nil {
				return false
			}
			p.drop(victim)
			out.Cut = append(out.Cut, Grant{Request: victim.request, Upstream: victim.upstream.Upstream})
			u = victim.upstream
		}
		p.hold(now, r, u)
		out.Granted = append(out.Granted, Grant{Request: r, Upstream: u.Upstream})
		return true
	})
	if len(s.batch.items) == 0 {
		return out
	}
	spare := free - p.reserve(now, s)
	s.batch.take(func(r Request) bool {
		if spare <= 0 {
			return false
		}
		u := p.pick(now, s, r)
		if u == nil {
			return false
		}
		spare--
		p.hold(now, r, u)
		out.Granted = append(out.Granted, Grant{Request: r, Upstream: u.Upstream})
		return true
	})
	return out
}

// reserve returns the number of free slots that batch leaves for online requests that are about to
// arrive.
func (p *Pool) reserve(now time.Time, s *service) int {
	return int(s.rateNow(now) * p.opts.ArrivalReserve.Seconds())
}

// free returns the number of slots that a request can get now.
func (p *Pool) free(now time.Time, s *service) int {
	n := 0
	for _, u := range s.upstreams {
		n += u.free(now, p.opts)
	}
	return n
}

// pick returns the upstream with a free slot that suits the request best, or nil.
func (p *Pool) pick(now time.Time, s *service, r Request) *upstream {
	var best *upstream
	for _, u := range s.upstreams {
		if !u.takes(now, r, p.opts) {
			continue
		}
		if best == nil || u.better(best, now, r, p.opts) {
			best = u
		}
	}
	return best
}

// compare puts those first that are served first.
func compare(a, b Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareLate(a.late, b.late),
		compareOnTime(a, b),
	)
}

// compareOnTime is the order of requests of which none is late, or all are.
func compareOnTime(a, b Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.Order.Compare(b.Order),
		cmp.Compare(a.Key.ID, b.Key.ID),
		cmp.Compare(a.Key.Owner, b.Key.Owner),
	)
}

func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
