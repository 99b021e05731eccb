package node

import (
	"context"
	"sync"
	"time"

	"mothcart/io/object"
	"mothcart/platform"
)

// confirmTimeout bounds a listing that confirms that a node knows all upstreams. A caller waits for it.
const confirmTimeout = 500 * time.Millisecond

// confirmations list the upstreams on demand. Those who ask while a listing is in progress share the next one, since
// the present one may be older than what they ask about.
type confirmations struct {
	list func() error
	done sync.WaitGroup

	mu      sync.Mutex
	next    *confirmation
	running bool
	closed  bool
}

type confirmation struct {
	ended chan struct{}
	ok    bool
}

// confirm reports that a listing which began after the call was applied.
func (c *confirmations) confirm(ctx context.Context) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	if c.next == nil {
		c.next = &confirmation{ended: make(chan struct{})}
	}
	wanted := c.next
	if !c.running {
		c.running = true
		c.done.Go(c.run)
	}
	c.mu.Unlock()
	select {
	case <-wanted.ended:
		return wanted.ok
	case <-ctx.Done():
		return false
	}
}

// close waits for the end of the listing in progress; later calls of confirm fail.
func (c *confirmations) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.done.Wait()
}

// run lists for as long as someone asks.
func (c *confirmations) run() {
	for {
		c.mu.Lock()
		wanted := c.next
		c.next = nil
		c.running = wanted != nil
		c.mu.Unlock()
		if wanted == nil {
			return
		}
		wanted.ok = c.list() == nil
		close(wanted.ended)
	}
}

// listUpstreams lists the upstreams and applies the listing.
func (b *base) listUpstreams() error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	b.confirms.Inc(1)
	objects, at, err := object.ListAll(ctx, b.objects, platform.KindUpstreams)
	if err != nil {
		b.unconfirmed.Inc(1)
		b.opts.Log.Warn().Err(err).Msg("versionsNotConfirmed")
		return err
	}
	b.receive(platform.KindUpstreams, object.Change{Listed: true, At: at, Objects: objects})
	return nil
}
