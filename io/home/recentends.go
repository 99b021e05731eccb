package home

import (
	"slices"
	"sync"
	"time"

	"mothcart/core/tombstone"
)

// maxRecentEnds bounds the ends that a node repeats to the next home.
const maxRecentEnds = 1000

// recentEnds are the ends of jobs that a node has acknowledged lately, in order of time. It is safe for concurrent use.
type recentEnds struct {
	mu   sync.Mutex
	ends []recentEnd
}

type recentEnd struct {
	endedNotice
	at time.Time
}

func (r *recentEnds) add(now time.Time, m endedNotice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.ends = append(r.ends[max(len(r.ends)-maxRecentEnds+1, 0):], recentEnd{m, now})
}

// recent returns the ends of the time for which a home keeps them.
func (r *recentEnds) recent(now time.Time) []endedNotice {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	out := make([]endedNotice, 0, len(r.ends))
	for _, e := range r.ends {
		out = append(out, e.endedNotice)
	}
	return out
}

func (r *recentEnds) expire(now time.Time) {
	r.ends = slices.DeleteFunc(r.ends, func(e recentEnd) bool { return now.Sub(e.at) > tombstone.Lifetime })
}
