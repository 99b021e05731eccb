package site

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// missingGrace is how long an upstream is still used after its entry has disappeared, if no other is
	// free. Together with the time until this node learns of the disappearance it must be less than the
	// 2 s for which a leaving upstream continues to serve.
	missingGrace = 800 * time.Millisecond
	// recoveryGrace is how long after the recovery of the object service a missing entry does not yet
	// mean that the upstream has ended.
	recoveryGrace = 2 * time.Second
	// lapseWindow is the time within which the entries that lapse in one outage disappear; minLapsed is
	// the least number of such entries that indicates an outage.
	lapseWindow = time.Second
	minLapsed   = 2
	// forgetAfter is the age from which a missing upstream may be removed; longer outages don't matter.
	forgetAfter = 2 * time.Minute
	// versionHistory is how long the directory must have seen all entries to tell which software versions streams may
	// have begun at; no stream is taken up later than that.
	versionHistory = 15 * time.Second
)

// Directory holds the upstreams that have an entry in the object service. It keeps them during outages of
// that service. Values are immutable.
type Directory struct {
	entries map[string]Upstream
	// missing holds the upstreams whose entries have disappeared, with the time of the disappearance.
	missing map[string]missing
	// leaving holds the upstreams whose answers said that they are leaving, with the time of the first one.
	leaving map[Key]time.Time
	down    bool
	// lost is when the object service last stopped answering, regained when it last began to answer again.
	lost, regained time.Time
	// completeSince is the time from which on the directory has seen all entries; zero if it does not see all now.
	completeSince time.Time
	// hasHistory reports that versions covers the time before the directory was complete.
	hasHistory bool
	// versions holds when an entry with a software version last changed or disappeared.
	versions map[serviceVersion]time.Time
}

// serviceVersion is a software version of a service's upstreams.
type serviceVersion struct{ service, version string }

type missing struct {
	upstream Upstream
	since    time.Time
}

// Entry is the state of an upstream's entry in the object service.
type Entry struct {
	ID string
	// Upstream is what the entry describes; zero if it is gone.
	Upstream Upstream
	// Gone reports that the entry has disappeared or can't be read.
	Gone bool
}

// Changes returns the positions of the entries that differ from the directory's, or from an earlier one of the
// list. An upstream writes its entry more often than what it describes changes.
func (d Directory) Changes(entries []Entry) []int {
	var positions []int
	latest := make(map[string]Entry, len(entries))
	for i, e := range entries {
		before, ok := latest[e.ID]
		if !ok {
			u, found := d.entries[e.ID]
			before = Entry{ID: e.ID, Upstream: u, Gone: !found}
		}
		if e != before {
			positions = append(positions, i)
			latest[e.ID] = e
		}
	}
	return positions
}

// With returns the directory after entries were written or have disappeared.
func (d Directory) With(now time.Time, entries ...Entry) Directory {
	out := d.clone()
	for _, e := range entries {
		u, ok := out.entries[e.ID]
		if ok {
			out.versions[serviceVersion{u.Service, u.Version}] = now
		}
		if !e.Gone {
			out.entries[e.ID] = e.Upstream
			delete(out.missing, e.ID)
			continue
		}
		if ok {
			delete(out.entries, e.ID)
			out.missing[e.ID] = missing{upstream: u, since: now}
		}
	}
	maps.DeleteFunc(out.missing, func(_ string, m missing) bool { return now.Sub(m.since) > forgetAfter })
	maps.DeleteFunc(out.versions, func(_ serviceVersion, seen time.Time) bool { return now.Sub(seen) > versionHistory })
	return out
}

// WithComplete returns the directory after it has received all entries for the first time.
func (d Directory) WithComplete(now time.Time) Directory {
	if !d.completeSince.IsZero() || d.down {
		return d
	}
	d.completeSince = now
	if d.hasHistory {
		d.completeSince = now.Add(-versionHistory)
	}
	return d
}

// Departure is a software version of a service that an upstream had until At.
type Departure struct {
	Service, Version string
	At               time.Time
}

// WithHistory returns the directory of a node that starts, with the versions that its last process saw until its end.
// Only versions that this or another process has seen can have begun streams.
func (d Directory) WithHistory(seen []Departure) Directory {
	d = d.clone()
	for _, v := range seen {
		d.versions[serviceVersion{v.Service, v.Version}] = v.At
	}
	d.hasHistory = true
	return d
}

// Departed returns the software versions that upstreams had within versionHistory, but none has now.
func (d Directory) Departed(now time.Time) []Departure {
	present := make(map[serviceVersion]bool, len(d.versions))
	for _, u := range d.entries {
		present[serviceVersion{u.Service, u.Version}] = true
	}
	var out []Departure
	for v, at := range d.versions {
		if !present[v] && now.Sub(at) < versionHistory {
			out = append(out, Departure{Service: v.service, Version: v.version, At: at})
		}
	}
	return out
}

// SoleVersion returns the only software version that a service's upstreams have had during versionHistory. It returns
// false if they had several, or if the directory has not seen all entries during all of that time.
func (d Directory) SoleVersion(now time.Time, service string) (string, bool) {
	if d.down || d.completeSince.IsZero() || now.Sub(d.completeSince) < versionHistory {
		return "", false
	}
	found := make(map[string]bool)
	for _, u := range d.entries {
		if u.Service == service {
			found[u.Version] = true
		}
	}
	for v, seen := range d.versions {
		if v.service == service && now.Sub(seen) < versionHistory {
			found[v.version] = true
		}
	}
	for version := range found {
		return version, len(found) == 1
	}
	return "", false
}

// WithLeaving returns the directory after answers of upstreams said that these are leaving, and the keys that
// are new. Such an upstream counts as draining whatever its entry says, until the entry has been gone for
// forgetAfter.
func (d Directory) WithLeaving(now time.Time, keys []Key) (Directory, []Key) {
	var fresh []Key
	for _, k := range keys {
		if _, ok := d.leaving[k]; !ok && !slices.Contains(fresh, k) {
			fresh = append(fresh, k)
		}
	}
	if len(fresh) == 0 {
		return d, nil
	}
	leaving := make(map[Key]time.Time, len(d.leaving)+len(fresh))
	for k, since := range d.leaving {
		if d.has(k) || now.Sub(since) <= forgetAfter {
			leaving[k] = since
		}
	}
	for _, k := range fresh {
		leaving[k] = now
	}
	d.leaving = leaving
	return d, fresh
}

// Leaving returns the upstreams whose answers said that they are leaving, in no particular order.
func (d Directory) Leaving() []Key { return slices.Collect(maps.Keys(d.leaving)) }

// has reports whether an upstream has an entry.
func (d Directory) has(k Key) bool {
	u, ok := d.entries[k.ID]
	return ok && u.Incarnation == k.Incarnation
}

// isDraining reports that an upstream accepts no new requests, by its entry or by its answers.
func (d Directory) isDraining(u Upstream) bool {
	_, leaving := d.leaving[u.Key()]
	return leaving || u.Draining
}

// WithDown returns the directory after the object service stopped answering (down) or began to answer.
func (d Directory) WithDown(now time.Time, down bool) Directory {
	if d.down && !down {
		d.regained = now
	}
	if d.down && !down {
		d.completeSince = now
	}
	if !d.down && down {
		d.lost = now
		d.completeSince, d.hasHistory = time.Time{}, false
	}
	d.down = down
	return d
}

// Upstreams returns the upstreams to use, sorted by ID, and the time at which the next missing upstream
// will no longer be used; the time is zero if no missing upstream is used.
func (d Directory) Upstreams(now time.Time) ([]Upstream, time.Time) {
	list := make([]Upstream, 0, len(d.entries)+len(d.missing))
	for _, u := range d.entries {
		u.Draining = d.isDraining(u)
		list = append(list, u)
	}
	var next time.Time
	remaining := d.entriesByService()
	for _, m := range d.missing {
		until := d.usableUntil(now, m, remaining[m.upstream.Service])
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

// entriesByService returns the number of entries of each service; nil if no upstream is missing.
func (d Directory) entriesByService() map[string]int {
	if len(d.missing) == 0 {
		return nil
	}
	out := make(map[string]int)
	for _, u := range d.entries {
		out[u.Service]++
	}
	return out
}

// usableUntil returns the time until which a missing upstream is used; remaining is the number of entries of its
// service. An outage that began after the upstream's entry disappeared has no effect.
func (d Directory) usableUntil(now time.Time, m missing, remaining int) time.Time {
	until := m.since.Add(missingGrace)
	inOutage := !d.lost.IsZero() && !m.since.Before(d.lost)
	recoveryEnd := d.regained.Add(recoveryGrace)
	switch {
	case d.isDraining(m.upstream):
		return m.since
	case inOutage && d.down:
		return now.Add(recoveryGrace)
	case inOutage && m.since.Before(recoveryEnd) && recoveryEnd.After(until):
		return recoveryEnd
	case d.lapsed(m, remaining):
		return m.since.Add(recoveryGrace)
	default:
		return until
	}
}

// lapsed reports whether at least half of a service's entries disappeared together. This indicates an
// outage of the object service that this node has not noticed, rather than upstreams that are leaving.
func (d Directory) lapsed(m missing, remaining int) bool {
	together := 0
	for _, other := range d.missing {
		if other.upstream.Service == m.upstream.Service && other.since.Sub(m.since).Abs() < lapseWindow {
			together++
		}
	}
	return together >= minLapsed && together >= remaining
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
	d.versions = maps.Clone(d.versions)
	if d.versions == nil {
		d.versions = map[serviceVersion]time.Time{}
	}
	return d
}
