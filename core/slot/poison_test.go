package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/poison"
)

// sharing returns a request whose prompt has a shared part.
func sharing(id uint64, at time.Time, part string) Request {
	r := online(id)
	r.Parts, r.Deadline = []poison.Part{poison.NewPart(part)}, at.Add(time.Second)
	return r
}

// suspectedPool returns a pool of upstreams of 4 slots, and a time at which each of the parts is suspected.
func suspectedPool(t *testing.T, n int, parts ...string) (*Pool, time.Time) {
	p := newPool(n, 4)
	now := start
	for i, part := range parts {
		r := sharing(uint64(1000+i), now, part)
		require.Len(t, p.Ask(now, r).Granted, 1)
		p.Release(now, r.Key, Ended)
		now = now.Add(10 * time.Second)
	}
	restartAll(p, now, n, 1)
	return p, now
}

// restartAll replaces the upstreams by new runs, since each run ends once.
func restartAll(p *Pool, now time.Time, n int, incarnation int64) {
	list := upstreams(n, 4)
	for i := range list {
		list[i].Incarnation = incarnation
	}
	p.SetUpstreams(now, list)
}

// Guards against the end of one upstream that counts against two suspected parts.
func TestTrialsRunAtDifferentUpstreams(t *testing.T) {
	p, now := suspectedPool(t, 2, "a", "b", "c")
	first, second := p.Ask(now, sharing(1, now, "a")), p.Ask(now, sharing(2, now, "b"))
	require.Len(t, first.Granted, 1)
	require.True(t, first.Granted[0].Trial)
	require.Len(t, second.Granted, 1)
	require.NotEqual(t, first.Granted[0].Upstream.ID, second.Granted[0].Upstream.ID)
	third := p.Ask(now, sharing(3, now, "c"))
	require.Empty(t, third.Granted)
	require.Empty(t, third.Refused, "it waits for the end of a trial")
	require.Len(t, p.Ask(now, sharing(4, now, "sound")).Granted, 1, "others don't")
	out := p.Wrote(now, sharing(1, now, "a").Key)
	require.Len(t, out.Granted, 1)
	require.Equal(t, first.Granted[0].Upstream.ID, out.Granted[0].Upstream.ID)
}

// Guards against requests with a suspected part that never get a slot again.
func TestHeldRequestsGoOn(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(p *Pool, now time.Time) Outcome
	}{
		{"the upstream writes", func(p *Pool, now time.Time) Outcome { return p.Wrote(now, sharing(1, now, "a").Key) }},
		{"the upstream answers", func(p *Pool, now time.Time) Outcome { return p.Release(now, sharing(1, now, "a").Key, Served) }},
		{"the attempt fails", func(p *Pool, now time.Time) Outcome { return p.Release(now, sharing(1, now, "a").Key, Broken) }},
		{"the caller has gone", func(p *Pool, now time.Time) Outcome { return p.Release(now, sharing(1, now, "a").Key, Abandoned) }},
		{"the node has gone", func(p *Pool, now time.Time) Outcome { return p.DropOwner(now, "e1") }},
		{"nothing is heard", func(p *Pool, now time.Time) Outcome { return p.Tick(now.Add(poison.TrialTime)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, now := suspectedPool(t, 3, "a")
			require.True(t, p.Ask(now, sharing(1, now, "a")).Granted[0].Trial)
			held := sharing(2, now, "a")
			held.Key.Owner, held.Deadline = "e2", now.Add(time.Minute)
			require.Empty(t, p.Ask(now, held).Granted)
			out := tc.end(p, now)
			require.Len(t, out.Granted, 1)
			require.Equal(t, held.Key, out.Granted[0].Request.Key)
		})
	}
}

// Guards against waiting requests and items that a quarantine doesn't reach.
func TestQuarantineRefusesWhatWaits(t *testing.T) {
	p, now := suspectedPool(t, 3, "a")
	waiting, batch := sharing(50, now, "a"), item(51, time.Minute)
	waiting.Deadline, batch.Parts = now.Add(time.Minute), waiting.Parts
	for i := range uint64(2) {
		r := sharing(1+i, now, "a")
		require.Len(t, p.Ask(now, r).Granted, 1)
		p.Ask(now, waiting)
		p.Ask(now, batch)
		now = now.Add(100 * time.Millisecond)
		p.Release(now, r.Key, Ended)
		restartAll(p, now, 3, int64(i)+2)
		require.True(t, p.has(waiting.Key), "held until it is settled")
		if i == 0 {
			p.Release(now, waiting.Key, Abandoned)
			p.Release(now, batch.Key, Abandoned)
		}
		now = now.Add(100 * time.Millisecond)
	}
	out := p.Tick(now)
	require.Len(t, out.Findings, 1)
	require.Equal(t, poison.QuarantineBegun, out.Findings[0].Kind)
	require.Len(t, out.Refused, 2)
	for _, r := range out.Refused {
		require.Equal(t, ReasonQuarantined, r.Reason)
		require.Greater(t, r.RetryAfter, time.Minute)
	}
	require.Equal(t, ReasonQuarantined, p.Ask(now, sharing(60, now, "a")).Refused[0].Reason)
	require.Len(t, p.Ask(now, sharing(61, now, "b")).Granted, 1)
}
