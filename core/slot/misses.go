package slot

// maxMisses bounds the requests of a software version that exclude upstreams and are tried in one pass though the one
// before them missed.
const maxMisses = 8

// maxRoomMisses bounds the requests without room that are tried in one pass, each smaller than all before it.
const maxRoomMisses = 32

// misses are the requests that found no slot in one pass over a list.
type misses struct {
	// all reports that no request can be served.
	all bool
	// versions is short: a service has upstreams of few versions.
	versions []versionMisses
	// noRooms counts the requests without room, and noRoom is the least need of those that may use any upstream, 0 if
	// there was none.
	noRooms, noRoom int
	// need returns the number of tokens that a request may hold.
	need func(r *Request) int
}

// versionMisses counts the misses of requests that are bound to a version, or to none if it is empty.
type versionMisses struct {
	version string
	// full reports that a request missed that excludes no upstream.
	full bool
	// excluding counts the misses of requests that exclude upstreams.
	excluding int
}

// covers reports whether a request would miss too, or need not be tried.
func (m *misses) covers(r *Request) bool {
	if m.noRoom > 0 && m.need(r) >= m.noRoom {
		return true
	}
	for i := range m.versions {
		if v := &m.versions[i]; v.version == r.Version {
			return v.full || (len(r.Exclude) > 0 && v.excluding >= maxMisses)
		}
	}
	return false
}

// add counts the miss of a request.
func (m *misses) add(r *Request) {
	switch {
	case len(r.Exclude) > 0:
		m.of(r.Version).excluding++
	case r.Version != "":
		m.of(r.Version).full = true
	default:
		m.all = true
	}
}

// addRoom counts the miss of a request for which no upstream has room. Smaller ones may have it.
func (m *misses) addRoom(r *Request) {
	m.noRooms++
	m.all = m.noRooms >= maxRoomMisses
	if (len(r.Exclude) > 0 || r.Version != "") && m.noRooms < maxMisses {
		return
	}
	if need := m.need(r); m.noRoom == 0 || need < m.noRoom {
		m.noRoom = need
	}
}

func (m *misses) of(version string) *versionMisses {
	for i := range m.versions {
		if m.versions[i].version == version {
			return &m.versions[i]
		}
	}
	m.versions = append(m.versions, versionMisses{version: version})
	return &m.versions[len(m.versions)-1]
}
