package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// limitedPool returns a pool of upstreams of 8 slots, of which the first ones name a rate.
func limitedPool(t *testing.T, n, limited int, rate float64) *Pool {
	p := newPool(n, 8)
	for i := range limited {
		q := online(uint64(900_000 + i))
		for _, u := range upstreams(n, 8) {
			if u.ID != upstreams(n, 8)[i].ID {
				q.Exclude = append(q.Exclude, u.ID)
			}
		}
		require.Len(t, p.Ask(start, q).Granted, 1)
		require.Len(t, p.Limit(start, q.Key, rate, true).Limits, 1)
		p.Release(start, q.Key, Served)
	}
	return p
}

// A limited upstream with free slots must not draw requests that then wait for its rate.
func TestRequestsGoWhereThereIsRoom(t *testing.T) {
	p := limitedPool(t, 2, 1, 1)
	sent := map[string]int{}
	for i := range uint64(8) {
		out := p.Ask(start, online(i))
		require.Len(t, out.Granted, 1)
		sent[out.Granted[0].Upstream.ID]++
	}
	require.Equal(t, map[string]int{"u1": 8}, sent)
	later := start.Add(time.Second)
	q := online(20)
	q.Deadline = later.Add(time.Second)
	require.Equal(t, "u0", p.Ask(later, q).Granted[0].Upstream.ID, "its rate is used too")
}

// A service whose upstreams all name rates refuses in time, and says when its rate is free again.
func TestLimitedServiceRefusesAtOnce(t *testing.T) {
	p := limitedPool(t, 2, 2, 0.5)
	out := p.Ask(start, online(1))
	require.Len(t, out.Refused, 1)
	require.Equal(t, ReasonFull, out.Refused[0].Reason)
	require.GreaterOrEqual(t, out.Refused[0].RetryAfter, 500*time.Millisecond)
	at := start.Add(out.Refused[0].RetryAfter + 500*time.Millisecond)
	q := online(2)
	q.Deadline = at.Add(200 * time.Millisecond)
	require.Len(t, p.Ask(at, q).Granted, 1)
	next := start.Add(1900 * time.Millisecond)
	q = online(3)
	q.Deadline = next.Add(300 * time.Millisecond)
	out = p.Ask(next, q)
	require.Empty(t, out.Refused, "the rate is free within its wait")
	require.Empty(t, out.Granted)
	require.Len(t, p.Tick(next.Add(150*time.Millisecond)).Granted, 1)
}

// Batch items get only what online requests can't use later, and are not preempted where the rate is used up.
func TestBatchYieldsTheRate(t *testing.T) {
	p := limitedPool(t, 1, 1, 2)
	for i := range uint64(8) {
		p.Ask(start, item(i, time.Minute))
	}
	at := start.Add(time.Second)
	require.Empty(t, p.Tick(at).Granted, "two requests are allowed, of three that can be kept")
	q := online(100)
	q.Deadline = at.Add(time.Second)
	require.Len(t, p.Ask(at, q).Granted, 1)
	at = start.Add(3 * time.Second)
	require.Len(t, p.Tick(at).Granted, 1, "one more would be lost")
	for i := range uint64(2) {
		q := online(200 + i)
		q.Deadline = at.Add(time.Second)
		require.Len(t, p.Ask(at, q).Granted, 1)
	}
	q = online(300)
	q.Deadline = at.Add(time.Second)
	out := p.Ask(at, q)
	require.Empty(t, out.Preempted)
	require.Empty(t, out.Granted)
}

// Limits end with an answer that names none, with the upstream's run, and with the home's word; not by older answers.
func TestLimitEnds(t *testing.T) {
	limited := func(p *Pool) bool { return p.IsLimited("u0") }
	for _, tc := range []struct {
		name string
		end  func(p *Pool, early Request)
		want bool
	}{
		{"an answer to a later request names none", func(p *Pool, _ Request) {
			later := start.Add(2 * time.Second)
			q := online(7)
			q.Deadline = later.Add(time.Second)
			p.Ask(later, q)
			p.Limit(later, q.Key, 0, false)
		}, false},
		{"an answer to an earlier request names none", func(p *Pool, early Request) { p.Limit(start.Add(time.Second), early.Key, 0, false) }, true},
		{"another run of the upstream", func(p *Pool, _ Request) {
			list := upstreams(1, 8)
			list[0].Incarnation++
			p.SetUpstreams(start, list)
		}, false},
		{"the same run again", func(p *Pool, _ Request) { p.SetUpstreams(start, upstreams(1, 8)) }, true},
		{"the home doesn't know it", func(p *Pool, _ Request) { p.ImportLimits(start.Add(time.Minute), nil, true) }, false},
		{"the home doesn't know it yet", func(p *Pool, _ Request) { p.ImportLimits(start.Add(time.Second), nil, true) }, true},
		{"another node doesn't know it", func(p *Pool, _ Request) { p.ImportLimits(start.Add(time.Minute), nil, false) }, true},
		{"an answer to a request that isn't open", func(p *Pool, _ Request) { p.Limit(start.Add(time.Minute), Key{Owner: "e9"}, 0, false) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(1, 8)
			early := online(1)
			require.Len(t, p.Ask(start.Add(-time.Second), early).Granted, 1)
			q := online(2)
			require.Len(t, p.Ask(start.Add(-time.Second), q).Granted, 1)
			p.Limit(start, q.Key, 1, true)
			tc.end(p, early)
			require.Equal(t, tc.want, limited(p))
		})
	}
}

// What one node knows of limits reaches a new home, and nodes that decide alone share a rate.
func TestLimitsOfOtherNodes(t *testing.T) {
	p := limitedPool(t, 1, 1, 8)
	home := newPool(1, 8)
	now := start.Add(time.Second)
	records := p.ExportLimits(now)
	require.Equal(t, []LimitRecord{{Upstream: site.Key{ID: "u0"}, Rate: 8, Age: time.Second}}, records)
	require.Len(t, home.ImportLimits(now, records, false).Limits, 1)
	require.Empty(t, home.ImportLimits(now, records, false).Limits)
	require.True(t, home.IsLimited("u0"))
	q := online(1)
	q.Deadline = now.Add(10 * time.Millisecond)
	require.Empty(t, home.Ask(now, q).Granted, "it begins without an allowance")
	alone := newPool(1, 8)
	alone.DecideAlone(now, 4, func() float64 { return 0 })
	alone.ImportLimits(now, records, false)
	granted := 0
	for i := range uint64(100) {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		q := online(10 + i)
		q.Deadline = at.Add(time.Millisecond)
		out := alone.Ask(at, q)
		for _, g := range out.Granted {
			granted++
			alone.Release(at, g.Request.Key, Served)
		}
	}
	require.InDelta(t, 0.75*8/4*10, granted, 1.5)
}
