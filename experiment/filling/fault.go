package filling

import (
	"slices"
	"time"
)

// scenario is one run of the product's policy with injected faults.
type scenario struct {
	name string
	// reportLag replaces Options.ReportLag unless it is negative.
	reportLag time.Duration
	faults    Faults
}

func scenarios() []scenario {
	const defaultLag = -1
	return []scenario{
		{"none", defaultLag, Faults{}},
		{"reports without lag", 0, Faults{}},
		{"reports 2 s late", 2 * time.Second, Faults{}},
		{"all reports lost", defaultLag, Faults{LostReports: 1}},
		{"2% of notices lost", defaultLag, Faults{LostNotices: 0.02}},
		{"20% of notices lost", defaultLag, Faults{LostNotices: 0.2}},
		{"home lost each 20 s", defaultLag, Faults{HomeLostEvery: 20 * time.Second}},
		{"two homes", defaultLag, Faults{TwoHomes: true}},
		{"two homes, reports 2 s late", 2 * time.Second, Faults{TwoHomes: true}},
		{"engine crash each 30 s", defaultLag, Faults{CrashEvery: 30 * time.Second}},
		{"notices lost, reports 2 s late, home lost", 2 * time.Second, Faults{
			LostNotices: 0.02, LostReports: 0.2, HomeLostEvery: 20 * time.Second,
		}},
	}
}

// takeoverTime is how long an engine has no home after its home was lost.
const takeoverTime = time.Second

// scheduleFaults schedules the faults of an engine. Each engine has its own offset, so that the engines don't
// fail at the same time.
func (u *upstream) scheduleFaults() {
	f := u.sim.opts.faults
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

// loseHome stops the home of the engine: its batch streams break, and after takeoverTime a new home without
// any state replaces it.
func (u *upstream) loseHome() {
	s := u.sim
	old := u.homes[0]
	old.stopped = true
	for _, id := range sortedKeys(old.running) {
		delete(u.owners, id)
		u.model.Pause(s.clock.Now(), id)
	}
	lost := old.lostItems()
	s.after(takeoverTime, func() {
		h := newHome(u, int(s.clock.Now()/time.Second))
		h.paused = lost
		u.homes[0] = h
	})
	s.after(s.opts.faults.HomeLostEvery, u.loseHome)
}

// lostItems returns the items of a lost home, which the next home runs again from the start.
func (h *home) lostItems() []*item {
	var lost []*item
	for _, id := range sortedKeys(h.running) {
		lost = append(lost, h.running[id])
	}
	lost = append(lost, h.paused...)
	for _, it := range lost {
		h.upstream.discard(it)
	}
	return lost
}

// discard drops the tokens of an item's answer, so that the item runs again from the start.
func (u *upstream) discard(it *item) {
	u.sim.result.discarded += it.progress
	it.started = false
	it.progress = 0
}

// crash drops all state of the engine. Its online requests get no further token and don't count as
// answered; its batch items run again from the start.
func (u *upstream) crash() {
	s := u.sim
	u.model.Crash()
	u.stepAt = -1
	for _, id := range sortedKeys(u.online) {
		c := u.online[id]
		delete(u.online, id)
		u.notify(id, 2*c.arrival.delay, func(h *home) { h.onlineEnd(id, 0, 0) })
	}
	for _, h := range u.homes {
		for _, id := range sortedKeys(h.running) {
			it := h.running[id]
			delete(h.running, id)
			h.control.batchEnd(u.now(), id, 0)
			u.discard(it)
			h.paused = append(h.paused, it)
		}
	}
	s.after(s.opts.faults.CrashEvery, u.crash)
}

// sortedKeys returns the keys of a map in order, so that runs are repeatable.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
