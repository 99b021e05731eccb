package node

import (
	"context"
	"net"
	"net/http"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"mothcart/core/site"
	"mothcart/io/held"
	"mothcart/io/inbound"
	"mothcart/platform"
)

// Shares of the ports of a node in the connections that it accepts and in the memory for heads of requests.
const (
	callersShare   = 0.7
	carriedShare   = 0.1
	readinessShare = 0.05
	metricsShare   = 0.05
	relayShare     = 0.1
	homeShare      = 0.8
)

const (
	// reservedFiles are the descriptors that the platform keeps for files outside the data folder.
	reservedFiles = 200
	// acceptedShare is the share of the other descriptors that accepted connections may use; the rest is for upstreams,
	// nodes and the object service.
	acceptedShare = 0.6
	// connBytes is the memory of a connection without a request, in bytes, and connsShare the share of the memory that all
	// of them may use; headsShare is that of the heads of requests.
	connBytes  = 8 << 10
	connsShare = 1.0 / 8
	headsShare = 1.0 / 8
	// defaultMemory stands in for settings that name none.
	defaultMemory = 256 << 20
	// addedHeadBytes is what another entry adds to the head of a request that it sends through this one.
	addedHeadBytes = 8 << 10
)

// maxConnections returns the number of connections that a port with a share accepts.
func maxConnections(s platform.Settings, share float64) int {
	memory := s.MemoryBytes
	if memory <= 0 {
		memory = defaultMemory
	}
	total := float64(memory) * connsShare / connBytes
	if s.MaxFiles > reservedFiles {
		total = min(total, float64(s.MaxFiles-reservedFiles)*acceptedShare)
	}
	return max(1, int(total*share))
}

// headBytes returns the memory for heads of requests at a port with a share, in bytes.
func headBytes(s platform.Settings, share float64) int64 {
	memory := s.MemoryBytes
	if memory <= 0 {
		memory = defaultMemory
	}
	return int64(float64(memory) * headsShare * share)
}

// inbound returns the options of a port's listener.
func (o Options) inbound(name string, share float64, limits func() inbound.Limits) inbound.Options {
	return inbound.Options{
		Name: name, Connections: maxConnections(o.Settings, share), HeadBytes: headBytes(o.Settings, share),
		Limits: limits, Log: o.Log, Registry: o.Registry,
	}
}

// callerLimits translates the limits of a configuration.
func callerLimits(l site.Limits) inbound.Limits {
	return inbound.Limits{HeadBytes: l.HeaderBytes, HeadTime: l.HeaderTimeout, IdleTime: l.IdleTimeout}
}

// carriedLimits are those of requests that other entries send through this one.
func carriedLimits(l site.Limits) inbound.Limits {
	limits := inbound.DefaultLimits()
	limits.HeadBytes = max(limits.HeadBytes, l.HeaderBytes+addedHeadBytes)
	return limits
}

// port is an HTTP server at one address.
type port struct {
	*kratoshttp.Server
	listener *inbound.Listener
}

// servePort serves one address until it is closed.
func servePort(ctx context.Context, opts Options, address string, in inbound.Options, b *held.Budget, h http.Handler) (*port, error) {
	l, err := opts.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	p := &port{listener: inbound.NewListener(held.NewListener(l, b), in)}
	p.Server = serveOn(p.listener, opts, address, h)
	return p, nil
}

// drain accepts no more connections, and waits until the open ones have ended or ctx ends. Until then it answers what comes
// on them.
func (p *port) drain(ctx context.Context) error { return p.listener.Drain(ctx) }

func connContext(ctx context.Context, c net.Conn) context.Context {
	return held.ConnContext(inbound.ConnContext(ctx, c), c)
}
