// Package peer carries calls and notices between the VMs that run mothcart, and keeps membership.
//
// Frames are msgpack behind a length, over TCP with mutual TLS. Control and Bulk frames travel on
// separate connections, so that small urgent frames never wait behind large ones. Connections open
// on demand and close when idle. Each side sends heartbeats; a connection without a byte for some
// intervals is closed, and the next frame opens a new one while the peer lives.
//
// Queues are bounded: calls wait for room, notices are dropped and counted.
//
// Usage:
//
//	n, err := peer.New(peer.NewOptions(self).WithTLS(tlsConfig))
//	defer n.Close()
//	n.SetList(vms) // and again at each new VM list
//	peer.Handle(n, "ledger.run", func(ctx context.Context, from string, req runRequest) (runAnswer, error) { … })
//	answer, err := peer.Call[runAnswer](ctx, n, n.View().Owner(key), "ledger.run", peer.Control, req)
//	err = peer.Notify(n, "e2", "fill.start", peer.Control, started)
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/member"
	"mothcart/core/vm"
	"mothcart/io/msgframe"
)

const (
	// maxAccepting bounds the incoming connections that have not sent their hello.
	maxAccepting = 128
	// acceptPause follows a failed accept.
	acceptPause = 50 * time.Millisecond
	// sweepTicks is the number of membership ticks between two searches for unused links.
	sweepTicks = 50
)

// Node is one VM's end of the peer protocol. Its methods are safe for concurrent use.
type Node struct {
	opts      Options
	listener  net.Listener
	handshake *handshaker
	metrics   counters
	heartbeat []byte

	ctx    context.Context
	cancel context.CancelFunc
	// closing is closed when the node starts to end.
	closing   chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
	callID    atomic.Uint64
	selfOut   chan frame

	stateMu sync.Mutex
	state   atomic.Pointer[member.State]
	changed chan struct{}

	// endMu orders the start of goroutines before the wait of Close.
	endMu sync.Mutex

	linksMu sync.Mutex
	links   map[linkKey]*link
	ended   bool

	handlersMu sync.RWMutex
	handlers   map[string]handler
}

// New listens and starts membership. Handlers may be registered later; until then their methods
// answer CodeNoMethod.
func New(opts Options) (*Node, error) {
	address := opts.ListenAddress
	if address == "" {
		address = opts.Self.Address
	}
	listener, err := opts.Listen("tcp", address)
	if err != nil {
		return nil, merry.Errorf("listen for peers: %w", err)
	}
	if _, port, err := net.SplitHostPort(opts.Self.Address); err != nil || port == "0" {
		opts.Self.Address = listener.Addr().String()
	}
	heartbeat, err := msgframe.Encode(frame{Kind: kindHeartbeat}, maxHelloFrame)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts:      opts,
		listener:  listener,
		metrics:   newCounters(opts.Registry),
		heartbeat: heartbeat,
		closing:   make(chan struct{}),
		selfOut:   make(chan frame, opts.QueueFrames),
		changed:   make(chan struct{}),
		links:     map[linkKey]*link{},
		handlers:  map[string]handler{},
	}
	n.handshake = &handshaker{opts: opts, address: n.address}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	state := member.New(opts.Member, opts.Self, opts.Incarnation, opts.Seed, time.Now())
	n.state.Store(&state)
	n.wg.Go(n.accept)
	n.wg.Go(n.runMembership)
	n.wg.Go(n.runSelfNotices)
	return n, nil
}

// Self returns the node's own VM with the address that it listens on.
func (n *Node) Self() vm.VM { return n.opts.Self }

// Close ends all connections and waits for the handlers. A node that called Leave before tells its
// peers that it ends.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		n.depart()
		n.linksMu.Lock()
		n.ended = true
		n.linksMu.Unlock()
		n.endMu.Lock()
		close(n.closing)
		n.endMu.Unlock()
		_ = n.listener.Close()
		n.cancel()
		n.wg.Wait()
	})
}

// goUnlessClosing starts a goroutine that Close waits for; it reports false on an ending node.
func (n *Node) goUnlessClosing(f func()) bool {
	n.endMu.Lock()
	defer n.endMu.Unlock()
	select {
	case <-n.closing:
		return false
	default:
		n.wg.Go(f)
		return true
	}
}

// link returns the link to a peer, made at first use.
func (n *Node) link(key linkKey) (*link, error) {
	n.linksMu.Lock()
	defer n.linksMu.Unlock()
	if n.ended {
		return nil, merry.Errorf("%w: %w", ErrUnreachable, errClosed)
	}
	l, ok := n.links[key]
	if !ok {
		l = newLink(n, key)
		n.links[key] = l
	}
	return l, nil
}

// sweep forgets the links that are not in use.
func (n *Node) sweep(now time.Time) {
	n.linksMu.Lock()
	defer n.linksMu.Unlock()
	for key, l := range n.links {
		if l.unused(now) {
			delete(n.links, key)
		}
	}
}

func (n *Node) handler(method string) (handler, bool) {
	n.handlersMu.RLock()
	defer n.handlersMu.RUnlock()
	h, ok := n.handlers[method]
	return h, ok
}

// accept takes incoming connections; a bounded number shakes hands at one time.
func (n *Node) accept() {
	slots := make(chan struct{}, maxAccepting)
	for {
		raw, err := n.listener.Accept()
		if err != nil {
			select {
			case <-n.closing:
				return
			case <-time.After(acceptPause):
				continue
			}
		}
		slots <- struct{}{}
		n.wg.Go(func() {
			defer func() { <-slots }()
			n.welcome(raw)
		})
	}
}

func (n *Node) welcome(raw net.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = raw.Close() })
	defer stop()
	c, theirs, err := n.handshake.accept(n.ctx, raw)
	if err != nil {
		_ = raw.Close()
		n.metrics.refused.Inc(1)
		n.opts.Logger.Debug().Str("address", raw.RemoteAddr().String()).Err(err).Msg("peerRefused")
		return
	}
	l, err := n.link(linkKey{theirs.VM.ID, theirs.Class})
	if err != nil {
		_ = raw.Close()
		return
	}
	l.adopt(newConn(n, c, theirs.VM.ID, theirs.Class))
}

// notifySelf queues a notice of the node to itself.
func (n *Node) notifySelf(f frame) error {
	select {
	case n.selfOut <- f:
		return nil
	default:
		n.metrics.noticesDropped.Inc(1)
		return merry.Errorf("notify self: %w", ErrQueueFull)
	}
}

func (n *Node) runSelfNotices() {
	for {
		select {
		case f := <-n.selfOut:
			n.handleNotice(n.opts.Self.ID, f)
		case <-n.closing:
			return
		}
	}
}

func (o Options) frameLimit(class Class) int {
	if class == Bulk {
		return o.MaxBulkFrame
	}
	return o.MaxControlFrame
}
