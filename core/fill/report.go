package fill

import "time"

// Report is an engine's load report. It lags by an unknown time up to Params.ReportWindow.
type Report struct {
	Running, Waiting int
	// KVUsedTokens is the memory in use by sequences.
	KVUsedTokens int
	// MaxRunning and KVCapacityTokens replace the settings when they are above 0.
	MaxRunning, KVCapacityTokens int
}

// countBuckets is the number of parts of the report window.
const countBuckets = 16

// bucket holds the least and the greatest count in a part of the window.
type bucket struct {
	number   int64
	min, max int
}

// counts remembers the own count of sequences over the report window.
type counts struct {
	buckets [countBuckets]bucket
	last    int
}

func (c counts) with(now time.Time, count int, window time.Duration) counts {
	n := bucketNumber(now, window)
	b := &c.buckets[n%countBuckets]
	if b.number != n {
		*b = bucket{number: n, min: min(c.last, count), max: max(c.last, count)}
	}
	b.min = min(b.min, count)
	b.max = max(b.max, count)
	c.last = count
	return c
}

// bounds returns the least and the greatest count in the window before now.
func (c counts) bounds(now time.Time, window time.Duration) (least, greatest int) {
	n := bucketNumber(now, window)
	least, greatest = c.last, c.last
	for _, b := range c.buckets {
		if b.number > n-countBuckets && b.number <= n && b.number != 0 {
			least = min(least, b.min)
			greatest = max(greatest, b.max)
		}
	}
	return least, greatest
}

func bucketNumber(now time.Time, window time.Duration) int64 {
	width := max(1, int64(window)/(countBuckets-1))
	return now.UnixNano() / width
}

// reports is what the load reports add to the notices.
type reports struct {
	last time.Time
	// unknown counts the sequences that no notice explains.
	unknown int
}

// WithReport compares a load report with the own counts of the time that it may stand for. More
// sequences than were ever known in that time are of unknown origin and count as online. Fewer
// than were always known mean that ends were lost: the oldest online requests are dropped.
func (s State) WithReport(now time.Time, r Report) State {
	if r.MaxRunning > 0 {
		s.params.MaxSequences = r.MaxRunning
	}
	if r.KVCapacityTokens > 0 {
		s.params.KVTokens = r.KVCapacityTokens
	}
	s = s.measured(now).expired(now)
	s.reports.last = now
	least, greatest := s.counts.bounds(now, s.params.ReportWindow)
	reported := r.Running + r.Waiting
	before := s.reports.unknown
	s.reports.unknown = max(0, reported-greatest)
	if s.reports.unknown > 0 && before == 0 {
		s.rampFrom = now
	}
	for missing := least - reported; missing > 0 && s.hasOld(now); missing-- {
		s = s.withoutOnline(0)
	}
	return s.counted(now)
}

// hasOld reports whether the oldest online request was there during the whole report window.
func (s State) hasOld(now time.Time) bool {
	return len(s.online) > 0 && now.Sub(s.online[0].start) > s.params.ReportWindow
}

// expired drops online requests whose lease has passed.
func (s State) expired(now time.Time) State {
	for len(s.online) > 0 && now.Sub(s.online[0].start) > s.params.OnlineLease {
		s = s.withoutOnline(0)
	}
	return s
}
