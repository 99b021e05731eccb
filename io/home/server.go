package home

import (
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rs/zerolog"

	"mothcart/core/poison"
	"mothcart/io/admit"
	"mothcart/io/link"
	"mothcart/io/object"
)

// Server accepts the connections of nodes for the home that runs on its VM, if one does. Without a home
// it still answers with this node's site state.
type Server struct {
	server    *link.Server
	siteState func() SiteState
	views     *Views
	log       zerolog.Logger

	mu       sync.Mutex
	home     *Home
	sessions map[*link.Conn]*session
}

// NewServer returns a server without a home; Close closes the listener.
func NewServer(l net.Listener, opts admit.Options, siteState func() SiteState, views *Views) *Server {
	s := &Server{siteState: siteState, views: views, log: opts.Log, sessions: make(map[*link.Conn]*session)}
	s.server = link.NewServer(l, link.Options{Handle: s.handle, Closed: s.closed, Admit: opts})
	return s
}

// SetHome sets the home that handles the connections; with nil it closes all of them.
func (s *Server) SetHome(h *Home) {
	s.mu.Lock()
	s.home = h
	s.mu.Unlock()
	if h == nil {
		s.views.reset()
		s.server.Each(func(c *link.Conn) { c.Close() })
	}
}

// PushChanges sends changes of a kind of objects to all connected nodes, if a home runs here.
func (s *Server) PushChanges(kind string, events []object.Event) {
	s.views.add(kind, events)
	if s.hasHome() {
		s.notifyAll(methodView, viewNotice{Kind: kind, Change: object.Change{Events: events}})
	}
}

// PushViews sends all views to all connected nodes, if a home runs here. It is called when the first listing of a
// kind has completed a view.
func (s *Server) PushViews() {
	s.views.reset()
	if s.hasHome() {
		s.server.Each(s.views.sendTo)
	}
}

// PushAnnouncement notifies all connected nodes of the home that has taken over.
func (s *Server) PushAnnouncement(a Announcement) { s.notifyAll(methodAnnounce, a) }

// PushSuspects notifies all connected nodes of parts of prompts and of requests that were quarantined or cleared.
func (s *Server) PushSuspects(records []poison.Record) {
	s.notifyAll(methodParts, suspectsNotice{Records: records})
}

// PushDown notifies all connected nodes whether the home can reach the object service, if a home runs here.
func (s *Server) PushDown(down bool) {
	if s.hasHome() {
		s.notifyAll(methodObjectsDown, objectsDownNotice{Down: down})
	}
}

// NotifyLeaseUnconfirmed notifies all connected nodes whether the home's lease is unconfirmed, which it is
// while the home can't renew the lease.
func (s *Server) NotifyLeaseUnconfirmed(unconfirmed bool) {
	s.notifyAll(methodLeaseUnconfirmed, leaseUnconfirmedNotice{Unconfirmed: unconfirmed})
}

func (s *Server) hasHome() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home != nil
}

// notifyAll sends a message, which is encoded once, to all connected nodes.
func (s *Server) notifyAll(method string, msg any) {
	n, err := link.NewNotice(method, msg)
	if err != nil {
		s.log.Error().Str("method", method).Err(err).Msg("noticeNotSent")
		return
	}
	s.server.Each(func(c *link.Conn) { c.Send(n) })
}

// maxRelays bounds the number of relays that are sent to a node.
const maxRelays = 6

// SendRelays sends each connected node the addresses of some relays, the number of nodes, the rates of upstreams, and the
// tokens that wait.
func (s *Server) SendRelays() {
	s.mu.Lock()
	var relays []string
	nodes, h := len(s.sessions), s.home
	for _, session := range s.sessions {
		if session != nil && session.relay != "" {
			relays = append(relays, session.relay)
		}
	}
	s.mu.Unlock()
	notice := relaysNotice{Nodes: nodes}
	if h != nil {
		notice.Limits, notice.Asking = encodeLimits(h.pool.ExportLimits()), h.pool.AskingNodes()
		notice.Open, notice.Counted = h.countOpen()
	}
	s.server.Each(func(c *link.Conn) {
		rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
		notice.Relays = relays[:min(len(relays), maxRelays)]
		c.Notify(methodRelays, notice)
	})
}

func (s *Server) closed(c *link.Conn, err error) {
	s.mu.Lock()
	h, session := s.home, s.sessions[c]
	delete(s.sessions, c)
	s.mu.Unlock()
	if h != nil {
		h.dropNode(session, err)
	}
}

// Close ends all connections.
func (s *Server) Close() { s.server.Close() }

func (s *Server) handle(c *link.Conn, in link.Incoming) {
	if in.Method == methodFetchSiteState {
		in.Answer(s.siteState())
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
	if after != nil {
		c.Prove()
	}
	s.mu.Lock()
	s.sessions[c] = after
	s.mu.Unlock()
	select {
	case <-c.Done():
		s.closed(c, nil) // the connection ended meanwhile; release the slots that the message acquired
	default:
	}
}
