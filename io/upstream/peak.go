package upstream

import "time"

// peakWindow is the time within which a VM refills a slot that its own request freed.
const peakWindow = 100 * time.Millisecond

// recentPeak is the peak of a count over the last one to two windows. Values are immutable.
type recentPeak struct {
	window            int64
	current, previous int
}

// with returns a copy that includes the count at the time now.
func (p recentPeak) with(now time.Time, count int) recentPeak {
	window := now.UnixNano() / int64(peakWindow)
	switch {
	case window == p.window:
		p.current = max(p.current, count)
	case window == p.window+1:
		p = recentPeak{window: window, current: count, previous: p.current}
	default:
		p = recentPeak{window: window, current: count, previous: 0}
	}
	return p
}

// at returns the peak at the time now, given the present count.
func (p recentPeak) at(now time.Time, count int) int {
	p = p.with(now, count)
	return max(p.current, p.previous)
}
