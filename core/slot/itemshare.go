package slot

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// dueTolerance is the time within which items are due equally: a few hundredths of the time that jobs are given, and
	// less than an item takes.
	dueTolerance = time.Second
	// lowRankFactor is how much more the work of accounts counts that are not of the most urgent rank. They get at least
	// half of what the others get.
	lowRankFactor = 2
)

// compareEquallyDue orders the batch items of accounts by their due times, and those that are due equally by the ranks of
// their accounts and by how much those have planned already.
func compareEquallyDue(a, b *Request) int {
	return cmp.Or(
		a.Order.Truncate(dueTolerance).Compare(b.Order.Truncate(dueTolerance)),
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.standing.level, b.standing.level),
		compareInShare(a, b),
	)
}

// accountPlan holds the items of an account that can be on time.
type accountPlan struct {
	items longestFirst
	// work is the remaining time of the items, and factor how much of it counts.
	work   time.Duration
	factor time.Duration
	// at is the position in the heap.
	at int
	// number is the number of the account in the plan.
	number int
}

func (a *accountPlan) add(i *planItem) {
	heap.Push(&a.items, i)
	a.work += i.remaining
}

func (a *accountPlan) drop() *planItem {
	dropped := heap.Pop(&a.items).(*planItem)
	a.work -= dropped.remaining
	return dropped
}

// planShared is planItems for items of several accounts: of the items that can't all be on time, the longest of the account
// with the most work is late.
func planShared(now time.Time, items []*planItem, slots float64) {
	accounts := accountPlans(items)
	var mostWork mostWorkFirst
	var work time.Duration
	for _, i := range items {
		due := i.request.Order.Sub(now)
		if i.remaining > due {
			i.late = true
			continue
		}
		a := accounts[i.request.Account]
		a.add(i)
		work += i.remaining
		if len(a.items) == 1 {
			heap.Push(&mostWork, a)
		} else {
			heap.Fix(&mostWork, a.at)
		}
		for time.Duration(float64(work)/slots) > due {
			most := mostWork[0]
			dropped := most.drop()
			dropped.late = true
			work -= dropped.remaining
			if len(most.items) == 0 {
				heap.Pop(&mostWork)
			} else {
				heap.Fix(&mostWork, 0)
			}
		}
	}
	setLevels(items, slots/float64(max(len(mostWork), 1)))
}

// accountPlans returns an empty plan for each account.
func accountPlans(items []*planItem) map[string]*accountPlan {
	out := make(map[string]*accountPlan)
	first := items[0].request.rank()
	for _, i := range items {
		first = min(first, i.request.rank())
	}
	for _, i := range items {
		if out[i.request.Account] != nil {
			continue
		}
		a := &accountPlan{factor: 1, number: len(out)}
		if i.request.rank() > first {
			a.factor = lowRankFactor
		}
		out[i.request.Account] = a
	}
	return out
}

// setLevels sets the excess levels of items in the order of their due times; each account has a share in slots.
func setLevels(items []*planItem, slots float64) {
	before := make(map[string]int)
	for _, i := range items {
		if i.request.Account == "" || i.late {
			continue
		}
		i.level = levelOf(before[i.request.Account], slots)
		before[i.request.Account]++
	}
}

// mostWorkFirst is a heap of the accounts that have items on time, the one with the most work on top.
type mostWorkFirst []*accountPlan

// Len implements heap.Interface.
func (l mostWorkFirst) Len() int { return len(l) }

// Less implements heap.Interface.
func (l mostWorkFirst) Less(i, j int) bool {
	a, b := l[i].work*l[i].factor, l[j].work*l[j].factor
	return a > b || a == b && l[i].number < l[j].number
}

// Swap implements heap.Interface.
func (l mostWorkFirst) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].at, l[j].at = i, j
}

// Push implements heap.Interface.
func (l *mostWorkFirst) Push(x any) {
	a := x.(*accountPlan)
	a.at = len(*l)
	*l = append(*l, a)
}

// Pop implements heap.Interface.
func (l *mostWorkFirst) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}
