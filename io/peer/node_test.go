package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mothcart/core/vm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testWait is the time limit for conditions that must come true; no test depends on its length.
const testWait = 30 * time.Second

type echoRequest struct {
	Text string `msgpack:"t"`
}

type echoAnswer struct {
	Text string `msgpack:"t"`
	From string `msgpack:"f"`
}

// startNodes runs n nodes that all have the same VM list.
func startNodes(t *testing.T, n int, change func(o Options) Options) []*Node {
	t.Helper()
	var nodes []*Node
	var vms []vm.VM
	for i := range n {
		self := vm.VM{ID: fmt.Sprintf("e%d", i+1), Group: vm.EntryGroup, AvailabilityZone: "arada", Address: "127.0.0.1:0"}
		opts := NewOptions(self).WithIdentity(1, uint64(i+1))
		if change != nil {
			opts = change(opts)
		}
		node, err := New(opts)
		require.NoError(t, err)
		t.Cleanup(node.Close)
		Handle(node, "test.echo", func(_ context.Context, from string, req echoRequest) (echoAnswer, error) {
			return echoAnswer{Text: req.Text, From: from}, nil
		})
		nodes = append(nodes, node)
		vms = append(vms, node.Self())
	}
	for _, node := range nodes {
		node.SetList(vms)
	}
	return nodes
}

func eventually(t *testing.T, ok func() bool, what string) {
	t.Helper()
	require.Eventually(t, ok, testWait, 5*time.Millisecond, what)
}

func waitMembers(t *testing.T, nodes []*Node, want int) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, func() bool { return len(n.View().VMs) == want }, "members of "+n.Self().ID)
	}
}

func TestNodesFindEachOther(t *testing.T) {
	nodes := startNodes(t, 9, nil)
	waitMembers(t, nodes, 9)
	for _, n := range nodes {
		require.Equal(t, nodes[0].View().Owner("ledger/17"), n.View().Owner("ledger/17"))
		eventually(t, n.Joined, "joined")
	}
}

func TestCall(t *testing.T) {
	nodes := startNodes(t, 2, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	Handle(nodes[1], "test.fail", func(context.Context, string, echoRequest) (echoAnswer, error) {
		return echoAnswer{}, &RemoteError{Code: "conflict", Message: "generation 7"}
	})
	for _, tc := range []struct {
		name, to, method string
		code             string
		sentinel         error
	}{
		{name: "other VM", to: "e2", method: "test.echo"},
		{name: "own VM", to: "e1", method: "test.echo"},
		{name: "no such method", to: "e2", method: "test.none", code: CodeNoMethod},
		{name: "error of the handler", to: "e2", method: "test.fail", code: "conflict"},
		{name: "unknown VM", to: "e99", method: "test.echo", sentinel: ErrUnreachable},
	} {
		for _, class := range []Class{Control, Bulk} {
			t.Run(tc.name+" "+class.String(), func(t *testing.T) {
				answer, err := Call[echoAnswer](ctx, nodes[0], tc.to, tc.method, class, echoRequest{Text: "a"})
				switch {
				case tc.sentinel != nil:
					require.ErrorIs(t, err, tc.sentinel)
				case tc.code != "":
					var re *RemoteError
					require.ErrorAs(t, err, &re)
					require.Equal(t, tc.code, re.Code)
				default:
					require.NoError(t, err)
					require.Equal(t, echoAnswer{Text: "a", From: "e1"}, answer)
				}
			})
		}
	}
}

func TestNoticesKeepTheirOrder(t *testing.T) {
	nodes := startNodes(t, 2, nil)
	const count = 100
	got := make(chan int, count)
	Handle(nodes[1], "test.count", func(_ context.Context, _ string, i int) (struct{}, error) {
		got <- i
		return struct{}{}, nil
	})
	for i := range count {
		if i == 1 {
			require.Equal(t, 0, <-got)
		}
		require.NoError(t, Notify(nodes[0], "e2", "test.count", Control, i))
	}
	for i := 1; i < count; i++ {
		require.Equal(t, i, <-got)
	}
}

func TestCloseDistinguishesSentFromUnsentCalls(t *testing.T) {
	nodes := startNodes(t, 2, nil)
	started, release := make(chan struct{}), make(chan struct{})
	Handle(nodes[1], "test.hang", func(context.Context, string, int) (int, error) {
		close(started)
		<-release
		return 0, nil
	})
	failed := make(chan error, 1)
	go func() {
		_, err := Call[int](context.Background(), nodes[0], "e2", "test.hang", Control, 1)
		failed <- err
	}()
	<-started
	closed := make(chan struct{})
	go func() {
		nodes[1].Close()
		close(closed)
	}()
	require.ErrorIs(t, <-failed, ErrLost)
	close(release)
	<-closed
	_, err := Call[int](context.Background(), nodes[0], "e2", "test.hang", Control, 1)
	require.ErrorIs(t, err, ErrUnreachable)
}

func TestOversizedRequestIsNotSent(t *testing.T) {
	nodes := startNodes(t, 2, func(o Options) Options { return o.WithMaxFrames(1<<10, 8<<10) })
	text := string(make([]byte, 2<<10))
	_, err := Call[echoAnswer](context.Background(), nodes[0], "e2", "test.echo", Control, echoRequest{Text: text})
	require.ErrorIs(t, err, ErrTooLarge)
	require.ErrorIs(t, Notify(nodes[0], "e2", "test.echo", Control, echoRequest{Text: text}), ErrTooLarge)
	_, err = Call[echoAnswer](context.Background(), nodes[0], "e2", "test.echo", Bulk, echoRequest{Text: text})
	require.NoError(t, err)
}

// unusedAddress returns a loopback address that nothing listens on.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func TestWrongListEntriesStayOutOfTheView(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	wrong := []vm.VM{
		{ID: "gone", Group: vm.EntryGroup, Address: unusedAddress(t)},
		{ID: "other", Group: vm.EntryGroup, Address: nodes[1].Self().Address},
		{ID: "e2", Group: vm.EntryGroup, Address: nodes[1].Self().Address},
		{ID: "u1", Group: "engines", Address: unusedAddress(t)},
	}
	nodes[0].SetList(wrong)
	eventually(t, func() bool { return nodes[0].metrics.dialErrors.Count() > 2 }, "dials of wrong entries")
	waitMembers(t, nodes, 3)
}
