package fill

import (
	"math"
	"time"
)

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
	// settleTime is how long a count must last to be compared with reports.
	settleTime = 5 * time.Millisecond
	// lagMemory is the share of an age's error that each new report leaves.
	lagMemory = 0.95
	// ghostMemory is the share of the mean of missing sequences that each new report leaves.
	ghostMemory = 0.8
	// ghostLimit and, for each batch stream, ghostPerBatch is the mean above which ends are taken for
	// lost: ends and starts on their way make fewer.
	ghostLimit    = 0.5
	ghostPerBatch = 0.04
	// lagTolerance is the error, in sequences, by which a likely age may exceed the best one.
	lagTolerance = 0.5
	// unknownMemory is the share of the unexplained sequences that stays at each new report.
	unknownMemory = 0.9
	// unknownLease is how long unexplained sequences count after the last report.
	unknownLease = 10 * time.Second
)

// bucket holds the least and the greatest count that lasted in a part of the window.
type bucket struct {
	number   int64
	min, max int
}

// counts remembers the own count of sequences over the report window. Counts that last less than
// settleTime are left out: one stream often ends just before the next one starts.
type counts struct {
	buckets [lagBuckets]bucket
	last    int
	since   time.Time
}

func (c counts) with(now time.Time, count int, window time.Duration) counts {
	if count == c.last && !c.since.IsZero() {
		return c
	}
	c = c.flushed(now, window)
	c.last = count
	c.since = now
	return c
}

// flushed enters the present count into the buckets of its time.
func (c counts) flushed(now time.Time, window time.Duration) counts {
	if c.since.IsZero() || now.Sub(c.since) < settleTime {
		return c
	}
	n := bucketNumber(now, window)
	for i := max(bucketNumber(c.since, window), n-lagBuckets+1); i <= n; i++ {
		b := &c.buckets[slot(i)]
		if b.number != i {
			*b = bucket{number: i, min: c.last, max: c.last}
		}
		b.min = min(b.min, c.last)
		b.max = max(b.max, c.last)
	}
	return c
}

// at returns the bounds of the count in a bucket's time; an unsettled one allows every count.
func (c counts) at(n int64) (least, greatest int) {
	if b := c.buckets[slot(n)]; b.number == n {
		return b.min, b.max
	}
	return 0, math.MaxInt
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
	// ghosts is the mean of the last differences downwards.
	ghosts float64
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
	d := difference{above: reported, below: c.last}
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

// confirmed smooths the missing sequences over the last reports; batch is the number of batch
// streams.
func (r reports) confirmed(d difference, batch int) (reports, difference) {
	r.ghosts = r.ghosts*ghostMemory + float64(d.below)*(1-ghostMemory)
	d.below = 0
	if r.ghosts > ghostLimit+ghostPerBatch*float64(batch) {
		d.below = int(math.Ceil(r.ghosts))
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
	s.counts = s.counts.flushed(now, s.params.ReportWindow)
	before := s.reports.unknown
	window := s.params.ReportWindow
	var d difference
	s.reports, d = s.reports.compare(bucketNumber(now, window), s.counts, r.Running+r.Waiting)
	s.reports, d = s.reports.confirmed(d, len(s.batch))
	s.reports.last = now
	s.reports.unknown = max(d.above, int(float64(before)*unknownMemory))
	if d.above > 0 && before == 0 {
		s.rampFrom = now
	}
	age := time.Duration(d.oldest+1) * bucketWidth(window)
	dropped := 0
	for ; dropped < d.below && len(s.online) > 0 && now.Sub(s.online[0].start) > age; dropped++ {
		s = s.withoutOnline(0)
	}
	s.reports.ghosts = max(0, s.reports.ghosts-float64(dropped))
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
