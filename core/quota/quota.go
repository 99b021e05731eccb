// Package quota keeps online requests of client accounts to their limits, summed over all nodes.
//
// The home has a token bucket for each account and takes a token for each request, however many attempts the request
// needs. A request without a token is refused, with the time at which its caller gets one: the bucket keeps that token
// for the caller for a moment.
//
// What counts is the number of requests in any window, over all nodes, also those that no home reaches. So every node has
// a share of each account's limit, and the shares add up to one. The home uses those of the nodes that are connected to
// it. A node that it has lost keeps its own one, and begins with as much of the bucket's tokens. A share follows from how
// many of the account's last requests came through the node, and from the number of nodes where there were few; node and
// home work it out from the same figures. It moves to an even one while the node is away, since callers go elsewhere.
//
// A Tolerance says how much more than its limit an account may get in a window. It is spent on what nobody can know: a
// part is added to the burst, so that callers who arrive unevenly aren't refused; a new home, which doesn't know what the
// last one granted, begins with another; nodes that begin to decide alone share a third.
//
// Usage:
//
//	l := quota.NewLimiter(now, quota.DefaultTolerance(), rand.Float64)
//	l.Joined("e1/7/3", true)
//	if v := l.Take(now, account, quota.Ask{Owner: "e1/7/3", Latest: time.Second}); !v.OK {
//		refuse(v.RetryAfter)
//	}
//	l.Refund(now, account, "e1/7/3") // the request got no slot
package quota

import (
	"time"

	"mothcart/core/admit"
	"mothcart/core/poison"
	"mothcart/core/site"
)

// Tolerance is what an account may get in a window beyond its limit.
type Tolerance struct {
	// Window is the time over which requests are counted; any window counts.
	Window time.Duration
	// Excess is a share of the requests that the limit allows in a window, Slack a number of requests.
	Excess, Slack float64
}

// DefaultTolerance is that of sites whose settings name none.
func DefaultTolerance() Tolerance {
	return Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
}

// Allowed returns the number of requests that an account may get in a window.
func (t Tolerance) Allowed(a site.Account) float64 { return t.owed(a) + t.spare(a) }

// owed returns the number of requests that the limit itself allows in a window.
func (t Tolerance) owed(a site.Account) float64 { return a.Rate*t.Window.Seconds() + a.Burst }

// spare returns the number of requests that an account may get in a window beyond its limit.
func (t Tolerance) spare(a site.Account) float64 { return t.Excess*t.owed(a) + t.Slack }

// The parts of the spare requests. Two homes may begin within a window, so that startPart counts twice; the rest is left
// for tokens that nodes alone can't divide evenly.
const (
	burstPart = 0.5
	alonePart = 0.25
	startPart = 0.1
)

// burst returns the number of tokens that the account's buckets hold together.
func (t Tolerance) burst(a site.Account) float64 { return max(a.Burst, 1) + burstPart*t.spare(a) }

// Ask is a request of an account.
type Ask struct {
	// Owner is the node that asked, as in slot.Key.
	Owner string
	// Identity is what the tries of a caller have in common; 0 if that isn't known.
	Identity poison.Identity
	// Latest is the longest time after which the caller may be told to retry, Step a number from 0 to 1 that spreads
	// callers who get no token within it.
	Latest time.Duration
	Step   float64
}

// Verdict says whether a request is within the limit, and otherwise when the caller should retry.
type Verdict struct {
	OK         bool
	RetryAfter time.Duration
}

// Limiter decides about the requests of all accounts. It is mutable and not safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	startedAt time.Time
	random    func() float64
	accounts  map[string]*account
	members   members
	alone     aloneState
	low       lowAccounts
	sweptAt   time.Time
	// refused are the requests refused since the last call of Refusals, by account.
	refused map[string]int
}

// account is the state of an account.
type account struct {
	bucket admit.Bucket
	// burst is that of the bucket.
	burst float64
	limit site.Account
	// used counts the account's last requests over all nodes.
	used count
	// share is the part of the limit that this home uses, as of sharedAt and of a state of the members.
	share    float64
	shareOf  int
	sharedAt time.Time
	promises promises
	// lowAt is when nodes were last told that the account has few tokens.
	lowAt time.Time
}

// NewLimiter returns the limiter of a home or node that starts. The function random returns numbers from 0 to 1.
func NewLimiter(now time.Time, t Tolerance, random func() float64) *Limiter {
	return &Limiter{
		tolerance: t, startedAt: now, random: random, sweptAt: now, refused: make(map[string]int),
		accounts: make(map[string]*account), members: newMembers(), alone: newAloneState(),
	}
}

// Take takes the token of a request, or says when there will be one.
func (l *Limiter) Take(now time.Time, a site.Account, ask Ask) Verdict {
	if !a.Limited() {
		return Verdict{OK: true}
	}
	l.sweep(now)
	var v Verdict
	if l.alone.nodes > 0 {
		v = l.takeAlone(now, a, ask)
	} else {
		v = l.takeShared(now, a, ask)
	}
	if !v.OK {
		if len(l.refused) == maxRefused {
			clear(l.refused) // nobody reads them on nodes that aren't the home
		}
		l.refused[a.Name]++
	}
	return v
}

func (l *Limiter) takeShared(now time.Time, a site.Account, ask Ask) Verdict {
	acc := l.account(now, a)
	defer l.noteLow(now, acc)
	if !acc.take(now, ask.Identity) {
		return acc.promise(now, ask)
	}
	acc.used = acc.used.add(now, 1)
	l.members.count(now, ask.Owner, a.Name, 1)
	return Verdict{OK: true}
}

// Refund gives the token of a request back that got no slot.
func (l *Limiter) Refund(now time.Time, a site.Account, owner string) {
	if !a.Limited() {
		return
	}
	if l.alone.nodes > 0 {
		l.refundAlone(now, a)
		return
	}
	acc := l.account(now, a)
	acc.bucket = acc.bucket.Add(now, 1)
	acc.used = acc.used.add(now, -1)
	l.members.count(now, owner, a.Name, -1)
}

// account returns the state of an account, under the limit and the share that hold now.
func (l *Limiter) account(now time.Time, a site.Account) *account {
	acc := l.accounts[a.Name]
	if acc == nil {
		acc = &account{limit: a, share: 1, burst: l.tolerance.burst(a)}
		acc.bucket = admit.BucketOf(now, a.Rate, acc.burst, l.startLevel(now, a))
		l.accounts[a.Name] = acc
	}
	changed := acc.limit != a
	if acc.shareOf != l.members.version || now.Sub(acc.sharedAt) >= shareAge {
		share := l.members.share(now, a.Name, acc.used.at(now))
		acc.shareOf, acc.sharedAt = l.members.version, now
		if share != acc.share {
			acc.bucket = l.withPart(now, acc, share)
			acc.share, changed = share, true
		}
	}
	if changed {
		acc.limit, acc.burst = a, max(l.tolerance.burst(a)*acc.share, startPart*l.tolerance.spare(a))
		acc.bucket = acc.bucket.WithLimit(now, a.Rate*acc.share, acc.burst)
	}
	return acc
}

// withPart returns the bucket after lost nodes have taken their part of the tokens; some stay in any case, so that nodes
// whose connections all broke find tokens when they are back.
func (l *Limiter) withPart(now time.Time, acc *account, share float64) admit.Bucket {
	tokens := acc.bucket.Tokens(now)
	least := min(tokens, startPart*l.tolerance.spare(acc.limit))
	if share >= acc.share || tokens <= least {
		return acc.bucket
	}
	return acc.bucket.Add(now, max(tokens*share/acc.share, least)-tokens)
}

// startLevel returns the tokens of an account that has asked nothing since the start, or not for so long that its bucket
// was dropped. Before the start another home may have granted all.
func (l *Limiter) startLevel(now time.Time, a site.Account) float64 {
	return startPart*l.tolerance.spare(a) + a.Rate*now.Sub(l.startedAt).Seconds()
}

// maxRefused bounds the accounts whose refusals are counted between two calls of Refusals.
const maxRefused = 4096

// sweepInterval is the time between two sweeps for what is no longer needed.
const sweepInterval = 10 * time.Second

// sweep drops the accounts whose state says no more than that of a new one, and the nodes that are gone.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for name, acc := range l.accounts {
		full := l.tolerance.burst(acc.limit)
		if acc.bucket.IsFull(now) && acc.used.at(now) < leastCount && l.startLevel(now, acc.limit) >= full {
			delete(l.accounts, name)
		}
	}
	l.members.sweep(now)
	l.alone.sweep(now, l.tolerance.Window)
}

// Tracked returns the number of accounts of which there is a state.
func (l *Limiter) Tracked() int { return len(l.accounts) + len(l.alone.accounts) }

// Refusals returns the requests refused since the last call, by account.
func (l *Limiter) Refusals() map[string]int {
	refused := l.refused
	l.refused = make(map[string]int)
	return refused
}
