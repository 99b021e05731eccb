package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Settings of connections. A connection whose network path is lost fails within about three seconds,
// whether it is idle or has data in flight.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent data may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Connect returns a function that opens connections within timeout; on them, keep-alive probes and
// a bound on unacknowledged data detect a path that no longer delivers packets.
func Connect(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return d.DialContext
}

// Listen opens a listener whose connections have the same settings as those of Connect.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return merry.Errorf("control socket: %w", err)
	}
	return setErr
}
