package filling

import "time"

// yieldWatch measures how fast batch leaves an engine after an online start and comes back.
type yieldWatch struct {
	// since is the time of the first online start that batch has not yet given way to, or 0.
	since time.Duration
	// before is the number of batch sequences at that time.
	before int
	// quietSince is when the last online request ended, or 0.
	quietSince time.Duration
	level      int
}

// rampShare is the share of the level before the last burst that ends a ramp.
const rampShare = 0.9

// batchRunning counts the batch streams that the homes hold open.
func (u *upstream) batchRunning() int {
	n := 0
	for _, h := range u.homes {
		n += len(h.running)
	}
	return n
}

// arrived notes an online request leaving its entry VM.
func (y *yieldWatch) arrived(u *upstream) {
	y.quietSince = 0
	if len(u.online) == 0 && y.since == 0 && u.batchRunning() > 0 {
		y.since = u.sim.clock.Now()
		y.before = u.batchRunning()
		y.level = max(y.level*9/10, y.before)
	}
}

// stepped notes the start of a step.
func (y *yieldWatch) stepped(u *upstream) {
	now := u.sim.clock.Now()
	running := u.batchRunning()
	if y.since > 0 && running < y.before && len(u.online) > 0 {
		_ = u.sim.result.yield.RecordValue((now - y.since).Microseconds())
		y.since = 0
	}
	if len(u.online) > 0 {
		y.quietSince = 0
		return
	}
	y.since = 0
	if y.quietSince == 0 {
		y.quietSince = now
		return
	}
	if y.quietSince > 0 && y.level > 0 && float64(running) >= rampShare*float64(y.level) {
		_ = u.sim.result.ramp.RecordValue((now - y.quietSince).Microseconds())
		y.quietSince = -1
	}
}
