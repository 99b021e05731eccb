package published

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/config"
	"mothcart/core/vm"
	fakestore "mothcart/fake/store"
	"mothcart/io/peer"
)

// accountSet returns a configuration with n accounts.
func accountSet(t testing.TB, n int) config.Set {
	t.Helper()
	set := config.Set{Services: []config.Service{}, Teams: []config.Team{{Name: "deacons"}}}
	for i := range n {
		name := fmt.Sprintf("c%05d", i)
		hash := fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
		set.Accounts = append(set.Accounts, config.Account{Name: name, Team: "deacons", KeyHash: hash})
	}
	return set
}

// loopbackFleet runs nine followers that use the peer protocol over loopback.
func loopbackFleet(t testing.TB, s *fakestore.Store) []*Follower {
	t.Helper()
	var nodes []*peer.Node
	var vms []vm.VM
	for i := range 9 {
		self := vm.VM{ID: fmt.Sprintf("e%d", i+1), Group: vm.EntryGroup, AvailabilityZone: "arada", Address: "127.0.0.1:0"}
		node, err := peer.New(peer.NewOptions(self).WithIdentity(1, uint64(i+1)))
		require.NoError(t, err)
		t.Cleanup(node.Close)
		nodes = append(nodes, node)
		vms = append(vms, node.Self())
	}
	var followers []*Follower
	for _, node := range nodes {
		node.SetList(vms)
		f := New(Options{Self: node.Self().ID, Store: s.Client(), Peers: NewPeers(node)})
		t.Cleanup(f.Close)
		followers = append(followers, f)
	}
	for _, node := range nodes {
		require.Eventually(t, func() bool { return len(node.View().VMs) == 9 }, time.Minute, 5*time.Millisecond)
	}
	return followers
}

// A set that one VM of nine publishes must reach all of them even if the object service fails right after.
func TestNineVMsOverLoopback(t *testing.T) {
	s := newStore()
	followers := loopbackFleet(t, s)
	_, err := followers[4].Apply(context.Background(), time.Now(), "abebe", accountSet(t, 3000), nil)
	require.NoError(t, err)
	s.SetOutage(true)
	for _, f := range followers {
		require.Eventually(t, func() bool { return f.Current().Generation == 1 }, time.Minute, 5*time.Millisecond)
		assert.Len(t, f.Current().Set.Accounts, 3000)
	}
	n, of := followers[0].Spread(context.Background()).InForce(1)
	assert.Equal(t, [2]int{9, 9}, [2]int{n, of})
}
