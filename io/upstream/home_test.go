package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/config"
	"mothcart/core/member"
	"mothcart/core/route"
	"mothcart/core/vm"
)

func newTestHome() *engineHome {
	return newEngineHome(time.Now(), HomeOptions{}, vm.VM{ID: "e1"}, config.Service{Name: "s", Kind: config.KindPlain, MaxConcurrency: 16}, nil)
}

// After notices were lost, duplicated or delayed, the next count corrects the home's count.
func TestCountsRecoverFromLostNotices(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name    string
		notices []countNotice
		want    int
	}{
		{"start and end", []countNotice{{Number: 1, Started: true, InFlight: 1}, {Number: 1, InFlight: 0}}, 0},
		{"start lost", []countNotice{{Number: 2, Started: true, InFlight: 2}}, 2},
		{"end lost", []countNotice{{Number: 1, Started: true, InFlight: 1}, {Number: 3, Started: true, InFlight: 1}}, 1},
		{"start doubled", []countNotice{{Number: 1, Started: true, InFlight: 1}, {Number: 1, Started: true, InFlight: 1}}, 1},
		{"end before start", []countNotice{{Number: 1, InFlight: 0}, {Number: 1, Started: true, InFlight: 1}, {InFlight: 0}}, 0},
		{"resent count", []countNotice{{InFlight: 5}}, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestHome()
			defer e.close()
			for _, n := range tc.notices {
				e.applyCount(now, "v1", n)
			}
			assert.Equal(t, tc.want, e.onlineCount())
			assert.Equal(t, tc.want, e.state.Online())
		})
	}
}

// The requests of a VM that has left the cluster are no longer counted.
func TestCountsEndWithTheirVM(t *testing.T) {
	e := newTestHome()
	defer e.close()
	e.applyCount(time.Now(), "v1", countNotice{InFlight: 3})
	e.applyCount(time.Now(), "v2", countNotice{InFlight: 2})
	e.retainVMs([]string{"v2"})
	assert.Equal(t, 2, e.onlineCount())
	d := e.digest("v2")
	assert.EqualValues(t, 2, d.InFlight)
	assert.EqualValues(t, 2, d.Yours)
}

// A slot that is refilled within the window never counts as free; a slot that stays free does.
func TestRecentPeak(t *testing.T) {
	now := time.Unix(1000, 0)
	p := recentPeak{}.with(now, 16).with(now.Add(10*time.Millisecond), 12)
	assert.Equal(t, 16, p.at(now.Add(20*time.Millisecond), 12))
	assert.Equal(t, 16, p.at(now.Add(peakWindow), 12))
	assert.Equal(t, 12, p.at(now.Add(3*peakWindow), 12))
}

// When VMs join, each VM may use only its part of an upstream's capacity.
func TestRoomIsRedividedWhenVMsJoin(t *testing.T) {
	set := config.Set{
		Services:       []config.Service{{Name: "s", Kind: config.KindEngine, MaxConcurrency: 16, QueueLimit: 1}},
		UpstreamGroups: []config.UpstreamGroup{{Name: "g", Service: "s", Label: "g"}},
	}
	snapshot := config.NewSnapshot(1, set)
	vms := 1
	r := &Router{
		opts: NewOptions(vm.VM{ID: "v"}, nil).WithSnapshot(func() *config.Snapshot { return snapshot }).
			WithUpstreams(func() ([]vm.VM, uint64) { return []vm.VM{{ID: "e", Group: "g"}}, 1 }).WithVMs(func() int { return vms }),
		services: map[string]*service{}, counters: map[string]*route.Counter{},
	}
	for _, tc := range []struct{ vms, most int }{{1, 16}, {4, 5}} {
		vms = tc.vms
		now := time.Now()
		r.refresh(now)
		r.ApplyDigest(now, "s", "e", route.Digest{Capacity: 16})
		n := 0
		for {
			lease, ok := r.tryAcquire(now, r.services["s"], Want{Service: "s"}, 0)
			if !ok {
				break
			}
			defer lease.Done(now, true)
			n++
		}
		assert.LessOrEqual(t, n, tc.most)
		assert.GreaterOrEqual(t, n, tc.most-1)
		for range n {
			r.counter("e").Add(-1)
		}
	}
}

// A VM that no longer renews its subscription to an upstream gets no more digests.
func TestSubscriptionsLapse(t *testing.T) {
	e := newTestHome()
	defer e.close()
	now := time.Now()
	e.subscribe(now, "v1")
	e.subscribe(now.Add(2*subscribeInterval), "v2")
	assert.ElementsMatch(t, []string{"v1", "v2"}, e.subscribers(now.Add(3*subscribeInterval)))
	assert.Equal(t, []string{"v2"}, e.subscribers(now.Add(4*subscribeInterval)))
	e.retainVMs(nil)
	assert.Empty(t, e.subscribers(now))
}

// BenchmarkCount measures how long the home takes to apply a start and an end notice, and the size of a notice.
func BenchmarkCount(b *testing.B) {
	e := newTestHome()
	defer e.close()
	now := time.Now()
	start := countNotice{Upstream: "engine-1234", Number: 1 << 40, Started: true, InFlight: 7, Tokens: 500}
	frame, err := msgpack.Marshal(countNotices{List: []countNotice{start}})
	if err != nil {
		b.Fatal(err)
	}
	more, err := msgpack.Marshal(start)
	if err != nil {
		b.Fatal(err)
	}
	for i := uint64(1); b.Loop(); i++ {
		e.applyCount(now, "v1", countNotice{Number: i, Started: true, InFlight: 1, Tokens: 500})
		e.applyCount(now, "v1", countNotice{Number: i, InFlight: 0})
	}
	b.ReportMetric(float64(len(frame)), "bytes/frame")
	b.ReportMetric(float64(len(more)), "bytes/notice")
}

// BenchmarkDigest measures the time to build and encode a digest, and its size.
func BenchmarkDigest(b *testing.B) {
	e := newTestHome()
	defer e.close()
	for v := range 16 {
		e.applyCount(time.Now(), fmt.Sprintf("v%d", v), countNotice{InFlight: 3})
	}
	var size int
	for b.Loop() {
		data, err := msgpack.Marshal(e.digest("v3"))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/digest")
}

// BenchmarkAssignAtSize measures the computation of homes and routes at each change of members at the size
// expected in two years: 340 VMs, 3,100 engines of 10 services.
func BenchmarkAssignAtSize(b *testing.B) {
	var set config.Set
	var list []vm.VM
	for s := range 10 {
		name := fmt.Sprintf("s%d", s)
		set.Services = append(set.Services, config.Service{Name: name, Kind: config.KindEngine})
		set.UpstreamGroups = append(set.UpstreamGroups, config.UpstreamGroup{Name: name, Service: name, Label: name})
		for e := range 310 {
			list = append(list, vm.VM{ID: fmt.Sprintf("%s-e%d", name, e), Group: name, Region: fmt.Sprint(e % 6), AvailabilityZone: fmt.Sprint(e % 12)})
		}
	}
	view := member.View{Self: vm.VM{ID: "v0"}}
	for v := range 340 {
		view.VMs = append(view.VMs, vm.VM{ID: fmt.Sprintf("v%d", v), Region: fmt.Sprint(v % 6), AvailabilityZone: fmt.Sprint(v % 12)})
	}
	snapshot := config.NewSnapshot(1, set)
	for b.Loop() {
		homesOf(view, list)
		routedUpstreams(view.Self, list, snapshot)
	}
}
