package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// planOf returns which items of a plan with one slot are late. Each item is its remaining time and its
// due time, in seconds.
func planOf(items [][2]int) []bool {
	var list []*planItem
	for i, it := range items {
		list = append(list, &planItem{
			request:   Request{Key: Key{ID: uint64(i)}, Batch: true, Order: start.Add(time.Duration(it[1]) * time.Second)},
			remaining: time.Duration(it[0]) * time.Second,
		})
	}
	planItems(start, list, 1)
	late := make([]bool, len(items))
	for _, p := range list {
		late[p.request.Key.ID] = p.late
	}
	return late
}

// A burst of jobs that can't all end in time: the items that take most time from the others must be the
// late ones.
func TestPlanOfABurst(t *testing.T) {
	for _, tc := range []struct {
		name  string
		items [][2]int
		late  []bool
	}{
		{"all fit", [][2]int{{3, 3}, {3, 6}, {3, 9}}, []bool{false, false, false}},
		{"one too many", [][2]int{{3, 5}, {3, 5}, {3, 9}}, []bool{false, true, false}},
		{"an item that is nearly done stays on time", [][2]int{{3, 3}, {1, 3}}, []bool{true, false}},
		{"an item that is past due makes no other item late", [][2]int{{3, 1}, {3, 3}}, []bool{true, false}},
		{"the long item is late though it is due first", [][2]int{{4, 4}, {3, 6}, {3, 6}}, []bool{true, false, false}},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.late, planOf(tc.items)) })
	}
}

// Compares the plan with every possible choice of items: none lets more items end in time.
func TestPlanIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [2]int {
			return [2]int{rapid.IntRange(1, 5).Draw(t, "remaining"), rapid.IntRange(0, 12).Draw(t, "due")}
		}), 0, 8).Draw(t, "items")
		onTime := 0
		for _, late := range planOf(items) {
			if !late {
				onTime++
			}
		}
		best := 0
		for set := range 1 << len(items) {
			if n, ok := feasible(items, set); ok {
				best = max(best, n)
			}
		}
		require.Equal(t, best, onTime)
	})
}

// feasible reports whether all items of a set can end in time one after the other, and returns their number.
func feasible(items [][2]int, set int) (int, bool) {
	n := 0
	for due := 0; due <= 12; due++ {
		work := 0
		for i, it := range items {
			if set&(1<<i) != 0 && it[1] <= due {
				work += it[0]
			}
		}
		if work > due {
			return 0, false
		}
	}
	for i := range items {
		n += set >> i & 1
	}
	return n, true
}

// A backlog while callers come in waves: if only one of two items can end in time, a preempted item that
// has already run must resume before an item that has not started.
func TestPreemptedItemResumesBeforeNewItem(t *testing.T) {
	p := newPool(1, 1)
	p.Ask(start, item(1, time.Minute))
	now := start.Add(4 * time.Second)
	p.Release(now, item(1, 0).Key, Served) // an item needs 4 s
	p.Ask(now, online(10))
	preempted := item(2, 11*time.Second)
	preempted.Ran = 3 * time.Second
	fresh := item(3, 9*time.Second)
	p.Ask(now, preempted)
	p.Ask(now, fresh)
	now = now.Add(time.Second)
	out := p.Release(now, online(10).Key, Served)
	require.Equal(t, uint64(3), out.Granted[0].Request.Key.ID, "both can end in time: the item that is due first goes first")

	p.Ask(now, online(11))
	now = now.Add(time.Second)
	late := fresh
	late.Key.ID = 4
	p.Ask(now, late) // due in 3 s, needs 4 s
	out = p.Release(now, online(11).Key, Served)
	require.Equal(t, uint64(2), out.Granted[0].Request.Key.ID, "it needs only 1 s more")
}

// When callers come in waves, every item may be preempted before it ends. The mean hold time of items must
// then be computed from all attempts of an item, or no plan can be made.
func TestMeanHoldCountsAllAttempts(t *testing.T) {
	p := newPool(1, 1)
	first := item(1, time.Minute)
	first.Ran = 3 * time.Second // in earlier attempts
	p.Ask(start, first)
	now := start.Add(time.Second)
	p.Ask(now, item(2, 4*time.Second))  // due in 3 s, needs 4 s
	p.Ask(now, item(3, 10*time.Second)) // due in 9 s
	out := p.Release(now, first.Key, Served)
	require.Equal(t, uint64(3), out.Granted[0].Request.Key.ID, "the other one can't end in time")
}
