package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	fakestore "mothcart/fake/store"
	"mothcart/io/store"
)

// point is a step at which a home waits for the object service or an upstream.
type point string

const (
	beforeIntent  point = "before intent"
	afterIntent   point = "after intent durable"
	atDispatch    point = "at dispatch"
	afterDispatch point = "after dispatch"
	beforeResult  point = "before result durable"
	afterResult   point = "after result durable"
)

var points = []point{beforeIntent, afterIntent, atDispatch, afterDispatch, beforeResult, afterResult}

// fault is a kind of failure of a node.
type fault string

const (
	crashNode fault = "crash"
	pauseNode fault = "pause"
)

// node is one VM of a cluster. Every call from or to it blocks while its gate is closed.
type node struct {
	c    *cluster
	id   string
	l    *Ledger
	mu   sync.Mutex
	gate chan struct{} // nil when open
	dead chan struct{}
	puts int
	// inject is called once, when the node reaches the point at.
	at     point
	inject func()
	// viewOverride replaces the cluster's members in the node's view; nil means no override.
	viewOverride []string
}

// cluster is several nodes that share one fake object service.
type cluster struct {
	t       *testing.T
	store   *fakestore.Store
	u       *upstream
	mu      sync.Mutex
	members []string
	nodes   map[string]*node
}

func newCluster(t *testing.T, s *fakestore.Store, n int) *cluster {
	c := &cluster{t: t, store: s, u: &upstream{}, nodes: map[string]*node{}}
	for i := range n {
		c.members = append(c.members, fmt.Sprintf("e%d", i+1))
	}
	for _, id := range slices.Clone(c.members) {
		c.start(id)
	}
	return c
}

// start starts a new process of the node, which replaces its previous one.
func (c *cluster) start(id string) *node {
	n := &node{c: c, id: id, dead: make(chan struct{})}
	opts := NewOptions()
	opts.Shards = 2
	opts.Self = id
	opts.Members = n.view
	opts.Store = n.client(c.store.Client())
	opts.Call = n.call
	opts.Execute = n.execute
	n.l = New(opts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id] = n
	return n
}

func (c *cluster) live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

func (c *cluster) node(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// view returns the members that the node considers live.
func (n *node) view() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.viewOverride != nil {
		return n.viewOverride
	}
	return n.c.live()
}

// setView overrides the node's view of the members; nil restores the cluster's.
func (n *node) setView(ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.viewOverride = ids
}

// setLive makes all nodes without an override consider the node live or dead.
func (c *cluster) setLive(id string, live bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = slices.DeleteFunc(slices.Clone(c.members), func(m string) bool { return m == id })
	if live {
		c.members = append(c.members, id)
		slices.Sort(c.members)
	}
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.resume()
		n.l.Close()
	}
}

// home returns the node that is home of the request according to the live members.
func (c *cluster) home(req Request) *node {
	l := c.node(c.live()[0]).l
	return c.node(l.owner(l.call(opRun, req).ID.Shard(l.opts.Shards)))
}

func (n *node) reach(p point) {
	n.mu.Lock()
	inject := n.inject
	if n.at == p && inject != nil {
		n.inject = nil
	} else {
		inject = nil
	}
	n.mu.Unlock()
	if inject != nil {
		inject()
	}
	n.waitGate()
}

// waitGate blocks while the node is paused.
func (n *node) waitGate() {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func (n *node) isDead() bool {
	select {
	case <-n.dead:
		return true
	default:
		return false
	}
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate == nil {
		n.gate = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate != nil {
		close(n.gate)
		n.gate = nil
	}
}

// crash ends the node: nothing that it does afterwards has an effect.
func (n *node) crash() {
	close(n.dead)
	n.resume()
	go n.l.Close()
}

func (n *node) client(c store.Client) store.Client {
	deadError := func() error { return merry.Errorf("node is dead: %w", store.ErrUnavailable) }
	return store.Client{
		Get: func(ctx context.Context, key string) (store.Object, error) {
			n.waitGate()
			if n.isDead() {
				return store.Object{}, deadError()
			}
			o, err := c.Get(ctx, key)
			n.waitGate()
			return o, err
		},
		Put: func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
			n.mu.Lock()
			n.puts++
			before, after := beforeIntent, afterIntent
			if n.puts > 1 {
				before, after = beforeResult, afterResult
			}
			n.mu.Unlock()
			n.reach(before)
			if n.isDead() {
				return 0, deadError()
			}
			v, err := c.Put(ctx, key, value, expect)
			n.reach(after)
			return v, err
		},
		Delete: c.Delete, List: c.List, Watch: c.Watch,
	}
}

func (n *node) execute(ctx context.Context, req Request) (Answer, error) {
	n.reach(atDispatch)
	if n.isDead() || ctx.Err() != nil {
		return Answer{}, merry.Errorf("nothing was sent: %w", ErrDidNotRun)
	}
	answer, err := n.c.u.execute(ctx, req)
	time.Sleep(20 * time.Millisecond)
	n.reach(afterDispatch)
	return answer, err
}

func (n *node) call(ctx context.Context, to string, c Call) (Reply, error) {
	n.waitGate()
	peer := n.c.node(to)
	if n.isDead() || peer.isDead() || !slices.Contains(n.c.live(), to) {
		return Reply{}, merry.Errorf("call %s: %w", to, ErrUnreachable)
	}
	done := make(chan Reply, 1)
	go func() {
		peer.waitGate()
		r := peer.l.Serve(ctx, c)
		peer.waitGate()
		done <- r
	}()
	select {
	case r := <-done:
		n.waitGate()
		if peer.isDead() {
			return Reply{}, merry.New("connection closed")
		}
		return r, nil
	case <-peer.dead:
		return Reply{}, merry.New("connection closed")
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}
