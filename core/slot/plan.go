package slot

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// planInterval is the time between two plans of a service's batch items: some tens of items start
	// or end meanwhile on the largest sites.
	planInterval = 200 * time.Millisecond
	// onlineWindow is the time over which the slots of online requests are averaged: longer than a
	// wave of callers, whose slots batch can count on between the waves.
	onlineWindow = 8 * time.Second
	// leastLeft is the part of a whole run that an item is taken to need at least, since items differ
	// in length.
	leastLeft = 0.1
)

// observe takes the online requests that held slots since the last event up in their mean number.
func (s *service) observe(now time.Time) {
	if passed := now.Sub(s.observedAt); passed > 0 {
		weight := 1 - math.Exp(-passed.Seconds()/onlineWindow.Seconds())
		s.onlineMean += weight * (float64(s.onlineCount) - s.onlineMean)
		s.observedAt = now
	}
	s.onlineCount = len(s.onlineGrants)
}

// left returns for how long an item still needs a slot; ran is how long its present attempt has lasted.
func (s *service) left(r Request, ran time.Duration) time.Duration {
	least := time.Duration(leastLeft * float64(s.batchHold))
	return max(s.batchHold-r.Ran-ran, least)
}

// planned is an item in a plan.
type planned struct {
	request Request
	left    time.Duration
	// late is what the plan decides.
	late bool
}

// plan decides which batch items can't end by their due times with the slots that online requests
// leave on average. Where not all can, the most do if those yield that need a slot for longest
// (Moore and Hodgson's rule), so that no slot is spent on items that will be late in any case.
func (p *Pool) plan(now time.Time, s *service) {
	if now.Sub(s.plannedAt) < planInterval {
		return
	}
	s.plannedAt = now
	items := make([]*planned, 0, len(s.batch.items)+len(s.batchGrants))
	for _, r := range s.batch.items {
		items = append(items, &planned{request: r, left: s.left(r, 0)})
	}
	for _, g := range s.batchGrants {
		items = append(items, &planned{request: g.request, left: s.left(g.request, now.Sub(g.since))})
	}
	planItems(now, items, s.batchSlots())
	late := make(map[Key]bool, len(items))
	for _, i := range items {
		late[i.request.Key] = i.late
	}
	s.batch.mark(func(r Request) bool { return late[r.Key] })
	for _, g := range s.batchGrants {
		g.request.late = late[g.request.Key]
	}
}

// batchSlots returns the number of slots that online requests leave on average.
func (s *service) batchSlots() float64 { return max(float64(s.slots())-s.onlineMean, 1) }

// planItems sets late for the items that yield.
func planItems(now time.Time, items []*planned, slots float64) {
	slices.SortFunc(items, func(a, b *planned) int { return compareOnTime(a.request, b.request) })
	var kept longestFirst
	var work time.Duration
	for _, i := range items {
		due := i.request.Order.Sub(now)
		if i.left > due {
			i.late = true
			continue
		}
		heap.Push(&kept, i)
		work += i.left
		if time.Duration(float64(work)/slots) > due {
			yields := heap.Pop(&kept).(*planned)
			yields.late = true
			work -= yields.left
		}
	}
}

// longestFirst is a heap of items with the one on top that needs a slot for longest; of equal ones the
// one that is served last.
type longestFirst []*planned

// Len implements heap.Interface.
func (l longestFirst) Len() int { return len(l) }

// Less implements heap.Interface.
func (l longestFirst) Less(i, j int) bool {
	if l[i].left != l[j].left {
		return l[i].left > l[j].left
	}
	return compareOnTime(l[i].request, l[j].request) > 0
}

// Swap implements heap.Interface.
func (l longestFirst) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *longestFirst) Push(x any) { *l = append(*l, x.(*planned)) }

// Pop implements heap.Interface.
func (l *longestFirst) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
