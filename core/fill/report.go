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

const (
	// lagBuckets is the number of ages of a report that are told apart.
	lagBuckets = 16
	// lagMemory is the share of an age's error that each new report leaves.
	lagMemory = 0.95
	// lagTolerance is the error, in sequences, by which a likely age may exceed the best one.
	lagTolerance = 0.5
	// unknownLease is how long unexplained sequences count after the last report.
	unknownLease = 10 * time.Second
)

// bucket holds the least and the greatest count in a part of the window.
type bucket struct {
	number   int64
	min, max int
}

// counts remembers the own count of sequences over the report window.
type counts struct {
	buckets [lagBuckets]bucket
	newest  int64
	last    int
}

func (c counts) with(now time.Time, count int, window time.Duration) counts {
	n := bucketNumber(now, window)
	for i := max(c.newest+1, n-lagBuckets+1); i <= n; i++ {
		c.buckets[slot(i)] = bucket{number: i, min: c.last, max: c.last}
	}
	c.newest = max(c.newest, n)
	b := &c.buckets[slot(n)]
	b.min = min(b.min, count)
	b.max = max(b.max, count)
	c.last = count
	return c
}

// at returns the bounds of the count in a bucket's time.
func (c counts) at(n int64) (least, greatest int) {
	if b := c.buckets[slot(n)]; b.number == n {
		return b.min, b.max
	}
	return c.last, c.last
}

// slot returns the place of a bucket's number, which may be negative.
func slot(n int64) int64 { return (n%lagBuckets + lagBuckets) % lagBuckets }

func bucketNumber(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / int64(bucketWidth(window))
}

func bucketWidth(window time.Duration) time.Duration {
	return max(1, window/(lagBuckets-1))
}

// reports is what the load reports add to the notices.
type reports struct {
	last time.Time
	// unknown counts the sequences that no notice explains.
	unknown int
	// errors holds for each age of a report how badly reports of that age fit the own counts.
	errors [lagBuckets]float64
}

// difference is how far a report lies above and below the own counts of its time.
type difference struct {
	above, below int
	// oldest is the greatest age that the report may have, in buckets.
	oldest int
}

// compare learns the age of reports and returns the least difference over the likely ages.
func (r reports) compare(n int64, c counts, reported int) (reports, difference) {
	var above, below [lagBuckets]int
	for k := range lagBuckets {
		least, greatest := c.at(n - int64(k))
		above[k] = max(0, reported-greatest)
		below[k] = max(0, least-reported)
		r.errors[k] = r.errors[k]*lagMemory + float64(above[k]+below[k])*(1-lagMemory)
	}
	best := r.errors[0]
	for _, e := range r.errors {
		best = min(best, e)
	}
	d := difference{above: reported, below: c.last + reported}
	for k, e := range r.errors {
		if e > best+lagTolerance {
			continue
		}
		d.above = min(d.above, above[k])
		d.below = min(d.below, below[k])
		d.oldest = k
	}
	return r, d
}

// WithReport compares a load report with the own counts of the time that it may stand for; the
// age of reports is learned. More sequences than were known then are of unknown origin and count
// as online. Fewer mean that ends were lost: the oldest online requests are dropped.
func (s State) WithReport(now time.Time, r Report) State {
	if r.MaxRunning > 0 {
		s.params.MaxSequences = r.MaxRunning
	}
	if r.KVCapacityTokens > 0 {
		s.params.KVTokens = r.KVCapacityTokens
	}
	s = s.measured(now).expired(now).counted(now)
	before := s.reports.unknown
	window := s.params.ReportWindow
	var d difference
	s.reports, d = s.reports.compare(bucketNumber(now, window), s.counts, r.Running+r.Waiting)
	s.reports.last = now
	s.reports.unknown = d.above
	if d.above > 0 && before == 0 {
		s.rampFrom = now
	}
	age := time.Duration(d.oldest+1) * bucketWidth(window)
	for ; d.below > 0 && len(s.online) > 0 && now.Sub(s.online[0].start) > age; d.below-- {
		s = s.withoutOnline(0)
	}
	return s.counted(now)
}

// unknown returns the sequences of unknown origin; they are forgotten when reports stay away.
func (s State) unknown(now time.Time) int {
	if now.Sub(s.reports.last) > unknownLease {
		return 0
	}
	return s.reports.unknown
}

// expired drops online requests whose lease has passed.
func (s State) expired(now time.Time) State {
	for len(s.online) > 0 && now.Sub(s.online[0].start) > s.params.OnlineLease {
		s = s.withoutOnline(0)
	}
	return s
}
