package slot

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// versionLoad is a pattern of requests that are bound to a version with two upstreams left, and of new requests.
type versionLoad struct {
	name string
	// newer is the number of upstreams of the other version.
	newer int
	// bound and unbound are requests per second.
	bound, unbound int
	// items is the number of batch items that wait for free slots all the time.
	items int
	// least is the least share of each kind that is served within its objective.
	least float64
}

const (
	loadLength = 20 * time.Second
	loadHold   = 700 * time.Millisecond
	loadWait   = 400 * time.Millisecond
	loadSlots  = 7
)

// versionRun is a run of a versionLoad. Of each pair, the first is for bound requests, the second for new ones.
type versionRun struct {
	versionLoad
	p             *Pool
	ends          map[Key]time.Time
	asked, inTime [2]float64
	next          [2]time.Time
	nextItem      uint64
}

// shares plays the pattern and returns the shares of bound and new requests that are served in time.
func (l versionLoad) shares(t *testing.T) [2]float64 {
	var list []site.Upstream
	for i := range l.newer + 2 {
		u := site.Upstream{ID: string(rune('a' + i)), Service: "scribe", Zone: "z0", Slots: loadSlots, Version: "v1.1"}
		if i < 2 {
			u.Version = "v1"
		}
		list = append(list, u)
	}
	r := &versionRun{versionLoad: l, p: NewPool(NewOptions()), ends: map[Key]time.Time{}, next: [2]time.Time{start, start}}
	r.p.SetUpstreams(start, list)
	for id := range uint64(2 * loadSlots) {
		held := bound(1_000_000+id, "v1")
		require.NotEmpty(t, r.p.Ask(start, held).Granted, "the version's own upstreams are full")
		r.ends[held.Key] = start.Add(time.Duration(id) * loadHold / (2 * loadSlots))
	}
	for now := start; now.Before(start.Add(loadLength)); now = now.Add(time.Millisecond) {
		r.step(now)
	}
	return [2]float64{r.inTime[0] / r.asked[0], r.inTime[1] / r.asked[1]}
}

// step ends the requests that are done and asks for those that arrive.
func (r *versionRun) step(now time.Time) {
	for _, k := range due(r.ends, now) {
		delete(r.ends, k)
		r.record(now, r.p.Release(now, k, Served))
	}
	r.record(now, r.p.Tick(now))
	for r.items > r.p.Load(now, "scribe").WaitingBatch {
		r.nextItem++
		r.record(now, r.p.Ask(now, item(r.nextItem, time.Minute+time.Duration(r.nextItem)*time.Millisecond)))
	}
	for kind, rate := range []int{r.bound, r.unbound} {
		for !now.Before(r.next[kind]) {
			r.next[kind] = r.next[kind].Add(time.Second / time.Duration(rate))
			r.ask(now, kind)
		}
	}
}

func (r *versionRun) ask(now time.Time, kind int) {
	q := online(uint64(2*int(r.asked[kind]) + kind))
	q.Version = []string{"v1", ""}[kind]
	q.Objective, q.Order, q.Deadline = now.Add(loadWait), now.Add(5*time.Second), now.Add(loadWait)
	r.asked[kind]++
	r.record(now, r.p.Ask(now, q))
}

func (r *versionRun) record(now time.Time, out Outcome) {
	for _, g := range out.Preempted {
		delete(r.ends, g.Request.Key)
	}
	for _, g := range out.Granted {
		if g.Request.Batch {
			r.ends[g.Request.Key] = now.Add(4 * loadHold)
			continue
		}
		varied := time.Duration(g.Request.Key.ID*37%200)*time.Millisecond - 100*time.Millisecond
		r.ends[g.Request.Key] = now.Add(loadHold + varied)
		if !g.Request.missesObjective(now) {
			r.inTime[g.Request.Key.ID%2]++
		}
	}
}

// due returns the keys of the requests that have ended, in a fixed order.
func due(ends map[Key]time.Time, now time.Time) []Key {
	var keys []Key
	for k, end := range ends {
		if !now.Before(end) {
			keys = append(keys, k)
		}
	}
	return sorted(keys)
}

func sorted(keys []Key) []Key {
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Owner, b.Owner)) })
	return keys
}

// Streams that are bound to a version with two upstreams left must not be starved by new requests, nor starve these.
func TestBoundAndNewRequestsAreServedAlike(t *testing.T) {
	for _, l := range []versionLoad{
		{name: "the newer version is idle", newer: 10, bound: 18, unbound: 5, least: 0.95},
		{name: "the newer version is half full", newer: 10, bound: 18, unbound: 50, least: 0.95},
		{name: "batch items fill both versions", newer: 10, bound: 18, unbound: 50, items: 100, least: 0.95},
		{name: "batch items fill both versions, which are nearly full", newer: 10, bound: 18, unbound: 85, items: 100, least: 0.9},
		{name: "more new requests than slots", newer: 10, bound: 10, unbound: 150, least: 0.7},
		{name: "far more new requests than slots", newer: 4, bound: 10, unbound: 100, least: 0.4},
		{name: "as many upstreams of each", newer: 2, bound: 10, unbound: 25, least: 0.9},
		{name: "as many upstreams of each, too few for either", newer: 2, bound: 25, unbound: 30, least: 0.6},
	} {
		t.Run(l.name, func(t *testing.T) {
			shares := l.shares(t)
			t.Logf("bound %.3f, new %.3f", shares[0], shares[1])
			require.GreaterOrEqual(t, min(shares[0], shares[1]), l.least)
			require.GreaterOrEqual(t, shares[0], shares[1]-0.1)
		})
	}
	t.Run("more bound requests than slots", func(t *testing.T) {
		l := versionLoad{newer: 10, bound: 60, unbound: 80}
		shares := l.shares(t)
		t.Logf("bound %.3f, new %.3f", shares[0], shares[1])
		require.GreaterOrEqual(t, shares[0], 0.9*20/60, "the slots of the version are used")
		require.GreaterOrEqual(t, shares[1], 0.95, "new requests don't wait for it")
	})
}
