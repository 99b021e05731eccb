package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"mothcart/core/config"
)

var start = time.Unix(1000, 0)

func engines(n, memory int) []Engine {
	var list []Engine
	for i := range n {
		list = append(list, Engine{ID: fmt.Sprintf("e%d", i), MemoryMiB: memory})
	}
	return list
}

func holders(desired map[string]Desired, model string) int {
	n := 0
	for _, d := range desired {
		for _, m := range d.Models {
			if m.Name == model {
				n++
			}
		}
	}
	return n
}

func TestAssign(t *testing.T) {
	big := config.Model{Name: "big", Version: "1", MemoryMiB: 60, Replicas: 2}
	all := config.Model{Name: "all", Version: "1", MemoryMiB: 40}
	adapter := config.Adapter{Name: "a", Model: "all", Version: "3", MemoryMiB: 10}
	for _, tc := range []struct {
		name     string
		engines  []Engine
		models   []config.Model
		adapters []config.Adapter
		want     map[string]int
		unplaced []string
	}{
		{"a number of replicas and the rest", engines(4, 100), []config.Model{all, big}, nil, map[string]int{"big": 2, "all": 4}, nil},
		{"adapters take memory too", engines(4, 100), []config.Model{all, big}, []config.Adapter{adapter}, map[string]int{"big": 2, "all": 2}, []string{"all"}},
		{"too large", engines(2, 50), []config.Model{big}, nil, map[string]int{"big": 0}, []string{"big"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			desired, unplaced := Assign(tc.engines, tc.models, tc.adapters)
			for model, n := range tc.want {
				assert.Equal(t, n, holders(desired, model), model)
			}
			assert.Equal(t, tc.unplaced, unplaced)
		})
	}
}

// The loss of an engine moves only the models that it held.
func TestAssignIsStable(t *testing.T) {
	models := []config.Model{{Name: "m", MemoryMiB: 10, Replicas: 3}}
	before, _ := Assign(engines(10, 100), models, nil)
	after, _ := Assign(engines(9, 100), models, nil)
	moved := 0
	for id, d := range after {
		if !d.Equal(before[id]) {
			moved++
		}
	}
	assert.LessOrEqual(t, moved, 1)
}

// Whatever pauses and reads happen, two holders must never both be allowed to order an engine that
// ignores fencing numbers. Each VM has its own clock; a paused VM considers its lease valid until
// it expires by that clock.
func TestNeverTwoHoldersMayOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := Record{}
		now := start
		held := make([]Held, 3)
		observed := make([]Observed, 3)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			holder := fmt.Sprintf("v%d", i)
			observed[i] = observed[i].WithRead(now, stored)
			switch {
			case held[i].Record == stored && held[i].MayOrder(now) && rapid.Bool().Draw(t, "renew"):
				stored = stored.Renewed()
				held[i] = NewHeld(stored, now)
			case held[i].Record != stored && observed[i].MayAcquire(now, false):
				stored = stored.AcquiredBy(holder)
				held[i] = NewHeld(stored, now)
			}
			may := 0
			for _, h := range held {
				// An order that was allowed runs for up to OrderTimeout longer.
				if h.MayOrder(now.Add(-OrderTimeout)) {
					may++
				}
			}
			if may > 1 {
				t.Fatalf("%d holders may have an order in progress", may)
			}
		}
	})
}

func TestSlotsBoundAndLapse(t *testing.T) {
	never := func(Slot) bool { return false }
	s, ok := Slots{}.WithAcquired("e1", "v1", 1, never)
	assert.True(t, ok)
	_, ok = s.WithAcquired("e2", "v2", 1, never)
	assert.False(t, ok)
	renewed, ok := s.WithAcquired("e1", "v1", 1, never)
	assert.True(t, ok, "a renewal takes no second slot")

	_, ok = s.WithAcquired("e1", "v2", 2, never)
	assert.False(t, ok, "another VM's change of the same engine is in progress")
	taken, ok := s.WithAcquired("e1", "v2", 1, func(Slot) bool { return true })
	assert.True(t, ok, "the lapsed slot of another VM")
	assert.True(t, taken.Has("e1", "v2"))

	watch := SlotWatch{}.WithRead(start, s)
	late := start.Add(LeaseTime + OrderTimeout)
	assert.True(t, watch.Lapsed(late, s.Held[0]))
	watch = watch.WithRead(late, renewed)
	assert.False(t, watch.Lapsed(late, renewed.Held[0]), "a renewed slot is fresh")
	_, ok = s.WithAcquired("e2", "v2", 1, func(t Slot) bool { return t.Engine == "e1" })
	assert.True(t, ok, "a lapsed slot is free")
	assert.Empty(t, s.WithFreed("e1", "v1").Held)
	for _, tc := range []struct {
		engines int
		share   float64
		want    int
	}{{10, 0.25, 2}, {3, 0.1, 1}, {100, 0.05, 5}} {
		assert.Equal(t, tc.want, SlotLimit(tc.engines, tc.share))
	}
}
