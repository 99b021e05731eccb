package pattern

import (
	"time"

	"mothcart/core/site"
	"mothcart/core/slot"
)

// way shares the slots among the fronts.
type way struct {
	name         string
	setUpstreams func(list []site.Upstream)
	ask          func(front int, r slot.Request)
	release      func(k slot.Key, result slot.Result)
	report       func(front int, upstreamID string, running, waiting int)
	loseHome     func()
	regainHome   func()
}

// tick is the time between looks at waits that may be over.
const tick = 20 * time.Millisecond

// desk is a pool in the simulation.
type desk struct {
	s       *sim
	pool    *slot.Pool
	ticking bool
	// delay is the time of the pool's answers to the fronts.
	delay time.Duration
}

func (s *sim) newDesk(trust bool, delay time.Duration) *desk {
	return &desk{s: s, pool: slot.NewPool(slot.NewOptions().WithReports(trust)), delay: delay}
}

// tell passes the outcome of an event on; cuts come first.
func (d *desk) tell(out slot.Outcome) {
	for _, g := range out.Preempted {
		d.send(func() { d.s.cut(g.Request.Key) })
	}
	for _, g := range out.Granted {
		d.send(func() { d.s.granted(g) })
	}
	for _, r := range out.Refused {
		d.send(func() { d.s.refused(r) })
	}
	if d.pool.Waiting() && !d.ticking {
		d.ticking = true
		d.s.clock.After(tick, func() {
			d.ticking = false
			d.tell(d.pool.Tick(d.s.now()))
		})
	}
}

func (d *desk) send(do func()) {
	if d.delay == 0 {
		do()
		return
	}
	d.s.result.Messages++
	d.s.clock.After(d.delay, do)
}

// frontDesks are pools of the fronts' own.
type frontDesks struct {
	s     *sim
	desks []*desk
	// owner holds the front of each request.
	owner map[slot.Key]int
}

func (s *sim) newFrontDesks(trust bool) frontDesks {
	f := frontDesks{s: s, desks: make([]*desk, s.opts.Fronts), owner: map[slot.Key]int{}}
	for i := range f.desks {
		f.desks[i] = s.newDesk(trust, 0)
	}
	return f
}

func (f frontDesks) ask(front int, r slot.Request) {
	f.owner[r.Key] = front
	f.desks[front].tell(f.desks[front].pool.Ask(f.s.now(), r))
}

func (f frontDesks) release(k slot.Key, result slot.Result) {
	d := f.desks[f.owner[k]]
	delete(f.owner, k)
	d.tell(d.pool.Release(f.s.now(), k, result))
}

// alone lets each front decide by what it does itself and what upstreams report.
func (s *sim) alone() way {
	f := s.newFrontDesks(true)
	return way{
		name: "alone",
		setUpstreams: func(list []site.Upstream) {
			for _, d := range f.desks {
				d.tell(d.pool.SetUpstreams(s.now(), list))
			}
		},
		ask: f.ask, release: f.release,
		report: func(front int, id string, running, waiting int) {
			f.desks[front].pool.Report(s.now(), id, running, waiting)
		},
		loseHome: func() {}, regainHome: func() {},
	}
}

// grants lets a home decide for all; without one the fronts decide alone.
func (s *sim) grants() way {
	home, alone := s.newDesk(false, hop), s.alone()
	var upstreams []site.Upstream
	lost := false
	atHome := map[slot.Key]bool{}
	return way{
		name: "a grant for each attempt",
		setUpstreams: func(list []site.Upstream) {
			upstreams = list
			alone.setUpstreams(list)
			home.tell(home.pool.SetUpstreams(s.now(), list))
		},
		ask: func(front int, r slot.Request) {
			if lost {
				alone.ask(front, r)
				return
			}
			atHome[r.Key] = true
			s.toHome(func() { home.tell(home.pool.Ask(s.now(), r)) })
		},
		release: func(k slot.Key, result slot.Result) {
			if !atHome[k] {
				alone.release(k, result)
			}
			delete(atHome, k)
			s.toHome(func() { home.tell(home.pool.Release(s.now(), k, result)) })
		},
		report: func(front int, id string, running, waiting int) { alone.report(front, id, running, waiting) },
		loseHome: func() {
			lost = true
			for _, r := range s.openInOrder() {
				if r.engine == nil { // its question is lost; the front decides itself
					delete(s.open, r.key)
					s.ask(r)
				}
			}
		},
		regainHome: func() {
			lost = false
			home.pool = slot.NewPool(slot.NewOptions())
			home.tell(home.pool.SetUpstreams(s.now(), upstreams))
			for _, r := range s.openInOrder() {
				if r.engine != nil {
					home.pool.Adopt(s.now(), slot.Request{Key: r.key, Service: "s", Batch: r.kind.batch, Priority: r.kind.priority, Order: epoch.Add(r.arrived + r.kind.objective)}, r.engine.upstream.ID)
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
