package slot

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// callers are the callers of an account. load is the part of all slots that they usually want; from 5 s on they want factor
// times as much.
type callers struct {
	load, factor float64
	rank         int
	rate         float64
}

// accountResult counts the first tries of an account, those that got a slot in time, and those that got one at all.
type accountResult struct{ asked, inTime, served int }

// shareLoad plays callers that try twice in virtual time: 160 slots, held for 0.5 to 0.9 s, for 20 s.
type shareLoad struct {
	name    string
	callers []callers
	// lost is the number of upstreams of 20 that are gone after 8 s.
	lost int
	// items is the number of batch items that the first account adds each second.
	items int
}

const (
	shareSlots  = 160
	shareLength = 20 * time.Second
	shareWait   = 210 * time.Millisecond
	// shareTries is the number of requests a millisecond that use all slots.
	shareTries = shareSlots / 700.0
)

// shareRun is a run of a shareLoad.
type shareRun struct {
	shareLoad
	flood bool
	p     *Pool
	// random draws for each account, so that what the others want doesn't depend on a flood.
	random  []*rand.Rand
	hold    map[uint64]int
	results []accountResult
	first   map[uint64]time.Time
	// ends and retries are what happens at a millisecond.
	ends    map[int][]Key
	retries map[int][]Request
	next    uint64
}

func (l shareLoad) account(name string) (site.Account, bool) {
	i, _ := strconv.Atoi(name)
	return site.Account{Name: name, Priority: l.callers[i].rank, HasPriority: true, Rate: l.callers[i].rate}, true
}

// play plays the pattern with a seed, with the floods or without.
func (l shareLoad) play(seed uint64, flood bool) []accountResult {
	opts := NewOptions()
	opts.Account = l.account
	r := &shareRun{
		shareLoad: l, flood: flood, p: NewPool(opts), hold: map[uint64]int{}, results: make([]accountResult, len(l.callers)),
		first: map[uint64]time.Time{}, ends: map[int][]Key{}, retries: map[int][]Request{},
	}
	for i := range l.callers {
		r.random = append(r.random, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	list := upstreams(20, shareSlots/20)
	r.p.SetUpstreams(start, list)
	for ms := range int(shareLength / time.Millisecond) {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, k := range r.ends[ms] {
			r.record(ms, r.p.Release(now, k, Served))
		}
		if ms == 8000 {
			r.record(ms, r.p.SetUpstreams(now, list[l.lost:]))
		}
		if ms%20 == 0 {
			r.record(ms, r.p.Tick(now))
		}
		if r.flood && ms%1000 == 0 {
			r.submit(ms, now)
		}
		r.arrive(ms, now)
	}
	return r.results
}

// submit adds the items of a second.
func (r *shareRun) submit(ms int, now time.Time) {
	for range r.items {
		r.next++
		i := item(r.next, now.Sub(start)+18*time.Second)
		i.Account = "0"
		r.record(ms, r.p.Ask(now, i))
	}
}

// arrive asks for the slots of callers that retry, and of new ones.
func (r *shareRun) arrive(ms int, now time.Time) {
	for _, again := range r.retries[ms] {
		again.Key.Owner, again.Deadline = "retry", now.Add(250*time.Millisecond)
		r.record(ms, r.p.Ask(now, again))
	}
	for i, c := range r.callers {
		load := c.load
		if r.flood && ms > 5000 {
			load *= max(c.factor, 1)
		}
		if r.random[i].Float64() >= load*shareTries {
			continue
		}
		r.next++
		r.hold[r.next], r.first[r.next] = 500+r.random[i].IntN(400), now
		r.results[i].asked++
		r.record(ms, r.p.Ask(now, Request{
			Key: Key{Owner: "e1", ID: r.next}, Service: "scribe", Account: strconv.Itoa(i), Order: now.Add(5 * time.Second),
			Objective: now.Add(shareWait), Deadline: now.Add(shareWait), AvailabilityZone: "z0",
		}))
	}
}

func (r *shareRun) record(ms int, out Outcome) {
	now := start.Add(time.Duration(ms) * time.Millisecond)
	for _, g := range out.Granted {
		end := ms + cmp.Or(r.hold[g.Request.Key.ID], 700)
		r.ends[end] = append(r.ends[end], g.Request.Key)
		if g.Request.Batch {
			continue
		}
		i, _ := strconv.Atoi(g.Request.Account)
		r.results[i].served++
		if now.Sub(r.first[g.Request.Key.ID]) <= shareWait {
			r.results[i].inTime++
		}
	}
	for _, refusal := range out.Refused {
		if at := ms + int(refusal.RetryAfter/time.Millisecond) + 1; refusal.Request.Key.Owner == "e1" {
			r.retries[at] = append(r.retries[at], refusal.Request)
		}
	}
	for _, g := range out.Preempted {
		r.record(ms, r.p.Ask(now, g.Request))
	}
}

// shareSeeds is the number of seeds with which each pattern is played.
const shareSeeds = 5

// others returns the share in time of the accounts that don't flood.
func (l shareLoad) others(flood bool) float64 {
	asked, inTime := 0, 0
	for seed := range uint64(shareSeeds) {
		for i, r := range l.play(seed, flood) {
			if l.callers[i].factor <= 1 {
				asked, inTime = asked+r.asked, inTime+r.inTime
			}
		}
	}
	return float64(inTime) / float64(asked)
}

// equal returns n accounts that want a load each.
func equal(n int, load, rate float64) []callers {
	out := make([]callers, n)
	for i := range out {
		out[i] = callers{load: load, rate: rate}
	}
	return out
}

// hot returns callers of which some flood with eight times their usual load.
func hot(list []callers, which ...int) []callers {
	for _, i := range which {
		list[i].factor = 8
	}
	return list
}

// largeAndMany is one large account beside 60 small ones, each with a limit of ten times its load.
func largeAndMany() []callers {
	return append([]callers{{load: 0.4, rate: 914}}, equal(60, 0.4/60, 15.2)...)
}

// The patterns: accounts send eight times their usual within their limits. What the others are served in time falls by no
// more than 0.01.
func TestAccountThatFloodsYields(t *testing.T) {
	for _, l := range []shareLoad{
		{name: "one of eight", callers: hot(equal(8, 0.1, 0), 0)},
		{name: "three of eight", callers: hot(equal(8, 0.1, 0), 0, 1, 2)},
		{name: "one with jobs", callers: hot(equal(8, 0.1, 0), 0), items: 100},
		{name: "the large one beside many small ones", callers: hot(largeAndMany(), 0)},
		{name: "a small one beside a large one", callers: hot(largeAndMany(), 1)},
		{name: "one while upstreams are lost", callers: hot(equal(8, 0.1, 0), 0), lost: 6},
		{name: "a small one while upstreams are lost", callers: hot(largeAndMany(), 1), lost: 6},
		{name: "the large one while upstreams are lost", callers: hot(largeAndMany(), 0), lost: 6},
	} {
		t.Run(l.name, func(t *testing.T) {
			calm, flood := l.others(false), l.others(true)
			t.Logf("%.4f in time, %.4f without the flood", flood, calm)
			require.GreaterOrEqual(t, flood, calm-0.01)
		})
	}
}

func totals(results []accountResult) (asked, served int) {
	for _, r := range results {
		asked, served = asked+r.asked, served+r.served
	}
	return asked, served
}

// The pattern: all accounts want more than there is. All get the same, by Jain's index, and no slot is idle.
func TestAccountsThatWantMoreThanThereIsGetTheSame(t *testing.T) {
	results := shareLoad{callers: hot(equal(8, 0.25, 0), 0, 1)}.play(1, true)
	sum, squares := 0.0, 0.0
	for _, r := range results {
		sum += float64(r.served)
		squares += float64(r.served * r.served)
	}
	require.GreaterOrEqual(t, sum*sum/squares/float64(len(results)), 0.98)
	require.GreaterOrEqual(t, sum, 0.97*shareTries*float64(shareLength/time.Millisecond), "no slot is idle")
}

// The pattern: lasting overload by accounts of three ranks, one of the last of which asks seldom. None is served less than
// a quarter as often as all; those of the first rank are served at least twice as often as each other one.
func TestLowRanksAreNotStarved(t *testing.T) {
	l := shareLoad{callers: append(equal(9, 0.25, 0), callers{load: 0.003, rank: 2})}
	for i := range 9 {
		l.callers[i].rank = i % 3
	}
	results := l.play(1, false)
	asked, all := totals(results)
	share := func(i int) float64 { return float64(results[i].served) / float64(results[i].asked) }
	for i, c := range l.callers {
		t.Logf("rank %d: %.3f of %d", c.rank, share(i), results[i].asked)
		require.Greater(t, share(i), 0.25*float64(all)/float64(asked), i)
		if c.rank > 0 {
			require.Greater(t, min(share(0), share(3), share(6)), 2*share(i), i)
		}
	}
}
