package peer

import (
	"context"
	"errors"
	"time"

	"mothcart/io/msgframe"

	"github.com/rs/zerolog"
)

// serve runs the handler of a request in its own goroutine, or refuses the request.
func (c *conn) serve(f frame) {
	h, ok := c.node.handler(f.Method)
	if !ok {
		c.respondError(f.ID, &RemoteError{Code: CodeNoMethod, Message: f.Method})
		return
	}
	if int(c.serving.Add(1)) > cap(c.out) {
		c.serving.Add(-1)
		c.respondError(f.ID, &RemoteError{Code: CodeOverloaded, Message: f.Method})
		return
	}
	timeout := c.node.opts.CallTimeout
	if f.TimeoutMillis > 0 {
		timeout = time.Duration(f.TimeoutMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	c.mu.Lock()
	c.served[f.ID] = cancel
	c.mu.Unlock()
	c.node.metrics.served.Inc(1)
	c.node.wg.Go(func() {
		defer c.serving.Add(-1)
		defer c.cancelServed(f.ID)
		body, re := h(ctx, c.peer, f.Body)
		if re != nil {
			c.respondError(f.ID, re)
			return
		}
		c.respond(frame{Kind: kindResponse, ID: f.ID, Body: body})
	})
}

// cancelServed cancels the context of a request that the peer cancelled or that has finished.
func (c *conn) cancelServed(id uint64) {
	c.mu.Lock()
	cancel, ok := c.served[id]
	delete(c.served, id)
	c.mu.Unlock()
	if ok {
		cancel()
	}
}

func (c *conn) respondError(id uint64, re *RemoteError) {
	body, err := msgframe.EncodeBody(re.Message)
	if err != nil {
		c.close(err)
		return
	}
	c.respond(frame{Kind: kindResponse, ID: id, Code: re.Code, Body: body})
}

// respond queues a response and blocks while the queue is full. Mostly a handler's goroutine waits there;
// the refusals that the reader itself queues are few and small.
func (c *conn) respond(f frame) {
	data, err := msgframe.Encode(f, c.limit)
	if errors.Is(err, ErrTooLarge) && f.Code == "" {
		c.respondError(f.ID, &RemoteError{Code: CodeTooLarge, Message: "response over the limit of its class"})
		return
	}
	if err != nil {
		c.close(err)
		return
	}
	select {
	case c.out <- &outFrame{data: data}:
		c.used.Store(true)
	case <-c.done:
	}
}

// handleNotice runs the handler of a notice; errors are logged.
func (n *Node) handleNotice(from string, f frame) {
	h, ok := n.handler(f.Method)
	if !ok {
		n.metrics.noticesDropped.Inc(1)
		return
	}
	if _, re := h(n.ctx, from, f.Body); re != nil {
		n.logNotice(n.opts.Logger.Debug(), from, f.Method, re)
	}
}

func (n *Node) logNotice(e *zerolog.Event, from, method string, err error) {
	e.Str("peer", from).Str("method", method).Err(err).Msg("noticeFailed")
}
