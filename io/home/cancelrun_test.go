package home

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/link"
	"mothcart/platform/fake"
)

// runnerLink connects a home to the node of runner n and returns the home's side and what the node receives.
func runnerLink(t *testing.T, n int) (*link.Conn, <-chan string) {
	network, received := fake.NewNetwork(), make(chan string, 16)
	address := fmt.Sprintf("10.1.0.%d:7660", n)
	l, err := network.Listen(t.Context(), address)
	require.NoError(t, err)
	server := link.NewServer(l, link.Options{Handle: func(_ *link.Conn, in link.Incoming) { received <- in.Method }})
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, "10.2.0.1", address)
	}
	c, err := link.Dial(t.Context(), dial, address, link.Options{Handle: func(*link.Conn, link.Incoming) {}})
	require.NoError(t, err)
	t.Cleanup(func() {
		c.Close()
		server.Close()
		time.Sleep(time.Second)
	})
	return c, received
}

func newRunHome(ctx context.Context) *Home {
	h := &Home{
		ctx: ctx, runners: map[string]*runnerNode{}, remoteRuns: map[uint64]*remoteRun{},
		opts: Options{Now: time.Now, Log: zerolog.Nop()},
	}
	h.metrics.silentRuns, h.metrics.keptRuns = metrics.NewCounter(), metrics.NewCounter()
	return h
}

// Guards against an attempt that goes on at a runner, since the notice that cancels it came before the attempt.
func TestCancelOfAnAttemptComesAfterIt(t *testing.T) {
	for _, before := range []bool{true, false} {
		for range 200 {
			synctest.Test(t, func(t *testing.T) {
				conn, received := runnerLink(t, 1)
				h := newRunHome(t.Context())
				h.runners["e1"] = &runnerNode{conn: conn, name: "e1", stopped: make(chan struct{})}
				ctx, cancel := context.WithCancel(t.Context())
				if before {
					cancel()
				}
				go cancel()
				h.execute(ctx, itemCall{ID: "i"}, new(stream))
				time.Sleep(time.Second)
				if before {
					require.Empty(t, received)
				}
				if len(received) > 0 {
					require.Equal(t, methodRun, <-received, "the runner would know no such attempt yet")
					require.Equal(t, methodCancelRun, <-received)
				}
			})
		}
	}
}

// Guards against an attempt that goes on at a node that is back, since its job ended just then.
func TestAttemptOfANodeThatIsBackIsCancelled(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			conn, received := runnerLink(t, 1)
			h := newRunHome(t.Context())
			remote := newRemoteRun("i")
			h.remoteRuns[7] = remote
			h.openRuns(conn, openRunsNotice{Runs: []uint64{7}})
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			h.awaitSilent(ctx, itemCall{ID: "i", Run: 7}, remote)
			h.forgetRemote(7, remote)
			time.Sleep(time.Second)
			require.Len(t, received, 1)
			require.Equal(t, methodCancelRun, <-received)
		})
	}
}

// Guards against a home that gives all its items, again and again, to the node with the fewest ones: one whose connection has ended.
func TestNodeWithoutAConnectionGetsNoItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone, _ := runnerLink(t, 1)
		conn, _ := runnerLink(t, 2)
		h := newRunHome(t.Context())
		h.runners["e1"] = &runnerNode{conn: gone, name: "e1", stopped: make(chan struct{})}
		h.runners["e2"] = &runnerNode{conn: conn, name: "e2", stopped: make(chan struct{}), running: 7}
		gone.Close()
		time.Sleep(time.Second)
		require.Equal(t, "e2", h.pickRunner().name)
		conn.Close()
		time.Sleep(time.Second)
		require.Nil(t, h.pickRunner())
	})
}
