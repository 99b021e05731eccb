package fill

import (
	"math"
	"time"
)

// Report is an engine's load report. It lags by an unknown time up to Params.ReportWindow.
type Report struct {
	Running, Waiting int
	// KVUsedTokens is the KV memory in use by sequences.
	KVUsedTokens int
	// MaxRunning and KVCapacityTokens replace the settings when they are above 0.
	MaxRunning, KVCapacityTokens int
}

const (
	// lagBuckets is the number of ages of a report that are distinguished.
	lagBuckets = 16
	// minCountTime is how long a count must last to be compared with reports.
	minCountTime = 5 * time.Millisecond
	// lagDecay is the weight of the past in the moving mean of an age's error, at each new report.
	lagDecay = 0.95
	// missingDecay is the weight of the past in the moving mean of missing sequences, at each new report.
	missingDecay = 0.8
	// missingLimit, plus missingPerBatch for each batch stream, is the mean number of missing sequences
	// above which notices of ends are considered lost. Starts and ends in flight cause a smaller mean.
	missingLimit    = 0.5
	missingPerBatch = 0.04
	// lagTolerance is how much greater, in sequences, the error of a likely age may be than that of the best.
	lagTolerance = 0.5
	// unknownDecay is the least share of the sequences of unknown origin that remains at each new report.
	unknownDecay = 0.9
	// unknownLease is how long sequences of unknown origin count after the last report.
	unknownLease = 10 * time.Second
)

// bucket holds the least and the greatest count of sequences in one part of the report window.
type bucket struct {
	number   int64
	min, max int
}

// counts records the home's own count of sequences over the report window. Counts that last less than
// minCountTime are left out, since one stream often ends just before the next one starts.
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

// flushed records the present count in the buckets of the time since it began.
func (c counts) flushed(now time.Time, window time.Duration) counts {
	if c.since.IsZero() || now.Sub(c.since) < minCountTime {
		return c
	}
	n := bucketNumber(now, window)
	for i := max(bucketNumber(c.since, window), n-lagBuckets+1); i <= n; i++ {
		b := &c.buckets[bucketIndex(i)]
		if b.number != i {
			*b = bucket{number: i, min: c.last, max: c.last}
		}
		b.min = min(b.min, c.last)
		b.max = max(b.max, c.last)
	}
	return c
}

// at returns the bounds of the count in a bucket's time; without a recorded count any value is possible.
func (c counts) at(n int64) (least, greatest int) {
	if b := c.buckets[bucketIndex(n)]; b.number == n {
		return b.min, b.max
	}
	return 0, math.MaxInt
}

// bucketIndex returns the index in counts.buckets of a bucket's number, which may be negative.
func bucketIndex(n int64) int64 { return (n%lagBuckets + lagBuckets) % lagBuckets }

func bucketNumber(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / int64(bucketWidth(window))
}

func bucketWidth(window time.Duration) time.Duration {
	return max(1, window/(lagBuckets-1))
}

// reports is the information from load reports that the notices of online starts and ends lack.
type reports struct {
	last time.Time
	// unknown is the number of sequences of unknown origin: reported, but in no notice.
	unknown int
	// errors holds for each possible age the moving mean of the difference, in sequences, between the
	// reports and the own counts of that age.
	errors [lagBuckets]float64
	// meanMissing is the moving mean of the sequences that are counted but missing from reports.
	meanMissing float64
}

// difference is the number of sequences by which a report is above or below the own counts of its time.
type difference struct {
	above, below int
	// oldest is the greatest age that the report may have, in buckets.
	oldest int
}

// compare updates the estimated age of reports and returns the least difference over the likely ages.
func (r reports) compare(n int64, c counts, reported int) (reports, difference) {
	var above, below [lagBuckets]int
	for k := range lagBuckets {
		least, greatest := c.at(n - int64(k))
		above[k] = max(0, reported-greatest)
		below[k] = max(0, least-reported)
		r.errors[k] = r.errors[k]*lagDecay + float64(above[k]+below[k])*(1-lagDecay)
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

// smoothed updates meanMissing and sets d.below to it, or to 0 while it is within the limit; batch is the
// number of batch streams.
func (r reports) smoothed(d difference, batch int) (reports, difference) {
	r.meanMissing = r.meanMissing*missingDecay + float64(d.below)*(1-missingDecay)
	d.below = 0
	if r.meanMissing > missingLimit+missingPerBatch*float64(batch) {
		d.below = int(math.Ceil(r.meanMissing))
	}
	return r, d
}

// WithReport compares a load report with the home's own counts of the time that the report may stand for;
// the age of reports is learned. Sequences above the own counts are of unknown origin and count as online.
// Fewer sequences mean that notices of ends were lost: the oldest online requests are removed.
func (s State) WithReport(now time.Time, r Report) State {
	if r.MaxRunning > 0 {
		s.params.MaxSequences = r.MaxRunning
	}
	if r.KVCapacityTokens > 0 {
		s.params.KVTokens = r.KVCapacityTokens
	}
	s = s.integrated(now).expired(now).counted(now)
	s.counts = s.counts.flushed(now, s.params.ReportWindow)
	before := s.reports.unknown
	window := s.params.ReportWindow
	var d difference
	s.reports, d = s.reports.compare(bucketNumber(now, window), s.counts, r.Running+r.Waiting)
	s.reports, d = s.reports.smoothed(d, len(s.batch))
	s.reports.last = now
	s.reports.unknown = max(d.above, int(float64(before)*unknownDecay))
	if d.above > 0 && before == 0 {
		s.rampFrom = now
	}
	age := time.Duration(d.oldest+1) * bucketWidth(window)
	dropped := 0
	for ; dropped < d.below && len(s.online) > 0 && now.Sub(s.online[0].start) > age; dropped++ {
		s = s.withoutOnline(0)
	}
	s.reports.meanMissing = max(0, s.reports.meanMissing-float64(dropped))
	return s.counted(now)
}

// unknown returns the number of sequences of unknown origin; 0 if no report came within unknownLease.
func (s State) unknown(now time.Time) int {
	if now.Sub(s.reports.last) > unknownLease {
		return 0
	}
	return s.reports.unknown
}

// expired removes online requests whose lease has expired.
func (s State) expired(now time.Time) State {
	for len(s.online) > 0 && now.Sub(s.online[0].start) > s.params.OnlineLease {
		s = s.withoutOnline(0)
	}
	return s
}
