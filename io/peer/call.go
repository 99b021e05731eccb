package peer

import (
	"context"
	"errors"
	"time"

	"mothcart/io/msgframe"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// handler runs one method on an encoded request and returns the encoded response.
type handler func(ctx context.Context, from string, body []byte) (msgpack.RawMessage, *RemoteError)

// Handle registers the handler of a method for calls and notices; the response to a notice is
// dropped. Notices from one peer in one class run one after another, so their handlers should not
// block. An error of the handler reaches the caller as a *RemoteError.
func Handle[Req, Resp any](n *Node, method string, h func(ctx context.Context, from string, req Req) (Resp, error)) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.handlers[method] = func(ctx context.Context, from string, body []byte) (msgpack.RawMessage, *RemoteError) {
		var req Req
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, &RemoteError{Code: CodeBadRequest, Message: err.Error()}
		}
		resp, err := h(ctx, from, req)
		if err != nil {
			return nil, remoteError(err)
		}
		b, err := msgframe.EncodeBody(resp)
		if err != nil {
			return nil, remoteError(err)
		}
		return b, nil
	}
}

func remoteError(err error) *RemoteError {
	var re *RemoteError
	if errors.As(err, &re) {
		return re
	}
	return &RemoteError{Code: CodeFailed, Message: err.Error()}
}

// Call runs a method on the VM to and waits for its response. It waits while too many calls to the
// peer are in progress. Errors are ErrUnreachable and ErrTooLarge (it did not run), ErrLost (it may
// have run) and *RemoteError.
func Call[Resp any](ctx context.Context, n *Node, to, method string, class Class, req any) (Resp, error) {
	var resp Resp
	body, err := msgframe.EncodeBody(req)
	if err != nil {
		return resp, err
	}
	ctx, cancel := n.withCallTimeout(ctx)
	defer cancel()
	n.metrics.calls.Inc(1)
	answer, err := n.call(ctx, to, method, class, body)
	if err != nil {
		n.metrics.callErrors.Inc(1)
		return resp, merry.Errorf("call %s on %s: %w", method, to, err)
	}
	if err := msgpack.Unmarshal(answer, &resp); err != nil {
		n.metrics.callErrors.Inc(1)
		return resp, merry.Errorf("call %s on %s: decode response: %w: %w", method, to, ErrLost, err)
	}
	return resp, nil
}

// Notify sends a message without waiting for anything. An error means that it was dropped;
// without an error it may still be lost.
func Notify(n *Node, to, method string, class Class, msg any) error {
	body, err := msgframe.EncodeBody(msg)
	if err != nil {
		return err
	}
	if to == n.opts.Self.ID {
		return n.notifySelf(frame{Kind: kindNotice, Method: method, Body: body})
	}
	return n.notify(to, method, class, body, false)
}

func (n *Node) notify(to, method string, class Class, body []byte, fresh bool) error {
	data, err := msgframe.Encode(frame{Kind: kindNotice, Method: method, Body: body}, n.opts.frameLimit(class))
	if err != nil {
		return err
	}
	l, err := n.link(linkKey{to, class})
	if err != nil {
		return err
	}
	return l.notify(&outFrame{data: data}, fresh)
}

func (n *Node) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, n.opts.CallTimeout)
}

// call sends the request and returns the body of the response.
func (n *Node) call(ctx context.Context, to, method string, class Class, body []byte) ([]byte, error) {
	if to == n.opts.Self.ID {
		return n.callSelf(ctx, method, body)
	}
	l, err := n.link(linkKey{to, class})
	if err != nil {
		return nil, err
	}
	select {
	case l.calls <- struct{}{}:
		defer func() { <-l.calls }()
	case <-ctx.Done():
		return nil, merry.Errorf("wait for other calls: %w: %w", ErrUnreachable, ctx.Err())
	}
	// A connection may fail before the request is written; then the call is tried once more.
	answer, err := l.attempt(ctx, method, body)
	if errors.Is(err, ErrUnreachable) && ctx.Err() == nil {
		return l.attempt(ctx, method, body)
	}
	return answer, err
}

func (n *Node) callSelf(ctx context.Context, method string, body []byte) ([]byte, error) {
	h, ok := n.handler(method)
	if !ok {
		return nil, &RemoteError{Code: CodeNoMethod, Message: method}
	}
	answer, re := h(ctx, n.opts.Self.ID, body)
	if re != nil {
		return nil, re
	}
	return answer, nil
}

// attempt makes a call on one connection.
func (l *link) attempt(ctx context.Context, method string, body []byte) ([]byte, error) {
	c, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	id := l.node.callID.Add(1)
	f := frame{Kind: kindRequest, ID: id, Method: method, TimeoutMillis: remainingMillis(ctx), Body: body}
	data, err := msgframe.Encode(f, c.limit)
	if err != nil {
		return nil, err
	}
	p := &call{request: &outFrame{data: data}, result: make(chan result, 1)}
	if !c.register(id, p) {
		return nil, ErrUnreachable
	}
	defer c.unregister(id)
	select {
	case c.out <- p.request:
		c.used.Store(true)
	case r := <-p.result:
		return nil, r.err
	case <-ctx.Done():
		return nil, merry.Errorf("wait for room in the queue: %w: %w", ErrUnreachable, ctx.Err())
	}
	return c.await(ctx, id, p)
}

// await waits for the response. If ctx ends first and the request was already written, it sends the peer a
// cancellation.
func (c *conn) await(ctx context.Context, id uint64, p *call) ([]byte, error) {
	select {
	case r := <-p.result:
		if r.err != nil {
			return nil, r.err
		}
		return responseBody(r.frame)
	case <-ctx.Done():
		loss := lossError(p.request)
		if data, err := msgframe.Encode(frame{Kind: kindCancel, ID: id}, c.limit); err == nil && errors.Is(loss, ErrLost) {
			c.enqueue(&outFrame{data: data})
		}
		return nil, merry.Errorf("wait for response: %w: %w", loss, ctx.Err())
	}
}

func responseBody(f frame) ([]byte, error) {
	if f.Code == "" {
		return f.Body, nil
	}
	re := &RemoteError{Code: f.Code}
	if err := msgpack.Unmarshal(f.Body, &re.Message); err != nil {
		return nil, merry.Errorf("decode error of peer: %w: %w", ErrLost, err)
	}
	return nil, re
}

// remainingMillis returns the time until the deadline of ctx in milliseconds, at least 1, or 0
// without a deadline.
func remainingMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(1, time.Until(deadline).Milliseconds()))
}
