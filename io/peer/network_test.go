package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/vm"
)

// faultNet wraps the connections that a node dials, so that tests can make them half-open.
type faultNet struct {
	mu    sync.Mutex
	conns []*faultConn
	raw   atomic.Int64
}

// faultConn drops what both ends write while it is half-open, like a connection whose state a middlebox
// has lost.
type faultConn struct {
	net.Conn
	net      *faultNet
	halfOpen atomic.Bool
}

func (f *faultNet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: raw, net: f}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
	return c, nil
}

// makeHalfOpen makes all present connections half-open; later ones work.
func (f *faultNet) makeHalfOpen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.halfOpen.Store(true)
	}
}

func (c *faultConn) Write(b []byte) (int, error) {
	c.net.raw.Add(int64(len(b)))
	if c.halfOpen.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.net.raw.Add(int64(n))
		if err != nil || !c.halfOpen.Load() {
			return n, err
		}
	}
}

func fastHeartbeat(o Options) Options { return o.WithHeartbeat(200*time.Millisecond, 3) }

func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	for _, class := range []Class{Control, Bulk} {
		t.Run(class.String(), func(t *testing.T) {
			f := &faultNet{}
			nodes := startNodes(t, 2, func(o Options) Options { return fastHeartbeat(o.WithNetwork(nil, f.dial)) })
			waitMembers(t, nodes, 2)
			ctx := context.Background()
			_, err := Call[echoAnswer](ctx, nodes[0], "e2", "test.echo", class, echoRequest{Text: "a"})
			require.NoError(t, err)
			version := nodes[0].View().Version
			f.makeHalfOpen()
			_, err = Call[echoAnswer](ctx, nodes[0], "e2", "test.echo", class, echoRequest{Text: "b"})
			require.ErrorIs(t, err, ErrLost, "the request was written, its answer can't come")
			// On a busy machine a heartbeat of the new connection may be late too, so that it is
			// replaced once more.
			eventually(t, func() bool {
				answer, err := Call[echoAnswer](ctx, nodes[0], "e2", "test.echo", class, echoRequest{Text: "c"})
				return err == nil && answer.Text == "c"
			}, "a call over a new connection")
			require.NotZero(t, nodes[0].metrics.unresponsive.Count()+nodes[1].metrics.unresponsive.Count())
			require.Equal(t, version, nodes[0].View().Version, "the peer stayed a member")
		})
	}
}

// An unanswered probe opens a new connection long before missed heartbeats close the old one, so that a slow
// heartbeat does not get a live peer declared dead.
func TestProbeReplacesConnectionBeforeSuspicionLapses(t *testing.T) {
	f := &faultNet{}
	nodes := startNodes(t, 2, func(o Options) Options { return o.WithNetwork(nil, f.dial).WithHeartbeat(time.Hour, 3) })
	waitMembers(t, nodes, 2)
	version := nodes[0].View().Version
	reconnects := nodes[0].metrics.reconnects.Count()
	f.makeHalfOpen()
	eventually(t, func() bool {
		return nodes[0].metrics.reconnects.Count() > reconnects
	}, "new connection")
	_, err := Call[echoAnswer](context.Background(), nodes[0], "e2", "test.echo", Control, echoRequest{Text: "a"})
	require.NoError(t, err)
	require.Equal(t, version, nodes[0].View().Version)
}

// slowConn blocks writes larger than 1 KiB until release is closed.
type slowConn struct {
	net.Conn
	release <-chan struct{}
}

func (c slowConn) Write(b []byte) (int, error) {
	if len(b) > 1<<10 {
		<-c.release
	}
	return c.Conn.Write(b)
}

func TestControlDoesNotWaitBehindBulk(t *testing.T) {
	release := make(chan struct{})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowConn{c, release}, err
	}
	nodes := startNodes(t, 2, func(o Options) Options { return o.WithNetwork(nil, dial).WithHeartbeat(time.Hour, 3) })
	const bulkCalls = 100
	text := string(make([]byte, 64<<10))
	done := make(chan error, bulkCalls)
	ctx := context.Background()
	for range bulkCalls {
		go func() {
			_, err := Call[echoAnswer](ctx, nodes[0], "e2", "test.echo", Bulk, echoRequest{Text: text})
			done <- err
		}()
	}
	l, err := nodes[0].link(linkKey{"e2", Bulk})
	require.NoError(t, err)
	eventually(t, func() bool { return len(l.calls) == cap(l.calls) }, "bulk calls fill their limit")
	for range 100 {
		_, err := Call[echoAnswer](ctx, nodes[0], "e2", "test.echo", Control, echoRequest{Text: "a"})
		require.NoError(t, err)
	}
	require.Empty(t, done, "no bulk call has finished")
	waiting, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	_, err = Call[echoAnswer](waiting, nodes[0], "e2", "test.echo", Bulk, echoRequest{})
	require.ErrorIs(t, err, ErrUnreachable, "a call that waits for room has not run")
	close(release)
	for range bulkCalls {
		require.NoError(t, <-done)
	}
}

func TestNoticesAreDroppedWhenQueuesAreFull(t *testing.T) {
	release := make(chan struct{})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowConn{c, release}, err
	}
	nodes := startNodes(t, 2, func(o Options) Options { return o.WithNetwork(nil, dial).WithHeartbeat(time.Hour, 3) })
	defer close(release)
	text := string(make([]byte, 8<<10))
	var err error
	for range 10 * nodes[0].opts.QueueFrames {
		err = errors.Join(err, Notify(nodes[0], "e2", "test.echo", Bulk, echoRequest{Text: text}))
	}
	require.ErrorIs(t, err, ErrQueueFull)
	require.NotZero(t, nodes[0].metrics.noticesDropped.Count())
}

func TestCancelledCallEndsItsHandler(t *testing.T) {
	nodes := startNodes(t, 2, nil)
	started, ended := make(chan struct{}), make(chan struct{})
	Handle(nodes[1], "test.hang", func(ctx context.Context, _ string, _ int) (int, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return 0, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := Call[int](ctx, nodes[0], "e2", "test.hang", Control, 1)
		failed <- err
	}()
	<-started
	cancel()
	require.ErrorIs(t, <-failed, ErrLost)
	<-ended
}

func TestIdleConnectionsClose(t *testing.T) {
	nodes := startNodes(t, 2, func(o Options) Options { return fastHeartbeat(o).WithIdleTimeout(200 * time.Millisecond) })
	waitMembers(t, nodes, 2)
	_, err := Call[echoAnswer](context.Background(), nodes[0], "e2", "test.echo", Bulk, echoRequest{Text: "a"})
	require.NoError(t, err)
	l, err := nodes[0].link(linkKey{"e2", Bulk})
	require.NoError(t, err)
	eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.current() == nil
	}, "bulk connection closed")
	waitMembers(t, nodes, 2)
}

func TestLeavingNodeDeparts(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	waitMembers(t, nodes, 3)
	changed := nodes[0].Changed()
	nodes[2].Leave()
	<-changed
	eventually(t, func() bool { return nodes[0].Leaving("e3") && nodes[1].Leaving("e3") }, "leaving")
	nodes[2].Close()
	waitMembers(t, nodes[:2], 2)
	nodes[0].MarkLeaving("engine-7")
	eventually(t, func() bool { return nodes[1].Leaving("engine-7") }, "mark of an upstream")
	nodes[1].SetList([]vm.VM{{ID: "engine-7", Group: "engines"}})
	require.True(t, nodes[1].VMs()[0].Leaving)
}
