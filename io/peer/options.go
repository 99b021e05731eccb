package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/member"
	"mothcart/core/vm"
)

// Options are the settings of a Node. Values are immutable.
type Options struct {
	// Self describes the node's VM. An empty address, or one with port 0, is replaced by the
	// address of the listener.
	Self vm.VM
	// ListenAddress is host:port; empty means the address of Self.
	ListenAddress string
	// TLS holds the node's certificate and the authorities of its peers; nil means plain TCP, which
	// is for tests and demonstrations on loopback.
	TLS *tls.Config
	// Member holds the parameters of membership.
	Member member.Params
	// Incarnation must be higher than in earlier runs of the same VM.
	Incarnation uint64
	// Seed makes the random choices of membership repeatable.
	Seed uint64
	// Registry is where the counters are registered.
	Registry gometrics.Registry
	// Logger receives log events.
	Logger zerolog.Logger

	// HeartbeatInterval is the time without other frames after which a heartbeat is sent.
	HeartbeatInterval time.Duration
	// HeartbeatMisses is the number of intervals without a received byte after which a connection is closed.
	HeartbeatMisses int
	// IdleTimeout is the time without calls and notices after which a connection is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds dialling and the handshakes.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// MaxControlFrame and MaxBulkFrame bound the frames of each class, in bytes.
	MaxControlFrame, MaxBulkFrame int
	// QueueFrames bounds the frames that wait on one connection.
	QueueFrames int
	// MaxControlCalls and MaxBulkCalls bound the calls in progress to one peer; more calls wait.
	MaxControlCalls, MaxBulkCalls int

	// Listen opens the listener; tests replace it.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens a connection to a peer; tests replace it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewOptions returns the defaults for a node on the VM self.
func NewOptions(self vm.VM) Options {
	return Options{
		Self:              self,
		Member:            member.NewParams(),
		Incarnation:       uint64(time.Now().UnixMilli()),
		Seed:              uint64(time.Now().UnixNano()),
		Registry:          gometrics.NewRegistry(),
		Logger:            zerolog.Nop(),
		HeartbeatInterval: time.Second,
		HeartbeatMisses:   4,
		IdleTimeout:       time.Minute,
		DialTimeout:       2 * time.Second,
		CallTimeout:       30 * time.Second,
		MaxControlFrame:   256 << 10,
		MaxBulkFrame:      4 << 20,
		QueueFrames:       256,
		MaxControlCalls:   256,
		MaxBulkCalls:      32,
		Listen:            net.Listen,
		Dial:              (&net.Dialer{}).DialContext,
	}
}

// WithListenAddress returns a copy that listens on address, host:port.
func (o Options) WithListenAddress(address string) Options {
	o.ListenAddress = address
	return o
}

// WithTLS returns a copy that uses mutual TLS.
func (o Options) WithTLS(cfg *tls.Config) Options {
	o.TLS = cfg
	return o
}

// WithMember returns a copy with the parameters of membership set.
func (o Options) WithMember(p member.Params) Options {
	o.Member = p
	return o
}

// WithIdentity returns a copy with the incarnation and the seed set.
func (o Options) WithIdentity(incarnation, seed uint64) Options {
	o.Incarnation = incarnation
	o.Seed = seed
	return o
}

// WithRegistry returns a copy whose counters go to r.
func (o Options) WithRegistry(r gometrics.Registry) Options {
	o.Registry = r
	return o
}

// WithLogger returns a copy that logs to l.
func (o Options) WithLogger(l zerolog.Logger) Options {
	o.Logger = l
	return o
}

// WithHeartbeat returns a copy with HeartbeatInterval and HeartbeatMisses set.
func (o Options) WithHeartbeat(interval time.Duration, misses int) Options {
	o.HeartbeatInterval = interval
	o.HeartbeatMisses = misses
	return o
}

// WithIdleTimeout returns a copy with the idle timeout set.
func (o Options) WithIdleTimeout(d time.Duration) Options {
	o.IdleTimeout = d
	return o
}

// WithMaxFrames returns a copy with the limits of frames, in bytes, set.
func (o Options) WithMaxFrames(control, bulk int) Options {
	o.MaxControlFrame = control
	o.MaxBulkFrame = bulk
	return o
}

// WithNetwork returns a copy that listens and dials with the given functions; nil keeps the present
// function.
func (o Options) WithNetwork(
	listen func(network, address string) (net.Listener, error),
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) Options {
	if listen != nil {
		o.Listen = listen
	}
	if dial != nil {
		o.Dial = dial
	}
	return o
}

// LoadTLS reads the PEM files of a node: its certificate, its key and the authority of its peers.
func LoadTLS(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, merry.Errorf("read peer certificate: %w", err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, merry.Errorf("read peer authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, merry.Errorf("read peer authority: no certificate in %s", authorityFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
	}, nil
}
