package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mothcart/core/config"
	"mothcart/core/vm"
)

var (
	start = time.Unix(1000, 0)
	self  = vm.VM{ID: "v1", Region: "r", AvailabilityZone: "a"}
)

func upstreams(n int) []vm.VM {
	var list []vm.VM
	for i := range n {
		list = append(list, vm.VM{ID: fmt.Sprintf("e%d", i), Region: "r", AvailabilityZone: string(rune('a' + i%3))})
	}
	return list
}

func newTable(n int) Table {
	counters := map[string]*Counter{}
	return NewTable(self, 9, upstreams(n), 16, []string{"m1", "m2"}, func(id string) *Counter {
		counters[id] = &Counter{}
		return counters[id]
	})
}

func TestPickQualifies(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(Table) Table
		want   Want
		ok     bool
	}{
		{"leaving", func(t Table) Table { return t.WithLeaving("e0", true) }, Want{Bit: anyBit}, false},
		{"ejected", func(t Table) Table {
			h := Health{}
			for range ejectAfter {
				h = h.WithResult(start, false)
			}
			return t.WithHealth("e0", h)
		}, Want{Bit: anyBit}, false},
		{"other model", func(t Table) Table { return t.WithDigest("e0", Digest{Names: []string{"m1"}, At: start}) }, Want{Bit: 2}, false},
		{"held model", func(t Table) Table { return t.WithDigest("e0", Digest{Names: []string{"m2"}, At: start}) }, Want{Bit: 2}, true},
		{"excluded", func(t Table) Table { return t }, Want{Bit: anyBit, Exclude: 1}, false},
		{"full", func(t Table) Table { return t.WithDigest("e0", Digest{InFlight: 25, At: start}) }, Want{Bit: anyBit, NeedsRoom: true}, false},
		{"full but room not needed", func(t Table) Table { return t.WithDigest("e0", Digest{InFlight: 16, At: start}) }, Want{Bit: anyBit}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, ok := tc.change(newTable(1)).Pick(start, tc.want)
			assert.Equal(t, tc.ok, ok)
		})
	}
}

// A stale digest must not make an upstream look idle.
func TestStaleDigestFallsBackOnOwnCount(t *testing.T) {
	table := newTable(1).WithDigest("e0", Digest{InFlight: 2, Yours: 2, At: start})
	table.entries[0].Own.Add(2)
	assert.InDelta(t, 2, table.load(start, table.entries[0]), 0)
	assert.InDelta(t, 18, table.load(start.Add(2*StaleAfter), table.entries[0]), 0)
}

// Requests that the VM sent after the digest must count immediately.
func TestOwnRequestsCorrectTheDigest(t *testing.T) {
	table := newTable(2).WithDigest("e0", Digest{InFlight: 5, Yours: 1, At: start})
	table.entries[0].Own.Add(4)
	// 4 own requests, 4 of other VMs, and half of this VM's 3 new requests for each of 8 other VMs.
	assert.InDelta(t, 4+4+similarity*8*3, table.load(start, table.entries[0]), 0)
}

// fillRoom sends as many requests as the table allows and returns their number.
func fillRoom(table Table, want Want) int {
	n := 0
	for {
		i, ok := table.Pick(start, want)
		if !ok {
			return n
		}
		table.Entry(i).Own.Add(1)
		n++
	}
}

// Several VMs with the same digest together fill the free capacity that it shows: on average exactly, and
// at most with one request more per VM.
func TestVMsTogetherStayWithinRoom(t *testing.T) {
	const vms, capacity, rounds = 9, 16, 200
	for _, tc := range []struct {
		name           string
		inFlight, room int
		reserve        float64
	}{{"idle", 0, 16, 0}, {"one slot", 15, 1, 0}, {"full", 16, 0, 0}, {"over capacity", 20, 0, 0}, {"reserve", 8, 4, 0.25}} {
		t.Run(tc.name, func(t *testing.T) {
			total := 0
			for round := range rounds {
				n := 0
				for v := range vms {
					at := start.Add(-time.Duration(round*vms+v) * time.Microsecond)
					table := newTable(1).WithDigest("e0", Digest{InFlight: int32(tc.inFlight), At: at})
					n += fillRoom(table, Want{Bit: anyBit, NeedsRoom: true, Reserve: tc.reserve})
				}
				assert.LessOrEqual(t, n, tc.room+vms)
				total += n
			}
			assert.InDelta(t, float64(tc.room), float64(total)/rounds, 0.5)
		})
	}
}

// Online requests use the upstreams that are for batch first only when the others are busy.
func TestBatchFirstUpstreamsGetOnlineLast(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	ids := BatchFirst("s", 0.4, upstreams(10))
	assert.Len(t, ids, 4)
	table := newTable(10).WithBatchFirst(ids)
	spilled := 0
	for sent := range 60 {
		i, ok := table.Pick(start, Want{Bit: anyBit, Random: rng.Uint64(), Prefix: rng.Uint64()})
		assert.True(t, ok)
		e := table.Entry(i)
		e.Own.Add(1)
		if e.BatchFirst {
			spilled++
			assert.GreaterOrEqual(t, sent, 2, "the others are idle")
		}
	}
	assert.Positive(t, spilled)
	for i := range table.Len() {
		assert.Positive(t, table.Entry(i).Own.Load())
	}
}

// At a full upstream, a VM may reuse the slots that its own requests freed, and no others.
func TestVMReusesItsOwnFreedSlots(t *testing.T) {
	table := newTable(1).WithDigest("e0", Digest{InFlight: 16, Yours: 4, At: start})
	table.entries[0].Own.Add(2)
	assert.Equal(t, 2, fillRoom(table, Want{Bit: anyBit, NeedsRoom: true}))
}

// Two draws from one random number must be independent: all pairs of upstreams occur.
func TestDrawsCoverAllPairs(t *testing.T) {
	const n = 10
	rng := rand.New(rand.NewPCG(1, 1))
	pairs := map[[2]int]bool{}
	for range 20 * n * n {
		first, random := draw(rng.Uint64(), n)
		second, _ := draw(random, n)
		pairs[[2]int{first, second}] = true
	}
	assert.Len(t, pairs, n*n)
}

// Requests with the same prefix must share one upstream's cache, but must not queue at a busy upstream.
func TestPrefixPrefersOneUpstreamUntilItIsBusy(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	table := newTable(10)
	counts := map[int]int{}
	for range 200 {
		i, _ := table.Pick(start, Want{Bit: anyBit, Prefix: 42, Random: rng.Uint64()})
		counts[i]++
	}
	assert.Len(t, counts, 1)
	for i := range counts {
		table.entries[i].Own.Add(16)
	}
	i, _ := table.Pick(start, Want{Bit: anyBit, Prefix: 42, Random: rng.Uint64()})
	assert.NotContains(t, counts, i)
}

// An upstream that returns from an ejection must not get its full share of requests at once, and must be
// ejected for longer when it fails again.
func TestSlowStartAfterEjection(t *testing.T) {
	h := Health{}
	now := start
	for range ejectAfter {
		h = h.WithResult(now, false)
	}
	assert.True(t, h.Ejected(now))
	now = now.Add(firstEjection)
	assert.False(t, h.Ejected(now))
	assert.InDelta(t, initialSlowdown, h.Slowdown(now), 0.01)
	assert.InDelta(t, 1, h.Slowdown(now.Add(slowStartWindow)), 0.01)
	for range ejectAfter {
		h = h.WithResult(now, false)
	}
	assert.True(t, h.Ejected(now.Add(firstEjection)), "the second ejection is longer")
}

func TestSubsetsCoverEveryUpstream(t *testing.T) {
	list := upstreams(300)
	seen := map[string]int{}
	for i := range 60 {
		v := vm.VM{ID: fmt.Sprintf("v%d", i), Region: "r", AvailabilityZone: string(rune('a' + i%3))}
		subset := Subset(v, list, 50)
		assert.Len(t, subset, 50)
		for _, u := range subset {
			assert.Equal(t, v.AvailabilityZone, u.AvailabilityZone)
			seen[u.ID]++
		}
	}
	assert.Len(t, seen, 300)
}

func TestResolve(t *testing.T) {
	set := config.Set{
		Services: []config.Service{{Name: "s", Kind: config.KindEngine}},
		Models:   []config.Model{{Name: "m", Service: "s"}, {Name: "m2", Service: "s"}},
		Rules: []config.Rule{
			{Name: "all", Match: "m", Priority: 1, Sticky: true, Splits: []config.Split{{Target: "m", Weight: 90}, {Target: "m2", Weight: 10}}},
			{Name: "canary", Match: "m", Priority: 2, Header: "X-Canary", Value: "yes", Splits: []config.Split{{Target: "m2", Weight: 1}}},
		},
	}
	snapshot := config.NewSnapshot(1, set)
	none := func(string) string { return "" }
	target, ok := Resolve(snapshot, "m", func(string) string { return "yes" }, "c", 0)
	assert.True(t, ok)
	assert.Equal(t, "m2", target.Name)
	_, ok = Resolve(snapshot, "absent", none, "c", 0)
	assert.False(t, ok)
	moved := 0
	for i := range 2000 {
		caller := fmt.Sprintf("c%d", i)
		first, _ := Resolve(snapshot, "m", none, caller, uint64(i))
		second, _ := Resolve(snapshot, "m", none, caller, uint64(i*7))
		assert.Equal(t, first.Name, second.Name, "sticky")
		if first.Name == "m2" {
			moved++
		}
	}
	assert.InDelta(t, 200, moved, 60)
}

func BenchmarkPick150(b *testing.B) {
	table := newTable(150)
	for _, e := range table.entries {
		e.Digest.At = start
	}
	rng := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		table.Pick(start, Want{Bit: 1, Prefix: 77, Random: rng.Uint64(), NeedsRoom: true})
	}
}
