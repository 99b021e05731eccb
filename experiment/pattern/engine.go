package pattern

import (
	"slices"
	"time"

	"mothcart/core/slot"
)

// enqueue adds a request to the queue of an engine, unless the engine is down or its queue is full.
func (s *sim) enqueue(e *engine, r *request) {
	switch {
	case !e.up:
		s.fail(r, slot.Unreachable)
	case len(e.running)+len(e.queue) >= 2*e.upstream.Slots:
		s.fail(r, slot.Full)
	default:
		e.queue = append(e.queue, r)
		s.startQueued(e)
	}
}

// startQueued starts queued requests of an engine while it has free slots.
func (s *sim) startQueued(e *engine) {
	for e.up && len(e.queue) > 0 && len(e.running) < e.upstream.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		r.running, r.startedAt = true, s.clock.Now()
		r.runs++
		if r.firstAt == 0 {
			r.firstAt = s.clock.Now()
			if r.kind.name == askKind.name {
				s.askWaits = append(s.askWaits, s.clock.Now()-r.arrived)
			}
		}
		s.observePace(e, r)
		key := r.key
		s.clock.After(e.pace.duration(s.clock.Now(), r.remaining), func() {
			if r.running && r.key == key {
				s.finish(e, r)
			}
		})
	}
}

// finish completes a request; the answer reports the load of the engine.
func (s *sim) finish(e *engine, r *request) {
	r.running, r.engine, r.doneAt = false, nil, s.clock.Now()
	delete(s.open, r.key)
	e.remove(r)
	s.startQueued(e)
	running, waiting := len(e.running), len(e.queue)
	key := r.key
	s.clock.After(hop, func() {
		s.strategy.report(r.entry, e.upstream.ID, running, waiting)
		s.strategy.release(key, slot.Served)
	})
}

func (e *engine) remove(r *request) {
	same := func(other *request) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
}

// fail ends an attempt; the request asks for another slot if its attempts and its deadline allow. After any
// result but slot.Full it excludes the upstream.
func (s *sim) fail(r *request, result slot.Result) {
	e, key := r.engine, r.key
	s.stop(r)
	s.clock.After(hop, func() {
		s.strategy.release(key, result)
		if result != slot.Full {
			r.excluded = append(r.excluded, e.upstream.ID)
		}
		late := !r.kind.batch && s.clock.Now() > r.arrived+r.kind.deadline
		if s.entriesUp && !late && (r.kind.batch || r.runs < attempts) {
			s.ask(r)
		}
	})
}

// loseEngines schedules the crash of a third of the engines at the time at and their return after length.
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
	s.clock.After(at+lossDetection, func() { s.strategy.setUpstreams(s.upstreams()) })
	s.clock.After(at+length, func() {
		for _, e := range lost {
			e.up = true
		}
		s.strategy.setUpstreams(s.upstreams())
	})
}

// loseEntries schedules the stop of all entries at the time at and their return after length. The open
// requests of the entries end, clients retry after random pauses, and batch items ask again once the entries
// are back.
func (s *sim) loseEntries(at, length time.Duration) {
	s.clock.After(at, func() {
		s.entriesUp = false
		for _, r := range s.openInOrder() {
			key := r.key
			s.stop(r)
			s.strategy.release(key, slot.Abandoned)
			if r.kind.batch {
				s.clock.After(length, func() { s.ask(r) })
				continue
			}
			s.retryLater(r, clientPause+time.Duration(s.random.Float64()*float64(clientPause)))
		}
	})
	s.clock.After(at+length, func() { s.entriesUp = true })
}

// loseHome schedules the stop of the home at the time at; the next home takes over after the takeover time.
func (s *sim) loseHome(at time.Duration) {
	s.clock.After(at, s.strategy.loseHome)
	s.clock.After(at+takeover, s.strategy.regainHome)
}

// openInOrder returns the open requests in order of arrival, so that runs are repeatable.
func (s *sim) openInOrder() []*request {
	var list []*request
	for _, r := range s.all {
		if s.open[r.key] == r {
			list = append(list, r)
		}
	}
	return list
}
