package node

import (
	"context"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"mothcart/io/clock"
	"mothcart/io/held"
	"mothcart/io/inbound"
)

// drainInterval is the time between two looks whether a server that drains has connections left.
const drainInterval = 50 * time.Millisecond

// callerServer serves callers or other entries, which may read slowly.
type callerServer struct {
	*kratoshttp.Server
	listener *inbound.Listener
}

// serveCallers is serveHTTP for a callerServer.
func serveCallers(ctx context.Context, opts Options, address string, b *held.Budget, h http.Handler) (*callerServer, error) {
	l, err := opts.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &callerServer{listener: inbound.NewListener(held.NewListener(l, b), inbound.Options{Log: opts.Log, Registry: opts.Registry})}
	s.Server = serveOn(s.listener, opts, address, h, s.listener.ConnState)
	return s, nil
}

// drain accepts no more connections, and waits until the open ones have ended or ctx ends. Until then it answers what comes
// on them, which Shutdown would close without an answer.
func (s *callerServer) drain(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	for s.listener.Open() > 0 {
		s.Server.SetKeepAlivesEnabled(false) // this closes the idle ones
		if err := clock.Sleep(ctx, drainInterval); err != nil {
			return err
		}
	}
	return nil
}
