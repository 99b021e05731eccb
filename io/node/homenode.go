package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"mothcart/core/site"
	"mothcart/io/home"
	"mothcart/io/object"
	"mothcart/platform"
)

// HomeNode is a node that may be the home.
type HomeNode struct {
	base    *base
	server  *home.Server
	elector *home.Elector

	mu sync.Mutex
	// retired reports that the VM is to be emptied.
	retired   bool
	home      *home.Home
	upstreams []site.Upstream
}

// NewHomeNode starts a node that seeks to be the home.
func NewHomeNode(ctx context.Context, opts Options) (*HomeNode, error) {
	quietKratos()
	b := newBase(opts, false)
	l, err := b.listenPeers(ctx)
	if err != nil {
		b.close()
		return nil, err
	}
	n := &HomeNode{base: b}
	b.isHome = n.IsHome
	n.server = home.NewServer(l, b.knowledge)
	if b.metrics, err = serveMetrics(ctx, opts); err != nil {
		n.server.Close()
		b.close()
		return nil, err
	}
	b.onConfig = func(site.Config) {}
	b.onUpstreams = n.setUpstreams
	b.onNews = func(kind string, news []object.Event) {
		n.server.PushNews(kind, news)
		b.knowledgeChanged()
	}
	b.onDown = n.server.PushDown
	b.follow()
	elector := home.NewElector(home.ElectorOptions{
		VMID: opts.Settings.VMID, Incarnation: b.incarnation, Address: b.peerAddress(), Objects: b.objects,
		Sound: b.client.Sound, Isolated: n.isolated, Start: n.start, LastTerm: func() int64 { return b.client.Home().Term }, IsNext: n.isNext, StandIn: n.standIn, Now: opts.Now, Log: opts.Log,
	})
	n.mu.Lock()
	n.elector = elector
	if n.retired {
		elector.Retire()
	}
	n.mu.Unlock()
	opts.Log.Info().Str("vm", opts.Settings.VMID).Str("peers", b.peerAddress()).Int64("incarnation", b.incarnation).Msg("homeNodeStarted")
	return n, nil
}

// IsHome reports that the node is the home.
func (n *HomeNode) IsHome() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.home != nil
}

func (n *HomeNode) isolated() bool {
	n.mu.Lock()
	h := n.home
	n.mu.Unlock()
	return h != nil && h.Isolated(n.base.opts.Now())
}

// stepDown makes another node the home.
func (n *HomeNode) stepDown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retired = true
	if n.elector != nil {
		n.elector.Retire()
	}
}

// Close gives the home away, if this node is it, and ends the node.
func (n *HomeNode) Close() {
	n.elector.Close()
	n.server.Close()
	n.base.close()
}

// RunHome seeks to be the home until SIGTERM or the end of the context, and then gives it away.
func RunHome(ctx context.Context, opts Options) error {
	signals := watchSignals(opts)
	defer signals.Close()
	n, err := NewHomeNode(ctx, opts)
	if err != nil {
		return err
	}
	signals.AwaitStop(ctx)
	n.Close()
	opts.Log.Info().Msg("homeNodeStopped")
	return nil
}

func (n *HomeNode) setUpstreams(list []site.Upstream) {
	n.mu.Lock()
	n.upstreams = list
	h := n.home
	n.mu.Unlock()
	if h != nil {
		h.SetUpstreams(list)
	}
}

const (
	// relaysInterval is the time between two notices of the nodes that pass connections on.
	relaysInterval = 2 * time.Second
	// unsureInterval is the time between two notices whether the lease can be renewed.
	unsureInterval = 200 * time.Millisecond
	// unsureMargin is how long before the end of its lease a home says that it can't renew it, so that
	// another one is ready to take it.
	unsureMargin = time.Second
)

// tell tells the nodes of relays and of the state of the lease until the home has ended.
func (n *HomeNode) tell(valid func(now time.Time) bool, ended <-chan struct{}) {
	relays, unsure := time.NewTicker(relaysInterval), time.NewTicker(unsureInterval)
	defer relays.Stop()
	defer unsure.Stop()
	wasUnsure := false
	for {
		select {
		case <-ended:
			return
		case <-relays.C:
			n.server.TellRelays()
		case <-unsure.C:
			isUnsure := !valid(n.base.opts.Now().Add(unsureMargin))
			if isUnsure || wasUnsure {
				n.server.TellUnsure(isUnsure)
			}
			wasUnsure = isUnsure
		}
	}
}

// standInWait bounds the question whether another node may stand in for the home.
const standInWait = 300 * time.Millisecond

// isNext reports that this node is to stand in for the last home, which it doesn't reach: if no other
// does, as the VM that was it or else as the first of those home nodes that answer and that all nodes know.
func (n *HomeNode) isNext(ctx context.Context) bool {
	b := n.base
	own, known := b.peerAddress(), b.opts.homeNodes()
	wasLast := b.client.Home().VM == b.opts.Settings.VMID
	if b.client.Connected() || !(wasLast || slices.Contains(known, own)) {
		return false
	}
	first := own
	for _, address := range known {
		if address == own {
			continue
		}
		asked, cancel := context.WithTimeout(ctx, standInWait)
		k, err := home.FetchKnowledge(asked, b.opts.Connect(connectTimeout), address)
		cancel()
		if err == nil && k.Serves {
			return false
		}
		if err == nil {
			first = min(first, address)
		}
	}
	return wasLast || first == own
}

// start begins to be the home.
func (n *HomeNode) start(term int64, valid func(now time.Time) bool) (stop, awaitHandover func()) {
	h, stop := n.run(n.homeOptions(term, valid))
	return stop, h.AwaitHandover
}

// standIn begins to grant slots in the name of the home of a term.
func (n *HomeNode) standIn(term int64) (stop func()) {
	opts := n.homeOptions(term, func(time.Time) bool { return false })
	opts.SlotsOnly = true
	_, stop = n.run(opts)
	return stop
}

func (n *HomeNode) homeOptions(term int64, valid func(now time.Time) bool) home.Options {
	o := n.base.opts
	return home.Options{
		VMID: o.Settings.VMID, AvailabilityZone: o.Settings.AvailabilityZone, Address: n.base.peerAddress(), Term: term, Objects: n.base.objects,
		Runner: n.base.runner, OwnRuns: o.OwnRuns, Config: n.base.currentConfig, Valid: valid,
		Snapshots: n.base.snapshots, ObjectsDown: n.base.objectsDown,
		Before: n.base.client.Home(), Dial: o.Connect(connectTimeout), Kept: n.base.kept,
		Announce:    n.server.PushAnnouncement,
		Retirements: platform.Retirements(), StepDown: n.stepDown,
		ResultsKept: o.Settings.ResultsKept, Now: o.Now, TimeOfDay: time.Now, Log: o.Log, Registry: o.Registry,
	}
}

// run begins to serve as the home and returns what ends it.
func (n *HomeNode) run(opts home.Options) (h *home.Home, stop func()) {
	h = home.New(opts)
	n.mu.Lock()
	n.home = h
	list := n.upstreams
	n.mu.Unlock()
	h.SetUpstreams(list)
	n.server.SetHome(h)
	ended := make(chan struct{})
	go n.tell(opts.Valid, ended)
	return h, func() {
		close(ended)
		n.mu.Lock()
		n.home = nil
		n.mu.Unlock()
		n.server.SetHome(nil)
		h.Close()
	}
}
