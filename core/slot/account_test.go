package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// accountPool returns a pool of one upstream in which the account "a" has a limit of one request a second and "b" none.
func accountPool(slots int) *Pool {
	opts := NewOptions().WithConfig(func(name string) (site.Account, bool) {
		switch name {
		case "a":
			return site.Account{Name: name, Rate: 1, Burst: 3}, true
		case "b":
			return site.Account{Name: name}, true
		}
		return site.Account{}, false
	}, func(string) int { return 0 })
	p := NewPool(opts)
	p.SetUpstreams(start, upstreams(1, slots))
	return p
}

// burstOfA is the burst of the account "a", and half of the 20.8 requests by which it may exceed its limit in a window.
const burstOfA = 13

// accountRequest is a request of an account that waits for a slot for 200 ms.
func accountRequest(id uint64, account string, now time.Time) Request {
	q := online(id)
	q.Account, q.Deadline, q.Order = account, now.Add(200*time.Millisecond), now.Add(3*time.Second)
	return q
}

// useUp uses up the limit of the account "a", and returns how many requests it granted.
func useUp(t *testing.T, p *Pool, now time.Time) int {
	for n := range 100 {
		q := accountRequest(uint64(1000+n), "a", now)
		if out := p.Ask(now, q); len(out.Granted) == 0 {
			require.Equal(t, ReasonOverLimit, out.Refused[0].Reason)
			return n
		}
		p.Release(now, q.Key, Served)
	}
	require.Fail(t, "no limit")
	return 0
}

// The load: an account sends all at once what its limit allows in minutes.
func TestAccountOverItsLimitIsRefusedAtOnce(t *testing.T) {
	p := accountPool(8)
	now := start.Add(time.Hour)
	require.Equal(t, burstOfA, useUp(t, p, now))
	out := p.Ask(now, accountRequest(1, "a", now))
	require.Len(t, out.Refused, 1)
	require.InDelta(t, 0.6, out.Refused[0].RetryAfter.Seconds(), 0.01, "13 of 13.4 tokens are used")
	for _, tc := range []struct {
		name   string
		change func(q *Request)
	}{
		{"another account", func(q *Request) { q.Account = "b" }},
		{"no account", func(q *Request) { q.Account = "" }},
		{"an account that the configuration lacks", func(q *Request) { q.Account = "c" }},
		{"a later attempt", func(q *Request) { q.Charged = true }},
		{"an item", func(q *Request) { q.Batch = true }},
	} {
		q := accountRequest(2, "a", now)
		tc.change(&q)
		require.Len(t, p.Ask(now, q).Granted, 1, tc.name)
		p.Release(now, q.Key, Served)
	}
	require.Equal(t, map[string]int{"a": 2}, p.LimitRefusals())
	require.Equal(t, 1, p.TrackedAccounts())
}

// Requests that no upstream had room for must not use up the limit of their account.
func TestTokenReturnsWithoutSlot(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(p *Pool, now time.Time, k Key)
	}{
		{"waited in vain", func(p *Pool, now time.Time, _ Key) { p.Tick(now.Add(time.Second)) }},
		{"caller gone", func(p *Pool, now time.Time, k Key) { p.Release(now, k, Abandoned) }},
		{"not open at its node", func(p *Pool, now time.Time, k Key) {
			p.Reconcile(now, k.Owner, func(uint64) bool { return false })
		}},
		{"no upstream left", func(p *Pool, now time.Time, _ Key) { p.SetUpstreams(now, nil) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := accountPool(1)
			now := start.Add(time.Hour)
			busy := accountRequest(1, "b", now)
			busy.Key.Owner = "other"
			require.Len(t, p.Ask(now, busy).Granted, 1)
			waiting := accountRequest(2, "a", now)
			waiting.Version = upstreams(1, 1)[0].Version
			out := p.Ask(now, waiting)
			require.Empty(t, out.Granted)
			for _, r := range out.Refused {
				require.NotEqual(t, ReasonOverLimit, r.Reason)
			}
			tc.end(p, now, waiting.Key)
			p.Release(now, busy.Key, Served)
			p.SetUpstreams(now, upstreams(1, 1))
			require.Equal(t, burstOfA, useUp(t, p, now))
		})
	}
}

// Sites without accounts must not pay for them.
func TestRequestsWithoutAccountKeepNoState(t *testing.T) {
	p := newPool(1, 8)
	p.Joined(start, "e1/1/1", false)
	require.Len(t, p.Ask(start, online(1)).Granted, 1)
	p.DropOwner(start, "e1/1/1")
	require.Nil(t, p.accounts.limiter)
	require.Zero(t, p.AskingNodes(start))
	require.Empty(t, p.LimitRefusals())
}

// A node that the home has lost may go on granting its share alone.
func TestLostNodeTakesItsShareAlong(t *testing.T) {
	for _, tc := range []struct {
		name string
		then func(p *Pool, now time.Time)
		want int
	}{
		{"connected", func(*Pool, time.Time) {}, 6},
		{"lost", func(p *Pool, now time.Time) { p.DropOwner(now, "e2/1/1") }, 3},
		{"back", func(p *Pool, now time.Time) {
			p.DropOwner(now, "e2/1/1")
			p.Joined(now, "e2/1/2", true)
		}, 6},
	} {
		p, now := accountPool(8), start.Add(time.Hour)
		for _, owner := range []string{"e1/1/1", "e2/1/1"} {
			q := accountRequest(1, "a", now)
			q.Key.Owner = owner
			require.Len(t, p.Ask(now, q).Granted, 1)
			p.Release(now, q.Key, Served)
		}
		tc.then(p, now)
		use := func(now time.Time) (granted int) {
			for id := range uint64(50) {
				q := accountRequest(id, "a", now)
				q.Key.Owner = "e1/1/1"
				granted += len(p.Ask(now, q).Granted)
				p.Release(now, q.Key, Served)
			}
			return granted
		}
		use(now)
		require.InDelta(t, tc.want, use(now.Add(6*time.Second)), 1, tc.name)
	}
}
