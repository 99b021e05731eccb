package home

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/admit"
	"mothcart/io/link"
	"mothcart/platform/fake"
)

const relayAt = "10.1.0.1:7660"

// failingListener fails before it accepts connections.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// startRelay starts a home and a relay to it, whose listener fails some times first.
func startRelay(t *testing.T, opts admit.Options, failures int64) (network *fake.Network, stop func()) {
	c, network, cfg := accountNode(t)
	stopHome := accountHome(t, c, network, cfg, 1, false)
	below, err := network.Listen(t.Context(), relayAt)
	require.NoError(t, err)
	l := &failingListener{Listener: below}
	l.failures.Store(failures)
	opts.Log = zerolog.Nop()
	relay := NewRelay(l, opts, c)
	return network, func() {
		relay.Close()
		c.Close()
		stopHome()
	}
}

// helloAt says hello to the home as a node with an address, through the relay.
func helloAt(t *testing.T, network *fake.Network, ip string) (*link.Conn, error) {
	connect := func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, ip, address) }
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := link.Dial(ctx, connect, relayAt, link.Options{Handle: func(*link.Conn, link.Incoming) {}})
	if err != nil {
		return nil, err
	}
	var answer helloAnswer
	return conn, conn.Call(ctx, methodHello, helloRequest{VM: "n" + ip, Incarnation: 1}, &answer)
}

// Guards against a relay that accepts nothing any more since the process once had too many open files.
func TestRelayGoesOnAfterAcceptErrors(t *testing.T) {
	for _, failures := range []int64{0, 1, 5} {
		synctest.Test(t, func(t *testing.T) {
			network, stop := startRelay(t, admit.Options{}, failures)
			defer stop()
			time.Sleep(5 * time.Second)
			conn, err := helloAt(t, network, "10.1.0.7")
			require.NoError(t, err, "after %d failures", failures)
			conn.Close()
		})
	}
}

// Guards against nodes that find no room at a relay, or lose it, since others hold connections.
func TestRelayLeavesRoomForNodes(t *testing.T) {
	for _, addresses := range []int{1, 20} {
		synctest.Test(t, func(t *testing.T) {
			const most, nodes = 10, 8
			registry := metrics.NewRegistry()
			network, stop := startRelay(t, admit.Options{Name: "relay", Connections: most, Registry: registry}, 0)
			defer stop()
			count := func(name string) int64 { return metrics.GetOrRegisterCounter("inbound."+name, registry).Count() }
			var relayed []*link.Conn
			for range nodes {
				conn, err := helloAt(t, network, "10.1.0.7")
				require.NoError(t, err)
				defer conn.Close()
				relayed = append(relayed, conn)
			}
			time.Sleep(5 * time.Second)
			for i := range 50 {
				conn, err := network.Dial(t.Context(), fmt.Sprintf("10.1.1.%d", i%addresses), relayAt)
				require.NoError(t, err)
				defer conn.Close()
				synctest.Wait()
			}
			conn, err := helloAt(t, network, "10.1.0.8")
			require.NoError(t, err)
			defer conn.Close()
			require.EqualValues(t, 50-1, count("shed"))
			require.Zero(t, count("refusedConnections"))
			for _, conn := range relayed {
				require.NoError(t, conn.Err())
			}
		})
	}
}
