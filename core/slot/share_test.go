package slot

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// sharedPool returns a pool of one upstream whose accounts have priorities, unless they are negative.
func sharedPool(slots int, priorities map[string]int) *Pool {
	opts := NewOptions()
	opts.Account = func(name string) (site.Account, bool) {
		priority, ok := priorities[name]
		return site.Account{Name: name, Priority: priority, HasPriority: ok && priority >= 0}, ok
	}
	p := NewPool(opts)
	p.SetUpstreams(start, upstreams(1, slots))
	return p
}

func ofAccount(r Request, account string, priority int) Request {
	r.Account, r.Priority = account, priority
	return r
}

// decisionsWithoutAccounts is the digest of the decisions of the version before accounts.
const decisionsWithoutAccounts = 0x59bb4858abe33d91

// A site without accounts decides as before there were any.
func TestDecisionsWithoutAccounts(t *testing.T) {
	random, digest := rand.New(rand.NewPCG(1, 2)), fnv.New64a()
	p := newPool(5, 4)
	var held []Key
	record := func(out Outcome) {
		for _, g := range out.Preempted {
			fmt.Fprintln(digest, "preempted", g.Request.Key, g.Upstream.ID)
		}
		for _, g := range out.Granted {
			fmt.Fprintln(digest, "granted", g.Request.Key, g.Upstream.ID)
			held = append(held, g.Request.Key)
		}
		for _, r := range out.Refused {
			fmt.Fprintln(digest, "refused", r.Request.Key, r.Reason, r.RetryAfter)
		}
	}
	now := start
	for id := range uint64(20_000) {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		switch event := random.IntN(10); {
		case event < 5:
			r := online(id)
			r.Priority = random.IntN(3)
			r.Objective = now.Add(time.Duration(random.IntN(300)-50) * time.Millisecond)
			r.Order, r.Deadline = now.Add(5*time.Second), now.Add(time.Duration(random.IntN(900))*time.Millisecond)
			record(p.Ask(now, r))
		case event < 6:
			record(p.Ask(now, item(id, now.Sub(start)+time.Duration(random.IntN(12))*time.Second)))
		case event < 9 && len(held) > 0:
			record(p.Release(now, held[0], Served))
			held = held[1:]
		default:
			record(p.Tick(now))
		}
	}
	require.Equal(t, uint64(decisionsWithoutAccounts), digest.Sum64())
	require.Nil(t, p.service("scribe").shares.accounts)
}

// The account's priority goes before the route's; a request without account keeps that of its route.
func TestRankOfAccountGoesBeforeRoute(t *testing.T) {
	p := sharedPool(1, map[string]int{"first": 0, "last": 5, "none": -1})
	p.Ask(start, online(1))
	now := start.Add(690 * time.Millisecond)
	for id, r := range map[uint64]Request{
		2: ofAccount(online(2), "last", 0), 3: ofAccount(online(3), "first", 3), 4: ofAccount(online(4), "none", 2),
		5: ofAccount(online(5), "", 1), 6: ofAccount(online(6), "first", 2),
	} {
		r.Deadline = now.Add(10 * time.Second)
		require.Empty(t, p.Ask(now, r).Refused, id)
	}
	require.Equal(t, []uint64{6, 3, 5, 4, 2}, served(p, now, online(1).Key, 5, 0))
}

// An account holds all slots when another one asks: its next request comes after, though it asked first, and is refused
// while it can't be within the share.
func TestAccountAboveItsShareYields(t *testing.T) {
	p := sharedPool(4, nil)
	for id := range uint64(4) {
		p.Ask(start, ofAccount(online(id), "hot", 0))
	}
	now := start.Add(690 * time.Millisecond)
	ask := func(id uint64, account string, wait time.Duration) Outcome {
		r := ofAccount(online(id), account, 0)
		r.Deadline = now.Add(wait)
		return p.Ask(now, r)
	}
	ask(10, "cool", time.Second)
	ask(11, "cool", time.Second)
	now = now.Add(shareInterval)
	require.Empty(t, ask(12, "hot", time.Second).Refused, "its share comes free within 1 s")
	out := ask(13, "hot", 100*time.Millisecond)
	require.Equal(t, ReasonOverShare, out.Refused[0].Reason)
	require.Positive(t, out.Refused[0].AccountLevel)
	require.InDelta(t, 2, out.Refused[0].AccountSlots, 1e-9, "half of the slots")
	ask(14, "cool", time.Second)
	require.Equal(t, uint64(10), p.Release(now, online(0).Key, Served).Granted[0].Request.Key.ID)
	require.Equal(t, uint64(11), p.Release(now, online(1).Key, Served).Granted[0].Request.Key.ID)
	p.Tick(now)
	require.Equal(t, uint64(12), p.Release(now, online(2).Key, Served).Granted[0].Request.Key.ID, "both hold their shares")
}

// What accounts held and wanted is forgotten once they are idle.
func TestIdleAccountsAreForgotten(t *testing.T) {
	p := sharedPool(1, nil)
	for id := range uint64(100) {
		p.Ask(start, ofAccount(online(id), fmt.Sprint("account", id), 0))
		p.Release(start, online(id).Key, Served)
	}
	p.Ask(start.Add(idleTime), ofAccount(online(100), "account100", 0))
	require.Len(t, p.service("scribe").shares.accounts, 1)
}

// A burst of jobs of one account: the items of the others stay on time, and of items equally due that of the account with
// more of them yields.
func TestItemsOfAccountsShare(t *testing.T) {
	var list []*planItem
	add := func(account string, n int, due time.Duration) {
		for range n {
			r := ofAccount(item(uint64(len(list)), due), account, 2)
			list = append(list, &planItem{request: r, remaining: 3 * time.Second})
		}
	}
	add("hot", 100, 17*time.Second)
	add("cool", 10, 18*time.Second)
	add("small", 1, 18*time.Second)
	planItems(start, list, 4)
	onTime := map[string]int{}
	for _, i := range list {
		if !i.late {
			onTime[i.request.Account]++
		}
	}
	require.Equal(t, map[string]int{"hot": 13, "cool": 10, "small": 1}, onTime, "24 items fit into 18 s")

	p := sharedPool(4, nil)
	p.Ask(start, item(100, time.Minute))
	p.Release(start.Add(3*time.Second), item(100, 0).Key, Served)
	now := start.Add(3 * time.Second)
	for id, account := range []string{"hot", "hot", "hot", "cool"} {
		due := time.Minute + time.Duration(id)*time.Millisecond
		require.Len(t, p.Ask(now, ofAccount(item(uint64(id), due), account, 2)).Granted, 1)
	}
	now = now.Add(planInterval)
	out := p.Ask(now, online(10))
	require.Equal(t, "hot", out.Preempted[0].Request.Account, "the other one's is due last, but within the tolerance")
}
