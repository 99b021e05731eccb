// Package throttle keeps to the rates that upstreams name.
//
// An upstream in need names in its answers how many requests a second it takes from all nodes together. Whoever grants
// its slots spends an allowance that grows at this rate up to a small burst, so that requests are spread over time. What
// counts is what is sent: first attempts, retries, both runs of a race, items, refused ones too.
//
// A new home, and a node that decides alone, don't know what others have sent lately and begin without an allowance.
// Nodes that decide alone share the rate: each has its part of it, from a random moment on, so that their sum holds
// although they don't talk.
//
// Values are immutable.
//
// Usage:
//
//	l := throttle.Limit{}.Named(now, sentAt, 2.5)
//	if l.Allows(now) {
//		l = l.Taken(now)
//	}
//	l = l.Lifted(sentAt) // an answer to a request sent then named no rate
package throttle

import (
	"math"
	"time"
)

const (
	// minRate is the least rate in requests a second that is used, so that an answer can lift a limit of 0.
	minRate = 0.25
	// burstTime is the time whose requests may be sent at once, but at least minBurst.
	burstTime = 1500 * time.Millisecond
	minBurst  = 2
	// aloneShare is the part of the rate that nodes use together when each decides alone; their requests are not spread
	// evenly.
	aloneShare = 0.75
	// aloneBurst is the least burst of a node that decides alone.
	aloneBurst = 1
)

// Limit is the rate that an upstream takes, and what may be sent now. The zero value is no limit.
type Limit struct {
	// rate is in requests a second; 0 means no limit.
	rate    float64
	namedAt time.Time
	// share is the part of the rate that this node may use; 0 means all of it.
	share float64
	// level is the number of requests that could be sent at a time; it may be negative.
	level float64
	at    time.Time
}

// IsValid reports whether a rate can be that of a limit.
func IsValid(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate) }

// Active reports whether there is a limit.
func (l Limit) Active() bool { return l.rate > 0 }

// Rate returns the rate that the upstream named, in requests a second, but at least minRate; 0 if there is no limit.
func (l Limit) Rate() float64 { return l.rate }

// NamedAt returns when the rate was named last.
func (l Limit) NamedAt() time.Time { return l.namedAt }

// Named returns the limit after an answer that names a rate, to a request that was sent at a time. Of answers that may
// have overtaken each other the lower rate holds.
func (l Limit) Named(now, sentAt time.Time, rate float64) Limit {
	rate = max(rate, minRate)
	if !l.Active() {
		return Limit{rate: rate, namedAt: now, at: now}
	}
	l = l.settled(now)
	if rate < l.rate || sentAt.After(l.namedAt) {
		l.rate = rate
	}
	l.namedAt = now
	l.level = min(l.level, l.burst())
	return l
}

// Lifted returns the limit after an answer that names none, to a request that was sent at a time. An answer that may be
// older than the last one that named a rate doesn't lift it.
func (l Limit) Lifted(sentAt time.Time) Limit {
	if l.Active() && sentAt.After(l.namedAt) {
		return Limit{}
	}
	return l
}

// Learned returns the limit after another node said that the upstream named a rate at a time.
func (l Limit) Learned(now, namedAt time.Time, rate float64) Limit {
	if l.Active() && !namedAt.After(l.namedAt) {
		return l
	}
	next := l.Named(now, namedAt, rate)
	next.namedAt = namedAt
	return next
}

// Alone returns the limit of a node that begins to decide alone, as one of a number of nodes. The level from 0 to 1
// spreads their first requests.
func (l Limit) Alone(now time.Time, nodes int, level float64) Limit {
	l.share, l.level, l.at = aloneShare/float64(max(nodes, 1)), level, now
	return l
}

// Level returns how many requests may be sent now.
func (l Limit) Level(now time.Time) float64 { return l.settled(now).level }

// Allows reports whether a request may be sent now.
func (l Limit) Allows(now time.Time) bool { return !l.Active() || l.Level(now) >= 1 }

// IsSpare reports whether an allowance that isn't used now is lost, since no more of it can be kept for later.
func (l Limit) IsSpare(now time.Time) bool { return !l.Active() || l.Level(now) >= l.burst() }

// Taken returns the limit after a request was sent.
func (l Limit) Taken(now time.Time) Limit {
	if !l.Active() {
		return l
	}
	l = l.settled(now)
	l.level = max(l.level-1, -l.burst())
	return l
}

// Usable returns the rate that this node may use, in requests a second.
func (l Limit) Usable() float64 {
	if l.share > 0 {
		return l.rate * l.share
	}
	return l.rate
}

func (l Limit) burst() float64 {
	least := float64(minBurst)
	if l.share > 0 {
		least = aloneBurst
	}
	return max(l.Usable()*burstTime.Seconds(), least)
}

// settled returns the limit with the level of a later time.
func (l Limit) settled(now time.Time) Limit {
	if now.After(l.at) {
		l.level = min(l.level+l.Usable()*now.Sub(l.at).Seconds(), max(l.burst(), l.level))
		l.at = now
	}
	return l
}
