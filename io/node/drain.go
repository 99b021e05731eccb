package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"mothcart/io/clock"
	"mothcart/io/held"
)

// drainInterval is the time between two looks whether a server that drains has connections left.
const drainInterval = 50 * time.Millisecond

// callerServer serves callers or other entries, which may read slowly.
type callerServer struct {
	*kratoshttp.Server
	listener net.Listener
	// open is the number of open connections.
	open atomic.Int64
}

// serveCallers is serveHTTP for a callerServer.
func serveCallers(ctx context.Context, opts Options, address string, b *held.Budget, h http.Handler) (*callerServer, error) {
	l, err := opts.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &callerServer{listener: held.NewListener(l, b)}
	s.Server = serveOn(s.listener, opts, address, h, s.count)
	return s, nil
}

func (s *callerServer) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed:
		s.open.Add(-1)
	}
}

// drain accepts no more connections, and waits until the open ones have ended or ctx ends. Until then it answers what comes
// on them, which Shutdown would close without an answer.
func (s *callerServer) drain(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	for s.open.Load() > 0 {
		s.Server.SetKeepAlivesEnabled(false) // this closes the idle ones
		if err := clock.Sleep(ctx, drainInterval); err != nil {
			return err
		}
	}
	return nil
}
