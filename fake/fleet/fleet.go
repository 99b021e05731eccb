// Package fleet starts a complete small site in one process: fakes of the engines, the plain services and
// the platform, and several entry VMs that are connected over loopback TCP.
//
// Usage:
//
//	f, err := fleet.New(fleet.NewOptions().WithVMs(3).WithEngines(4))
//	defer f.Close()
//	err = f.Ready(ctx)
//	f.KillVM(1)
//	f.Store.SetOutage(true)
package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
	"mothcart/core/vm"
	"mothcart/fake/engine"
	"mothcart/fake/service"
	"mothcart/fake/store"
	"mothcart/fake/vmlist"
	"mothcart/io/caller"
	"mothcart/io/serve"
	"mothcart/io/settings"
)

// Names in the site's configuration.
const (
	EngineService = "rota-scribe"
	PlainService  = "rota-desk"
	Model         = "scribe"
	// OnlineKey is the API key of the deacons' client account, BatchKey that of the rosters'.
	OnlineKey = "deacon-key"
	BatchKey  = "roster-key"
	// OnlineTeam and BatchTeam are the teams of these accounts.
	OnlineTeam = "deacons"
	BatchTeam  = "rosters"
	// EngineGroup and PlainGroup are the labels of the upstream groups in the VM list.
	EngineGroup = "scribe-vms"
	PlainGroup  = "desk-vms"
)

// zones are the availability zones that VMs and upstreams are spread over.
var zones = []string{"arada", "bole", "yeka"}

const region = "addis"

// Polling intervals of the homes of engines: of the models of each engine, and of an engine whose models
// are changing.
const (
	orderInterval = 100 * time.Millisecond
	orderReadBack = 20 * time.Millisecond
)

// Fleet is a running site. Its methods are safe for concurrent use.
type Fleet struct {
	Store   *store.Store
	List    *vmlist.List
	Engines []*engine.Engine
	Plain   []*service.Service

	opts Options
	mu   sync.Mutex
	vms  []*node
}

// node is one entry VM.
type node struct {
	settings settings.Settings
	server   *serve.Server
	cancel   context.CancelFunc
	done     chan struct{}
	alive    bool
}

// New starts the upstreams and the entry VMs and publishes the VM list; Ready publishes the configuration.
func New(opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, Store: store.New(opts.Store), List: vmlist.New()}
	if err := f.startUpstreams(); err != nil {
		f.Close()
		return nil, err
	}
	for i := range opts.VMs {
		if err := f.startVM(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.publishList()
	return f, nil
}

func (f *Fleet) startUpstreams() error {
	for i := range f.opts.Engines {
		e, err := engine.New(f.opts.Engine.WithSeed(f.opts.Seed + uint64(i)).WithModels(Model))
		if err != nil {
			return merry.Errorf("start engine %d: %w", i, err)
		}
		f.Engines = append(f.Engines, e)
	}
	for i := range f.opts.PlainVMs {
		s, err := service.New(service.NewOptions())
		if err != nil {
			return merry.Errorf("start plain service %d: %w", i, err)
		}
		f.Plain = append(f.Plain, s)
	}
	return nil
}

func (f *Fleet) startVM(i int) error {
	cfg, err := settings.Parse("fleet", fmt.Appendf(nil,
		"[vm]\nid = entry%d\nregion = %s\navailabilityZone = %s\n[listen]\npeers = 127.0.0.1:0\n[platform]\nstore = http://127.0.0.1:1\nvmList = http://127.0.0.1:1\n[limits]\ndrainLag = 200ms\ndrainLimit = 20s\n",
		i, region, zones[i%len(zones)]))
	if err != nil {
		return merry.Errorf("settings: %w", err)
	}
	n := &node{settings: cfg}
	if err := f.run(n); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append(f.vms, n)
	return nil
}

// run starts the server of a VM.
func (f *Fleet) run(n *node) error {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Errorf("listen: %w", err)
	}
	if f.opts.WrapCallers != nil {
		callers = f.opts.WrapCallers(callers)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		callers.Close()
		return merry.Errorf("listen: %w", err)
	}
	opts := serve.NewOptions(n.settings, f.opts.Log).WithSignals(false).WithListeners(callers, operators).
		WithOrderIntervals(orderInterval, orderReadBack).
		WithPlatform(f.Store.Client(), f.List.Client(n.settings.VMID))
	server, err := serve.New(opts)
	if err != nil {
		return merry.Errorf("start %s: %w", n.settings.VMID, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.server, n.cancel, n.done, n.alive = server, cancel, make(chan struct{}), true
	done := n.done
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	return nil
}

// publishList puts all VMs into the VM list.
func (f *Fleet) publishList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []vm.VM
	for _, n := range f.vms {
		if n.alive {
			list = append(list, n.server.VM())
		}
	}
	for i, e := range f.Engines {
		list = append(list, vm.VM{ID: fmt.Sprintf("engine%d", i), Group: EngineGroup, Region: region, AvailabilityZone: zones[i%len(zones)], Address: e.Address()})
	}
	for i, s := range f.Plain {
		list = append(list, vm.VM{ID: fmt.Sprintf("desk%d", i), Group: PlainGroup, Region: region, AvailabilityZone: zones[i%len(zones)], Address: s.Address()})
	}
	f.List.Set(list)
}

// Config returns the configuration that Ready publishes.
func (f *Fleet) Config() config.Set {
	return config.Set{
		Services: []config.Service{
			{
				Name: PlainService, Kind: config.KindPlain, ReportsLoad: true, RequestTimeout: 20 * time.Second,
				RetryBudget: 0.2, MaxConcurrency: 32, QueueLimit: 500, MaxUnavailable: 0.5, ProgressTimeout: 2 * time.Second,
			},
			{
				Name: EngineService, Kind: config.KindEngine, ReportsLoad: true, RequestTimeout: 20 * time.Second,
				RetryBudget: 0.2, MaxConcurrency: f.opts.Engine.MaxRunning, QueueLimit: 500, HarmWeight: f.opts.HarmWeight,
				MaxUnavailable: 0.25, ProgressTimeout: f.opts.ProgressTimeout,
			},
		},
		UpstreamGroups: []config.UpstreamGroup{
			{Name: "desk", Service: PlainService, Label: PlainGroup},
			{Name: "scribe", Service: EngineService, Label: EngineGroup, MemoryMiB: 80000},
		},
		Models: []config.Model{{Name: Model, Service: EngineService, Version: "1", MemoryMiB: 40000}},
		Teams: []config.Team{
			{Name: OnlineTeam, Shares: []config.Share{{Service: PlainService, Share: 0.5}, {Service: EngineService, Share: 0.7}}},
			{Name: BatchTeam, Shares: []config.Share{{Service: EngineService, Share: 0.3}}},
		},
		Accounts: []config.Account{
			{Name: "deacon", Team: OnlineTeam, KeyHash: caller.HashKey(OnlineKey)},
			{Name: "roster", Team: BatchTeam, KeyHash: caller.HashKey(BatchKey)},
		},
		BatchClasses: []config.BatchClass{{Name: "night", Window: 24 * time.Hour, MaxAttempts: 3, Retention: 24 * time.Hour, Weight: 1}},
	}
}

// Apply publishes another configuration through VM i.
func (f *Fleet) Apply(ctx context.Context, i int, set config.Set) error {
	if _, err := f.Server(i).Follower().Apply(ctx, time.Now(), "fleet", set, nil); err != nil {
		return merry.Errorf("publish configuration: %w", err)
	}
	return nil
}

// readyPollInterval is the polling interval of Ready.
const readyPollInterval = 20 * time.Millisecond

// Ready publishes the configuration and waits until every VM has applied a configuration and sees all
// others.
func (f *Fleet) Ready(ctx context.Context) error {
	if err := f.apply(ctx); err != nil {
		return err
	}
	for {
		waiting := 0
		for _, s := range f.Servers() {
			if s.Follower().Current().Generation == 0 || s.Members() < f.opts.VMs {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("%d VMs are not ready: %w", waiting, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

func (f *Fleet) apply(ctx context.Context) error {
	servers := f.Servers()
	if len(servers) == 0 {
		return merry.New("no VM is alive")
	}
	if _, err := servers[0].Follower().Apply(ctx, time.Now(), "fleet", f.Config(), nil); err != nil {
		return merry.Errorf("publish configuration: %w", err)
	}
	return nil
}

// Servers returns the servers of the VMs that are alive.
func (f *Fleet) Servers() []*serve.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var alive []*serve.Server
	for _, n := range f.vms {
		if n.alive {
			alive = append(alive, n.server)
		}
	}
	return alive
}

// Server returns the latest server of VM i, alive or not.
func (f *Fleet) Server(i int) *serve.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i].server
}

// KillVM stops the server of VM i at once and closes its connections. The VM list still contains the VM.
func (f *Fleet) KillVM(i int) {
	f.mu.Lock()
	n := f.vms[i]
	n.alive = false
	f.mu.Unlock()
	n.server.Kill()
	n.cancel()
	<-n.done
}

// DrainVM drains the server of VM i and waits until it has ended.
func (f *Fleet) DrainVM(i int) {
	f.mu.Lock()
	n := f.vms[i]
	n.alive = false
	f.mu.Unlock()
	n.server.Drain()
	<-n.done
}

// StartVM starts a new server on VM i after KillVM or DrainVM.
func (f *Fleet) StartVM(i int) error {
	f.mu.Lock()
	n := f.vms[i]
	f.mu.Unlock()
	if err := f.run(n); err != nil {
		return err
	}
	f.publishList()
	return nil
}

// Close kills all VMs and stops the upstreams.
func (f *Fleet) Close() {
	f.mu.Lock()
	vms := f.vms
	f.mu.Unlock()
	var all sync.WaitGroup
	for i, n := range vms {
		if n.alive {
			all.Go(func() { f.KillVM(i) })
		}
	}
	all.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Plain {
		s.Close()
	}
}
