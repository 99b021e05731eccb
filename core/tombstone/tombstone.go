// Package tombstone remembers ends and removals of objects that a node does not hold, so that an older copy of such an
// object, which is still being read or repeated, does not bring it back.
//
// A Table holds one tombstone an object. Copies are judged by their revisions: one that is older than the tombstone is
// obsolete, and a newer one states its own state. Tombstones expire, since no copy is read for longer than a
// call may take.
//
// Usage:
//
//	t := tombstone.NewTable()
//	t.Add(now, "j1", tombstone.Tombstone{Kind: tombstone.Ended, Revision: 17})
//	switch t.Judge(now, "j1", 12) {
//	case tombstone.Current, tombstone.IsEnded, tombstone.IsRemoved, tombstone.Doubtful:
//	}
package tombstone

import "time"

const (
	// Lifetime is how long a tombstone is kept; reads and watches take less than half of it.
	Lifetime = time.Minute
	// maxTombstones bounds a table; the oldest tombstone is then dropped.
	maxTombstones = 1 << 16
)

// Kind is what a tombstone states.
type Kind int

const (
	// Ended objects exist and need no more work.
	Ended Kind = iota + 1
	// Removed objects exist no longer.
	Removed
)

// Tombstone states the end or the removal of an object.
type Tombstone struct {
	Kind Kind
	// Revision is that of the change; 0 if it is not known. A removal may have that of the object's last change.
	Revision int64
}

// covers reports that a copy of the object is older than the change.
func (s Tombstone) covers(revision int64) bool {
	return revision < s.Revision || (s.Kind == Removed && s.Revision != 0 && revision == s.Revision)
}

// Verdict is what a copy of an object is worth.
type Verdict int

const (
	// Current means that nothing is known against the copy.
	Current Verdict = iota + 1
	// IsEnded means that the copy is older than the end of the object.
	IsEnded
	// IsRemoved means that the copy is older than the removal of the object.
	IsRemoved
	// Doubtful means that the copy may be older than a change of unknown revision, so that the object must be read again.
	Doubtful
)

// Table holds tombstones by the names of the objects.
type Table struct {
	tombstones map[string]entry
}

// entry holds the newest tombstone of an object. Doubtful reports that there is one of unknown revision as well.
type entry struct {
	Tombstone
	doubtful bool
	at       time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{tombstones: make(map[string]entry)} }

// Add adds a tombstone. One with an older revision does not replace a newer one.
func (t *Table) Add(now time.Time, name string, s Tombstone) {
	e, ok := t.tombstones[name]
	if !ok && len(t.tombstones) >= maxTombstones {
		t.dropOldest()
	}
	if s.Revision >= e.Revision {
		e.Tombstone = s
	}
	e.doubtful = e.doubtful || s.Revision == 0
	e.at = now
	t.tombstones[name] = e
}

// Judge returns what a copy of an object with a revision is worth.
func (t *Table) Judge(now time.Time, name string, revision int64) Verdict {
	e, ok := t.tombstones[name]
	switch {
	case !ok || now.Sub(e.at) > Lifetime:
		return Current
	case e.covers(revision) && e.Kind == Ended:
		return IsEnded
	case e.covers(revision):
		return IsRemoved
	case e.doubtful:
		return Doubtful
	default:
		return Current
	}
}

// Confirm settles the doubt about an object that was read at readAt, if no tombstone was added since.
func (t *Table) Confirm(name string, readAt time.Time) {
	if e, ok := t.tombstones[name]; ok && !e.at.After(readAt) {
		e.doubtful = false
		t.tombstones[name] = e
	}
}

// Expire drops the tombstones whose lifetime is over.
func (t *Table) Expire(now time.Time) {
	for name, e := range t.tombstones {
		if now.Sub(e.at) > Lifetime {
			delete(t.tombstones, name)
		}
	}
}

// Len returns the number of tombstones.
func (t *Table) Len() int { return len(t.tombstones) }

func (t *Table) dropOldest() {
	oldest := ""
	for name, e := range t.tombstones {
		if oldest == "" || e.at.Before(t.tombstones[oldest].at) {
			oldest = name
		}
	}
	delete(t.tombstones, oldest)
}
