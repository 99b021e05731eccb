package link

import (
	"net"
	"sync"

	"mothcart/io/admit"
)

// Server accepts connections of other processes.
type Server struct {
	listener *admit.Listener
	opts     Options
	done     sync.WaitGroup

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewServer returns a server that accepts connections of the listener; Close closes the listener.
func NewServer(l net.Listener, opts Options) *Server {
	s := &Server{listener: admit.NewListener(l, opts.Admit), opts: opts, conns: make(map[*Conn]struct{})}
	s.done.Go(s.accept)
	return s
}

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		opts := s.opts
		opts.Closed = func(c *Conn, err error) {
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			if s.opts.Closed != nil {
				s.opts.Closed(c, err)
			}
		}
		s.mu.Lock()
		s.conns[newConn(nc, opts)] = struct{}{}
		s.mu.Unlock()
	}
}

// Each calls f for each open connection.
func (s *Server) Each(f func(c *Conn)) {
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.done.Wait()
	s.Each(func(c *Conn) { c.Close() })
}
