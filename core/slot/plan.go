package slot

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// planInterval is the time between two plans of a service's batch items. On the largest sites some
	// tens of items start or end in this time.
	planInterval = 200 * time.Millisecond
	// onlineWindow is the time over which the number of slots held by online requests is averaged. It
	// is longer than a wave of callers, since batch can use the slots between two waves.
	onlineWindow = 8 * time.Second
	// minRemainingShare is the least remaining time assumed for an item, as a share of a complete run,
	// since items differ in length.
	minRemainingShare = 0.1
)

// updateOnlineMean updates the mean number of slots held by online requests with the number of slots that
// they have held since the last event.
func (s *service) updateOnlineMean(now time.Time) {
	if passed := now.Sub(s.observedAt); passed > 0 {
		weight := 1 - math.Exp(-passed.Seconds()/onlineWindow.Seconds())
		s.onlineMean += weight * (float64(s.onlineCount) - s.onlineMean)
		s.observedAt = now
	}
	s.onlineCount = len(s.onlineGrants)
}

// remaining returns the estimated time for which an item still needs a slot; ran is how long its present
// attempt has lasted.
func (s *service) remaining(r Request, ran time.Duration) time.Duration {
	least := time.Duration(minRemainingShare * float64(s.meanBatchHold))
	return max(s.meanBatchHold-r.Ran-ran, least)
}

// planItem is an item in a plan.
type planItem struct {
	request   Request
	remaining time.Duration
	// late is the result of the plan: the item will miss its due time. level is the excess level of its account.
	late  bool
	level int16
}

// apply sets the result on the item, and reports whether that changes it.
func (i *planItem) apply(r *Request) bool {
	changed := r.late != i.late || r.standing.level != i.level
	r.late, r.standing.level = i.late, i.level
	return changed
}

// plan marks the batch items that can't end by their due times with the slots that online requests
// leave free on average. If not all items can be on time, the number of those that are is greatest when
// the items with the longest remaining time are late (the Moore-Hodgson algorithm). Late items go last,
// so that no slot is spent on them while it can help another item to be on time.
func (p *Pool) plan(now time.Time, s *service) {
	if now.Sub(s.plannedAt) < planInterval {
		return
	}
	s.plannedAt = now
	items := make([]*planItem, 0, len(s.batch.items)+len(s.batchGrants))
	for _, g := range s.batch.items {
		items = append(items, &planItem{request: g.request, remaining: s.remaining(g.request, 0)})
	}
	for _, g := range s.batchGrants {
		items = append(items, &planItem{request: g.request, remaining: s.remaining(g.request, now.Sub(g.since))})
	}
	planItems(now, items, s.batchSlots())
	planned := make(map[Key]*planItem, len(items))
	for _, i := range items {
		planned[i.request.Key] = i
	}
	s.batch.mark(func(r *Request) bool { return planned[r.Key].apply(r) })
	for _, g := range s.batchGrants {
		planned[g.request.Key].apply(&g.request)
	}
	slices.SortFunc(s.batchGrants, compareGrants)
}

// batchSlots returns the number of slots that online requests leave free on average, at least 1.
func (s *service) batchSlots() float64 { return max(float64(s.slots)-s.onlineMean, 1) }

// planItems sets late on the items that can't be on time, by the Moore-Hodgson algorithm.
func planItems(now time.Time, items []*planItem, slots float64) {
	slices.SortFunc(items, func(a, b *planItem) int { return compareOnTime(&a.request, &b.request) })
	if slices.ContainsFunc(items, func(i *planItem) bool { return i.request.Account != "" }) {
		planShared(now, items, slots)
		return
	}
	var onTime longestFirst
	var work time.Duration
	for _, i := range items {
		due := i.request.Order.Sub(now)
		if i.remaining > due {
			i.late = true
			continue
		}
		heap.Push(&onTime, i)
		work += i.remaining
		if time.Duration(float64(work)/slots) > due {
			dropped := heap.Pop(&onTime).(*planItem)
			dropped.late = true
			work -= dropped.remaining
		}
	}
}

// longestFirst is a heap of items with the longest remaining time on top; among equal ones it is the item
// that is served last.
type longestFirst []*planItem

// Len implements heap.Interface.
func (l longestFirst) Len() int { return len(l) }

// Less implements heap.Interface.
func (l longestFirst) Less(i, j int) bool {
	if l[i].remaining != l[j].remaining {
		return l[i].remaining > l[j].remaining
	}
	return compareOnTime(&l[i].request, &l[j].request) > 0
}

// Swap implements heap.Interface.
func (l longestFirst) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *longestFirst) Push(x any) { *l = append(*l, x.(*planItem)) }

// Pop implements heap.Interface.
func (l *longestFirst) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
