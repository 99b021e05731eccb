package quota

import (
	"slices"
	"time"

	"mothcart/core/poison"
)

const (
	// keptFor is how long a token is kept for a caller beyond the time at which it was told to return; about two round
	// trips over a slow mobile connection.
	keptFor = 300 * time.Millisecond
	// maxKeptPart bounds the part of a bucket's burst that is kept for callers.
	maxKeptPart = 0.5
	// early is how much too early a caller may be, from rounding and from clocks that run unevenly.
	early = 20 * time.Millisecond
	// maxPromises bounds the callers of an account for whom tokens are kept.
	maxPromises = 512
	// fallbackSpread is the share of the longest time over which callers are spread for whom no token can be kept.
	fallbackSpread = 0.4
	// leastRetry is the shortest time after which a caller is told to retry; less costs it more than it gains.
	leastRetry = 100 * time.Millisecond
)

// promise is a token that is kept for a caller.
type promise struct {
	identity poison.Identity
	at       time.Time
}

// promises are the tokens of an account that are kept for callers, the earliest first, at least as far apart as tokens
// arrive in the bucket. Others leave as many tokens as promises are due.
type promises []promise

// expire removes those that were not claimed in time.
func (p *promises) expire(now time.Time) {
	ended := 0
	for _, kept := range *p {
		if now.Sub(kept.at) < keptFor {
			break
		}
		ended++
	}
	if ended > 0 {
		*p = slices.Delete(*p, 0, ended)
	}
}

// claim reports whether a token is kept for a caller, and removes its promise.
func (p *promises) claim(now time.Time, id poison.Identity) bool {
	if id == 0 || len(*p) == 0 {
		return false
	}
	i := slices.IndexFunc(*p, func(kept promise) bool { return kept.identity == id && now.Add(early).After(kept.at) })
	if i < 0 {
		return false
	}
	*p = slices.Delete(*p, i, i+1)
	return true
}

// dueBy returns the number of promises that are due by a time.
func (p promises) dueBy(t time.Time) float64 {
	i, _ := slices.BinarySearchFunc(p, t, func(kept promise, t time.Time) int {
		if kept.at.After(t) {
			return 1
		}
		return -1
	})
	return float64(i)
}

// take takes a token for a caller, unless all are kept for others.
func (acc *account) take(now time.Time, id poison.Identity) bool {
	acc.promises.expire(now)
	tokens := acc.bucket.Tokens(now)
	if tokens < 1 {
		return false
	}
	if len(acc.promises) > 0 && !acc.promises.claim(now, id) && tokens < 1+acc.kept(now) {
		return false
	}
	acc.bucket = acc.bucket.Add(now, -1)
	return true
}

// kept returns the number of tokens that are kept for callers now; it leaves room in the bucket for those of others.
func (acc *account) kept(now time.Time) float64 {
	return min(acc.promises.dueBy(now.Add(acc.interval())), maxKeptPart*acc.burst)
}

// interval returns the time between two tokens.
func (acc *account) interval() time.Duration {
	return time.Duration(float64(time.Second) / (acc.limit.Rate * acc.share))
}

// promise refuses a request and keeps the next free token for its caller, if it can return in time.
func (acc *account) promise(now time.Time, ask Ask) Verdict {
	interval := acc.interval()
	free := now.Add(acc.bucket.Until(now))
	if n := len(acc.promises); n > 0 && free.Before(acc.promises[n-1].at.Add(interval)) {
		free = acc.promises[n-1].at.Add(interval)
	}
	after := max(free.Sub(now), leastRetry)
	if ask.Latest > 0 && after > ask.Latest || len(acc.promises) >= maxPromises {
		return Verdict{RetryAfter: max(spread(ask.Latest, ask.Step), leastRetry)}
	}
	if ask.Identity != 0 {
		acc.promises = append(acc.promises, promise{identity: ask.Identity, at: now.Add(after)})
	}
	return Verdict{RetryAfter: after}
}

// spread returns a time up to the longest one, at a step from 0 to 1.
func spread(longest time.Duration, step float64) time.Duration {
	return time.Duration(float64(longest) * (1 - fallbackSpread*step))
}
