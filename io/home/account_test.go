package home

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/admit"
	"mothcart/io/object"
	"mothcart/platform/fake"
)

// accountNode returns a node of a site in which the account "a" has a limit, and its network.
func accountNode(t *testing.T) (*Client, *fake.Network, func() site.Config) {
	accounts, errs := site.NewAccounts([]site.AccountKeys{{Account: site.Account{Name: "a", Rate: 2, Burst: 2}}})
	require.Empty(t, errs)
	cfg := func() site.Config { return site.Config{Accounts: accounts} }
	network := fake.NewNetwork()
	c := NewClient(ClientOptions{
		VMID: "e1", Incarnation: 1, HomeNodes: func() []string { return nil }, Now: time.Now, Config: cfg,
		Origins: NewOrigins(time.Now, true, metrics.NewRegistry()), SoleVersion: noSoleVersion,
		Connect: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, "10.1.0.1", address)
		},
		Unreached: func() {}, Announced: func() {}, OnReceivesChanges: func() {}, View: func(string, object.Change) {}, Down: func(bool) {},
		Log: zerolog.Nop(), LeavingUpstreams: func() []site.Key { return nil },
	})
	c.SetUpstreams(accountUpstreams())
	return c, network, cfg
}

func accountUpstreams() []site.Upstream {
	return []site.Upstream{{ID: "i-1", Service: "desk", Slots: 100, Zone: "z1"}}
}

// accountHome starts a home and announces it to the node. One of an earlier release doesn't limit accounts.
func accountHome(t *testing.T, c *Client, network *fake.Network, cfg func() site.Config, term int64, earlier bool) (stop func()) {
	l, err := network.Listen(t.Context(), "10.2.0.1:7660")
	require.NoError(t, err)
	views := NewViews(func() map[string]object.Change { return nil }, zerolog.Nop())
	server := NewServer(l, admit.Options{Log: zerolog.Nop()}, func() SiteState { return SiteState{} }, views)
	if earlier {
		cfg = func() site.Config { return site.Config{} }
	}
	h := New(Options{
		VMID: "s1", Address: "10.2.0.1:7660", Term: term, SlotsOnly: true, Config: cfg, AskingNodes: c.AskingNodes(),
		Valid: func(time.Time) bool { return true }, Views: views,
		Origins: NewOrigins(time.Now, false, metrics.NewRegistry()), SoleVersion: noSoleVersion,
		MarkLeaving: func(string, []site.Key) {}, Leaving: func() []site.Key { return nil },
		ObjectsDown: func() bool { return false }, Now: time.Now, Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
	})
	h.SetUpstreams(accountUpstreams())
	server.SetHome(h)
	c.Announce(Announcement{Term: term, VM: "s1", Address: "10.2.0.1:7660"})
	time.Sleep(100 * time.Millisecond)
	require.True(t, c.Connected())
	return func() {
		server.SetHome(nil)
		server.Close()
		h.Close()
		time.Sleep(100 * time.Millisecond)
	}
}

// flood sends requests at once and returns how many were granted; the others are refused for their limit.
func flood(t *testing.T, c *Client, from, n int) (granted int) {
	for id := from; id < from+n; id++ {
		now := time.Now()
		lease, refusal, err := c.Acquire(t.Context(), slot.Request{
			Key: slot.Key{ID: uint64(id)}, Service: "desk", Account: "a", Order: now.Add(time.Second), Deadline: now.Add(200 * time.Millisecond), AvailabilityZone: "z1",
		})
		require.NoError(t, err)
		if refusal != nil {
			require.Equal(t, slot.ReasonOverLimit, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
			continue
		}
		granted++
		lease.Release(now, slot.Served)
	}
	return granted
}

// Guards against a limit that nobody keeps: under a home, while no home serves, under the next home, and under one of an
// earlier release. All of it lies within one window, in which 2 a second, the burst of 2, and 21.2 requests are allowed.
func TestLimitHoldsWhoeverDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, network, cfg := accountNode(t)
		defer c.Close()
		stop := accountHome(t, c, network, cfg, 1, false)
		time.Sleep(30 * time.Second)
		begin := time.Now()
		require.InDelta(t, 11.54, flood(t, c, 0, 50), 1, "burst, and 0.45 of what is allowed beyond the limit")
		require.LessOrEqual(t, flood(t, c, 100, 50), 1)
		stop()
		alone := flood(t, c, 200, 50)
		require.LessOrEqual(t, alone, 6+1, "a quarter, for all nodes")
		stop = accountHome(t, c, network, cfg, 2, false)
		require.LessOrEqual(t, flood(t, c, 300, 50), 3, "a tenth")
		stop()
		stop = accountHome(t, c, network, cfg, 3, true)
		require.LessOrEqual(t, flood(t, c, 400, 50), 1+2, "the first request shows that this home has no limits")
		require.Less(t, time.Since(begin), 5*time.Second)
		time.Sleep(30 * time.Second)
		n := flood(t, c, 500, 50)
		require.Less(t, n, 25)
		require.Positive(t, n)
		stop()
	})
}

// Guards against bytes for accounts in messages of sites that have none.
func TestNoBytesWithoutAccounts(t *testing.T) {
	for _, m := range []any{helloRequest{}, askAnswer{}, relaysNotice{}} {
		b, err := msgpack.Marshal(m)
		require.NoError(t, err)
		for _, field := range []string{"asks", "acct", "asking"} {
			require.NotContains(t, string(b), field)
		}
	}
}
