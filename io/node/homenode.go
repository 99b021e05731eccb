package node

import (
	"context"
	"sync"
	"time"

	"mothcart/core/site"
	"mothcart/io/clock"
	"mothcart/io/home"
	"mothcart/io/object"
	"mothcart/platform"
)

// RunHome seeks to be the home until SIGTERM or the end of the context, and then gives it away.
func RunHome(ctx context.Context, opts Options) error {
	quietKratos()
	b := newBase(opts)
	defer b.close()
	l, err := b.listenPeers(ctx)
	if err != nil {
		return err
	}
	server := home.NewServer(l)
	defer server.Close()
	n := &homeNode{base: b, server: server}
	b.onConfig = func(site.Config) {}
	b.onUpstreams = n.setUpstreams
	b.onNews = server.PushNews
	b.follow(n.verify)
	e := home.NewElector(home.ElectorOptions{
		VMID: opts.Settings.VMID, Incarnation: b.incarnation, Address: b.peerAddress(), Objects: b.objects,
		Reached: b.client.Connected, Announced: b.client.Home, Start: n.start, Now: clock.Now, Log: opts.Log,
	})
	opts.Log.Info().Str("vm", opts.Settings.VMID).Str("peers", b.peerAddress()).Int64("incarnation", b.incarnation).Msg("homeNodeStarted")
	awaitStop(ctx, opts)
	e.Close()
	opts.Log.Info().Msg("homeNodeStopped")
	return nil
}

// homeNode is a node that may be the home.
type homeNode struct {
	base   *base
	server *home.Server

	mu        sync.Mutex
	home      *home.Home
	upstreams []site.Upstream
}

func (n *homeNode) setUpstreams(list []site.Upstream) {
	n.mu.Lock()
	n.upstreams = list
	h := n.home
	n.mu.Unlock()
	if h != nil {
		h.SetUpstreams(list)
	}
}

// verify checks the watches of the home, which tells the other nodes, and of a node without a home.
func (n *homeNode) verify() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.home != nil {
		return verifyInterval
	}
	return n.base.verifyWithoutHome()
}

// snapshots returns the kinds that the home tells a node that connects.
func (n *homeNode) snapshots() map[string]object.Change {
	out := make(map[string]object.Change, len(n.base.mirrors))
	for kind, m := range n.base.mirrors {
		out[kind] = m.Snapshot()
	}
	return out
}

// start begins to be the home.
func (n *homeNode) start(term int64, valid func(now time.Time) bool) func() {
	o := n.base.opts
	h := home.New(home.Options{
		VMID: o.Settings.VMID, AvailabilityZone: o.Settings.AvailabilityZone, Term: term, Objects: n.base.objects,
		Client: n.base.upstream, Wire: platform.Wire(), Config: n.base.currentConfig, Valid: valid,
		Snapshots:   n.snapshots,
		ResultsKept: o.Settings.ResultsKept, Now: clock.Now, TimeOfDay: time.Now, Log: o.Log, Registry: o.Registry,
	})
	n.mu.Lock()
	n.home = h
	list := n.upstreams
	n.mu.Unlock()
	h.SetUpstreams(list)
	n.server.SetHome(h)
	return func() {
		n.mu.Lock()
		n.home = nil
		n.mu.Unlock()
		n.server.SetHome(nil)
		h.Close()
	}
}
