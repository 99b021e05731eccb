package object

import (
	"maps"
	"slices"
	"sync"
)

// Mirror is a copy of a kind that may receive the same changes more than once and from several sources,
// such as its own watch and another node. It compares the revisions of the objects, so that a repeated or late
// change has no effect. It is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	objects map[string]Object
	// deletedAt holds for each object that was deleted since the newest listing the revision up to which its changes are
	// ignored.
	deletedAt map[string]Revision
	// at is the revision of the newest listing.
	at     Revision
	listed bool
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{objects: make(map[string]Object), deletedAt: make(map[string]Revision)}
}

// Apply applies a change and returns the events in it that were new, in order of revision.
func (m *Mirror) Apply(c Change) []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []Event
	if c.Listed {
		changed = m.applyListing(c)
	}
	for _, e := range c.Events {
		if !m.isPast(e) && m.applyEvent(e) {
			changed = append(changed, e)
		}
	}
	slices.SortStableFunc(changed, func(a, b Event) int { return int(a.Object.Revision - b.Object.Revision) })
	return changed
}

func (m *Mirror) applyListing(c Change) []Event {
	if c.At < m.at {
		return nil
	}
	m.at, m.listed = c.At, true
	var changed []Event
	names := make(map[string]struct{}, len(c.Objects))
	for _, o := range c.Objects {
		names[o.Name] = struct{}{}
		if m.applyEvent(Event{Object: o}) {
			changed = append(changed, Event{Object: o})
		}
	}
	for name, o := range m.objects {
		if _, ok := names[name]; !ok && o.Revision <= c.At {
			delete(m.objects, name)
			m.deletedAt[name] = c.At
			changed = append(changed, Event{Object: o, Deleted: true})
		}
	}
	maps.DeleteFunc(m.deletedAt, func(_ string, at Revision) bool { return at <= c.At }) // isPast covers them
	return changed
}

// isPast reports that an event is older than a listing that no longer has its object.
func (m *Mirror) isPast(e Event) bool {
	_, ok := m.objects[e.Object.Name]
	return !ok && e.Object.Revision <= m.at
}

func (m *Mirror) applyEvent(e Event) bool {
	name, revision := e.Object.Name, e.Object.Revision
	current, ok := m.objects[name]
	switch {
	case e.Deleted && !ok:
		m.deletedAt[name] = max(revision, m.deletedAt[name]) // the object may follow from another source
		return false
	case e.Deleted && revision < current.Revision:
		return false
	case e.Deleted:
		delete(m.objects, name)
		m.deletedAt[name] = max(revision, current.Revision)
		return true
	case ok && revision <= current.Revision, !ok && revision <= m.deletedAt[name]:
		return false
	}
	m.objects[name] = e.Object
	delete(m.deletedAt, name)
	return true
}

// Listed reports that the mirror has applied a complete listing of the kind.
func (m *Mirror) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// Snapshot returns the objects in the mirror as a listing, with the revision of the newest applied listing.
func (m *Mirror) Snapshot() Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Change{Listed: m.listed, At: m.at, Objects: slices.Collect(maps.Values(m.objects))}
	slices.SortFunc(c.Objects, func(a, b Object) int { return int(a.Revision - b.Revision) })
	return c
}
