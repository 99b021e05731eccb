package account

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/config"
	"mothcart/core/vm"
	"mothcart/io/peer"
)

func startLimiters(t testing.TB, n int, account config.Account) ([]*Limiter, []*peer.Node) {
	snapshot := config.NewSnapshot(1, config.Set{Accounts: []config.Account{account}})
	var limiters []*Limiter
	var nodes []*peer.Node
	var list []vm.VM
	for i := range n {
		node, err := peer.New(peer.NewOptions(vm.VM{ID: string(rune('a' + i)), Group: vm.EntryGroup, Address: "127.0.0.1:0"}))
		require.NoError(t, err)
		l := New(Options{Peers: node, Snapshot: func() *config.Snapshot { return snapshot }})
		t.Cleanup(func() {
			l.Close()
			node.Close()
		})
		limiters, nodes, list = append(limiters, l), append(nodes, node), append(list, node.Self())
	}
	for _, node := range nodes {
		node.SetList(list)
	}
	require.Eventually(t, func() bool {
		for _, node := range nodes {
			if len(node.View().VMs) != n {
				return false
			}
		}
		return true
	}, 30*time.Second, 10*time.Millisecond)
	return limiters, nodes
}

// Guards against an account that gets more than its rate and burst when its requests are spread over
// several VMs.
func TestLimitHoldsOverAllVMs(t *testing.T) {
	a := config.Account{Name: "shop", RequestsPerSecond: 20, Burst: 10}
	limiters, _ := startLimiters(t, 3, a)
	start := time.Now()
	admitted := 0
	for i := range 600 {
		if _, ok := limiters[i%3].Allow(context.Background(), a); ok {
			admitted++
		}
		time.Sleep(time.Millisecond)
	}
	most := a.RequestsPerSecond*time.Since(start).Seconds() + float64(a.Burst)
	assert.LessOrEqual(t, float64(admitted), most+1)
	assert.GreaterOrEqual(t, admitted, a.Burst)
}

// The other VMs keep admitting requests after the account's home has stopped.
func TestLimitWorksWithoutTheHome(t *testing.T) {
	a := config.Account{Name: "shop", RequestsPerSecond: 1000, Burst: 100}
	limiters, nodes := startLimiters(t, 3, a)
	for range 50 {
		for _, l := range limiters {
			_, _ = l.Allow(context.Background(), a)
		}
	}
	home := nodes[0].View().Owner("account/" + a.Name)
	for i, node := range nodes {
		if node.Self().ID == home {
			node.Close()
			continue
		}
		defer func(l *Limiter) {
			admitted := 0
			for range 20 {
				if _, ok := l.Allow(context.Background(), a); ok {
					admitted++
				}
			}
			assert.Positive(t, admitted)
		}(limiters[i])
	}
}

func TestAccountsWithoutLimitAreNotCounted(t *testing.T) {
	a := config.Account{Name: "free"}
	limiters, _ := startLimiters(t, 1, a)
	for range 100 {
		_, ok := limiters[0].Allow(context.Background(), a)
		assert.True(t, ok)
	}
	assert.Empty(t, limiters[0].allowances)
}

// BenchmarkGrant measures a grant at the home and the size of request and answer.
func BenchmarkGrant(b *testing.B) {
	a := config.Account{Name: "account-12345", RequestsPerSecond: 1e9, Burst: 1 << 30}
	limiters, _ := startLimiters(b, 1, a)
	req := grantRequest{Account: a.Name, Tokens: 2}
	var resp grantResponse
	for b.Loop() {
		resp = limiters[0].grant(time.Now(), req)
	}
	out, err := msgpack.Marshal(req)
	require.NoError(b, err)
	in, err := msgpack.Marshal(resp)
	require.NoError(b, err)
	b.ReportMetric(float64(len(out)+len(in)), "bytes/grant")
}
