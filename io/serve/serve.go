// Package serve runs the process of one entry VM: it assembles the components, opens the ports for callers,
// operators and peers, and drains them in order.
//
// All processes run the same code; the roles of each one follow from its view of the members.
//
// Usage:
//
//	s, err := serve.New(serve.NewOptions(cfg, log))
//	err = s.Run(ctx) // until a signal, or Drain
package serve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"mothcart/core/vm"
	"mothcart/io/account"
	"mothcart/io/caller"
	"mothcart/io/caller/batches"
	"mothcart/io/engine"
	"mothcart/io/inbound"
	"mothcart/io/job"
	"mothcart/io/ledger"
	"mothcart/io/order"
	"mothcart/io/peer"
	"mothcart/io/published"
	"mothcart/io/service"
	"mothcart/io/upstream"
	"mothcart/io/vmlist"
)

// Server is the process of one entry VM. Its methods are safe for concurrent use.
type Server struct {
	opts             Options
	app              *kratos.App
	servers          []*kratoshttp.Server
	callerListener   net.Listener
	operatorListener net.Listener
	// inbound accepts callers' connections without TLS; nil with it.
	inbound   *inbound.Listener
	peers     *peer.Node
	vmWatcher *vmlist.Watcher
	follower  *published.Follower
	limiter   *account.Limiter
	// onlineClient, batchClient and controlClient call the engines, each over its own connections.
	onlineClient  *engine.Client
	batchClient   *engine.Client
	controlClient *engine.Client
	// serviceClient calls the upstreams of plain services.
	serviceClient *service.Client
	router        *upstream.Router
	home          atomic.Pointer[upstream.Home]
	ledger        *ledger.Ledger
	jobs          *job.Jobs
	orders        *order.Runner
	assigned      assignment
	handler       *caller.Handler

	upstreams upstreamList
	drain     drainState
	stop      chan struct{}
	wg        sync.WaitGroup
}

// New opens the ports and starts the components; Run then serves requests.
func New(opts Options) (*Server, error) {
	s := &Server{opts: opts, stop: make(chan struct{})}
	s.drain = newDrainState()
	if err := s.listen(); err != nil {
		return nil, err
	}
	if err := s.startPeers(); err != nil {
		s.closeListeners()
		return nil, err
	}
	if err := s.startComponents(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.newApp(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Server) listen() error {
	var err error
	cfg := s.opts.Settings
	if s.callerListener = s.opts.Callers; s.callerListener == nil {
		if s.callerListener, err = net.Listen("tcp", cfg.CallerAddress); err != nil {
			return merry.Errorf("listen for callers: %w", err)
		}
	}
	if s.operatorListener = s.opts.Operators; s.operatorListener == nil {
		if s.operatorListener, err = net.Listen("tcp", cfg.OperatorAddress); err != nil {
			s.callerListener.Close()
			return merry.Errorf("listen for operators: %w", err)
		}
	}
	return nil
}

func (s *Server) closeListeners() {
	s.callerListener.Close()
	s.operatorListener.Close()
}

func (s *Server) startPeers() error {
	cfg := s.opts.Settings
	opts := peer.NewOptions(s.opts.self()).WithRegistry(s.opts.Registry).WithLogger(s.opts.Log).WithListenAddress(cfg.PeerAddress)
	if cfg.PeerCert != "" {
		tlsConfig, err := peer.LoadTLS(cfg.PeerCert, cfg.PeerKey, cfg.PeerCA)
		if err != nil {
			return merry.Errorf("load peer certificate: %w", err)
		}
		opts = opts.WithTLS(tlsConfig)
	}
	node, err := peer.New(opts)
	if err != nil {
		return merry.Errorf("start peers: %w", err)
	}
	s.peers = node
	return nil
}

// startComponents starts all components but the peer node and the HTTP servers.
func (s *Server) startComponents() error {
	cfg := s.opts.Settings
	counted := countedStore(s.opts.Store, s.opts.Registry)
	s.upstreams = newUpstreamList(s.peers)
	s.wg.Go(func() { s.upstreams.follow(s.stop) })
	s.vmWatcher = vmlist.New(vmlist.NewOptions(s.opts.VMList).WithOnList(s.peers.SetList).WithRegistry(s.opts.Registry).WithLogger(s.opts.Log))
	s.follower = published.New(published.Options{
		Self: cfg.VMID, Store: counted, Peers: published.NewPeers(s.peers), DataDir: cfg.DataFolder, Log: s.opts.Log,
	})
	s.onlineClient = engine.New(engine.NewOptions())
	s.batchClient = engine.New(engine.NewOptions())
	s.controlClient = engine.New(engine.NewOptions())
	s.serviceClient = service.New(service.NewOptions())
	s.limiter = account.New(account.Options{Peers: s.peers, Snapshot: s.follower.Current})
	s.router = upstream.New(upstream.NewOptions(s.opts.self(), s.onlineClient).
		WithSnapshot(s.follower.Current).WithUpstreams(s.upstreams.current).
		WithVMs(func() int { return len(s.peers.View().VMs) }).
		WithCounted(func(c upstream.Count) {
			if home := s.home.Load(); home != nil {
				home.Count(c)
			}
		}))
	s.ledger = s.newLedger(counted)
	if err := s.startJobs(counted); err != nil {
		return err
	}
	s.handler = s.newHandler()
	s.home.Store(upstream.NewHome(upstream.NewHomeOptions(s.peers, s.router, s.controlClient, s.batchClient).
		WithItems(upstream.ItemSource{Take: s.takeItems}).WithLog(s.opts.Log, s.opts.Registry)))
	s.startOrders(counted)
	return nil
}

func (s *Server) newHandler() *caller.Handler {
	cfg := s.opts.Settings
	opts := caller.NewOptions(s.router).WithSnapshot(s.follower.Current).WithLog(s.opts.Log).WithRegistry(s.opts.Registry).
		WithLimits(cfg.MaxBodyBytes, cfg.MaxInFlight, cfg.BodyTimeout).WithAllow(s.limiter.Allow).
		WithLedger(s.runDurable, s.acceptDurable, s.lookupDurable)
	opts.Services = s.serviceClient
	opts.Batches = batches.New(batches.Options{Jobs: s.jobs, Authenticate: s.authenticateBatch, Serves: s.serves, Log: s.opts.Log})
	return caller.New(opts)
}

func (s *Server) newApp() error {
	cfg := s.opts.Settings
	callerTLS, err := callerTLS(cfg)
	if err != nil {
		return err
	}
	operatorTLS, err := operatorTLS(cfg)
	if err != nil {
		return err
	}
	callers := s.newCallerServer(callerTLS)
	operators := s.newOperatorServer(operatorTLS)
	kratosLogOnce.Do(func() { kratoslog.SetLogger(kratosLog{log: s.opts.Log}) })
	s.servers = []*kratoshttp.Server{callers, operators}
	s.app = kratos.New(
		kratos.ID(cfg.VMID), kratos.Name("mothcart"),
		kratos.Server(callers, operators),
		kratos.Signal(unusedSignal),
		kratos.StopTimeout(time.Second),
	)
	return nil
}

func (s *Server) newCallerServer(tlsConfig *tls.Config) *kratoshttp.Server {
	cfg := s.opts.Settings
	l := inbound.NewListener(s.callerListener, inbound.Options{
		Name: "callers", Connections: cfg.MaxConnections, HeadBytes: cfg.HeadMemory, Opaque: tlsConfig != nil,
		Limits: s.headLimits, Log: s.opts.Log, Registry: s.opts.Registry,
	})
	if tlsConfig == nil {
		s.inbound = l
	}
	return newHTTPServer(l, tlsConfig, s.handler, cfg.ReadHeaderTimeout)
}

// headLimits are the limits of requests' headers on all ports.
func (s *Server) headLimits() inbound.Limits {
	return inbound.Limits{HeadBytes: maxHeaderBytes, HeadTime: s.opts.Settings.ReadHeaderTimeout, IdleTime: idleTime}
}

// newOperatorServer returns the server of the operators' port.
func (s *Server) newOperatorServer(tlsConfig *tls.Config) *kratoshttp.Server {
	l := inbound.NewListener(s.operatorListener, inbound.Options{
		Name: "operators", Connections: operatorConnections, HeadBytes: operatorHeadMemory, Opaque: tlsConfig != nil,
		Limits: s.headLimits, Log: s.opts.Log, Registry: s.opts.Registry,
	})
	return newHTTPServer(l, tlsConfig, s.operatorHandler(), s.opts.Settings.ReadHeaderTimeout)
}

// newHTTPServer returns kratos' HTTP server for one port.
func newHTTPServer(l *inbound.Listener, tlsConfig *tls.Config, h http.Handler, headerTimeout time.Duration) *kratoshttp.Server {
	opts := []kratoshttp.ServerOption{kratoshttp.Listener(l), kratoshttp.Timeout(0)}
	if tlsConfig != nil {
		opts = append(opts, kratoshttp.TLSConfig(tlsConfig))
	}
	srv := kratoshttp.NewServer(opts...)
	// The handler replaces kratos' router, which would rewrite paths that callers of plain services rely on.
	srv.Handler = l.Handler(h)
	srv.ReadHeaderTimeout = headerTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	srv.ConnContext, srv.ConnState = inbound.ConnContext, l.ConnState
	return srv
}

const (
	// idleTime is how long a connection of a caller may be idle.
	idleTime = 10 * time.Minute
	// operatorConnections and operatorHeadMemory bound the operators' port, the latter in bytes.
	operatorConnections = 256
	operatorHeadMemory  = 4 << 20
)

// maxHeaderBytes is the limit for the headers of a request, in bytes.
const maxHeaderBytes = 64 << 10

// Run serves until ctx ends, a signal arrives or Drain is called; then it drains and closes the server.
func (s *Server) Run(ctx context.Context) error {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.awaitDrain(ctx)
		_ = s.app.Stop()
	}()
	err := s.app.Run()
	s.drain.start()
	<-drained
	s.Close()
	if err != nil {
		return merry.Errorf("serve: %w", err)
	}
	return nil
}

// Close stops all components at once, without a drain; requests in progress are aborted.
func (s *Server) Close() {
	if !s.drain.close() {
		return
	}
	close(s.stop)
	s.closeListeners()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.vmWatcher.Close()
	if home := s.home.Load(); home != nil {
		home.Close()
	}
	if s.orders != nil {
		s.orders.Close()
	}
	if s.jobs != nil {
		s.jobs.Close()
	}
	s.ledger.Close()
	s.follower.Close()
	s.limiter.Close()
	s.router.Close()
	s.peers.Close()
	s.onlineClient.Close()
	s.batchClient.Close()
	s.controlClient.Close()
	s.serviceClient.Close()
	s.wg.Wait()
}

// CallerAddress returns host:port of the callers' port.
func (s *Server) CallerAddress() string { return s.callerListener.Addr().String() }

// OperatorAddress returns host:port of the operators' port.
func (s *Server) OperatorAddress() string { return s.operatorListener.Addr().String() }

// Members returns the number of live entry VMs in this VM's view, itself included.
func (s *Server) Members() int { return len(s.peers.View().VMs) }

// UpstreamLeaving reports whether this VM's upstream list marks the upstream as leaving.
func (s *Server) UpstreamLeaving(id string) bool {
	list, _ := s.upstreams.current()
	for _, u := range list {
		if u.ID == id {
			return u.Leaving
		}
	}
	return false
}

// Kill closes all connections and stops all components at once, to simulate the loss of the VM.
func (s *Server) Kill() {
	s.drain.start()
	s.drain.abort()
	s.Close()
}

// Follower returns the follower that publishes and follows the configuration on this VM.
func (s *Server) Follower() *published.Follower { return s.follower }

// Jobs returns the component that runs batch jobs on this VM.
func (s *Server) Jobs() *job.Jobs { return s.jobs }

// VM returns this VM with the address of its peer port.
func (s *Server) VM() vm.VM { return s.peers.Self() }

// upstreamList holds the upstream VMs, with a revision that grows by one at each change.
type upstreamList struct {
	peers *peer.Node
	state *atomic.Pointer[upstreamState]
}

type upstreamState struct {
	list     []vm.VM
	revision uint64
}

func newUpstreamList(peers *peer.Node) upstreamList {
	l := upstreamList{peers: peers, state: &atomic.Pointer[upstreamState]{}}
	l.state.Store(&upstreamState{})
	return l
}

func (l upstreamList) current() ([]vm.VM, uint64) {
	s := l.state.Load()
	return s.list, s.revision
}

// follow updates the list at each change that the peer node reports, until stop is closed.
func (l upstreamList) follow(stop <-chan struct{}) {
	for {
		changed := l.peers.Changed()
		var list []vm.VM
		for _, v := range l.peers.VMs() {
			if v.Group != vm.EntryGroup {
				list = append(list, v)
			}
		}
		old := l.state.Load()
		if !equalVMs(old.list, list) {
			l.state.Store(&upstreamState{list: list, revision: old.revision + 1})
		}
		select {
		case <-stop:
			return
		case <-changed:
		}
	}
}

func equalVMs(a, b []vm.VM) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
