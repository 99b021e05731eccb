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
	// least is the least share of each kind that is served within its objective.
	least float64
}

// shares plays the pattern for 20 s and returns the shares of bound and unbound requests that are served in time.
func (l versionLoad) shares(t *testing.T) [2]float64 {
	const length, hold, wait, slots = 20 * time.Second, 700 * time.Millisecond, 400 * time.Millisecond, 7
	var list []site.Upstream
	for i := range l.newer + 2 {
		u := site.Upstream{ID: string(rune('a' + i)), Service: "scribe", Zone: "z0", Slots: slots, Version: "v1.1"}
		if i < 2 {
			u.Version = "v1"
		}
		list = append(list, u)
	}
	p := NewPool(NewOptions())
	p.SetUpstreams(start, list)
	for id := range uint64(2 * slots) {
		require.NotEmpty(t, p.Ask(start, bound(1_000_000+id, "v1")).Granted, "the version's own upstreams are full")
	}
	ends := map[Key]time.Time{}
	for id := range uint64(2 * slots) {
		ends[bound(1_000_000+id, "").Key] = start.Add(time.Duration(id) * hold / (2 * slots))
	}
	var asked, inTime [2]float64
	record := func(now time.Time, out Outcome) {
		for _, g := range out.Granted {
			ends[g.Request.Key] = now.Add(hold - 100*time.Millisecond + time.Duration(g.Request.Key.ID*37%200)*time.Millisecond)
			if r := g.Request; !r.missesObjective(now) {
				inTime[r.Key.ID%2]++
			}
		}
	}
	next := [2]time.Time{start, start}
	id := [2]uint64{0, 1}
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		for _, k := range due(ends, now) {
			delete(ends, k)
			record(now, p.Release(now, k, Served))
		}
		record(now, p.Tick(now))
		for kind, rate := range []int{l.bound, l.unbound} {
			for !now.Before(next[kind]) {
				next[kind] = next[kind].Add(time.Second / time.Duration(rate))
				r := online(id[kind])
				id[kind] += 2
				if kind == 0 {
					r.Version = "v1"
				}
				r.Objective, r.Order, r.Deadline = now.Add(wait), now.Add(5*time.Second), now.Add(wait)
				asked[kind]++
				record(now, p.Ask(now, r))
			}
		}
	}
	return [2]float64{inTime[0] / asked[0], inTime[1] / asked[1]}
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
