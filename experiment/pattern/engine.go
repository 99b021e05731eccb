package pattern

import (
	"slices"
	"time"

	"mothcart/core/slot"
)

// reach brings a request to an engine.
func (s *sim) reach(e *engine, r *request) {
	switch {
	case !e.up:
		s.fail(r, slot.Unreachable)
	case len(e.running)+len(e.queue) >= 2*e.upstream.Slots:
		s.fail(r, slot.Full)
	default:
		e.queue = append(e.queue, r)
		s.advance(e)
	}
}

// advance starts what waits inside an engine while it has room.
func (s *sim) advance(e *engine) {
	for e.up && len(e.queue) > 0 && len(e.running) < e.upstream.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		r.running, r.startedAt = true, s.clock.Now()
		r.runs++
		if r.firstAt == 0 {
			r.firstAt = s.clock.Now()
			if r.kind.name == ask.name {
				s.waits = append(s.waits, s.clock.Now()-r.arrived)
			}
		}
		key := r.key
		s.clock.After(r.remaining, func() {
			if r.running && r.key == key {
				s.finish(e, r)
			}
		})
	}
}

// finish ends a request; the answer tells the load of the engine.
func (s *sim) finish(e *engine, r *request) {
	r.running, r.engine, r.doneAt = false, nil, s.clock.Now()
	delete(s.open, r.key)
	e.remove(r)
	s.advance(e)
	running, waiting := len(e.running), len(e.queue)
	key := r.key
	s.clock.After(hop, func() {
		s.way.report(r.front, e.upstream.ID, running, waiting)
		s.way.release(key, slot.Served)
	})
}

func (e *engine) remove(r *request) {
	same := func(other *request) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
}

// fail ends an attempt; the request asks again, elsewhere, if it may.
func (s *sim) fail(r *request, result slot.Result) {
	e, key := r.engine, r.key
	s.stop(r)
	s.clock.After(hop, func() {
		s.way.release(key, result)
		if result != slot.Full {
			r.excluded = append(r.excluded, e.upstream.ID)
		}
		late := !r.kind.batch && s.clock.Now() > r.arrived+r.kind.deadline
		if s.frontsUp && !late && (r.kind.batch || r.runs < attempts) {
			s.ask(r)
		}
	})
}

// loseEngines crashes a third of the engines for a while.
func (s *sim) loseEngines(at, length time.Duration) {
	lost := s.engines[:len(s.engines)/3]
	s.clock.After(at, func() {
		for _, e := range lost {
			e.up = false
			for _, r := range slices.Concat(e.running, e.queue) {
				s.fail(r, slot.Broken)
			}
		}
	})
	s.clock.After(at+unseen, func() { s.way.setUpstreams(s.upstreams()) })
	s.clock.After(at+length, func() {
		for _, e := range lost {
			e.up = true
		}
		s.way.setUpstreams(s.upstreams())
	})
}

// loseFronts ends all fronts for a while: what they had is lost, and clients come back by and by.
func (s *sim) loseFronts(at, length time.Duration) {
	s.clock.After(at, func() {
		s.frontsUp = false
		for _, r := range s.openInOrder() {
			key := r.key
			s.stop(r)
			s.way.release(key, slot.Abandoned)
			if r.kind.batch {
				s.clock.After(length, func() { s.ask(r) })
				continue
			}
			s.comeBack(r, clientPause+time.Duration(s.random.Float64()*float64(clientPause)))
		}
	})
	s.clock.After(at+length, func() { s.frontsUp = true })
}

// loseHome ends the home; the next one takes over after a while.
func (s *sim) loseHome(at time.Duration) {
	s.clock.After(at, s.way.loseHome)
	s.clock.After(at+takeover, s.way.regainHome)
}

// openInOrder returns the open requests by their arrival, so that runs are alike.
func (s *sim) openInOrder() []*request {
	var list []*request
	for _, r := range s.all {
		if s.open[r.key] == r {
			list = append(list, r)
		}
	}
	return list
}
