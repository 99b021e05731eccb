package filling

import "time"

// takeoverTime is the time in which an engine has no home after its home was lost.
const takeoverTime = time.Second

// scheduleFaults sets the faults of an engine, at times of its own.
func (u *upstream) scheduleFaults() {
	f := u.sim.opts.Faults
	offset := func(every time.Duration) time.Duration {
		return every * time.Duration(u.index+1) / time.Duration(u.sim.opts.Engines)
	}
	if f.HomeLostEvery > 0 {
		u.sim.after(offset(f.HomeLostEvery), u.loseHome)
	}
	if f.CrashEvery > 0 {
		u.sim.after(offset(f.CrashEvery), u.crash)
	}
}

// loseHome ends the home: its streams break, and a new home that knows nothing takes over.
func (u *upstream) loseHome() {
	s := u.sim
	old := u.homes[0]
	old.dead = true
	for id := range old.running {
		delete(u.owners, id)
		u.model.Pause(s.now, id)
	}
	lost := old.lostItems()
	s.after(takeoverTime, func() {
		h := newHome(u, int(s.now/time.Second))
		h.paused = lost
		u.homes[0] = h
	})
	s.after(s.opts.Faults.HomeLostEvery, u.loseHome)
}

// lostItems returns the items that the next home runs anew.
func (h *home) lostItems() []*item {
	var lost []*item
	for _, it := range h.running {
		lost = append(lost, it)
	}
	lost = append(lost, h.paused...)
	for _, it := range lost {
		it.started = false
		it.progress = 0
	}
	return lost
}

// crash loses all state of the engine; online requests there are lost to this measurement.
func (u *upstream) crash() {
	s := u.sim
	u.model.Crash()
	u.stepAt = -1
	for id, c := range u.online {
		delete(u.online, id)
		u.notify(2*c.arrival.delay, func(h *home) { h.onlineEnd(id, 0, 0) })
	}
	for _, h := range u.homes {
		for id, it := range h.running {
			delete(h.running, id)
			h.control.batchEnd(u.now(), id)
			it.started, it.progress = false, 0
			h.paused = append(h.paused, it)
		}
	}
	s.after(s.opts.Faults.CrashEvery, u.crash)
}
