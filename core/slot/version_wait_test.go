package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// A request that will be served in time must not be refused, nor one wait that won't, for the state of another version.
func TestExpectedWaitLooksAtSlotsOfTheVersion(t *testing.T) {
	const soon = 600 * time.Millisecond // requests that began then end 100 ms later
	for _, tc := range []struct {
		name string
		// oldSince and newerSince are when the requests at the two versions began, before the question.
		oldSince, newerSince time.Duration
		waiting              int
		asking               string
		refused              bool
	}{
		{name: "its own slots are free soon", oldSince: soon, asking: "v1"},
		{name: "only others' are free soon", newerSince: soon, asking: "v1", refused: true},
		{name: "many of its version wait", oldSince: soon, waiting: 6, asking: "v1", refused: true},
		{name: "many of another version wait", oldSince: soon, newerSince: soon, waiting: 6, asking: "v1.1"},
		{name: "not bound, many of a version wait", newerSince: soon, oldSince: soon, waiting: 6},
		{name: "not bound, no slot is free soon", refused: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPool(NewOptions())
			p.SetUpstreams(start, ofVersions())
			now := start.Add(time.Second)
			since := map[string]time.Duration{"o0": tc.oldSince, "o1": tc.oldSince, "n0": tc.newerSince, "n1": tc.newerSince}
			for _, early := range []bool{true, false} { // the pool gets events in order
				for i, id := range []string{"o0", "o1", "n0", "n1"} {
					if (since[id] > 0) == early {
						p.Adopt(now.Add(-since[id]), online(uint64(1000+i)), id)
					}
				}
			}
			for id := range uint64(tc.waiting) {
				r := bound(id, "v1")
				r.Objective = now.Add(time.Millisecond)
				require.Empty(t, p.Ask(now, r).Refused)
			}
			r := bound(500, tc.asking)
			r.Deadline = now.Add(200 * time.Millisecond)
			out := p.Ask(now, r)
			require.Empty(t, out.Granted)
			require.Equal(t, tc.refused, len(out.Refused) == 1)
			if tc.refused {
				require.Equal(t, ReasonFull, out.Refused[0].Reason)
			}
		})
	}
}

// Where one version serves, requests that are bound to it would overtake others that are more urgent for no reason.
func TestBoundRequestsGoFirstOnlyWhereOthersHaveAChoice(t *testing.T) {
	for _, tc := range []struct {
		name        string
		list, later []site.Upstream
		first       uint64
	}{
		{"one version", ofVersions()[:2], ofVersions()[:2], 2},
		{"two versions", ofVersions(), ofVersions(), 1},
		{"a version appears", ofVersions()[:2], ofVersions(), 1},
		{"a version disappears", ofVersions(), ofVersions()[:2], 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPool(NewOptions())
			p.SetUpstreams(start, tc.list)
			fill(p, false, "o0", "o1", "n0", "n1")
			for id := range uint64(5) {
				r := bound(id, "")
				r.Objective = start.Add(time.Second)
				if id == 1 {
					r.Version, r.Objective = "v1", start.Add(2*time.Second)
				}
				require.Empty(t, p.Ask(start, r).Granted)
			}
			p.SetUpstreams(start, tc.later) // the slots of a new version go to requests 0 and 2
			p.Release(start, bound(0, "").Key, Abandoned)
			out := p.Release(start, online(1000).Key, Served)
			require.Len(t, out.Granted, 1)
			require.Equal(t, tc.first, out.Granted[0].Request.Key.ID)
		})
	}
}

// The slots and batch items of the software that ran before would count for the version that runs now.
func TestEntryThatChangesItsVersionStartsFree(t *testing.T) {
	p := NewPool(NewOptions())
	p.SetUpstreams(start, ofVersions())
	fill(p, true, "o0", "o1")
	p.SetUpstreams(start, with(func(u *site.Upstream) { u.Version = "v2" }, "o0"))
	out := p.Ask(start, bound(1, "v2"))
	require.Len(t, out.Granted, 1)
	require.Empty(t, out.Preempted)
	for _, i := range []uint64{1000, 1001} {
		p.Release(start, item(i, 0).Key, Served)
	}
	require.Empty(t, p.service("scribe").batchByVersion)
}
