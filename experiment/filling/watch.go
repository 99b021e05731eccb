package filling

import "time"

// yieldWatch measures how fast batch yields an engine to online requests, and how fast batch fills the engine
// again (ramp) after the last of them ended.
type yieldWatch struct {
	// pendingSince is the time of the first online start that batch has not yet yielded to, or 0.
	pendingSince time.Duration
	// runningBefore is the number of batch streams at that time.
	runningBefore int
	// onlineIdleSince is the end of the first step without online requests; 0 while there are some, and -1
	// once the ramp is recorded.
	onlineIdleSince time.Duration
	// peakRunning is the greatest recent number of batch streams at such an online start; it decays by 10% at
	// each of them.
	peakRunning int
}

// rampShare is the share of peakRunning at which a ramp ends.
const rampShare = 0.9

// batchRunning returns the number of open batch streams of the engine's homes.
func (u *upstream) batchRunning() int {
	n := 0
	for _, h := range u.homes {
		n += len(h.running)
	}
	return n
}

// arrived records that an online request left its entry VM for the engine.
func (y *yieldWatch) arrived(u *upstream) {
	y.onlineIdleSince = 0
	if len(u.online) == 0 && y.pendingSince == 0 && u.batchRunning() > 0 {
		y.pendingSince = u.sim.clock.Now()
		y.runningBefore = u.batchRunning()
		y.peakRunning = max(y.peakRunning*9/10, y.runningBefore)
	}
}

// stepped records the end of a step.
func (y *yieldWatch) stepped(u *upstream) {
	now := u.sim.clock.Now()
	running := u.batchRunning()
	if y.pendingSince > 0 && running < y.runningBefore && len(u.online) > 0 {
		_ = u.sim.result.yield.RecordValue((now - y.pendingSince).Microseconds())
		y.pendingSince = 0
	}
	if len(u.online) > 0 {
		y.onlineIdleSince = 0
		return
	}
	y.pendingSince = 0
	if y.onlineIdleSince == 0 {
		y.onlineIdleSince = now
		return
	}
	if y.onlineIdleSince > 0 && y.peakRunning > 0 && float64(running) >= rampShare*float64(y.peakRunning) {
		_ = u.sim.result.ramp.RecordValue((now - y.onlineIdleSince).Microseconds())
		y.onlineIdleSince = -1
	}
}
