package route

import "time"

const (
	// ejectAfter is the number of failures in a row that ejects an upstream.
	ejectAfter = 3
	// firstEjection is the time for which the first ejection lasts; it doubles with each further one.
	firstEjection = time.Second
	// longestEjection bounds the doubling.
	longestEjection = 30 * time.Second
	// slowStartWindow is the time after an ejection until an upstream gets its full share of requests.
	slowStartWindow = 10 * time.Second
	// initialSlowdown multiplies the load of an upstream at the start of slowStartWindow.
	initialSlowdown = 8.0
)

// Health is an upstream's state as derived from the outcomes of a VM's own requests. Values are immutable.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// WithResult returns the health after a request has ended; ok is false if it failed through the upstream's
// fault.
func (h Health) WithResult(now time.Time, ok bool) Health {
	if ok {
		h.failures = 0
		if now.Sub(h.ejectedUntil) > slowStartWindow {
			h.ejections = 0
			h.ejectedUntil = time.Time{}
		}
		return h
	}
	h.failures++
	if h.failures < ejectAfter {
		return h
	}
	ejection := firstEjection << min(h.ejections, 10)
	h.failures = 0
	h.ejections++
	h.ejectedUntil = now.Add(min(ejection, longestEjection))
	return h
}

// WithSlowStart returns the health of an upstream that is available again from now on, such as one that had
// disappeared from the VM list: its share of the requests grows slowly.
func (h Health) WithSlowStart(now time.Time) Health {
	return Health{ejectedUntil: now, ejections: 1}
}

// Ejected reports whether the upstream gets no requests now.
func (h Health) Ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// Slowdown returns the factor, 1 or more, by which the upstream's load counts during its slow start.
func (h Health) Slowdown(now time.Time) float64 {
	if h.ejectedUntil.IsZero() {
		return 1
	}
	sinceReturn := now.Sub(h.ejectedUntil)
	if sinceReturn >= slowStartWindow {
		return 1
	}
	remaining := 1 - float64(max(0, sinceReturn))/float64(slowStartWindow)
	return 1 + (initialSlowdown-1)*remaining
}
