package site

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// goneGrace is how long an upstream whose entry has disappeared is still used, if nothing else
	// is free. Together with the time until a disappearance is learned it stays below the 2 s for which
	// a leaving upstream surely serves.
	goneGrace = 800 * time.Millisecond
	// returnGrace is how long after the return of the object service a missing entry is not taken for
	// an upstream that is gone.
	returnGrace = 2 * time.Second
	// lapseWindow is the time within which entries that lapse in one outage disappear, minLapsed the
	// number of them that shows one.
	lapseWindow = time.Second
	minLapsed   = 2
	// forgetAfter is when a missing upstream is forgotten; no outage that matters is longer.
	forgetAfter = 2 * time.Minute
)

// Directory is the upstreams that entries in the object service name, through outages of that
// service. Values are immutable.
type Directory struct {
	entries map[string]Upstream
	// missing holds the upstreams whose entries have disappeared, and when.
	missing map[string]missing
	down    bool
	// lost is when the object service stopped to answer last, regained when it answered again.
	lost, regained time.Time
}

type missing struct {
	upstream Upstream
	since    time.Time
}

// WithUpstream returns the directory after an entry was written.
func (d Directory) WithUpstream(u Upstream) Directory {
	out := d.clone()
	out.entries[u.ID] = u
	delete(out.missing, u.ID)
	return out
}

// WithoutUpstream returns the directory after an entry has disappeared or become unreadable.
func (d Directory) WithoutUpstream(now time.Time, id string) Directory {
	u, ok := d.entries[id]
	if !ok {
		return d
	}
	out := d.clone()
	maps.DeleteFunc(out.missing, func(_ string, m missing) bool { return now.Sub(m.since) > forgetAfter })
	delete(out.entries, id)
	out.missing[id] = missing{upstream: u, since: now}
	return out
}

// WithDown returns the directory after the object service stopped or began to answer.
func (d Directory) WithDown(now time.Time, down bool) Directory {
	if d.down && !down {
		d.regained = now
	}
	if !d.down && down {
		d.lost = now
	}
	d.down = down
	return d
}

// Upstreams returns the upstreams to use, by ID, and when the next missing one is given up; the time
// is zero if none is missing.
func (d Directory) Upstreams(now time.Time) ([]Upstream, time.Time) {
	list := slices.Collect(maps.Values(d.entries))
	var next time.Time
	for _, m := range d.missing {
		until := d.kept(now, m)
		if !now.Before(until) {
			continue
		}
		u := m.upstream
		u.Doubtful = true
		list = append(list, u)
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list, next
}

// kept returns until when a missing upstream is used. An outage that came after its entry had
// disappeared doesn't count for it.
func (d Directory) kept(now time.Time, m missing) time.Time {
	until := m.since.Add(goneGrace)
	inOutage := !d.lost.IsZero() && !m.since.Before(d.lost)
	returned := d.regained.Add(returnGrace)
	switch {
	case m.upstream.Draining:
		return m.since
	case inOutage && d.down:
		return now.Add(returnGrace)
	case inOutage && m.since.Before(returned) && returned.After(until):
		return returned
	case d.lapsed(m):
		return m.since.Add(returnGrace)
	default:
		return until
	}
}

// lapsed reports that half of a service's entries disappeared together, which shows an outage of the
// object service that this node has not noticed, rather than upstreams that leave.
func (d Directory) lapsed(m missing) bool {
	together, left := 0, 0
	for _, other := range d.missing {
		if other.upstream.Service == m.upstream.Service && other.since.Sub(m.since).Abs() < lapseWindow {
			together++
		}
	}
	for _, u := range d.entries {
		if u.Service == m.upstream.Service {
			left++
		}
	}
	return together >= minLapsed && together >= left
}

func (d Directory) clone() Directory {
	d.entries = maps.Clone(d.entries)
	if d.entries == nil {
		d.entries = map[string]Upstream{}
	}
	d.missing = maps.Clone(d.missing)
	if d.missing == nil {
		d.missing = map[string]missing{}
	}
	return d
}
