package order

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	core "mothcart/core/order"
	"mothcart/core/vm"
	fakeengine "mothcart/fake/engine"
	fakestore "mothcart/fake/store"
	"mothcart/io/engine"
	"mothcart/io/store"
)

// waitTimeout bounds the wait for an event that must happen; it sets no target for speed.
const waitTimeout = 30 * time.Second

func desired(version string) core.Desired {
	return core.Desired{Models: []core.Loaded{{Name: "scribe", Version: version}}}
}

func startEngines(t *testing.T, n int, checks bool) []*fakeengine.Engine {
	var list []*fakeengine.Engine
	for range n {
		e, err := fakeengine.New(fakeengine.NewOptions().WithModels("scribe").WithCheckFencing(checks).WithLoadDelay(40 * time.Millisecond))
		require.NoError(t, err)
		t.Cleanup(e.Close)
		list = append(list, e)
	}
	return list
}

func targets(engines []*fakeengine.Engine, checks bool, version string) func() []Target {
	return func() []Target {
		var list []Target
		for i, e := range engines {
			list = append(list, Target{
				Engine: vm.VM{ID: fmt.Sprintf("e%d", i), Address: e.Address()}, Service: "s", ChecksFence: checks,
				MaxUnavailable: 0.25, Engines: len(engines), Desired: desired(version),
			})
		}
		return list
	}
}

func startRunner(t *testing.T, holder string, c store.Client, f func() []Target) *Runner {
	client := engine.New(engine.NewOptions())
	t.Cleanup(client.Close)
	r := New(NewOptions(holder, c, client).WithTargets(f).WithIntervals(5*time.Millisecond, 5*time.Millisecond))
	t.Cleanup(r.Close)
	return r
}

func allHold(engines []*fakeengine.Engine, want string) bool {
	return !slices.ContainsFunc(engines, func(e *fakeengine.Engine) bool { return !slices.Contains(e.Loaded(), want) })
}

// changing returns the engines that were all loading at one moment: those seen loading in both of
// two passes, since each engine loads once.
func changing(engines []*fakeengine.Engine) int {
	var first []*fakeengine.Engine
	for _, e := range engines {
		if e.Loading() {
			first = append(first, e)
		}
	}
	n := 0
	for _, e := range first {
		if e.Loading() {
			n++
		}
	}
	return n
}

// Two VMs that both consider themselves home roll a version out: at most the allowed share of the
// engines changes at once, and each engine loads the version once.
func TestRollOutKeepsCapacity(t *testing.T) {
	engines := startEngines(t, 8, true)
	s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
	startRunner(t, "v1", s.Client(), targets(engines, true, "2"))
	startRunner(t, "v2", s.Client(), targets(engines, true, "2"))
	require.Eventually(t, func() bool {
		assert.LessOrEqual(t, changing(engines), 2, "8 engines, a quarter may change at once")
		return allHold(engines, "scribe@2")
	}, waitTimeout, time.Millisecond)
	for _, e := range engines {
		_, loads := e.Orders()
		assert.Equal(t, 1, loads)
	}
}

// A second home that fails to acquire a slot for an engine doesn't release the slot that the first home
// holds for the same engine.
func TestFailedAcquireKeepsSlotOfOtherHome(t *testing.T) {
	s := fakestore.New(fakestore.NewOptions())
	home := func(holder string) *Runner {
		return &Runner{opts: NewOptions(holder, s.Client(), nil), ctx: context.Background(), leases: map[string]core.Observed{}, watches: map[string]core.SlotWatch{}}
	}
	first, second := home("v1"), home("v2")
	pool := serviceSlots("s")
	require.NoError(t, first.acquireSlot(pool, "e0", 1))
	require.ErrorIs(t, second.acquireSlot(pool, "e0", 1), errHeld)
	second.releaseSlot(pool, "e0")
	require.ErrorIs(t, second.acquireSlot(pool, "e1", 1), errHeld, "the only slot is still held")
	first.releaseSlot(pool, "e0")
	require.NoError(t, second.acquireSlot(pool, "e1", 1))
}

// A VM that stops while an engine loads doesn't release the engine's slots but lets them lapse: no other
// engine may change while that one does.
func TestSlotOfAnUnfinishedChangeLapses(t *testing.T) {
	engines := startEngines(t, 1, true)
	s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
	client := engine.New(engine.NewOptions())
	defer client.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := &Runner{
		opts: NewOptions("v1", s.Client(), client).WithIntervals(time.Hour, time.Hour), ctx: ctx,
		leases: map[string]core.Observed{}, watches: map[string]core.SlotWatch{},
	}
	ended := make(chan error, 1)
	go func() { ended <- r.reconcile(targets(engines, true, "2")()[0]) }()
	require.Eventually(t, func() bool { orders, _ := engines[0].Orders(); return orders == 1 }, waitTimeout, time.Millisecond)
	stop()
	require.ErrorIs(t, <-ended, context.Canceled)
	for _, pool := range []string{serviceSlots("s"), weightSlots} {
		slots, _, err := read[core.Slots](context.Background(), s.Client(), pool)
		require.NoError(t, err)
		assert.True(t, slots.Has("e0", "v1"), pool)
	}
}

func TestNoWritesInDesiredState(t *testing.T) {
	engines := startEngines(t, 2, true)
	s := fakestore.New(fakestore.NewOptions())
	r := startRunner(t, "v1", s.Client(), targets(engines, true, "1"))
	time.Sleep(50 * time.Millisecond)
	r.Close()
	assert.Zero(t, s.Calls())
}

// A holder is paused after it acquired the lease. If the engine checks fencing numbers, another VM acquires
// the lease at once, and the old holder can no longer order, renew or release when it resumes. If the
// engine ignores them, the other VM has to wait until the lease has expired and the longest order has ended.
func TestPausedHolder(t *testing.T) {
	for _, tc := range []struct {
		name   string
		checks bool
	}{{"engines that check fencing numbers", true}, {"engines that ignore them", false}} {
		t.Run(tc.name, func(t *testing.T) {
			engines := startEngines(t, 1, tc.checks)
			s := fakestore.New(fakestore.NewOptions())
			client := engine.New(engine.NewOptions())
			defer client.Close()
			old := &Runner{opts: NewOptions("old", s.Client(), client), ctx: context.Background(), leases: map[string]core.Observed{}, watches: map[string]core.SlotWatch{}}
			young := &Runner{opts: NewOptions("young", s.Client(), client), ctx: context.Background(), leases: map[string]core.Observed{}, watches: map[string]core.SlotWatch{}}
			target := targets(engines, tc.checks, "2")()[0]
			held, err := old.acquireLease(target)
			require.NoError(t, err)

			second, err := young.acquireLease(target)
			if !tc.checks {
				require.ErrorIs(t, err, errHeld, "the new holder waits until the lease has expired and the longest order has ended")
				assert.False(t, held.MayOrder(time.Now().Add(core.LeaseTime-core.OrderTimeout)), "the old holder stops ordering earlier")
				return
			}
			require.NoError(t, err)
			require.NoError(t, client.Order(context.Background(), engines[0].Address(), second.Record.Fence, desired("2")))
			err = client.Order(context.Background(), engines[0].Address(), held.Record.Fence, desired("1"))
			require.ErrorIs(t, err, engine.ErrOldFence)
			_, err = old.renewLease(target.Engine.ID, held)
			require.ErrorIs(t, err, errHeld)
			old.releaseLease(target.Engine.ID, held)
			record, _, err := read[core.Record](context.Background(), s.Client(), leaseKey(target.Engine.ID))
			require.NoError(t, err)
			assert.Equal(t, "young", record.Holder, "the old holder's release changes nothing")
		})
	}
}

// Answers of writes that took effect are lost: the roll-out still ends, and each engine loads once.
func TestRollOutWithLostAnswers(t *testing.T) {
	engines := startEngines(t, 4, true)
	s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6).WithLostAnswerShare(0.3))
	startRunner(t, "v1", s.Client(), targets(engines, true, "2"))
	require.Eventually(t, func() bool { return allHold(engines, "scribe@2") }, waitTimeout, 5*time.Millisecond)
	for _, e := range engines {
		_, loads := e.Orders()
		assert.Equal(t, 1, loads)
	}
}
