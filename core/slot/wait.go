package slot

import (
	"cmp"
	"slices"
	"time"
)

// waitList holds waiting requests in the order in which they are served.
type waitList struct {
	items []*grant
	keys  map[Key]struct{}
	// owners is the number of requests of each owner.
	owners map[string]int
	// need returns the number of tokens that a request may hold at an upstream.
	need func(r *Request) int
	// tokens is the number that all requests need.
	tokens int
	// bound is the number of requests that are bound to a software version.
	bound int
	// shares counts the waiting requests of accounts; nil if nobody does.
	shares *shares
}

func (l *waitList) has(k Key) bool {
	_, ok := l.keys[k]
	return ok
}

func (l *waitList) push(g *grant) {
	if l.keys == nil {
		l.keys = make(map[Key]struct{})
	}
	l.keys[g.request.Key] = struct{}{}
	l.items = slices.Insert(l.items, l.before(g), g)
	l.count(&g.request, 1)
}

// countTokens counts anew what the requests need, since the capacity has changed.
func (l *waitList) countTokens() {
	l.tokens = 0
	for _, g := range l.items {
		l.tokens += l.need(&g.request)
	}
}

// count adds to the number of requests of the owner of r and of its account, to that of bound ones if it is one, and to the tokens.
func (l *waitList) count(r *Request, n int) {
	if l.owners == nil {
		l.owners = make(map[string]int)
	}
	l.owners[r.Key.Owner] += n
	if l.owners[r.Key.Owner] == 0 {
		delete(l.owners, r.Key.Owner)
	}
	l.tokens += n * l.need(r)
	if r.Version != "" {
		l.bound += n
	}
	if r.Account != "" && l.shares != nil {
		l.shares.countWaiting(r, n)
	}
}

func (l *waitList) remove(k Key) {
	if !l.has(k) {
		return
	}
	l.filter(func(r *Request) bool { return r.Key != k })
}

// hasOwner reports whether a request of an owner waits. Those of nodes are few beside the items of the home, which are not
// looked at for each message of each node.
func (l *waitList) hasOwner(owner string) bool { return l.owners[owner] > 0 }

func (l *waitList) removeOwner(owner string) {
	if l.hasOwner(owner) {
		l.filter(func(r *Request) bool { return r.Key.Owner != owner })
	}
}

// filter keeps the requests for which keep is true.
func (l *waitList) filter(keep func(*Request) bool) {
	l.items = slices.DeleteFunc(l.items, func(g *grant) bool {
		if keep(&g.request) {
			return false
		}
		delete(l.keys, g.request.Key)
		l.count(&g.request, -1)
		return true
	})
}

// mark applies a plan, which reports whether it changes a request, and sorts the list.
func (l *waitList) mark(plan func(*Request) bool) {
	changed := false
	for _, g := range l.items {
		changed = plan(&g.request) || changed
	}
	if changed {
		slices.SortFunc(l.items, compareGrants)
	}
}

// markScarce sets which requests are scarce and sorts them.
func (l *waitList) markScarce(scarce func(Request) bool) {
	if l.bound == 0 {
		return
	}
	for _, g := range l.items {
		g.request.scarce = scarce(g.request)
	}
	slices.SortFunc(l.items, compareGrants)
}

// demote marks the requests that have become late.
func (l *waitList) demote(late func(Request) bool) {
	for _, r := range l.removeIf(func(r Request) bool { return !r.late && late(r) }) {
		r.late = true
		l.push(&grant{request: r})
	}
}

// verdict is what came of an attempt to serve a request.
type verdict int

const (
	// gotSlot requests leave the list.
	gotSlot verdict = iota
	// gotNone requests found no slot that they may use.
	gotNone
	// gotNoRoom requests found slots, but no room in the memory of an upstream.
	gotNoRoom
	// isHeld requests wait for another reason than slots.
	isHeld
	// endPass means that no request of the list can be served now.
	endPass
)

// serveEach calls serve for the requests in order and removes those that are served. It passes over requests
// that can't fare better than those that missed.
func (l *waitList) serveEach(serve func(*grant) verdict) {
	m := misses{need: l.need}
	for i := 0; i < len(l.items) && !m.all; {
		g := l.items[i]
		if m.covers(&g.request) {
			i++
			continue
		}
		switch serve(g) {
		case gotSlot:
			delete(l.keys, g.request.Key)
			l.items = slices.Delete(l.items, i, i+1)
			l.count(&g.request, -1)
		case gotNone:
			m.add(&g.request)
			i++
		case gotNoRoom:
			m.addRoom(&g.request)
			i++
		case isHeld:
			i++
		case endPass:
			return
		}
	}
}

// before returns the number of requests that are served before that of g.
func (l *waitList) before(g *grant) int {
	i, _ := slices.BinarySearchFunc(l.items, g, compareGrants)
	return i
}

// boundBefore returns how many of the requests that are served before that of g are bound to its version, and how
// many to none.
func (l *waitList) boundBefore(g *grant) (bound, unbound int) {
	for _, other := range l.items[:l.before(g)] {
		switch other.request.Version {
		case g.request.Version:
			bound++
		case "":
			unbound++
		}
	}
	return bound, unbound
}

// expired removes and returns the requests whose wait has expired.
func (l *waitList) expired(now time.Time) []Request {
	return l.removeIf(func(r Request) bool { return !now.Before(r.Deadline) })
}

// removeIf removes and returns the requests for which which is true.
func (l *waitList) removeIf(which func(Request) bool) []Request {
	var out []Request
	l.filter(func(r *Request) bool {
		if !which(*r) {
			return true
		}
		out = append(out, *r)
		return false
	})
	return out
}

// compare orders requests by when they are served, the first one first.
func compare(a, b *Request) int {
	switch {
	case a.standing != b.standing:
		return compareStanding(a, b)
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	default:
		return compareInShare(a, b)
	}
}

// compareInShare orders requests of the same class and of accounts with the same excess.
func compareInShare(a, b *Request) int {
	switch {
	case a.late != b.late:
		return falseFirst(a.late, b.late)
	case a.scarce != b.scarce:
		return falseFirst(b.scarce, a.scarce)
	default:
		return compareOnTime(a, b)
	}
}

// compareOnTime orders requests that are all late or all on time.
func compareOnTime(a, b *Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		a.urgency().Compare(b.urgency()),
		cmp.Compare(a.Key.ID, b.Key.ID),
		cmp.Compare(a.Key.Owner, b.Key.Owner),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
