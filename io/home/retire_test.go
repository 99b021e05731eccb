package home

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/link"
	"mothcart/io/object"
	"mothcart/io/store"
)

// Guards against items that are sent to a VM that is about to be removed, since it connected only after it was drained.
func TestVMThatConnectsWhileItIsDrainedRunsNoItems(t *testing.T) {
	for _, end := range []error{nil, store.ErrNotFound} {
		synctest.Test(t, func(t *testing.T) {
			s := newReconnectSite(t)
			h, server := s.startHome(1)
			var ended atomic.Bool
			h.opts.Objects = object.Client{PutStatus: func(context.Context, string, string, any) (object.Object, error) {
				if !ended.Load() {
					return object.Object{}, store.ErrUnavailable
				}
				return object.Object{}, end
			}}
			connect := func() *link.Conn {
				dial := func(ctx context.Context, _, address string) (net.Conn, error) {
					return s.network.Dial(ctx, "10.1.9.9", address)
				}
				c, err := link.Dial(t.Context(), dial, "10.2.0.1:7660", link.Options{Handle: func(*link.Conn, link.Incoming) {}})
				require.NoError(t, err)
				require.NoError(t, c.Call(t.Context(), methodHello, helloRequest{VM: "s2", Runs: true}, new(helloAnswer)))
				return c
			}
			runners := func() int {
				h.mu.Lock()
				defer h.mu.Unlock()
				return len(h.runners)
			}
			h.done.Go(func() { h.drainVM("s2") })
			time.Sleep(time.Second)
			first := connect()
			while := runners()
			ended.Store(true)
			time.Sleep(time.Second)
			first.Close()
			second := connect()
			after := runners()
			second.Close()
			s.close(server)
			h.Close()
			require.Zero(t, while)
			require.Equal(t, 1, after, "another VM of that name, or the retirement was taken back")
		})
	}
}
