package member

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mothcart/core/vm"
)

// TestMain fixes the seed of the property test, so that each run draws the same events.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

var testStart = time.Unix(1_000_000, 0)

func testVM(i int) vm.VM {
	return vm.VM{ID: fmt.Sprintf("e%d", i), Group: vm.EntryGroup, AvailabilityZone: "arada", Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

// TestClaims checks which of several claims about e2 prevails. It guards against an outdated claim that
// overrides a newer one, so that a live member is removed or a dead one stays.
func TestClaims(t *testing.T) {
	e2 := testVM(2)
	alive := func(incarnation uint64) Update {
		return Update{ID: "e2", Status: Alive, Incarnation: incarnation, VM: &e2}
	}
	claim := func(status Status, incarnation uint64) Update {
		return Update{ID: "e2", Status: status, Incarnation: incarnation}
	}
	for _, tc := range []struct {
		name   string
		kind   Kind
		claims []Update
		status Status
	}{
		{"alive", Gossip, []Update{alive(5)}, Alive},
		{"suspect under the same incarnation", Gossip, []Update{alive(5), claim(Suspect, 5)}, Suspect},
		{"suspect under an older one", Gossip, []Update{alive(5), claim(Suspect, 4)}, Alive},
		{"refuted", Gossip, []Update{alive(5), claim(Suspect, 5), alive(6)}, Alive},
		{"refutation comes first", Gossip, []Update{alive(5), alive(6), claim(Suspect, 5)}, Alive},
		{"alive again under the same incarnation", Gossip, []Update{alive(5), claim(Suspect, 5), alive(5)}, Suspect},
		{"dead", Gossip, []Update{alive(5), claim(Dead, 5)}, Dead},
		{"dead by synchronization is a suspicion", SyncReply, []Update{alive(5), claim(Dead, 5)}, Suspect},
		{"rejoined with a higher incarnation", Gossip, []Update{alive(5), claim(Dead, 5), alive(6)}, Alive},
		{"alive without a description", Gossip, []Update{claim(Alive, 5)}, 0},
		{"dead and not listed", Gossip, []Update{claim(Dead, 5)}, 0},
		{"unknown status", Gossip, []Update{alive(5), claim(9, 6)}, Alive},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(NewParams(), testVM(1), 1, 1, testStart)
			for _, u := range tc.claims {
				s, _ = s.Receive("e3", Message{Kind: tc.kind, Updates: []Update{u}}, testStart)
			}
			if tc.status == 0 {
				assert.NotContains(t, s.members, "e2")
				return
			}
			assert.Equal(t, tc.status, s.members["e2"].status)
		})
	}
}

// Guards against a leaving VM that owns keys while other VMs stay, and against keys that change their owner
// when all VMs are leaving.
func TestOwners(t *testing.T) {
	all := View{Self: testVM(1), VMs: []vm.VM{testVM(1), testVM(2), testVM(3)}}
	for i := range 50 {
		key := fmt.Sprintf("ledger/%d", i)
		view := View{Self: all.Self, VMs: slices.Clone(all.VMs)}
		owner := all.Owner(key)
		at := slices.Index(all.IDs(), owner)
		view.VMs[at] = view.VMs[at].WithLeaving(true)
		assert.NotEqual(t, owner, view.Owner(key), "a leaving VM owns nothing")
		assert.NotEqual(t, owner, view.OwnerInZone(key, "arada"))
		assert.Equal(t, owner == "e1", all.Owns(key))
		for j := range view.VMs {
			view.VMs[j] = view.VMs[j].WithLeaving(true)
		}
		assert.Equal(t, owner, view.Owner(key), "the owner stays if all VMs are leaving")
	}
}

// TestInvariants feeds random events to a state and checks the invariants after each one: old views do not
// change, the incremental digest is right, the incarnation never falls, the view has the live members and the
// node itself, and leaving marks are never lost.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		s := New(NewParams(), testVM(1), 1, 1, now)
		marked := map[string]bool{}
		highest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
			before, beforeVMs := s.View(), slices.Clone(s.View().VMs)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s, _ = s.Tick(now)
			case 1:
				s, _ = s.Receive(testVM(rapid.IntRange(2, 6).Draw(t, "from")).ID, drawMessage(t, marked), now)
			case 2:
				s = s.WithList([]vm.VM{testVM(1), testVM(2), testVM(3)}, now)
			case 3:
				s = s.WithMark("engine-1", now)
				marked["engine-1"] = true
			case 4:
				s = s.WithDraining(now)
			}
			require.Equal(t, beforeVMs, before.VMs, "an old view does not change")
			require.Equal(t, s.computeDigest(now), s.digest)
			require.GreaterOrEqual(t, s.incarnation, highest)
			highest = s.incarnation
			require.True(t, slices.IsSorted(s.View().IDs()))
			require.Contains(t, s.View().IDs(), "e1")
			for id, r := range s.members {
				require.Equal(t, r.live(), slices.Contains(s.View().IDs(), id))
			}
			for id := range marked {
				require.True(t, s.Leaving(id), "leaving marks stick")
			}
		}
	})
}

func drawMessage(t *rapid.T, marked map[string]bool) Message {
	m := Message{Kind: Kind(rapid.IntRange(1, int(SyncPush)).Draw(t, "kind")), Sequence: rapid.Uint64Range(0, 20).Draw(t, "sequence"), Target: "e3"}
	for range rapid.IntRange(0, 3).Draw(t, "updates") {
		v := testVM(rapid.IntRange(1, 6).Draw(t, "about"))
		u := Update{ID: v.ID, Status: Status(rapid.IntRange(0, 5).Draw(t, "status")), Incarnation: rapid.Uint64Range(0, 5).Draw(t, "incarnation")}
		if u.Status == Alive && rapid.Bool().Draw(t, "described") {
			u.VM = &v
		}
		if u.Status == Leaving {
			marked[u.ID] = true
		}
		m.Updates = append(m.Updates, u)
		m.Entries = append(m.Entries, Entry{ID: v.ID, Status: Status(rapid.IntRange(1, 3).Draw(t, "entry")), Incarnation: u.Incarnation})
	}
	return m
}
