// Package serve runs one entry VM's process: it puts the parts together, opens the ports for
// callers, operators and peers, and drains them in order.
//
// Every process is alike; which roles it holds follows from the members that it sees.
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
	"mothcart/io/job"
	"mothcart/io/ledger"
	"mothcart/io/order"
	"mothcart/io/peer"
	"mothcart/io/published"
	"mothcart/io/service"
	"mothcart/io/upstream"
	"mothcart/io/vmlist"
)

// Server is one process. Its methods are safe for concurrent use.
type Server struct {
	opts     Options
	app      *kratos.App
	servers  []*kratoshttp.Server
	callers  net.Listener
	ops      net.Listener
	peers    *peer.Node
	list     *vmlist.Watcher
	follower *published.Follower
	limiter  *account.Limiter
	online   *engine.Client
	batch    *engine.Client
	control  *engine.Client
	plain    *service.Client
	router   *upstream.Router
	home     atomic.Pointer[upstream.Home]
	ledger   *ledger.Ledger
	jobs     *job.Jobs
	orders   *order.Runner
	assigned assignment
	handler  *caller.Handler

	upstreams upstreamList
	drain     drainState
	stop      chan struct{}
	done      sync.WaitGroup
}

// New opens the ports and starts the parts; Run serves.
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
	if err := s.startParts(); err != nil {
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
	if s.callers = s.opts.Callers; s.callers == nil {
		if s.callers, err = net.Listen("tcp", cfg.CallerAddress); err != nil {
			return merry.Errorf("listen for callers: %w", err)
		}
	}
	if s.ops = s.opts.Operators; s.ops == nil {
		if s.ops, err = net.Listen("tcp", cfg.OperatorAddress); err != nil {
			s.callers.Close()
			return merry.Errorf("listen for operators: %w", err)
		}
	}
	return nil
}

func (s *Server) closeListeners() {
	s.callers.Close()
	s.ops.Close()
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

// startParts starts everything behind the ports.
func (s *Server) startParts() error {
	cfg := s.opts.Settings
	counted := countedStore(s.opts.Store, s.opts.Registry)
	s.upstreams = newUpstreamList(s.peers)
	s.done.Go(func() { s.upstreams.follow(s.stop) })
	s.list = vmlist.New(vmlist.NewOptions(s.opts.VMList).WithOnList(s.peers.SetList).WithRegistry(s.opts.Registry).WithLogger(s.opts.Log))
	s.follower = published.New(published.Options{
		Self: cfg.VMID, Store: counted, Peers: published.NewPeers(s.peers), DataDir: cfg.DataFolder, Log: s.opts.Log,
	})
	s.online = engine.New(engine.NewOptions())
	s.batch = engine.New(engine.NewOptions())
	s.control = engine.New(engine.NewOptions())
	s.plain = service.New(service.NewOptions())
	s.limiter = account.New(account.Options{Peers: s.peers, Snapshot: s.follower.Current})
	s.router = upstream.New(upstream.NewOptions(s.opts.self(), s.online).
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
	s.home.Store(upstream.NewHome(upstream.NewHomeOptions(s.peers, s.router, s.control, s.batch).
		WithItems(upstream.ItemSource{Take: s.takeItems}).WithLog(s.opts.Log, s.opts.Registry)))
	s.startOrders(counted)
	return nil
}

func (s *Server) newHandler() *caller.Handler {
	cfg := s.opts.Settings
	opts := caller.NewOptions(s.router).WithSnapshot(s.follower.Current).WithLog(s.opts.Log).WithRegistry(s.opts.Registry).
		WithLimits(cfg.MaxBodyBytes, cfg.MaxInFlight, cfg.BodyTimeout).WithAllow(s.limiter.Allow).
		WithLedger(s.durable, s.accept, s.lookup)
	opts.Services = s.plain
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
	callers := newHTTPServer(s.callers, callerTLS, s.handler, cfg.ReadHeaderTimeout)
	operators := newHTTPServer(s.ops, operatorTLS, s.operatorHandler(), cfg.ReadHeaderTimeout)
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

// newHTTPServer returns kratos' HTTP server for one port.
func newHTTPServer(l net.Listener, tlsConfig *tls.Config, h http.Handler, headerTimeout time.Duration) *kratoshttp.Server {
	opts := []kratoshttp.ServerOption{kratoshttp.Listener(l), kratoshttp.Timeout(0)}
	if tlsConfig != nil {
		opts = append(opts, kratoshttp.TLSConfig(tlsConfig))
	}
	srv := kratoshttp.NewServer(opts...)
	// The handler stands in for kratos' router, which rewrites paths that callers of plain services
	// rely on.
	srv.Handler = h
	srv.ReadHeaderTimeout = headerTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	return srv
}

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 64 << 10

// Run serves until the context ends, a signal comes, or a drain is asked for; then it drains.
func (s *Server) Run(ctx context.Context) error {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.awaitDrain(ctx)
		_ = s.app.Stop()
	}()
	err := s.app.Run()
	s.drain.ask()
	<-drained
	s.Close()
	if err != nil {
		return merry.Errorf("serve: %w", err)
	}
	return nil
}

// Close ends all parts at once, without a drain; what is in progress is cut.
func (s *Server) Close() {
	if !s.drain.close() {
		return
	}
	close(s.stop)
	s.closeListeners()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.list.Close()
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
	s.online.Close()
	s.batch.Close()
	s.control.Close()
	s.plain.Close()
	s.done.Wait()
}

// CallerAddress returns host:port of the callers' port.
func (s *Server) CallerAddress() string { return s.callers.Addr().String() }

// OperatorAddress returns host:port of the operators' port.
func (s *Server) OperatorAddress() string { return s.ops.Addr().String() }

// Members returns the number of entry VMs that this one sees, itself included.
func (s *Server) Members() int { return len(s.peers.View().VMs) }

// UpstreamLeaving reports whether this VM knows that the upstream is leaving.
func (s *Server) UpstreamLeaving(id string) bool {
	list, _ := s.upstreams.current()
	for _, u := range list {
		if u.ID == id {
			return u.Leaving
		}
	}
	return false
}

// Kill cuts all connections and ends the process's parts at once, as the loss of the VM would.
func (s *Server) Kill() {
	s.drain.ask()
	s.drain.cut()
	s.Close()
}

// Follower returns the configuration of this VM.
func (s *Server) Follower() *published.Follower { return s.follower }

// Jobs returns the batch jobs of this VM.
func (s *Server) Jobs() *job.Jobs { return s.jobs }

// VM returns this VM with the address of its peer port.
func (s *Server) VM() vm.VM { return s.peers.Self() }

// upstreamList keeps the upstream VMs with a revision.
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

// follow takes in each change of the members' state until stop is closed.
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
