package admit

import (
	"math"
	"time"
)

// Bucket is the token bucket of one account. Values are immutable.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket that allows rate requests per second and burst requests at once.
func NewBucket(now time.Time, rate float64, burst int) Bucket {
	capacity := math.Max(1, float64(burst))
	return Bucket{rate: rate, burst: capacity, tokens: capacity, at: now}
}

// BucketOf returns a bucket that holds a number of tokens, at most its burst.
func BucketOf(now time.Time, rate, burst, tokens float64) Bucket {
	return Bucket{tokens: tokens, at: now}.WithLimit(now, rate, burst)
}

// WithRate returns the bucket with another rate and burst; the tokens stay, up to the new burst.
func (b Bucket) WithRate(now time.Time, rate float64, burst int) Bucket {
	return b.WithLimit(now, rate, float64(burst))
}

// WithLimit is WithRate with a burst that need not be a whole number.
func (b Bucket) WithLimit(now time.Time, rate, burst float64) Bucket {
	b = b.refilled(now)
	b.rate = rate
	b.burst = math.Max(1, burst)
	b.tokens = math.Min(b.tokens, b.burst)
	return b
}

// Tokens returns the number of tokens; it is negative if some were taken ahead of time.
func (b Bucket) Tokens(now time.Time) float64 { return b.refilled(now).tokens }

// Add adds tokens, up to the burst, or takes them ahead of time if n is negative.
func (b Bucket) Add(now time.Time, n float64) Bucket {
	b = b.refilled(now)
	b.tokens = math.Min(b.tokens+n, b.burst)
	return b
}

// Until returns the time until the bucket holds a token.
func (b Bucket) Until(now time.Time) time.Duration {
	missing := 1 - b.Tokens(now)
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return maxRetryAfter
	}
	return time.Duration(min(missing/b.rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// IsFull reports that the bucket holds its burst.
func (b Bucket) IsFull(now time.Time) bool { return b.Tokens(now) >= b.burst }

// TakeUpTo takes up to n tokens and returns their number. If there are none, it returns the time until the
// next token.
func (b Bucket) TakeUpTo(now time.Time, n int) (Bucket, int, time.Duration) {
	b = b.refilled(now)
	granted := max(min(n, int(b.tokens)), 0)
	b.tokens -= float64(granted)
	if granted > 0 {
		return b, granted, 0
	}
	if b.rate <= 0 {
		return b, 0, maxRetryAfter
	}
	return b, 0, clampRetry(b.Until(now))
}

func (b Bucket) refilled(now time.Time) Bucket {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = math.Min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return b
}

const (
	// grantTime is the time for which a grant of tokens should cover an account's demand at a VM.
	grantTime = 2 * time.Second
	// demandWindow is the time constant of a VM's moving average of an account's requests.
	demandWindow = 4 * time.Second
	// floorShare is the share of an account's limit that is divided evenly over the VMs while the account's
	// home is unreachable: a VM may use its part even if the home has never granted it any tokens.
	floorShare = 1.0
)

// Allowance holds the tokens of an account that a VM may use without asking the account's home again.
// Values are immutable.
type Allowance struct {
	tokens  int
	expires time.Time
	// demand and granted are moving averages of requested and granted tokens, per second.
	demand   float64
	granted  float64
	demandAt time.Time
	// fallback limits the account while its home is unreachable.
	fallback    Bucket
	hasFallback bool
}

// Take counts a request and takes one token; it reports false when the home must be asked for tokens.
func (a Allowance) Take(now time.Time) (Allowance, bool) {
	a.demand = decayed(a.demand, now.Sub(a.demandAt)) + 1/demandWindow.Seconds()
	a.granted = decayed(a.granted, now.Sub(a.demandAt))
	a.demandAt = now
	return a.Spend(now)
}

// Spend takes one token for a request that Take has counted already.
func (a Allowance) Spend(now time.Time) (Allowance, bool) {
	if a.tokens <= 0 || !now.Before(a.expires) {
		a.tokens = 0
		return a, false
	}
	a.tokens--
	return a, true
}

// Want returns the number of tokens to request from the home: the expected demand during grantTime.
func (a Allowance) Want() int {
	return max(1, int(math.Ceil(a.demand*grantTime.Seconds())))
}

// WithGrant returns the allowance after the home has granted n tokens, which may be 0.
func (a Allowance) WithGrant(now time.Time, n int) Allowance {
	a.hasFallback = false
	if n > 0 {
		a.tokens += n
		a.expires = now.Add(2 * grantTime)
		a.granted += float64(n) / demandWindow.Seconds()
	}
	return a
}

// WithoutHome takes one token while the home is unreachable. The VM then limits the account to the average
// rate of the home's last grants, or to an even part of the limit if that is more. vms is the number of
// live VMs. The result is false, with the time until the next token, if there is no token.
func (a Allowance) WithoutHome(now time.Time, limit float64, burst, vms int) (Allowance, time.Duration, bool) {
	if !a.hasFallback {
		part := limit * floorShare / float64(max(1, vms))
		rate := math.Min(limit, math.Max(a.granted, part))
		// A bucket of one token would lose the fraction of a token that accrues between two requests.
		a.fallback = NewBucket(now, rate, max(1+int(rate/10), burst/max(1, vms)))
		a.hasFallback = true
	}
	b, n, wait := a.fallback.TakeUpTo(now, 1)
	a.fallback = b
	return a, wait, n == 1
}

// Idle reports whether the account has sent no request for so long that its allowance can be removed.
func (a Allowance) Idle(now time.Time) bool { return now.Sub(a.demandAt) > 4*demandWindow }

func decayed(rate float64, passed time.Duration) float64 {
	return rate * math.Exp(-passed.Seconds()/demandWindow.Seconds())
}
