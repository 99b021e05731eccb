package slot

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothcart/core/site"
)

// ofVersions returns upstreams of one slot: o0 and o1 of v1, n0 and n1 of v1.1.
func ofVersions() []site.Upstream {
	var list []site.Upstream
	for _, u := range []struct{ id, version string }{{"o0", "v1"}, {"o1", "v1"}, {"n0", "v1.1"}, {"n1", "v1.1"}} {
		list = append(list, site.Upstream{ID: u.id, Service: "scribe", Zone: "z0", Slots: 1, Version: u.version})
	}
	return list
}

// with returns the upstreams of ofVersions after a change of some of them.
func with(change func(u *site.Upstream), ids ...string) []site.Upstream {
	list := ofVersions()
	for i := range list {
		for _, id := range ids {
			if list[i].ID == id {
				change(&list[i])
			}
		}
	}
	return list
}

func drain(u *site.Upstream) { u.Draining = true }

// bound returns an online request of a version that may wait for a minute.
func bound(id uint64, version string) Request {
	r := online(id)
	r.Version, r.Deadline = version, start.Add(time.Minute)
	return r
}

func boundItem(id uint64, version string) Request {
	r := item(id, time.Minute)
	r.Version = version
	return r
}

// fill lets requests hold the slots of upstreams.
func fill(p *Pool, batch bool, ids ...string) {
	for i, id := range ids {
		r := online(uint64(1000 + i))
		if batch {
			r = item(uint64(1000+i), time.Duration(i+1)*time.Second)
		}
		p.Adopt(start, r, id)
	}
}

// What two software versions write doesn't fit together, whatever state the upstreams of the right one are in.
func TestBoundRequestGoesOnlyToItsVersion(t *testing.T) {
	pause := func(ids ...string) func(*Pool) {
		return func(p *Pool) {
			for _, id := range ids {
				p.Adopt(start, online(2000), id)
				p.Release(start, online(2000).Key, Full)
			}
		}
	}
	for _, tc := range []struct {
		name             string
		list             []site.Upstream
		prepare          func(p *Pool)
		exclude          []string
		version          string
		granted, preempt string
		refused          Reason
	}{
		{name: "all free", list: ofVersions(), version: "v1.1", granted: "n"},
		{name: "one full", list: ofVersions(), prepare: func(p *Pool) { fill(p, false, "o0") }, version: "v1", granted: "o1"},
		{name: "all full", list: ofVersions(), prepare: func(p *Pool) { fill(p, false, "o0", "o1") }, version: "v1"},
		{name: "one draining", list: with(drain, "o0"), version: "v1", granted: "o1"},
		{name: "all draining", list: with(drain, "o0", "o1"), version: "v1", refused: ReasonNoVersion},
		{name: "one paused", list: ofVersions(), prepare: pause("o1"), version: "v1", granted: "o0"},
		{name: "all paused", list: ofVersions(), prepare: pause("o0", "o1"), version: "v1"},
		{name: "one excluded", list: ofVersions(), exclude: []string{"o0", "n0"}, version: "v1", granted: "o1"},
		{name: "all excluded", list: ofVersions(), exclude: []string{"o0", "o1"}, version: "v1", refused: ReasonNoVersion},
		{name: "all of another excluded", list: ofVersions(), exclude: []string{"n0", "n1"}, version: "v1", granted: "o"},
		{name: "only a doubtful one free", list: with(func(u *site.Upstream) { u.Doubtful = true }, "o0", "o1"), prepare: func(p *Pool) { fill(p, false, "o0") }, version: "v1", granted: "o1"},
		{name: "batch items everywhere", list: ofVersions(), prepare: func(p *Pool) { fill(p, true, "o0", "o1", "n0", "n1") }, version: "v1", granted: "o1", preempt: "o1"},
		{name: "batch items at another", list: ofVersions(), prepare: func(p *Pool) { fill(p, false, "o0", "o1"); fill(p, true, "n0", "n1") }, version: "v1"},
		{name: "unknown", list: ofVersions(), version: "v2", refused: ReasonNoVersion},
		{name: "no upstream", version: "v1", refused: ReasonNoVersion},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPool(NewOptions())
			p.SetUpstreams(start, tc.list)
			if tc.prepare != nil {
				tc.prepare(p)
			}
			r := bound(1, tc.version)
			r.Exclude = tc.exclude
			out := p.Ask(start, r)
			if tc.refused != "" {
				require.Len(t, out.Refused, 1)
				require.Equal(t, tc.refused, out.Refused[0].Reason)
				require.Positive(t, out.Refused[0].RetryAfter)
				require.False(t, p.has(r.Key))
				return
			}
			require.Empty(t, out.Refused)
			require.Equal(t, tc.granted != "", len(out.Granted) == 1)
			if tc.granted != "" {
				require.Equal(t, tc.version, out.Granted[0].Upstream.Version)
				require.Contains(t, out.Granted[0].Upstream.ID, tc.granted)
			}
			require.Equal(t, tc.preempt != "", len(out.Preempted) == 1)
			if tc.preempt != "" {
				require.Equal(t, tc.preempt, out.Preempted[0].Upstream.ID)
			}
		})
	}
}

// A batch item that is bound to a version without upstreams would wait for ever.
func TestBoundItemWithoutUpstreamsIsRefused(t *testing.T) {
	p := NewPool(NewOptions())
	p.SetUpstreams(start, with(drain, "o0", "o1"))
	out := p.Ask(start, boundItem(1, "v1"))
	require.Len(t, out.Refused, 1)
	require.Equal(t, ReasonNoVersion, out.Refused[0].Reason)
	require.False(t, out.Refused[0].Unknown)
	require.True(t, NewPool(NewOptions()).Ask(start, boundItem(4, "v1")).Refused[0].Unknown, "the home has just started")
	require.False(t, p.has(boundItem(1, "").Key))
	require.Equal(t, "v1.1", p.Ask(start, boundItem(2, "v1.1")).Granted[0].Upstream.Version)
	require.Empty(t, NewPool(NewOptions()).Ask(start, item(3, time.Minute)).Refused, "an item that is not bound waits")
}

// Requests whose version has gone would wait for nothing until their wait ends, and batch items for ever.
func TestLastUpstreamOfVersionLeavesWhileRequestsWait(t *testing.T) {
	without := ofVersions()[2:]
	newRun := ofVersions()
	newRun[0].Version, newRun[1].Version = "v1.1", "v1.1"
	for _, tc := range []struct {
		name    string
		list    []site.Upstream
		refused int
	}{
		{"one of two draining", with(drain, "o0"), 0},
		{"all draining", with(drain, "o0", "o1"), 2},
		{"entries gone", without, 2},
		{"entries name another version", newRun, 2},
		{"no upstream", nil, 2},
		{"entries doubtful", with(func(u *site.Upstream) { u.Doubtful = true }, "o0", "o1"), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPool(NewOptions())
			p.SetUpstreams(start, ofVersions())
			fill(p, false, "o0", "o1", "n0", "n1")
			waiting := []Request{bound(1, "v1"), boundItem(2, "v1"), bound(3, "v1.1"), bound(4, "")}
			for _, r := range waiting {
				out := p.Ask(start, r)
				require.Empty(t, out.Refused)
				require.Empty(t, out.Granted)
			}
			var keys []Key
			for _, r := range p.SetUpstreams(start, tc.list).Refused {
				if r.Request.Version == "v1" {
					require.Equal(t, ReasonNoVersion, r.Reason)
					keys = append(keys, r.Request.Key)
				}
			}
			require.Len(t, keys, tc.refused)
			for _, k := range keys {
				require.False(t, p.has(k))
			}
			require.Equal(t, tc.refused == 0, p.has(waiting[0].Key))
			require.True(t, p.has(waiting[3].Key), "a request that is not bound waits on")
		})
	}
}

// Many requests that wait for a full version must not keep those behind them from the free slots of another.
func TestFullVersionBlocksNoOtherRequests(t *testing.T) {
	for _, tc := range []struct {
		name    string
		exclude []string
	}{
		{name: "streams of the full version"},
		{name: "streams that exclude one of its upstreams", exclude: []string{"o0"}},
	} {
		for _, behind := range []Request{bound(500, ""), bound(500, "v1.1"), item(500, time.Minute), boundItem(500, "v1.1")} {
			p := NewPool(NewOptions())
			p.SetUpstreams(start, ofVersions())
			fill(p, false, "o0", "o1", "n0", "n1")
			for id := range uint64(3 * maxMisses) {
				r := bound(id, "v1")
				r.Exclude, r.Batch, r.Objective = tc.exclude, behind.Batch, start.Add(time.Millisecond)
				p.Ask(start, r)
			}
			behind.Priority = 3
			require.Empty(t, p.Ask(start, behind).Granted)
			out := p.Release(start, online(1002).Key, Served)
			require.Len(t, out.Granted, 1, "%s, then %+v", tc.name, behind)
			require.Equal(t, behind.Key, out.Granted[0].Request.Key)
			require.Equal(t, "n0", out.Granted[0].Upstream.ID)
		}
	}
}

// Among requests of a full version that exclude an upstream, one that doesn't may take that upstream.
func TestExcludingRequestsDontBlockTheirVersion(t *testing.T) {
	p := NewPool(NewOptions())
	p.SetUpstreams(start, ofVersions())
	fill(p, false, "o0", "o1", "n0", "n1")
	for id := range uint64(3 * maxMisses) {
		r := bound(id, "v1")
		r.Exclude = []string{"o0"}
		p.Ask(start, r)
	}
	r := bound(500, "v1")
	r.Priority = 3
	p.Ask(start, r)
	out := p.Release(start, online(1000).Key, Served)
	require.Len(t, out.Granted, 1)
	require.Equal(t, r.Key, out.Granted[0].Request.Key)
}

// The slots of a version of which few upstreams are left must stay free for the streams that need just these.
func TestNewRequestsAvoidScarceVersion(t *testing.T) {
	for _, tc := range []struct {
		name        string
		old, newer  site.Upstream
		wantAtNewer int
	}{
		{"in the zone of the caller", site.Upstream{Zone: "z0", Slots: 2}, site.Upstream{Zone: "z1", Slots: 7}, 5},
		{"with less load", site.Upstream{Zone: "z1", Slots: 2}, site.Upstream{Zone: "z1", Slots: 7}, 5},
		{"with the same number of slots, in the zone of the caller", site.Upstream{Zone: "z0", Slots: 3}, site.Upstream{Zone: "z1", Slots: 3}, 0},
	} {
		for _, batch := range []bool{false, true} {
			p := NewPool(NewOptions())
			tc.old.ID, tc.old.Service, tc.old.Version = "o0", "scribe", "v1"
			tc.newer.ID, tc.newer.Service, tc.newer.Version = "n0", "scribe", "v1.1"
			p.SetUpstreams(start, []site.Upstream{tc.newer, tc.old})
			for id := range uint64(tc.wantAtNewer + 1) {
				r := online(id)
				r.Batch = batch
				out := p.Ask(start, r)
				require.Len(t, out.Granted, 1)
				want := "v1.1"
				if id == uint64(tc.wantAtNewer) {
					want = "v1"
				}
				require.Equal(t, want, out.Granted[0].Upstream.Version, "%s, request %d", tc.name, id)
			}
		}
	}
}

// versionPool is a pool with the requests that are open in it.
type versionPool struct {
	*Pool
	rt   *rapid.T
	open map[Key]Request
}

func (p *versionPool) apply(out Outcome) {
	for _, g := range out.Granted {
		require.True(p.rt, g.Request.accepts(g.Upstream.Version))
	}
	for _, g := range out.Preempted {
		delete(p.open, g.Request.Key)
	}
	for _, r := range out.Refused {
		delete(p.open, r.Request.Key)
	}
}

func (p *versionPool) ask(now time.Time, r Request) {
	r.Deadline = now.Add(2 * time.Second)
	r.Version = rapid.SampledFrom([]string{"", "v1", "v1.1"}).Draw(p.rt, "bound to")
	p.open[r.Key] = r
	p.apply(p.Ask(now, r))
}

func (p *versionPool) releaseFirst(now time.Time) {
	if keys := sorted(slices.Collect(maps.Keys(p.open))); len(keys) > 0 {
		delete(p.open, keys[0])
		p.apply(p.Release(now, keys[0], Result(keys[0].ID%uint64(Moved))))
	}
}

// check checks each bound request that waits.
func (p *versionPool) check(now time.Time) {
	p.apply(p.Tick(now)) // pauses end without an event
	for k, r := range p.open {
		require.True(p.rt, p.has(k))
		if _, granted := p.grants[k]; granted || r.Version == "" {
			continue
		}
		serves := func(u *upstream) bool { return u.Version == r.Version && !u.Draining }
		require.True(p.rt, slices.ContainsFunc(p.service("scribe").upstreams, serves), "nothing to wait for")
		if !r.Batch {
			require.Nil(p.rt, p.service("scribe").index.best(now, &r, p.opts), "a slot of its version is free")
		}
	}
}

// A request that waits may be served only at its version, and waits only while that has upstreams.
func TestVersionsAreHonouredInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &versionPool{Pool: NewPool(NewOptions()), rt: rt, open: map[Key]Request{}}
		now := start
		for id := range uint64(rapid.IntRange(1, 40).Draw(rt, "events")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				p.apply(p.SetUpstreams(now, drawUpstreams(rt)))
			case 1:
				p.releaseFirst(now)
			case 2:
				p.ask(now, item(id, time.Minute))
			default:
				p.ask(now, online(id))
			}
			p.check(now)
		}
	})
}
