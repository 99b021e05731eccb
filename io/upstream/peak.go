package upstream

import "time"

// peakWindow is the time in which a VM refills a place that its own request freed.
const peakWindow = 100 * time.Millisecond

// recentPeak is the greatest count of the last one to two windows. Values are immutable.
type recentPeak struct {
	window           int64
	present, earlier int
}

// with returns the peak after a count.
func (p recentPeak) with(now time.Time, count int) recentPeak {
	window := now.UnixNano() / int64(peakWindow)
	switch {
	case window == p.window:
		p.present = max(p.present, count)
	case window == p.window+1:
		p = recentPeak{window: window, present: count, earlier: p.present}
	default:
		p = recentPeak{window: window, present: count, earlier: 0}
	}
	return p
}

// at returns the peak now, when the count is count.
func (p recentPeak) at(now time.Time, count int) int {
	p = p.with(now, count)
	return max(p.present, p.earlier)
}
