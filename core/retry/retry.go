// Package retry decides what happens after an attempt at an upstream failed.
//
// A request is sent again only when that is safe: nothing was sent, the upstream said that it did
// not run, or the request is idempotent. Retries are bounded as a share of requests for each
// service, so that they can't multiply the load of a failing service.
//
// Usage:
//
//	budget = budget.WithRequest()
//	action, budget := retry.Decide(now, deadline, retry.Failure{Idempotent: true, Sent: true}, budget)
package retry

import "time"

// MaxAttempts bounds the attempts at one request.
const MaxAttempts = 4

// Budget bounds retries to a share of requests. Values are immutable.
type Budget struct {
	share  float64
	tokens float64
}

// reserve is the number of retries that a service with few requests may always make.
const reserve = 10

// NewBudget returns a full budget that allows share retries for each request, from 0 to 1.
func NewBudget(share float64) Budget { return Budget{share: share, tokens: reserve} }

// WithRequest returns the budget after one more request.
func (b Budget) WithRequest() Budget {
	b.tokens = min(reserve, b.tokens+b.share)
	return b
}

// WithRefund returns the budget after a retry that Decide granted was not made.
func (b Budget) WithRefund() Budget {
	b.tokens = min(reserve, b.tokens+1)
	return b
}

// WithShare returns the budget with another share.
func (b Budget) WithShare(share float64) Budget {
	b.share = share
	return b
}

// Spend uses one retry; it reports false when none remains.
func (b Budget) Spend() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// Failure describes a failed attempt.
type Failure struct {
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// Sent reports that any part of the request may have reached the upstream.
	Sent bool
	// Refused reports that the upstream said that it did not run the request.
	Refused bool
	// Resumable reports that a stream can be resumed at the next token.
	Resumable bool
	// Delivered is the number of tokens that the caller has received.
	Delivered int
	// Attempts is the number of attempts made.
	Attempts int
	// Progress reports that the attempt delivered at least one token.
	Progress bool
	// Runs is the number of attempts that may have run, and RunLimit its bound; 0 means no bound.
	Runs     int
	RunLimit int
}

// Action is what to do after a failure.
type Action int

// Actions.
const (
	// Fail returns an error to the caller.
	Fail Action = iota
	// Again sends the request again from its start.
	Again
	// Resume opens a new stream at the next token.
	Resume
)

// Ran says whether a request that failed ran at an upstream.
type Ran string

// Values of Ran, which callers receive.
const (
	RanNo    Ran = "no"
	RanYes   Ran = "yes"
	RanMaybe Ran = "maybe"
)

// RanAfter returns whether the request ran, as far as the failure shows.
func RanAfter(f Failure) Ran {
	switch {
	case f.Delivered > 0:
		return RanYes
	case f.Sent && !f.Refused:
		return RanMaybe
	default:
		return RanNo
	}
}

// Decide returns the action to take and the remaining budget.
func Decide(now, deadline time.Time, f Failure, b Budget) (Action, Budget) {
	if !now.Before(deadline) {
		return Fail, b
	}
	if f.Attempts >= MaxAttempts && !f.Progress {
		return Fail, b
	}
	if f.RunLimit > 0 && f.Runs >= f.RunLimit {
		return Fail, b
	}
	mayRun := f.Sent && !f.Refused
	if mayRun && !f.Idempotent {
		return Fail, b
	}
	if f.Delivered > 0 && !f.Resumable {
		return Fail, b
	}
	remaining, ok := b.Spend()
	if !ok {
		return Fail, b
	}
	if f.Delivered > 0 || (mayRun && f.Resumable) {
		return Resume, remaining
	}
	return Again, remaining
}
