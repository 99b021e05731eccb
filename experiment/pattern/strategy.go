package pattern

import (
	"time"

	"mothcart/core/site"
	"mothcart/core/slot"
)

// strategy shares the slots of the upstreams among the entries.
type strategy struct {
	name         string
	setUpstreams func(list []site.Upstream)
	ask          func(entry int, r slot.Request)
	release      func(k slot.Key, result slot.Result)
	report       func(entry int, upstreamID string, running, waiting int)
	// pace passes on the pace that an engine names in the head of an answer; nil if the strategy doesn't use it.
	pace       func(k slot.Key, pace float64, age time.Duration)
	loseHome   func()
	regainHome func()
}

// tick is the interval at which a pool checks for expired waits.
const tick = 20 * time.Millisecond

// simPool is a slot pool in the simulation, at a home or at an entry.
type simPool struct {
	s       *sim
	pool    *slot.Pool
	ticking bool
	// delay is the one-way latency of the pool's answers to the entries; 0 for a pool at an entry.
	delay time.Duration
}

func (s *sim) newSimPool(useReports bool, delay time.Duration) *simPool {
	return &simPool{s: s, pool: slot.NewPool(slot.NewOptions().WithReports(useReports)), delay: delay}
}

// deliver passes the outcome of a call of the pool on to the simulation, preemptions first.
func (p *simPool) deliver(out slot.Outcome) {
	for _, g := range out.Preempted {
		p.send(func() { p.s.preempt(g.Request.Key) })
	}
	for _, g := range out.Granted {
		p.send(func() { p.s.granted(g) })
	}
	for _, r := range out.Refused {
		p.send(func() { p.s.refused(r) })
	}
	if p.pool.Waiting() && !p.ticking {
		p.ticking = true
		p.s.clock.After(tick, func() {
			p.ticking = false
			p.deliver(p.pool.Tick(p.s.now()))
		})
	}
}

func (p *simPool) send(do func()) {
	if p.delay == 0 {
		do()
		return
	}
	p.s.result.Messages++
	p.s.clock.After(p.delay, do)
}

// entryPools holds one pool for each entry.
type entryPools struct {
	s     *sim
	pools []*simPool
	// entryOf holds the index of the entry of each request.
	entryOf map[slot.Key]int
}

func (s *sim) newEntryPools(useReports bool) entryPools {
	e := entryPools{s: s, pools: make([]*simPool, s.opts.Entries), entryOf: map[slot.Key]int{}}
	for i := range e.pools {
		e.pools[i] = s.newSimPool(useReports, 0)
	}
	return e
}

func (e entryPools) ask(entry int, r slot.Request) {
	e.entryOf[r.Key] = entry
	e.pools[entry].deliver(e.pools[entry].pool.Ask(e.s.now(), r))
}

func (e entryPools) release(k slot.Key, result slot.Result) {
	p := e.pools[e.entryOf[k]]
	delete(e.entryOf, k)
	p.deliver(p.pool.Release(e.s.now(), k, result))
}

// aloneStrategy lets each entry decide by its own requests and the load that upstreams report.
func (s *sim) aloneStrategy() strategy {
	e := s.newEntryPools(true)
	return strategy{
		name: "alone",
		setUpstreams: func(list []site.Upstream) {
			for _, p := range e.pools {
				p.deliver(p.pool.SetUpstreams(s.now(), list))
			}
		},
		ask: e.ask, release: e.release,
		report: func(entry int, id string, running, waiting int) {
			e.pools[entry].pool.Report(s.now(), id, running, waiting)
		},
		loseHome: func() {}, regainHome: func() {},
	}
}

// grantStrategy lets a home decide for all entries; while there is no home, each entry decides alone.
func (s *sim) grantStrategy() strategy {
	home, alone := s.newSimPool(false, hop), s.aloneStrategy()
	var upstreams []site.Upstream
	lost := false
	atHome := map[slot.Key]bool{}
	return strategy{
		name: "a grant for each attempt",
		setUpstreams: func(list []site.Upstream) {
			upstreams = list
			alone.setUpstreams(list)
			home.deliver(home.pool.SetUpstreams(s.now(), list))
		},
		ask: func(entry int, r slot.Request) {
			if lost {
				alone.ask(entry, r)
				return
			}
			atHome[r.Key] = true
			s.toHome(func() {
				s.tellAll()
				home.deliver(home.pool.Ask(s.now(), r))
			})
		},
		release: func(k slot.Key, result slot.Result) {
			if !atHome[k] {
				alone.release(k, result)
			}
			delete(atHome, k)
			s.toHome(func() { home.deliver(home.pool.Release(s.now(), k, result)) })
		},
		report: func(entry int, id string, running, waiting int) { alone.report(entry, id, running, waiting) },
		pace:   func(k slot.Key, pace float64, age time.Duration) { home.pool.Pace(s.now(), k, pace, age) },
		loseHome: func() {
			lost = true
			for _, r := range s.openInOrder() {
				if r.engine == nil { // its ask was lost with the home; the entry decides
					delete(s.open, r.key)
					s.ask(r)
				}
			}
		},
		regainHome: func() {
			lost = false
			home.pool = slot.NewPool(slot.NewOptions())
			home.deliver(home.pool.SetUpstreams(s.now(), upstreams))
			for _, r := range s.openInOrder() {
				if r.engine != nil {
					home.pool.Adopt(s.now(), slot.Request{Key: r.key, Service: "s", Batch: r.kind.batch, Priority: r.kind.priority, Order: epoch.Add(r.arrived + r.kind.objective), Account: s.accountName(r)}, r.engine.upstream.ID)
				}
			}
		},
	}
}

// toHome sends a message to the home.
func (s *sim) toHome(do func()) {
	s.result.Messages++
	s.clock.After(hop, do)
}
