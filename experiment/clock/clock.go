// Package clock provides a virtual clock with scheduled events, for simulations that run faster than
// real time.
//
// Usage:
//
//	c := clock.New()
//	c.After(time.Second, func() { … c.Now() … })
//	c.Run(time.Minute)
package clock

import (
	"container/heap"
	"time"
)

// Clock runs events in order of their scheduled time. It is not safe for concurrent use.
type Clock struct {
	now    time.Duration
	order  uint64
	events queue
}

// New returns a clock at time 0.
func New() *Clock { return &Clock{} }

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules do to run once d has passed. Events at the same time run in the order in which they were
// scheduled.
func (c *Clock) After(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(0, d), order: c.order, do: do})
}

// Run runs the events that are due up to end, and sets the clock to end.
func (c *Clock) Run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
