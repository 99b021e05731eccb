package slot

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkOverload measures one step of a service with all slots held and many requests waiting: a
// request ends, the next one gets its slot, and a new request asks for one.
func BenchmarkOverload(b *testing.B) {
	overload(b, func(uint64) string { return "" })
}

// BenchmarkAccounts is BenchmarkOverload for 85 accounts, one of which asks for half of the slots.
func BenchmarkAccounts(b *testing.B) {
	overload(b, func(id uint64) string { return strconv.Itoa(int(id%2*(id%168+1)) / 2) })
}

func overload(b *testing.B, account func(id uint64) string) {
	for _, waiting := range []int{10, 150, 600} {
		b.Run(strconv.Itoa(waiting)+" waiting", func(b *testing.B) {
			p := newPool(90, 7)
			now := start
			id := uint64(0)
			ask := func() Outcome {
				id++
				r := online(id)
				r.Account = account(id)
				r.Objective = now.Add(time.Second)
				r.Order, r.Deadline = now.Add(5*time.Second), now.Add(5*time.Second)
				return p.Ask(now, r)
			}
			var held []Key
			for range 630 + waiting {
				now = now.Add(time.Millisecond)
				for _, g := range ask().Granted {
					held = append(held, g.Request.Key)
				}
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				k := held[0]
				held = held[1:]
				for _, g := range p.Release(now, k, Served).Granted {
					held = append(held, g.Request.Key)
				}
				ask()
			}
		})
	}
}

// BenchmarkUpstreams measures a request from its ask to its release in a service of which most slots are held,
// half by batch items.
func BenchmarkUpstreams(b *testing.B) {
	for _, n := range []int{30, 300, 3100} {
		b.Run(strconv.Itoa(n)+" upstreams", func(b *testing.B) {
			p := newPool(n, 7)
			now := start
			for id := range uint64(n * 3) {
				p.Ask(now, item(id, 18*time.Second))
				p.Ask(now, online(id))
			}
			id := uint64(n * 3)
			for b.Loop() {
				id++
				now = now.Add(time.Microsecond)
				r := online(id)
				p.Ask(now, r)
				p.Release(now, r.Key, Served)
			}
		})
	}
}

// BenchmarkVersions is BenchmarkUpstreams for a service of two software versions, half of whose requests are bound to
// one.
func BenchmarkVersions(b *testing.B) {
	for _, n := range []int{30, 300, 3100} {
		b.Run(strconv.Itoa(n)+" upstreams", func(b *testing.B) {
			list := upstreams(n, 7)
			for i := range list {
				list[i].Version = []string{"v1", "v1.1"}[i%2]
			}
			p := NewPool(NewOptions())
			p.SetUpstreams(start, list)
			now := start
			for id := range uint64(n * 3) {
				p.Ask(now, item(id, 18*time.Second))
				p.Ask(now, online(id))
			}
			id := uint64(n * 3)
			for b.Loop() {
				id++
				now = now.Add(time.Microsecond)
				r := online(id)
				if id%2 == 0 {
					r.Version = "v1"
				}
				p.Ask(now, r)
				p.Release(now, r.Key, Served)
			}
		})
	}
}

// BenchmarkPaces is BenchmarkUpstreams for a service whose upstreams name their pace in each answer.
func BenchmarkPaces(b *testing.B) {
	for _, n := range []int{30, 300, 3100} {
		b.Run(strconv.Itoa(n)+" upstreams", func(b *testing.B) {
			p := newPool(n, 7)
			now := start
			for id := range uint64(n * 3) {
				p.Ask(now, item(id, 18*time.Second))
				p.Ask(now, online(id))
			}
			id := uint64(n * 3)
			for b.Loop() {
				id++
				now = now.Add(20 * time.Microsecond)
				r := online(id)
				p.Ask(now, r)
				p.Pace(now, r.Key, 0.7+float64(id%5)/2, 0)
				p.Release(now, r.Key, Served)
			}
		})
	}
}

// BenchmarkLimits is BenchmarkUpstreams for a service whose upstreams name the rate that they take in each answer.
func BenchmarkLimits(b *testing.B) {
	for _, n := range []int{30, 300, 3100} {
		b.Run(strconv.Itoa(n)+" upstreams", func(b *testing.B) {
			p := newPool(n, 7)
			now, id := start, uint64(0)
			for b.Loop() {
				id++
				now = now.Add(20 * time.Microsecond)
				r := online(id)
				p.Ask(now, r)
				p.Limit(now, r.Key, 1000, id%2 == 0)
				p.Release(now, r.Key, Served)
			}
		})
	}
}
