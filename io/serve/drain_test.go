package serve_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/fake/fleet"
)

// gateListener accepts connections whose reads wait, once they have bytes, while the gate is closed.
type gateListener struct {
	net.Listener
	// taken gets a value for each read that waits, ended one when a connection or the listener is closed.
	taken, ended chan struct{}

	mu   sync.Mutex
	gate chan struct{}
}

func (l *gateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &gateConn{Conn: c, listener: l}, err
}

func (l *gateListener) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate = make(chan struct{})
}

func (l *gateListener) wait() {
	l.mu.Lock()
	gate := l.gate
	l.mu.Unlock()
	if gate != nil {
		l.taken <- struct{}{}
		<-gate
	}
}

type gateConn struct {
	net.Conn
	listener *gateListener
}

func (c *gateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.wait()
	}
	return n, err
}

func (c *gateConn) Close() error {
	select {
	case c.listener.ended <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// Guards against a connection that a drain closes as idle though the process has read the next request.
func TestDrainAnswersRequestsThatAreRead(t *testing.T) {
	l := &gateListener{taken: make(chan struct{}, 10), ended: make(chan struct{}, 1)}
	opts := fleet.NewOptions().WithVMs(1).WithEngines(1, fastEngine())
	opts.WrapCallers = func(below net.Listener) net.Listener {
		l.Listener = below
		return l
	}
	f := startSite(t, opts)
	c, err := net.Dial("tcp", f.Server(0).CallerAddress())
	require.NoError(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	const request = "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	status := resp.StatusCode
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)

	l.shut()
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	<-l.taken
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		f.DrainVM(0)
	}()
	select { // a drain that closes the connection does so within this time; it isn't a bound
	case <-l.ended:
	case <-drained:
	case <-time.After(2 * time.Second):
	}
	close(l.gate)
	resp, err = http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
	require.True(t, resp.Close)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	<-drained
}
