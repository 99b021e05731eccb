package object

import (
	"maps"
	"slices"
	"sync"
)

// Mirror is a copy of a kind that may hear of the same changes more than once and from several
// sources, such as an own watch and another node; it takes each object up by its revision. It is safe
// for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	objects map[string]Object
	// gone holds the revisions up to which objects that are gone are known to be so.
	gone map[string]Revision
	// at is the revision of the newest listing.
	at     Revision
	listed bool
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{objects: make(map[string]Object), gone: make(map[string]Revision)}
}

// Apply takes a change up and returns what was new in it, in order of revision.
func (m *Mirror) Apply(c Change) []Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	var news []Event
	if c.Listed {
		news = m.applyListing(c)
	}
	for _, e := range c.Events {
		if m.applyEvent(e) {
			news = append(news, e)
		}
	}
	slices.SortStableFunc(news, func(a, b Event) int { return int(a.Object.Revision - b.Object.Revision) })
	return news
}

func (m *Mirror) applyListing(c Change) []Event {
	if c.At < m.at {
		return nil
	}
	m.at, m.listed = c.At, true
	var news []Event
	names := make(map[string]struct{}, len(c.Objects))
	for _, o := range c.Objects {
		names[o.Name] = struct{}{}
		if m.applyEvent(Event{Object: o}) {
			news = append(news, Event{Object: o})
		}
	}
	for name, o := range m.objects {
		if _, ok := names[name]; !ok && o.Revision <= c.At {
			delete(m.objects, name)
			m.gone[name] = c.At
			news = append(news, Event{Object: o, Deleted: true})
		}
	}
	return news
}

func (m *Mirror) applyEvent(e Event) bool {
	name, revision := e.Object.Name, e.Object.Revision
	known, ok := m.objects[name]
	switch {
	case e.Deleted && (!ok || revision < known.Revision):
		return false
	case e.Deleted:
		delete(m.objects, name)
		m.gone[name] = max(revision, known.Revision)
		return true
	case ok && revision <= known.Revision, !ok && revision <= m.gone[name]:
		return false
	}
	m.objects[name] = e.Object
	delete(m.gone, name)
	return true
}

// Listed reports that the mirror has held the whole kind.
func (m *Mirror) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// Snapshot returns the kind as a listing of the newest known revision.
func (m *Mirror) Snapshot() Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Change{Listed: m.listed, At: m.at, Objects: slices.Collect(maps.Values(m.objects))}
	slices.SortFunc(c.Objects, func(a, b Object) int { return int(a.Revision - b.Revision) })
	return c
}
