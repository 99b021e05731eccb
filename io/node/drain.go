package node

import (
	"context"
	"net/http"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"mothcart/io/held"
	"mothcart/io/inbound"
)

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
	s.Server = serveOn(s.listener, opts, address, s.listener.Handler(h), s.listener.ConnState)
	return s, nil
}

// drain accepts no more connections, and waits until the open ones have ended or ctx ends. Until then it answers what comes
// on them.
func (s *callerServer) drain(ctx context.Context) error { return s.listener.Drain(ctx) }
