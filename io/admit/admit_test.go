package admit

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// pipes accepts the connections that it is given.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipes) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against descriptors for connections that are closed in favour of others and whose owners haven't ended yet.
func TestConnectionsOnTheirWayToTheirEndAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most, ending = 20, 5
		below := &pipes{conns: make(chan net.Conn, 100), closed: make(chan struct{})}
		l := NewListener(below, Options{Name: "nodes", Connections: most, Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
		for range 100 {
			_, far := net.Pipe()
			below.conns <- far
		}
		accepted := make(chan *Conn, 100)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}()
		synctest.Wait()
		require.Len(t, accepted, most+ending)
		for n := range 10 {
			c := <-accepted // the oldest one
			<-c.Done()
			require.NoError(t, c.Close())
			_ = c.Close() // has no effect
			synctest.Wait()
			require.Len(t, accepted, most+ending, "after %d ends", n+1)
		}
		select {
		case <-ended:
			require.Fail(t, "Accept failed")
		default:
		}
		require.NoError(t, l.Close())
		<-ended
	})
}
