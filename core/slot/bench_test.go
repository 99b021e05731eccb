package slot

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkOverload measures one step of a service with all slots held and many requests waiting: a
// request ends, the next one gets its slot, and a new request asks for one.
func BenchmarkOverload(b *testing.B) {
	for _, waiting := range []int{10, 150, 600} {
		b.Run(strconv.Itoa(waiting)+" waiting", func(b *testing.B) {
			p := newPool(90, 7)
			now := start
			id := uint64(0)
			ask := func() Outcome {
				id++
				r := online(id)
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
