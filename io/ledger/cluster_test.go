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

// point is a place where a home waits for something outside of it.
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

// fault is what happens to a node.
type fault string

const (
	crash fault = "crash"
	pausd fault = "pause"
)

// node is one VM of a cluster; every call that leaves or enters it passes its gate.
type node struct {
	c    *cluster
	id   string
	l    *Ledger
	mu   sync.Mutex
	gate chan struct{} // nil when open
	dead chan struct{}
	puts int
	// strike is called once at the point.
	at     point
	strike func()
	// seen takes the place of the cluster's members in the node's view.
	seen []string
}

// cluster is several nodes over one stand-in of the object service.
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

// start puts a new process in the place of the node.
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

// view returns the members that the node believes to be live.
func (n *node) view() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen != nil {
		return n.seen
	}
	return n.c.live()
}

// setView gives the node a view of its own; nil gives it the cluster's.
func (n *node) setView(ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = ids
}

// setLive makes all nodes believe that the node is live or not.
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

// home returns the node that the live members make the home of the request.
func (c *cluster) home(req Request) *node {
	l := c.node(c.live()[0]).l
	return c.node(l.owner(l.call(opRun, req).ID.Shard(l.opts.Shards)))
}

func (n *node) hit(p point) {
	n.mu.Lock()
	strike := n.strike
	if n.at == p && strike != nil {
		n.strike = nil
	} else {
		strike = nil
	}
	n.mu.Unlock()
	if strike != nil {
		strike()
	}
	n.pass()
}

// pass waits while the node is paused, and for ever once it is dead.
func (n *node) pass() {
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

// crash ends the node: nothing that it does from now on has an effect.
func (n *node) crash() {
	close(n.dead)
	n.resume()
	go n.l.Close()
}

func (n *node) client(c store.Client) store.Client {
	out := func() error { return merry.Errorf("node is dead: %w", store.ErrUnavailable) }
	return store.Client{
		Get: func(ctx context.Context, key string) (store.Object, error) {
			n.pass()
			if n.isDead() {
				return store.Object{}, out()
			}
			o, err := c.Get(ctx, key)
			n.pass()
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
			n.hit(before)
			if n.isDead() {
				return 0, out()
			}
			v, err := c.Put(ctx, key, value, expect)
			n.hit(after)
			return v, err
		},
		Delete: c.Delete, List: c.List, Watch: c.Watch,
	}
}

func (n *node) execute(ctx context.Context, req Request) (Answer, error) {
	n.hit(atDispatch)
	if n.isDead() || ctx.Err() != nil {
		return Answer{}, merry.Errorf("nothing was sent: %w", ErrDidNotRun)
	}
	answer, err := n.c.u.execute(ctx, req)
	time.Sleep(20 * time.Millisecond)
	n.hit(afterDispatch)
	return answer, err
}

func (n *node) call(ctx context.Context, to string, c Call) (Reply, error) {
	n.pass()
	peer := n.c.node(to)
	if n.isDead() || peer.isDead() || !slices.Contains(n.c.live(), to) {
		return Reply{}, merry.Errorf("call %s: %w", to, ErrUnreachable)
	}
	done := make(chan Reply, 1)
	go func() {
		peer.pass()
		r := peer.l.Serve(ctx, c)
		peer.pass()
		done <- r
	}()
	select {
	case r := <-done:
		n.pass()
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
