package home

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/link"
	"mothcart/io/object"
	"mothcart/platform/fake"
)

// The pattern: all nodes of a large site connect to a home at the same time.

const largeUpstreams = 3000

func largeView() map[string]object.Change {
	c := object.Change{Listed: true, At: largeUpstreams}
	for n := range largeUpstreams {
		c.Objects = append(c.Objects, object.Object{
			Name: fmt.Sprintf("i-%010x", n*2654435761), Revision: object.Revision(n + 1),
			Spec: fmt.Appendf(nil, `{"service":"rota-scribe","address":"10.7.%d.%d:8100","zone":"z%d","version":"1.4.2","slots":7,"state":"ready","cold_left_ms":0,"seq":%d,"born":17960000%05d}`, n/250, n%250, n%5, n, n),
		})
	}
	return map[string]object.Change{"servers": c}
}

func TestViewsAreEncodedOnceForAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 300
		var snapshots atomic.Int64
		views := NewViews(func() map[string]object.Change {
			snapshots.Add(1)
			return largeView()
		}, zerolog.Nop())
		network := fake.NewNetwork()
		l, err := network.Listen(context.Background(), "10.2.0.1:7660")
		require.NoError(t, err)
		server := link.NewServer(l, link.Options{Handle: func(c *link.Conn, _ link.Incoming) { views.sendTo(c) }})
		var objects, events atomic.Int64
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, "10.1.0.1", address)
		}
		for n := range nodes {
			c, err := link.Dial(context.Background(), dial, "10.2.0.1:7660", link.Options{Handle: func(_ *link.Conn, in link.Incoming) {
				var m viewNotice
				require.NoError(t, in.Decode(&m))
				objects.Add(int64(len(m.Change.Objects)))
				events.Add(int64(len(m.Change.Events)))
			}})
			require.NoError(t, err)
			defer c.Close()
			if n == nodes/2 {
				views.add("servers", []object.Event{{Object: object.Object{Name: "i-new", Revision: largeUpstreams + 1}}})
			}
			c.Notify("hello", struct{}{})
			synctest.Wait()
		}
		require.Equal(t, int64(nodes*largeUpstreams), objects.Load())
		require.Equal(t, int64(nodes/2), events.Load(), "the nodes after the change get it too")
		require.Equal(t, int64(1), snapshots.Load())
		server.Close()
		time.Sleep(time.Minute)
	})
}

// A home keeps one copy of a view however many nodes connect, and sends all of them to 300 nodes within a
// second over 600 Mbit/s.
func TestViewOfALargeSiteIsSmall(t *testing.T) {
	const nodes, linkBytesPerSecond = 300, 600e6 / 8
	n, err := link.NewNotice(methodView, viewNotice{Kind: "servers", Change: largeView()["servers"]})
	require.NoError(t, err)
	t.Logf("%d upstreams: %d bytes", largeUpstreams, n.Size())
	require.Less(t, float64(n.Size()*nodes), linkBytesPerSecond)
}

func TestViewsAreEncodedAnewAfterManyEvents(t *testing.T) {
	snapshots := 0
	views := NewViews(func() map[string]object.Change {
		snapshots++
		return map[string]object.Change{"servers": {Listed: true}}
	}, zerolog.Nop())
	for round := range 3 {
		list, err := views.notices()
		require.NoError(t, err)
		require.Len(t, list, 1)
		require.Equal(t, round+1, snapshots)
		views.add("servers", make([]object.Event, maxRecentEvents))
		list, err = views.notices()
		require.NoError(t, err)
		require.Len(t, list, 2, "the listing and the events since")
		views.add("servers", make([]object.Event, 1))
	}
}
