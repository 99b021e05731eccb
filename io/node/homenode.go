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

// HomeNode is a node that can become the home.
type HomeNode struct {
	base    *base
	server  *home.Server
	views   *home.Views
	elector *home.Elector

	mu sync.Mutex
	// retired reports that the VM is being retired, so that other nodes should be the home.
	retired   bool
	home      *home.Home
	upstreams []site.Upstream
}

// NewHomeNode starts a node that tries to become the home.
func NewHomeNode(ctx context.Context, opts Options) (*HomeNode, error) {
	filterKratosLog()
	b := newBase(opts, false)
	l, err := b.listenPeers(ctx)
	if err != nil {
		b.close()
		return nil, err
	}
	n := &HomeNode{base: b}
	b.isHome = n.IsHome
	n.views = home.NewViews(b.snapshots, opts.Log)
	n.server = home.NewServer(l, opts.admit("nodes", maxLinks(opts.Settings)), b.siteState, n.views)
	if b.metrics, err = serveMetrics(ctx, opts, b.held); err != nil {
		n.server.Close()
		b.close()
		return nil, err
	}
	b.onConfig = func(site.Config) {}
	b.onUpstreams = n.setUpstreams
	b.onEvents = func(kind string, events []object.Event) {
		n.server.PushChanges(kind, events)
		b.siteStateChanged()
	}
	b.onListed = n.server.PushViews
	b.onDown = n.server.PushDown
	b.onLeaving = n.server.PushLeaving
	b.follow()
	elector := home.NewElector(home.ElectorOptions{
		VMID: opts.Settings.VMID, Incarnation: b.incarnation, Address: b.peerAddress(), Objects: b.objects,
		Healthy: b.client.Healthy, Isolated: n.isolated, Start: n.start, IsPreferred: n.isPreferred, LastTerm: func() int64 { return b.client.Home().Term }, IsFallback: n.isFallback, StartFallback: n.startFallback, Now: opts.Now, Log: opts.Log,
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

// isPreferred reports that the settings name this node among the home nodes, or name none.
func (n *HomeNode) isPreferred() bool {
	nodes := n.base.opts.homeNodes()
	return len(nodes) == 0 || slices.Contains(nodes, n.base.peerAddress())
}

func (n *HomeNode) isolated() bool {
	n.mu.Lock()
	h := n.home
	n.mu.Unlock()
	return h != nil && h.Isolated(n.base.opts.Now())
}

// stepDown releases the lease, if this node holds it, so that another node becomes the home.
func (n *HomeNode) stepDown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retired = true
	if n.elector != nil {
		n.elector.Retire()
	}
}

// Close hands over the role of home, if this node has it, and stops the node.
func (n *HomeNode) Close() {
	n.elector.Close()
	n.server.Close()
	n.base.close()
}

// RunHome runs a home node until SIGTERM, SIGINT or the end of the context, and then hands over the role
// of home if the node has it.
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
	// relaysInterval is the interval at which nodes are sent the list of relays.
	relaysInterval = 2 * time.Second
	// leaseNoticeInterval is the interval at which the home checks whether to send lease notices.
	leaseNoticeInterval = 200 * time.Millisecond
	// leaseNoticeMargin is how long before the end of its lease a home reports that it could not renew the
	// lease, so that another node is ready to acquire it.
	leaseNoticeMargin = time.Second
)

// sendNotices sends the nodes the relays and the state of the lease until the home has ended.
func (n *HomeNode) sendNotices(valid func(now time.Time) bool, ended <-chan struct{}) {
	relays, leaseNotices := time.NewTicker(relaysInterval), time.NewTicker(leaseNoticeInterval)
	defer relays.Stop()
	defer leaseNotices.Stop()
	wasUnconfirmed := false
	for {
		select {
		case <-ended:
			return
		case <-relays.C:
			n.server.SendRelays()
		case <-leaseNotices.C:
			unconfirmed := !valid(n.base.opts.Now().Add(leaseNoticeMargin))
			if unconfirmed || wasUnconfirmed {
				n.server.NotifyLeaseUnconfirmed(unconfirmed)
			}
			wasUnconfirmed = unconfirmed
		}
	}
}

// fallbackQueryTimeout bounds the query of one other home node before this node acts as fallback home.
const fallbackQueryTimeout = 300 * time.Millisecond

// isFallback reports that this node is to act as fallback home for the last home, which it doesn't reach.
// No other home node may be serving as home, and this node must either run on the last home's VM or have
// the lowest address among the home nodes in the settings that answer. All nodes know the home nodes in the
// settings, so that all that get the same answers choose the same one.
func (n *HomeNode) isFallback(ctx context.Context) bool {
	b := n.base
	own, homeNodes := b.peerAddress(), b.opts.homeNodes()
	wasLast := b.client.Home().VM == b.opts.Settings.VMID
	if b.client.Connected() || !(wasLast || slices.Contains(homeNodes, own)) {
		return false
	}
	first := own
	for _, address := range homeNodes {
		if address == own {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, fallbackQueryTimeout)
		state, err := home.FetchSiteState(fetchCtx, b.opts.Connect(connectTimeout), address)
		cancel()
		if err == nil && state.Serves {
			return false
		}
		if err == nil {
			first = min(first, address)
		}
	}
	return wasLast || first == own
}

// start starts the home for a term whose lease this node holds.
func (n *HomeNode) start(term int64, valid func(now time.Time) bool) (stop, awaitHandover func()) {
	h, stop := n.run(n.homeOptions(term, valid))
	return stop, h.AwaitHandover
}

// startFallback starts to grant slots in the term of the last home.
func (n *HomeNode) startFallback(term int64) (stop func()) {
	opts := n.homeOptions(term, func(time.Time) bool { return false })
	opts.SlotsOnly = true
	_, stop = n.run(opts)
	return stop
}

func (n *HomeNode) homeOptions(term int64, valid func(now time.Time) bool) home.Options {
	o := n.base.opts
	return home.Options{
		VMID: o.Settings.VMID, AvailabilityZone: o.Settings.AvailabilityZone, Address: n.base.peerAddress(), Term: term, Objects: n.base.objects,
		Runner: n.base.runner, OwnRuns: o.OwnRuns, Zones: o.Zones, Config: n.base.currentConfig, Valid: valid,
		Views: n.views, ObjectsDown: n.base.objectsDown,
		Before: n.base.client.Home(), Dial: o.Connect(connectTimeout), Checkpoints: n.base.checkpoints,
		Suspects: n.base.client.Suspects(), PushSuspects: n.server.PushSuspects,
		Origins: n.base.origins, SoleVersion: n.base.soleVersion, Confirm: n.base.confirmations.confirm,
		AskingNodes: n.base.client.AskingNodes(),
		Announce:    n.server.PushAnnouncement, MarkLeaving: n.base.markLeaving, Leaving: n.base.leavingUpstreams,
		Retirements: platform.Retirements(), StepDown: n.stepDown,
		TextBytes: textBytes(o.Settings.MemoryBytes), ResultRetention: o.Settings.ResultRetention, Now: o.Now, TimeOfDay: time.Now, Log: o.Log, Registry: o.Registry,
	}
}

// run starts to serve as the home and returns the function that stops it.
func (n *HomeNode) run(opts home.Options) (h *home.Home, stop func()) {
	h = home.New(opts)
	n.base.startWait.end()
	n.base.publishing.Lock() // a newer list must not come before this one
	n.mu.Lock()
	n.home = h
	list := n.upstreams
	n.mu.Unlock()
	h.SetUpstreams(list)
	n.base.publishing.Unlock()
	n.server.SetHome(h)
	ended := make(chan struct{})
	go n.sendNotices(opts.Valid, ended)
	return h, func() {
		close(ended)
		n.mu.Lock()
		n.home = nil
		n.mu.Unlock()
		n.server.SetHome(nil)
		h.Close()
	}
}
