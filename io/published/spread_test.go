package published

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/publication"
	fakestore "mothcart/fake/store"
	"mothcart/io/store"
)

// spreadBound is the time within which nine VMs must have an accepted generation in force.
const spreadBound = 3 * time.Second

func fleet(t *testing.T, n int, s *fakestore.Store, net *network) []*Follower {
	t.Helper()
	var followers []*Follower
	for i := range n {
		id := fmt.Sprintf("e%d", i+1)
		followers = append(followers, start(t, Options{Self: id, Seed: uint64(i + 1), Store: s.Client(), Peers: net.peers(id)}))
	}
	return followers
}

func generations(followers []*Follower) []uint64 {
	var gs []uint64
	for _, f := range followers {
		gs = append(gs, f.Current().Generation)
	}
	return gs
}

func TestOutageRightAfterAcceptanceStillReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, net := newStore(), newNetwork()
		followers := fleet(t, 9, s, net)
		time.Sleep(time.Second)
		apply(t, followers[4], classSet(t, "night"), nil)
		s.SetOutage(true)
		time.Sleep(spreadBound)
		assert.Equal(t, []uint64{1, 1, 1, 1, 1, 1, 1, 1, 1}, generations(followers))
		time.Sleep(time.Minute)
		spread := followers[0].Spread(context.Background())
		assert.False(t, spread.AcceptedKnown)
		n, of := spread.InForce(1)
		assert.Equal(t, [2]int{9, 9}, [2]int{n, of})
		for _, f := range followers {
			assert.Less(t, f.Confirmed(time.Now()), 10*time.Second, "an outage of the store alone leaves no VM unconfirmed")
		}
	})
}

// The VM that publishes a set is lost before it can push the set to any peer. The other VMs must still get
// it, from the object service.
func TestAcceptingVMIsLostAfterItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, net := newStore(), newNetwork()
		followers := fleet(t, 9, s, net)
		time.Sleep(time.Second)
		net.setPartitioned("e5", true)
		apply(t, followers[4], classSet(t, "night"), nil)
		net.remove("e5")
		followers[4].Close()
		time.Sleep(spreadBound)
		assert.Equal(t, []uint64{1, 1, 1, 1, 1, 1, 1, 1, 1}, generations(followers), "the watchers see it")
	})
}

// A read of the object service that returns an old root must neither revert the set in force nor count as a
// confirmation of it, and no set may be published on top of the old root.
func TestStaleReadNeitherRevertsNorConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, stale := newStore(), &staleClient{}
		c := stale.client(s.Client())
		c.Watch = func(ctx context.Context, key string, _ store.Version, _ time.Duration) (store.Object, error) {
			return c.Get(ctx, key)
		}
		f := start(t, Options{Self: "e1", Store: c})
		apply(t, f, classSet(t, "night"), nil)
		old, err := s.Client().Get(context.Background(), publication.RootKey)
		require.NoError(t, err)
		apply(t, f, classSet(t, "noon"), nil)
		stale.set(&old)
		time.Sleep(time.Minute)
		assert.EqualValues(t, 2, f.Current().Generation)
		assert.Greater(t, f.Confirmed(time.Now()), 50*time.Second)
		_, err = f.Apply(context.Background(), time.Now(), "abebe", classSet(t, "dawn"), nil)
		require.ErrorIs(t, err, ErrUnavailable)
		stale.set(nil)
		assert.EqualValues(t, 3, apply(t, f, classSet(t, "dawn"), nil).Generation)
	})
}

func TestOutOfOrderPushAndStaleVMDoNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, net := newStore(), newNetwork()
		followers := fleet(t, 3, s, net)
		time.Sleep(time.Second)
		apply(t, followers[0], classSet(t, "night"), nil)
		time.Sleep(spreadBound)
		net.setPartitioned("e3", true)
		followers[2].Close()
		oldRoot := followers[2].onFetchRoot()
		apply(t, followers[0], classSet(t, "noon"), nil)
		time.Sleep(spreadBound)
		require.ErrorIs(t, followers[1].adopt(context.Background(), oldRoot, followers[1].fromStore), ErrStale)
		followers[1].onAnnounce("e3", Announcement{Generation: 1, Revision: 1})
		net.setPartitioned("e3", false)
		time.Sleep(time.Minute)
		assert.Equal(t, []uint64{2, 2}, generations(followers[:2]))
	})
}

func TestRestartInAnOutage(t *testing.T) {
	for _, tc := range []struct {
		name             string
		dataDir, hasPeer bool
		want             uint64
	}{
		{"from peers", false, true, 1},
		{"from the data folder", true, false, 1},
		{"from nowhere until the store recovers", false, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := ""
			if tc.dataDir {
				dir = t.TempDir()
			}
			synctest.Test(t, func(t *testing.T) {
				s, net := newStore(), newNetwork()
				start(t, Options{Self: "e1", Store: s.Client(), Peers: net.peers("e1")})
				f := New(Options{Self: "e2", Store: s.Client(), Peers: net.peers("e2"), DataDir: dir})
				apply(t, f, classSet(t, "night"), nil)
				time.Sleep(spreadBound)
				f.Close()
				s.SetOutage(true)
				net.setPartitioned("e1", !tc.hasPeer)
				f = start(t, Options{Self: "e2", Store: s.Client(), Peers: net.peers("e2"), DataDir: dir})
				time.Sleep(spreadBound)
				assert.Equal(t, tc.want, f.Current().Generation)
				switch {
				case tc.hasPeer:
					assert.Less(t, f.Confirmed(time.Now()), spreadBound)
				case tc.dataDir:
					assert.Equal(t, spreadBound, f.Confirmed(time.Now()))
				default:
					assert.Equal(t, NeverConfirmed, f.Confirmed(time.Now()))
				}
				s.SetOutage(false)
				time.Sleep(10 * time.Second)
				assert.EqualValues(t, 1, f.Current().Generation)
				assert.Less(t, f.Confirmed(time.Now()), 5*time.Second)
			})
		})
	}
}

// A watch that stops responding must be replaced by a new one, which sees the changes made meanwhile.
func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		c := s.Client()
		watch, silent := c.Watch, true
		c.Watch = func(ctx context.Context, key string, after store.Version, wait time.Duration) (store.Object, error) {
			if silent {
				silent = false
				<-ctx.Done()
				return store.Object{}, store.ErrUnavailable
			}
			return watch(ctx, key, after, wait)
		}
		f := start(t, Options{Self: "e1", Store: c})
		other := start(t, Options{Self: "e2", Store: s.Client()})
		time.Sleep(10 * time.Millisecond)
		apply(t, other, classSet(t, "night"), nil)
		time.Sleep(spreadBound)
		assert.EqualValues(t, 1, f.Current().Generation)
	})
}

// VMs that start in an outage of the object service without a set must not confirm the empty set to one another.
func TestVMsWithoutASetConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, net := newStore(), newNetwork()
		s.SetOutage(true)
		followers := fleet(t, 4, s, net)
		time.Sleep(time.Minute)
		for _, f := range followers {
			assert.Equal(t, NeverConfirmed, f.Confirmed(time.Now()))
		}
		s.SetOutage(false)
		time.Sleep(10 * time.Second)
		for _, f := range followers {
			assert.Less(t, f.Confirmed(time.Now()), 10*time.Second, "the store says that there is no set")
		}
	})
}

// VMs that restart must get the many blocks of a large set from peers and not exhaust the read rate of the
// object service.
func TestMassRestartReadsLittleFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, net := newStore(), newNetwork()
		followers := fleet(t, 30, s, net)
		apply(t, followers[0], accountSet(t, 5000), nil)
		time.Sleep(spreadBound)
		before := s.Calls().Reads
		for i := range 10 {
			followers[i].Close()
			id := fmt.Sprintf("e%d", i+1)
			followers[i] = start(t, Options{Self: id, Seed: uint64(i + 100), Store: s.Client(), Peers: net.peers(id)})
		}
		time.Sleep(spreadBound)
		for _, f := range followers {
			assert.EqualValues(t, 1, f.Current().Generation)
		}
		assert.LessOrEqual(t, s.Calls().Reads-before, uint64(10), "one read of the root each")
	})
}

func TestDamagedCopyIsIgnored(t *testing.T) {
	for _, data := range []string{"", "x", "\x98\x00\x00\xff\x80\xdd\xdd\xdd\xdd\xdd\xdd", strings.Repeat("x", 200)} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, cacheFile), []byte(data), 0o600))
		f := start(t, Options{Self: "e1", Store: newStore().Client(), DataDir: dir})
		assert.EqualValues(t, 1, apply(t, f, classSet(t, "night"), nil).Generation)
	}
}

func TestFewVMsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, net := newStore(), newNetwork()
		followers := fleet(t, 40, s, net)
		time.Sleep(10 * time.Second)
		apply(t, followers[7], classSet(t, "night"), nil)
		time.Sleep(spreadBound)
		before := s.Calls()
		time.Sleep(time.Minute)
		after := s.Calls()
		for _, f := range followers {
			assert.EqualValues(t, 1, f.Current().Generation)
		}
		watches := after.Watches - before.Watches
		assert.Equal(t, before.Reads, after.Reads, "VMs that don't watch read nothing")
		assert.LessOrEqual(t, watches, uint64(3*60/2+3))
	})
}
