package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mothcart/core/poison"
	"mothcart/core/site"
)

// Pool holds slots, grants and waiting requests. It is mutable and not safe for concurrent use.
type Pool struct {
	opts      Options
	upstreams map[string]*upstream
	services  map[string]*service
	grants    map[Key]*grant
	// byOwner holds the grants of each owner, by the ID of the request.
	byOwner map[string]map[uint64]*grant
	judge   *poison.Judge
	// trials are the grants that decide about suspected parts or requests.
	trials map[*grant]struct{}
	// aloneNodes is the number of nodes that share the rates of upstreams with this one; 0 means that none does.
	// aloneLevel spreads their requests.
	aloneNodes int
	aloneLevel func() float64
	// momentary are the upstreams that have lately named their pace, by the time at which that ends.
	momentary []momentary
	crossings Crossings
	accounts  accountState
}

// NewPool returns a pool without upstreams.
func NewPool(opts Options) *Pool {
	return &Pool{
		opts:      opts,
		upstreams: make(map[string]*upstream),
		services:  make(map[string]*service),
		grants:    make(map[Key]*grant),
		byOwner:   make(map[string]map[uint64]*grant),
		judge:     poison.NewJudge(),
		trials:    make(map[*grant]struct{}),
	}
}

func (p *Pool) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{name: name, meanHold: p.opts.HoldTime, batchByVersion: make(map[string]int)}
		s.online.shares = &s.shares
		s.online.need, s.batch.need = s.need, s.need
		p.services[name] = s
	}
	return s
}

// SetUpstreams replaces the upstreams. A new incarnation of an upstream starts without grants; the
// grants of a removed upstream stay until they are released. Waiting requests that are bound to a software
// version of which no upstream is left are refused.
func (p *Pool) SetUpstreams(now time.Time, list []site.Upstream) Outcome {
	if p.accounts.startedAt.IsZero() {
		p.accounts.startedAt = now
	}
	old := p.upstreams
	p.upstreams = make(map[string]*upstream, len(list))
	for _, s := range p.services {
		s.upstreams, s.draining, s.index, s.slots, s.allSlots = nil, nil, index{turn: s.index.turn}, 0, 0
	}
	for _, u := range old {
		u.listed = false
	}
	for _, u := range list {
		state := old[u.ID]
		if state == nil || !state.sameRun(u) {
			state = &upstream{}
		}
		state.Upstream, state.listed = u, true
		p.upstreams[u.ID] = state
		s := p.service(u.Service)
		s.upstreams = append(s.upstreams, state)
		s.allSlots += u.Slots
	}
	for _, s := range p.services {
		slices.SortFunc(s.upstreams, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
		for _, u := range s.upstreams {
			if u.Draining {
				s.draining = append(s.draining, u)
				continue
			}
			s.index.insert(now, u, p.opts)
			s.index.version(u.Version).slots += u.Slots
			s.slots += u.Slots
		}
		s.index.sort()
		s.countLimited()
		s.countOutliers()
		p.countRoom(s)
		s.online.markScarce(s.isScarce)
	}
	out := p.refuseAbandoned(now)
	out.add(p.serveAll(now))
	return out
}

// update changes the state of an upstream. An upstream that was removed or replaced has grants, but is in no
// index.
func (p *Pool) update(now time.Time, u *upstream, change func()) {
	indexed := !u.Draining && p.upstreams[u.ID] == u
	s := p.service(u.Service)
	if indexed {
		s.index.remove(u)
	}
	change()
	if indexed {
		s.index.insert(now, u, p.opts)
	}
}

// Ask grants a slot, queues the request, or refuses it. A request whose key is in the pool is ignored.
func (p *Pool) Ask(now time.Time, r Request) Outcome {
	if p.has(r.Key) {
		return Outcome{}
	}
	out := p.settle(now)
	out.add(p.ask(now, r))
	return out
}

// ask is Ask without a look at what is due.
func (p *Pool) ask(now time.Time, r Request) Outcome {
	s := p.service(r.Service)
	if !p.bind(now, &r) {
		refusal := Refusal{Request: r, Reason: ReasonUnknownVersion, RetryAfter: p.retryAfter(now, s, r, 0)}
		return Outcome{Refused: []Refusal{refusal}}
	}
	if refusal, ok := p.RefuseQuarantined(now, &r); ok {
		return Outcome{Refused: []Refusal{refusal}}
	}
	if refusal, ok := p.refuseTooLarge(s, &r); ok {
		return Outcome{Refused: []Refusal{refusal}}
	}
	if r.Batch {
		if refusal, ok := p.refuseVersion(now, s, &r); ok {
			return Outcome{Refused: []Refusal{refusal}}
		}
		p.stand(&r)
		r.late = s.remaining(r, 0) > r.Order.Sub(now)
		s.batch.push(&grant{request: r})
		return p.serve(now, s)
	}
	if refusal, ok := p.charge(now, &r); ok {
		return Outcome{Refused: []Refusal{refusal}}
	}
	s.countArrival(now)
	r.late, r.scarce = r.missesObjective(now), s.isScarce(r)
	p.rank(now, s, &r)
	g := &grant{request: r}
	s.online.push(g)
	out := p.serve(now, s)
	if s.online.has(r.Key) {
		if refusal, ok := p.refuse(now, s, g); ok {
			p.refund(now, &g.request)
			s.online.remove(r.Key)
			out.Refused = append(out.Refused, refusal)
		}
	}
	return out
}

func (p *Pool) has(k Key) bool {
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

// Adopt records a grant that another pool has made, such as that of the previous home.
func (p *Pool) Adopt(now time.Time, r Request, upstreamID string) {
	u := p.upstreams[upstreamID]
	if u == nil || p.has(r.Key) {
		return
	}
	p.stand(&r)
	p.addGrant(now, &grant{request: r, adopted: true}, u)
}

// Release frees the slot that the request holds, or removes the request from the queue.
func (p *Pool) Release(now time.Time, k Key, result Result) Outcome {
	g, ok := p.grants[k]
	if !ok {
		for _, s := range p.services {
			if s.online.has(k) {
				p.refundWaiting(now, k.Owner, func(id uint64) bool { return id == k.ID })
			}
			s.online.remove(k)
			s.batch.remove(k)
		}
		return Outcome{}
	}
	p.removeGrant(now, g)
	p.update(now, g.upstream, func() { g.upstream.recordResult(now, result, p.opts) })
	s := p.service(g.request.Service)
	if result == Served || result == Failed {
		s.updateMeanHold(g.request, now.Sub(g.since))
		p.learnPace(now, s, g)
	}
	out := p.settle(now)
	out.add(p.judgeResult(now, g, result))
	out.add(p.countError(now, g, result))
	out.add(p.serve(now, s))
	return out
}

// Silence records that the upstream at which a request holds a slot sends nothing, or that it goes on. A silent
// upstream is paused like one whose requests fail; its pause ends when it goes on.
func (p *Pool) Silence(now time.Time, k Key, silent bool) Outcome {
	g, ok := p.grants[k]
	if !ok {
		return Outcome{}
	}
	result := Served
	if silent {
		result = Broken
	}
	p.update(now, g.upstream, func() { g.upstream.recordResult(now, result, p.opts) })
	return p.serve(now, p.service(g.request.Service))
}

// DropOwner releases all slots and waiting requests of a VM whose process or connection has ended.
func (p *Pool) DropOwner(now time.Time, owner string) Outcome {
	for _, g := range p.byOwner[owner] {
		p.removeGrant(now, g)
	}
	p.refundWaiting(now, owner, func(uint64) bool { return true })
	p.left(now, owner)
	for _, s := range p.services {
		s.online.removeOwner(owner)
		s.batch.removeOwner(owner)
	}
	return p.serveAll(now)
}

// Reconcile releases the grants of an owner whose requests are not open there, and removes such requests
// from the queue. It returns the keys of both.
func (p *Pool) Reconcile(now time.Time, owner string, open func(id uint64) bool) ([]Key, Outcome) {
	var dropped []Key
	for id, g := range p.byOwner[owner] {
		if !open(id) {
			dropped = append(dropped, g.request.Key)
			p.removeGrant(now, g)
		}
	}
	p.refundWaiting(now, owner, func(id uint64) bool { return !open(id) })
	for _, s := range p.services {
		for _, l := range []*waitList{&s.online, &s.batch} {
			if !l.hasOwner(owner) {
				continue
			}
			closed := l.removeIf(func(r Request) bool { return r.Key.Owner == owner && !open(r.Key.ID) })
			for _, r := range closed {
				dropped = append(dropped, r.Key)
			}
		}
	}
	if len(dropped) == 0 {
		return nil, Outcome{}
	}
	return dropped, p.serveAll(now)
}

// Report applies an upstream's load report: its running and waiting requests of all VMs. Unless
// Options.TrustReports is set, only a report with waiting requests counts. If the pool had granted all
// requests, none would wait inside the upstream; a waiting one shows that slots are used by requests that
// the pool doesn't have, such as those of a process that has disappeared.
func (p *Pool) Report(now time.Time, upstreamID string, running, waiting int) {
	u := p.upstreams[upstreamID]
	if u == nil || (!p.opts.TrustReports && waiting == 0) {
		return
	}
	p.update(now, u, func() {
		u.otherRequests = max(running+waiting-u.used, 0)
		u.reportedAt = now
	})
}

// Tick refuses requests whose wait has expired and grants slots of upstreams whose pause has ended.
func (p *Pool) Tick(now time.Time) Outcome {
	out := p.settle(now)
	out.add(p.serveAll(now))
	for _, s := range p.services {
		s.online.demote(func(r Request) bool { return r.missesObjective(now) })
		out.Refused = append(out.Refused, p.refuseOvertaken(now, s)...)
		for _, r := range s.online.expired(now) {
			p.refund(now, &r)
			if r.late && r.standing.level == 0 && r.Deadline.After(r.Objective) {
				s.refuseLateUntil = now.Add(refuseLateTime)
			}
			out.Refused = append(out.Refused, Refusal{Request: r, Reason: ReasonWaited, RetryAfter: p.retryAfter(now, s, r, 0)})
		}
	}
	return out
}

// refuseLateTime is how long late requests are refused at once after a late request has waited without
// getting a slot; a wave of callers lasts a few seconds.
const refuseLateTime = 4 * time.Second

// Waiting reports whether any request waits.
func (p *Pool) Waiting() bool {
	for _, s := range p.services {
		if len(s.online.items)+len(s.batch.items) > 0 {
			return true
		}
	}
	return false
}

// Load is the usage of a service's slots.
type Load struct {
	Slots, Online, Batch        int
	WaitingOnline, WaitingBatch int
	Upstreams, PausedUpstreams  int
	// Reserve is the number of free slots that batch leaves for online requests.
	Reserve int
	// Limited is the number of upstreams that name a rate.
	Limited int
	Room    RoomLoad
}

// Load returns the usage of a service's slots. It looks at few of the upstreams, since each refusal is logged with it.
func (p *Pool) Load(now time.Time, name string) Load {
	s := p.service(name)
	l := Load{
		Slots: s.allSlots, Online: len(s.onlineGrants), Batch: len(s.batchGrants),
		WaitingOnline: len(s.online.items), WaitingBatch: len(s.batch.items), Upstreams: len(s.upstreams), Reserve: p.reserve(now, s), Limited: s.limited, Room: s.room(),
	}
	l.PausedUpstreams = s.index.paused(now) + countPaused(now, s.draining)
	return l
}

func (p *Pool) serveAll(now time.Time) Outcome {
	var out Outcome
	for _, s := range p.sortedServices() {
		out.add(p.serve(now, s))
	}
	return out
}

// sortedServices returns the services in a fixed order.
func (p *Pool) sortedServices() []*service {
	return slices.SortedFunc(maps.Values(p.services), func(a, b *service) int { return cmp.Compare(a.name, b.name) })
}
