package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/member"
	"mothcart/core/vm"
)

// spreadLimit is the time within which a leaving mark or a change of members must reach all nodes.
const spreadLimit = 3 * time.Second

// deathLimit bounds the time in which all nodes drop a dead one: two probe timeouts, the suspicion
// and the spread.
const deathLimit = 8 * time.Second

func TestDeathIsDetected(t *testing.T) {
	for _, n := range []int{2, 3, 9, 50} {
		f := settledFleet(t, n, 1)
		f.nodes[f.ids[0]].up = false
		f.runUntil(deathLimit, func() bool { return f.agree(n - 1) }, "death")
	}
}

func TestReturnWithHigherIncarnation(t *testing.T) {
	f := settledFleet(t, 9, 2)
	f.nodes[f.ids[3]].up = false
	f.run(deathLimit)
	require.True(t, f.agree(8))
	f.start(f.list[3])
	f.runUntil(spreadLimit, func() bool { return f.agree(9) }, "return")
}

// The clock is set back before a dead node restarts, so that the incarnation of the new run is lower than
// that of the previous one. The node must still become a member again.
func TestRestartWithClockSetBack(t *testing.T) {
	f := settledFleet(t, 9, 3)
	f.nodes[f.ids[3]].up = false
	f.run(deathLimit)
	f.now = f.now.Add(-time.Hour)
	for i := range f.events {
		f.events[i].at = f.events[i].at.Add(-time.Hour)
	}
	f.start(f.list[3])
	f.runUntil(deathLimit, func() bool { return f.agree(9) }, "return")
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	f := settledFleet(t, 9, 4)
	victim := f.ids[2]
	before := f.nodes[victim].state.Incarnation()
	f.partitioned = func(_, to string) bool { return to == victim }
	f.run(1900 * time.Millisecond)
	f.partitioned = nil
	f.run(time.Minute)
	require.Greater(t, f.nodes[victim].state.Incarnation(), before, "the suspicion happened and was refuted")
	require.Zero(t, f.deaths())
}

func TestPausedNodeIsNotDeclaredDead(t *testing.T) {
	f := settledFleet(t, 9, 5)
	victim := f.ids[2]
	version := f.nodes[f.ids[0]].state.View().Version
	f.nodes[victim].pausedUntil = f.now.Add(2 * time.Second)
	f.run(time.Minute)
	for _, id := range f.ids {
		require.Len(t, f.nodes[id].state.View().VMs, 9)
	}
	require.Equal(t, version, f.nodes[f.ids[0]].state.View().Version, "no flapping")
}

// After a long pause of its process, a node must not take the probes that were not answered meanwhile for the
// death of other nodes.
func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	f := settledFleet(t, 9, 6)
	victim := f.nodes[f.ids[2]]
	victim.pausedUntil = f.now.Add(30 * time.Second)
	f.run(29 * time.Second)
	require.False(t, f.sees(f.ids[0], f.ids[2]), "a long pause counts as death")
	version := victim.state.View().Version
	f.runUntil(10*time.Second, func() bool { return f.agree(9) }, "return from the pause")
	f.run(time.Minute)
	require.Zero(t, f.deaths())
	require.Equal(t, version, victim.state.View().Version, "the paused node dropped nobody")
}

// A node is paused while it suspects another one, which refutes the suspicion during the pause. The paused node
// must not drop the other one when it resumes.
func TestSuspicionDoesNotLapseInPause(t *testing.T) {
	f := settledFleet(t, 9, 15)
	victim, paused := f.ids[2], f.nodes[f.ids[5]]
	version := paused.state.View().Version
	f.partitioned = func(_, to string) bool { return to == victim }
	f.run(1900 * time.Millisecond)
	f.partitioned = nil
	paused.pausedUntil = f.now.Add(10 * time.Second)
	f.run(time.Minute)
	require.Zero(t, f.deaths())
	require.Equal(t, version, paused.state.View().Version, "the suspect refuted during the pause")
}

func TestMassRestart(t *testing.T) {
	for _, down := range []time.Duration{time.Second, 20 * time.Second} {
		f := settledFleet(t, 48, 7)
		for i := 0; i < 48; i += 3 {
			f.nodes[f.ids[i]].up = false
		}
		f.run(down)
		for i := 0; i < 48; i += 3 {
			f.start(f.list[i])
		}
		f.runUntil(deathLimit, func() bool { return f.agree(48) && f.deaths() == 0 }, "restart")
	}
}

func TestPartitionThenHeal(t *testing.T) {
	for _, n := range []int{9, 48} {
		f := settledFleet(t, n, 8)
		side := map[string]bool{}
		for i := range n / 3 {
			side[f.ids[i]] = true
		}
		f.partitioned = func(from, to string) bool { return side[from] != side[to] }
		f.run(time.Minute)
		require.Len(t, f.nodes[f.ids[0]].state.View().VMs, n/3)
		require.Len(t, f.nodes[f.ids[n-1]].state.View().VMs, n-n/3)
		f.partitioned = nil
		f.runUntil(20*time.Second, func() bool { return f.agree(n) }, "heal")
	}
}

func TestLeavingMarkSpreadsAndSticks(t *testing.T) {
	const upstream = "engine-77"
	const shortRetention = 20 * time.Second
	params := member.NewParams()
	params.MarkRetention = shortRetention
	f := newFleetWith(t, 48, 9, params)
	f.loss = 0.05
	f.runUntil(20*time.Second, func() bool { return f.agree(48) }, "joining")
	marked := append([]vm.VM{{ID: upstream, Group: "engines", Leaving: true}}, f.list...)
	n := f.nodes[f.ids[0]]
	n.state = n.state.WithList(marked, f.now)
	f.runUntil(spreadLimit, func() bool { return f.allKnowLeaving(upstream) }, "spread")
	// Stale lists still show the VM as not leaving.
	stale := append([]vm.VM{{ID: upstream, Group: "engines"}}, f.list...)
	for _, id := range f.ids {
		f.nodes[id].state = f.nodes[id].state.WithList(stale, f.now)
	}
	f.run(3 * shortRetention)
	require.True(t, f.allKnowLeaving(upstream))
	// Once no list holds the VM any more, all nodes drop the mark.
	for _, id := range f.ids {
		f.nodes[id].state = f.nodes[id].state.WithList(f.list, f.now)
	}
	f.run(3 * shortRetention)
	for _, id := range f.ids {
		require.False(t, f.nodes[id].state.Leaving(upstream))
	}
	// A node that restarts learns the mark from its peers as long as they spread it.
	fresh := settledFleet(t, 9, 10)
	fresh.nodes[fresh.ids[0]].state = fresh.nodes[fresh.ids[0]].state.WithMark(upstream, fresh.now)
	fresh.run(time.Minute)
	fresh.start(fresh.list[4])
	fresh.runUntil(spreadLimit, func() bool { return fresh.allKnowLeaving(upstream) }, "restarted node")
}

func TestDrainingNodeOwnsNothing(t *testing.T) {
	f := settledFleet(t, 9, 11)
	owner := f.nodes[f.ids[0]].state.View().Owner("ledger/17")
	drained := f.nodes[owner]
	drained.state = drained.state.WithDraining(f.now)
	f.runUntil(spreadLimit, func() bool { return f.allKnowLeaving(owner) }, "spread")
	for _, id := range f.ids {
		require.NotEqual(t, owner, f.nodes[id].state.View().Owner("ledger/17"))
	}
	require.True(t, f.agree(9), "a draining node stays a member")
	for i, v := range f.list {
		if v.ID == owner {
			f.start(f.list[i])
		}
	}
	f.runUntil(spreadLimit, func() bool { return f.agree(9) && f.nodes[f.ids[0]].state.View().Owner("ledger/17") == owner }, "restart")
}

// A wrong or late VM list on some nodes must neither remove a live member nor add one that doesn't exist.
func TestWrongAndLateLists(t *testing.T) {
	for _, tc := range []struct {
		name string
		list func(all []vm.VM) []vm.VM
	}{
		{"empty", func([]vm.VM) []vm.VM { return nil }},
		{"half of the members", func(all []vm.VM) []vm.VM { return all[:len(all)/2] }},
		{"VMs that do not exist", func(all []vm.VM) []vm.VM {
			return append([]vm.VM{{ID: "ghost", Group: vm.EntryGroup, Address: "10.9.9.9:1"}}, all...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := settledFleet(t, 9, 12)
			for _, id := range f.ids[:5] {
				f.nodes[id].state = f.nodes[id].state.WithList(tc.list(f.list), f.now)
			}
			f.run(time.Minute)
			require.True(t, f.agree(9))
			require.Zero(t, f.deaths())
		})
	}
	t.Run("new VM that only some lists hold", func(t *testing.T) {
		f := settledFleet(t, 9, 13)
		known := f.list
		late := vm.VM{ID: "vm-late", Group: vm.EntryGroup, Address: "10.1.9.9:8443"}
		f.nodes[late.ID] = &fleetNode{}
		f.ids = append(f.ids, late.ID)
		f.list = append([]vm.VM{late}, known...)
		f.start(late)
		f.runUntil(spreadLimit, func() bool { return f.agree(10) }, "new VM")
	})
}

func TestPacketLossAloneDropsNoMember(t *testing.T) {
	f := settledFleet(t, 48, 14)
	f.loss = 0.05
	f.run(2 * time.Minute)
	require.Zero(t, f.deaths())
}
