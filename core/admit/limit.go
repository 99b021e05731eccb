package admit

import "time"

// Bucket is a token bucket for one account on one VM. Values are immutable.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket of rate requests a second and burst requests at once.
func NewBucket(now time.Time, rate, burst float64) Bucket {
	burst = max(1, burst)
	return Bucket{rate: rate, burst: burst, tokens: burst, at: now}
}

// WithRate returns the bucket with another rate and burst; the tokens stay, up to the new burst.
func (b Bucket) WithRate(now time.Time, rate, burst float64) Bucket {
	b = b.refilled(now)
	b.rate = rate
	b.burst = max(1, burst)
	b.tokens = min(b.tokens, b.burst)
	return b
}

// Take takes one token; without one it returns the time until there is one.
func (b Bucket) Take(now time.Time) (Bucket, time.Duration, bool) {
	b = b.refilled(now)
	if b.tokens >= 1 {
		b.tokens--
		return b, 0, true
	}
	if b.rate <= 0 {
		return b, maxRetryAfter, false
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return b, clampRetry(wait), false
}

func (b Bucket) refilled(now time.Time) Bucket {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return b
}

// Demand is what a VM saw of an account since its last report, in requests a second.
type Demand struct {
	VM        string
	PerSecond float64
}

// Slice is the part of an account's limit that a VM may use.
type Slice struct {
	VM        string
	PerSecond float64
	Burst     float64
}

// floorShare is the part of a limit that is divided evenly, so that a VM which sees an account's
// first request can serve it before it was lent more.
const floorShare = 0.2

// Lend divides an account's limit over the VMs by their demand. The slices add up to the limit and
// to the burst; vms is the number of VMs that may see the account, and each of them has the floor.
func Lend(perSecond, burst float64, vms int, demands []Demand) []Slice {
	floor := Floor(perSecond, vms)
	floorBurst := Floor(burst, vms)
	total := 0.0
	for _, d := range demands {
		total += d.PerSecond
	}
	slices := make([]Slice, 0, len(demands))
	for _, d := range demands {
		part := 1 / float64(len(demands))
		if total > 0 {
			part = d.PerSecond / total
		}
		slices = append(slices, Slice{
			VM:        d.VM,
			PerSecond: floor + (perSecond*(1-floorShare))*part,
			Burst:     floorBurst + (burst*(1-floorShare))*part,
		})
	}
	return slices
}

// Floor is the part of a limit that each of vms may use without having been lent more.
func Floor(limit float64, vms int) float64 { return limit * floorShare / float64(max(1, vms)) }
