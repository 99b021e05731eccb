package home

import (
	"math/rand/v2"
	"net"
	"sync"

	"mothcart/io/link"
	"mothcart/io/object"
)

// Server accepts the connections of nodes for the home that runs on its VM, if one does. Without a home
// it still tells nodes what this one knows.
type Server struct {
	server *link.Server
	knows  func() Knowledge

	mu       sync.Mutex
	home     *Home
	sessions map[*link.Conn]*session
}

// NewServer returns a server without a home; it closes the listener at its end.
func NewServer(l net.Listener, knows func() Knowledge) *Server {
	s := &Server{knows: knows, sessions: make(map[*link.Conn]*session)}
	s.server = link.NewServer(l, link.Options{Handle: s.handle, Closed: s.closed})
	return s
}

// SetHome gives the connections to a home; nil closes all of them.
func (s *Server) SetHome(h *Home) {
	s.mu.Lock()
	s.home = h
	s.mu.Unlock()
	if h == nil {
		s.server.Each(func(c *link.Conn) { c.Close() })
	}
}

// PushNews tells all connected nodes what the home has learned of a kind of objects.
func (s *Server) PushNews(kind string, news []object.Event) {
	if s.hasHome() {
		s.tellAll(methodView, viewNotice{Kind: kind, Change: object.Change{Events: news}})
	}
}

// PushAnnouncement tells all nodes of the home that has taken over.
func (s *Server) PushAnnouncement(a Announcement) { s.tellAll(methodAnnounce, a) }

// PushDown tells all nodes whether the home reaches the object service.
func (s *Server) PushDown(down bool) {
	if s.hasHome() {
		s.tellAll(methodDown, downNotice{Down: down})
	}
}

// TellUnsure tells all nodes whether the home can renew its lease.
func (s *Server) TellUnsure(unsure bool) { s.tellAll(methodUnsure, unsureNotice{Unsure: unsure}) }

func (s *Server) hasHome() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home != nil
}

func (s *Server) tellAll(method string, msg any) {
	s.server.Each(func(c *link.Conn) { c.Notify(method, msg) })
}

// maxRelays is the number of relays that a node is told of.
const maxRelays = 6

// TellRelays tells each node of some others that pass connections on to the home.
func (s *Server) TellRelays() {
	s.mu.Lock()
	var relays []string
	for _, session := range s.sessions {
		if session != nil && session.relay != "" {
			relays = append(relays, session.relay)
		}
	}
	s.mu.Unlock()
	s.server.Each(func(c *link.Conn) {
		rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
		c.Notify(methodPeers, peersNotice{Relays: relays[:min(len(relays), maxRelays)]})
	})
}

func (s *Server) closed(c *link.Conn, _ error) {
	s.mu.Lock()
	h, session := s.home, s.sessions[c]
	delete(s.sessions, c)
	s.mu.Unlock()
	if h != nil {
		h.leave(session)
	}
}

// Close ends all connections.
func (s *Server) Close() { s.server.Close() }

func (s *Server) handle(c *link.Conn, in link.Incoming) {
	if in.Method == methodLearn {
		in.Answer(s.knows())
		return
	}
	s.mu.Lock()
	h, before := s.home, s.sessions[c]
	s.mu.Unlock()
	if h == nil {
		in.Fail(ErrNoHome)
		return
	}
	after := h.handle(before, in)
	s.mu.Lock()
	s.sessions[c] = after
	s.mu.Unlock()
	select {
	case <-c.Done():
		s.closed(c, nil) // the connection ended meanwhile; what the message took is given back
	default:
	}
}
