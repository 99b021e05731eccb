package job

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
)

// Methods of the peer protocol.
const (
	methodOpened     = "jobs.opened"
	methodCancelled  = "jobs.cancelled"
	methodReport     = "jobs.report"
	methodAlive      = "jobs.alive"
	methodOffer      = "jobs.offer"
	methodCandidates = "jobs.candidates"
	methodSummary    = "jobs.summary"
	methodProgress   = "jobs.progress"
)

// ErrNoPeers means that another VM was to be called but Options.Peers has no Call.
var ErrNoPeers = merry.Sentinel("no connection to other VMs")

type handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// bus sends messages to other VMs, or to this VM's own handlers.
type bus struct {
	self  string
	peers Peers
	mu    sync.RWMutex
	local map[string]handler
}

func newBus(opts Options) *bus {
	return &bus{self: opts.Self, peers: opts.Peers, local: map[string]handler{}}
}

func (b *bus) handle(method string, h handler) {
	b.mu.Lock()
	b.local[method] = h
	b.mu.Unlock()
	if b.peers.Handle != nil {
		b.peers.Handle(method, h)
	}
}

func (b *bus) handler(method string) handler {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.local[method]
}

func (b *bus) call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	if to == b.self {
		return b.handler(method)(ctx, b.self, body)
	}
	if b.peers.Call == nil {
		return nil, merry.Errorf("call %s of %s: %w", method, to, ErrNoPeers)
	}
	answer, err := b.peers.Call(ctx, to, method, body)
	if err != nil {
		return nil, merry.Errorf("call %s of %s: %w", method, to, err)
	}
	return answer, nil
}

func (b *bus) notify(to, method string, body []byte) {
	if to == b.self {
		_, _ = b.handler(method)(context.Background(), b.self, body)
		return
	}
	if b.peers.Notify != nil {
		_ = b.peers.Notify(to, method, body)
	}
}

// callPeer calls a method of a VM with a typed request and answer.
func callPeer[Resp any](ctx context.Context, b *bus, to, method string, req any) (Resp, error) {
	var resp Resp
	body, err := encode(req)
	if err != nil {
		return resp, err
	}
	answer, err := b.call(ctx, to, method, body)
	if err != nil {
		return resp, err
	}
	err = decode(answer, &resp)
	return resp, err
}

// notifyPeer sends a typed message to a VM with best effort: errors are dropped.
func notifyPeer(b *bus, to, method string, msg any) {
	if body, err := encode(msg); err == nil {
		b.notify(to, method, body)
	}
}

// registerHandler registers a handler with a typed request and answer.
func registerHandler[Req, Resp any](b *bus, method string, h func(ctx context.Context, from string, req Req) (Resp, error)) {
	b.handle(method, func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var req Req
		if err := decode(body, &req); err != nil {
			return nil, err
		}
		resp, err := h(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return encode(resp)
	})
}
