package route

import "time"

const (
	// ejectAfter is the number of failures in a row that ejects an upstream.
	ejectAfter = 3
	// firstEjection is the time an upstream is out after its first ejection; it doubles with each.
	firstEjection = time.Second
	// longestEjection bounds the doubling.
	longestEjection = 30 * time.Second
	// slowReturn is the time over which an upstream that returns comes back to its full part.
	slowReturn = 10 * time.Second
	// startSlowdown multiplies the load of an upstream at the moment of its return.
	startSlowdown = 8.0
)

// Health is what a VM's own requests tell of an upstream. Values are immutable.
type Health struct {
	failures  int
	ejections int
	until     time.Time
}

// WithResult returns the health after a request ended: ok, or failed by the upstream's fault.
func (h Health) WithResult(now time.Time, ok bool) Health {
	if ok {
		h.failures = 0
		if now.Sub(h.until) > slowReturn {
			h.ejections = 0
			h.until = time.Time{}
		}
		return h
	}
	h.failures++
	if h.failures < ejectAfter {
		return h
	}
	out := firstEjection << min(h.ejections, 10)
	h.failures = 0
	h.ejections++
	h.until = now.Add(min(out, longestEjection))
	return h
}

// WithReturn returns the health of an upstream that is back after now, such as one that was gone
// from the VM list: it gets its part of the requests slowly.
func (h Health) WithReturn(now time.Time) Health {
	return Health{until: now, ejections: 1}
}

// Ejected reports whether the upstream gets no requests now.
func (h Health) Ejected(now time.Time) bool { return now.Before(h.until) }

// Slowdown is the factor, 1 or more, by which the upstream's load counts while it returns.
func (h Health) Slowdown(now time.Time) float64 {
	if h.until.IsZero() {
		return 1
	}
	back := now.Sub(h.until)
	if back >= slowReturn {
		return 1
	}
	left := 1 - float64(max(0, back))/float64(slowReturn)
	return 1 + (startSlowdown-1)*left
}
