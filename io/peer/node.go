// Package peer carries calls and notices between the VMs that run mothcart, and maintains cluster membership.
//
// Frames are length-prefixed msgpack over TCP with mutual TLS. Control and Bulk frames travel on
// separate connections, so that small urgent frames never wait behind large ones. Connections open
// on demand and close when idle. Each side sends heartbeats; a connection on which no byte arrives for
// several intervals is closed, and the next frame opens a new one if the peer is alive.
//
// Queues are bounded: when one is full, calls wait, and notices are dropped and counted.
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
	// acceptPause is the pause after a failed accept.
	acceptPause = 50 * time.Millisecond
	// sweepTicks is the number of membership ticks between two removals of unused links.
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
	// closing is closed when Close begins.
	closing   chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
	callID    atomic.Uint64
	selfOut   chan frame

	stateMu sync.Mutex
	state   atomic.Pointer[member.State]
	changed chan struct{}

	// closeMu ensures that no goroutine is started after Close has begun to wait for them.
	closeMu sync.Mutex

	linksMu sync.Mutex
	links   map[linkKey]*link
	closed  bool

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

// Close ends all connections and waits for the handlers. If Leave was called before, it
// notifies the peers that the node ends.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		n.announceDeparture()
		n.linksMu.Lock()
		n.closed = true
		n.linksMu.Unlock()
		n.closeMu.Lock()
		close(n.closing)
		n.closeMu.Unlock()
		_ = n.listener.Close()
		n.cancel()
		n.wg.Wait()
	})
}

// goUnlessClosing starts a goroutine that Close waits for; it reports false once Close has begun.
func (n *Node) goUnlessClosing(f func()) bool {
	n.closeMu.Lock()
	defer n.closeMu.Unlock()
	select {
	case <-n.closing:
		return false
	default:
		n.wg.Go(f)
		return true
	}
}

// link returns the link to a peer, which is created at first use.
func (n *Node) link(key linkKey) (*link, error) {
	n.linksMu.Lock()
	defer n.linksMu.Unlock()
	if n.closed {
		return nil, merry.Errorf("%w: %w", ErrUnreachable, errClosed)
	}
	l, ok := n.links[key]
	if !ok {
		l = newLink(n, key)
		n.links[key] = l
	}
	return l, nil
}

// sweep removes the links that are not in use.
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

// accept accepts incoming connections; at most maxAccepting handshakes run at the same time.
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
			n.handleIncoming(raw)
		})
	}
}

func (n *Node) handleIncoming(raw net.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = raw.Close() })
	defer stop()
	c, remote, err := n.handshake.accept(n.ctx, raw)
	if err != nil {
		_ = raw.Close()
		n.metrics.refused.Inc(1)
		n.opts.Logger.Debug().Str("address", raw.RemoteAddr().String()).Err(err).Msg("peerRefused")
		return
	}
	l, err := n.link(linkKey{remote.VM.ID, remote.Class})
	if err != nil {
		_ = raw.Close()
		return
	}
	l.adopt(newConn(n, c, remote.VM.ID, remote.Class))
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
