package slot

import (
	"slices"
	"time"
)

// waitList holds waiting requests in the order in which they are served.
type waitList struct {
	items []Request
	keys  map[Key]struct{}
}

func (l *waitList) has(k Key) bool {
	_, ok := l.keys[k]
	return ok
}

func (l *waitList) push(r Request) {
	if l.keys == nil {
		l.keys = make(map[Key]struct{})
	}
	l.keys[r.Key] = struct{}{}
	i, _ := slices.BinarySearchFunc(l.items, r, compare)
	l.items = slices.Insert(l.items, i, r)
}

func (l *waitList) remove(k Key) {
	if !l.has(k) {
		return
	}
	l.filter(func(r Request) bool { return r.Key != k })
}

func (l *waitList) removeOwner(owner string) {
	l.filter(func(r Request) bool { return r.Key.Owner != owner })
}

// filter keeps the requests for which keep is true.
func (l *waitList) filter(keep func(Request) bool) {
	l.items = slices.DeleteFunc(l.items, func(r Request) bool {
		if keep(r) {
			return false
		}
		delete(l.keys, r.Key)
		return true
	})
}

// mark sets which requests are late and sorts them behind the others of their priority.
func (l *waitList) mark(late func(Request) bool) {
	changed := false
	for i, r := range l.items {
		if is := late(r); is != r.late {
			l.items[i].late = is
			changed = true
		}
	}
	if changed {
		slices.SortFunc(l.items, compare)
	}
}

// demote marks the requests that have become late.
func (l *waitList) demote(late func(Request) bool) {
	for _, r := range l.removeIf(func(r Request) bool { return !r.late && late(r) }) {
		r.late = true
		l.push(r)
	}
}

// maxMisses bounds the requests that could not be served in one pass. Only requests that exclude
// upstreams can fare differently from the one before them.
const maxMisses = 8

// serveEach calls serve for the requests in order and removes those for which it returns true.
func (l *waitList) serveEach(serve func(Request) bool) {
	misses := 0
	for i := 0; i < len(l.items) && misses < maxMisses; {
		r := l.items[i]
		if !serve(r) {
			misses++
			i++
			continue
		}
		delete(l.keys, r.Key)
		l.items = slices.Delete(l.items, i, i+1)
	}
}

// before returns the number of requests that are served before r.
func (l *waitList) before(r Request) int {
	i, _ := slices.BinarySearchFunc(l.items, r, compare)
	return i
}

// expired removes and returns the requests whose wait has expired.
func (l *waitList) expired(now time.Time) []Request {
	return l.removeIf(func(r Request) bool { return !now.Before(r.Deadline) })
}

// removeIf removes and returns the requests for which which is true.
func (l *waitList) removeIf(which func(Request) bool) []Request {
	var out []Request
	l.filter(func(r Request) bool {
		if !which(r) {
			return true
		}
		out = append(out, r)
		return false
	})
	return out
}
