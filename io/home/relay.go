package home

import (
	"context"
	"net"
	"sync"
	"time"

	"mothcart/io/admit"
)

// relayBuffer is the size of the buffer of each direction of a relayed connection, in bytes.
const relayBuffer = 4 << 10

// Relay forwards connections to the home, for nodes that can't reach it directly. It does so only while its
// own client reaches the home directly, so that relays never form a chain.
type Relay struct {
	client   *Client
	listener *admit.Listener
	done     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewRelay returns a relay that serves connections of the listener; Close closes the listener.
func NewRelay(l net.Listener, opts admit.Options, c *Client) *Relay {
	r := &Relay{client: c, listener: admit.NewListener(l, opts), conns: make(map[net.Conn]struct{})}
	r.done.Go(r.accept)
	return r
}

// Close ends the relay and all relayed connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		r.done.Go(func() { r.serve(c) })
	}
}

func (r *Relay) serve(near *admit.Conn) {
	defer near.Close()
	if !r.client.Connected() || r.client.isRelayed() {
		return
	}
	home := r.client.Home()
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	go func() {
		select {
		case <-near.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	far, err := r.client.opts.Connect(ctx, "tcp", home.Address)
	if err != nil {
		r.client.opts.Log.Warn().Str("home", home.VM).Err(err).Msg("relayFailed")
		return
	}
	defer far.Close()
	r.client.opts.Log.Info().Str("node", near.RemoteAddr().String()).Str("home", home.VM).Msg("relayOpened")
	r.mu.Lock()
	r.conns[near], r.conns[far] = struct{}{}, struct{}{}
	r.mu.Unlock()
	// A home closes a connection on which no frame comes earlier than that.
	proof := time.AfterFunc(relayIdleTimeout, near.Prove)
	defer proof.Stop()
	var both sync.WaitGroup
	both.Go(func() { copyConn(far, near) })
	both.Go(func() { copyConn(near, far) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, near)
	delete(r.conns, far)
	r.mu.Unlock()
}

// copyConn copies from src to dst until either ends or src is idle for relayIdleTimeout, and closes both.
func copyConn(dst, src net.Conn) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, relayBuffer)
	for {
		if src.SetReadDeadline(time.Now().Add(relayIdleTimeout)) != nil {
			return
		}
		n, err := src.Read(buf)
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// relayIdleTimeout is how long a relayed connection may be idle before it is closed. Both ends send heartbeats
// more often.
const relayIdleTimeout = 2 * time.Second
