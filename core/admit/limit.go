package admit

import (
	"math"
	"time"
)

// Bucket is the token bucket of one account at its home. Values are immutable.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket of rate requests a second and burst requests at once.
func NewBucket(now time.Time, rate float64, burst int) Bucket {
	most := math.Max(1, float64(burst))
	return Bucket{rate: rate, burst: most, tokens: most, at: now}
}

// WithRate returns the bucket with another rate and burst; the tokens stay, up to the new burst.
func (b Bucket) WithRate(now time.Time, rate float64, burst int) Bucket {
	b = b.refilled(now)
	b.rate = rate
	b.burst = math.Max(1, float64(burst))
	b.tokens = math.Min(b.tokens, b.burst)
	return b
}

// TakeUpTo takes up to n tokens and returns their number, and with none the time until there is
// one.
func (b Bucket) TakeUpTo(now time.Time, n int) (Bucket, int, time.Duration) {
	b = b.refilled(now)
	granted := min(n, int(b.tokens))
	b.tokens -= float64(granted)
	if granted > 0 {
		return b, granted, 0
	}
	if b.rate <= 0 {
		return b, 0, maxRetryAfter
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return b, 0, clampRetry(wait)
}

func (b Bucket) refilled(now time.Time) Bucket {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = math.Min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return b
}

const (
	// lendTime is the time that a grant is meant to last.
	lendTime = 2 * time.Second
	// demandWindow is the time constant over which a VM averages an account's requests.
	demandWindow = 4 * time.Second
	// floorShare is the part of a limit that a VM may use, divided by the number of VMs, when the
	// account's home has never answered it.
	floorShare = 1.0
)

// Allowance is what a VM may let an account do without asking the account's home again. Values are
// immutable.
type Allowance struct {
	tokens  int
	expires time.Time
	// demand and granted are averaged, in requests a second.
	demand   float64
	granted  float64
	demandAt time.Time
	// fallback stands in for the home while it is away.
	fallback    Bucket
	hasFallback bool
}

// Take takes one token; it reports false when the home must be asked.
func (a Allowance) Take(now time.Time) (Allowance, bool) {
	a.demand = decayed(a.demand, now.Sub(a.demandAt)) + 1/demandWindow.Seconds()
	a.granted = decayed(a.granted, now.Sub(a.demandAt))
	a.demandAt = now
	return a.Spend(now)
}

// Spend takes one token of a request that Take counted before.
func (a Allowance) Spend(now time.Time) (Allowance, bool) {
	if a.tokens <= 0 || !now.Before(a.expires) {
		a.tokens = 0
		return a, false
	}
	a.tokens--
	return a, true
}

// Want is the number of tokens to ask the home for: the demand of lendTime.
func (a Allowance) Want() int {
	return max(1, int(math.Ceil(a.demand*lendTime.Seconds())))
}

// WithGrant returns the allowance after the home granted n tokens.
func (a Allowance) WithGrant(now time.Time, n int) Allowance {
	a.hasFallback = false
	if n > 0 {
		a.tokens += n
		a.expires = now.Add(2 * lendTime)
		a.granted += float64(n) / demandWindow.Seconds()
	}
	return a
}

// WithoutHome takes one token while the home is away: the VM goes on with the rate that it was
// granted last, or with an even part of the limit. vms is the number of live VMs.
func (a Allowance) WithoutHome(now time.Time, limit float64, burst, vms int) (Allowance, time.Duration, bool) {
	if !a.hasFallback {
		part := limit * floorShare / float64(max(1, vms))
		rate := math.Min(limit, math.Max(a.granted, part))
		// A bucket of one token would lose the part of a token that comes between two requests.
		a.fallback = NewBucket(now, rate, max(1+int(rate/10), burst/max(1, vms)))
		a.hasFallback = true
	}
	b, n, wait := a.fallback.TakeUpTo(now, 1)
	a.fallback = b
	return a, wait, n == 1
}

// Idle reports that the account was not seen for some time, so that the allowance can be forgotten.
func (a Allowance) Idle(now time.Time) bool { return now.Sub(a.demandAt) > 4*demandWindow }

func decayed(rate float64, passed time.Duration) float64 {
	return rate * math.Exp(-passed.Seconds()/demandWindow.Seconds())
}
