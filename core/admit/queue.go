// Package admit decides which requests are dispatched, wait or are refused before they reach an upstream.
//
// A Queue holds the waiting requests of one service on one VM, with a bound for each team. Each team
// has a share of the service. The next request comes from the team that uses the least of its share, so
// that other teams can use an unused share, and its owner gets it back with the next slots that become
// free. Within a team the earliest deadline goes first. A request that can't meet its deadline is refused
// early.
//
// A Bucket limits the request rate of an account. An Allowance holds the tokens of an account that its home
// has granted to one VM.
//
// Usage:
//
//	q := admit.NewQueue(limit).WithShares(shares)
//	q, verdict := q.Offer(now, admit.Request{ID: 7, Team: "deacons", Deadline: d})
//	q, next, ok := q.Next(now)   // when an upstream has a free slot
//	q = q.End(now, next.Team)    // when the request has ended
package admit

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// defaultShare is the share of a team without a share in the configuration.
const defaultShare = 0.01

// rateWindow is the time constant over which the rate of ended requests is averaged.
const rateWindow = 5 * time.Second

// minRetryAfter and maxRetryAfter bound the time after which callers are told to retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Request is a waiting request.
type Request struct {
	ID       uint64
	Team     string
	Deadline time.Time
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusal.
const (
	// QueueFull means that the team has as many waiting requests as the limit allows.
	QueueFull Reason = "queueFull"
	// TooLate means that the request would wait beyond its deadline.
	TooLate Reason = "deadlineUnreachable"
)

// Verdict is the result of Offer: accepted, or refused for a reason.
type Verdict struct {
	Accepted   bool
	Reason     Reason
	RetryAfter time.Duration
}

// Share is a team's guaranteed part of the service, from 0 to 1.
type Share struct {
	Team  string
	Share float64
}

type team struct {
	name     string
	share    float64
	inFlight int
	// waiting is sorted by deadline, the earliest first.
	waiting []Request
}

// Queue holds the waiting requests of one service on one VM. Values are immutable.
type Queue struct {
	limit   int
	teams   []team
	waiting int
	// perSecond is the moving average of the rate of requests that ended.
	perSecond float64
	lastEnd   time.Time
}

// NewQueue returns an empty queue for up to limit requests of each team.
func NewQueue(limit int) Queue { return Queue{limit: limit} }

// WithLimit returns the queue with another limit for each team.
func (q Queue) WithLimit(limit int) Queue {
	q.limit = limit
	return q
}

// WithShares returns the queue with the teams' shares replaced.
func (q Queue) WithShares(shares []Share) Queue {
	teams := slices.Clone(q.teams)
	for i := range teams {
		teams[i].share = defaultShare
	}
	q.teams = teams
	for _, s := range shares {
		var i int
		q, i = q.withTeam(s.Team)
		q.teams[i].share = max(s.Share, defaultShare)
	}
	return q
}

// Len returns the number of requests that wait.
func (q Queue) Len() int { return q.waiting }

// InFlight returns the number of requests of the team that were dispatched and have not ended.
func (q Queue) InFlight(name string) int {
	if i, ok := q.find(name); ok {
		return q.teams[i].inFlight
	}
	return 0
}

// WithinShare reports whether the team stays within its guaranteed share of capacity with one more request.
// capacity is in concurrent requests.
func (q Queue) WithinShare(name string, capacity float64) bool {
	i, ok := q.find(name)
	if !ok {
		return capacity*defaultShare >= 1
	}
	return float64(q.teams[i].inFlight+1) <= q.teams[i].share*capacity
}

// Offer puts the request into its team's queue or refuses it.
func (q Queue) Offer(now time.Time, r Request) (Queue, Verdict) {
	q, i := q.withTeam(r.Team)
	t := &q.teams[i]
	wait := q.expectedWait(*t, len(t.waiting))
	if len(t.waiting) >= q.limit {
		return q, Verdict{Reason: QueueFull, RetryAfter: clampRetry(wait)}
	}
	if now.Add(wait).After(r.Deadline) {
		return q, Verdict{Reason: TooLate, RetryAfter: clampRetry(wait)}
	}
	at := sort.Search(len(t.waiting), func(k int) bool { return t.waiting[k].Deadline.After(r.Deadline) })
	t.waiting = slices.Insert(slices.Clone(t.waiting), at, r)
	q.waiting++
	return q, Verdict{Accepted: true}
}

// Next removes the request to dispatch next and counts it as in flight; it reports false when none waits.
func (q Queue) Next(now time.Time) (Queue, Request, bool) {
	best := -1
	for i, t := range q.teams {
		if len(t.waiting) == 0 {
			continue
		}
		if best < 0 || t.usage() < q.teams[best].usage() {
			best = i
		}
	}
	if best < 0 {
		return q, Request{}, false
	}
	q.teams = slices.Clone(q.teams)
	t := &q.teams[best]
	r := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.inFlight++
	q.waiting--
	if q.lastEnd.IsZero() {
		q.lastEnd = now
	}
	return q, r, true
}

// Start counts a request that is dispatched without waiting.
func (q Queue) Start(name string) Queue {
	q, i := q.withTeam(name)
	q.teams[i].inFlight++
	return q
}

// End records the end of a dispatched request.
func (q Queue) End(now time.Time, name string) Queue {
	q, i := q.withTeam(name)
	q.teams[i].inFlight = max(0, q.teams[i].inFlight-1)
	if q.lastEnd.IsZero() {
		q.lastEnd = now
	}
	passed := now.Sub(q.lastEnd).Seconds()
	keep := 1 / (1 + passed/rateWindow.Seconds())
	q.perSecond = (q.perSecond + 1/rateWindow.Seconds()) * keep
	q.lastEnd = now
	return q
}

// Remove removes a request that its caller has abandoned; it reports whether the request still waited.
func (q Queue) Remove(r Request) (Queue, bool) {
	i, ok := q.find(r.Team)
	if !ok {
		return q, false
	}
	at := slices.IndexFunc(q.teams[i].waiting, func(w Request) bool { return w.ID == r.ID })
	if at < 0 {
		return q, false
	}
	q.teams = slices.Clone(q.teams)
	t := &q.teams[i]
	t.waiting = slices.Delete(slices.Clone(t.waiting), at, at+1)
	q.waiting--
	return q, true
}

// Expire removes and returns the requests whose deadline has passed; the caller must refuse them.
func (q Queue) Expire(now time.Time) (Queue, []Request) {
	var expired []Request
	teams := q.teams
	for i, t := range teams {
		n := 0
		for n < len(t.waiting) && !now.Before(t.waiting[n].Deadline) {
			n++
		}
		if n == 0 {
			continue
		}
		if len(expired) == 0 {
			teams = slices.Clone(teams)
		}
		expired = append(expired, t.waiting[:n]...)
		teams[i].waiting = t.waiting[n:]
		q.waiting -= n
	}
	q.teams = teams
	return q, expired
}

// expectedWait estimates the time until a request is dispatched that has ahead requests of its team before
// it.
func (q Queue) expectedWait(t team, ahead int) time.Duration {
	if q.perSecond <= 0 || ahead == 0 {
		return 0
	}
	total := 0.0
	for _, other := range q.teams {
		if other.name == t.name || len(other.waiting) > 0 {
			total += other.share
		}
	}
	rate := q.perSecond * t.share / total
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// usage returns the ratio of the team's requests in flight, with one more, to its share; the team with the
// smallest goes first.
func (t team) usage() float64 { return float64(t.inFlight+1) / t.share }

func (q Queue) find(name string) (int, bool) {
	return sort.Find(len(q.teams), func(i int) int { return strings.Compare(name, q.teams[i].name) })
}

// withTeam returns the queue with the named team and a copy of the teams that may be changed, and the
// team's index.
func (q Queue) withTeam(name string) (Queue, int) {
	i, ok := q.find(name)
	teams := slices.Clone(q.teams)
	if !ok {
		teams = slices.Insert(teams, i, team{name: name, share: defaultShare})
	}
	q.teams = teams
	return q, i
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
