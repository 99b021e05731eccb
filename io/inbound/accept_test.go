package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// lateListener returns connections late, as on a busy VM.
type lateListener struct{ *chanListener }

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.chanListener.Accept()
	if err == nil {
		time.Sleep(100 * time.Millisecond)
	}
	return c, err
}

// Guards against a drain that ends while a connection is accepted.
func TestDrainWaitsForConnectionsThatAreAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		below := &chanListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		l := NewListener(lateListener{below}, Options{Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
		srv := &http.Server{Handler: l.Handler(http.HandlerFunc(readAll)), ConnContext: ConnContext, ConnState: l.ConnState}
		go func() { _ = srv.Serve(l) }()
		caller, near := tcpPipe()
		below.conns <- near
		_, _ = io.WriteString(caller, request)
		require.NoError(t, l.Drain(t.Context()))
		_ = srv.Close()
		require.Equal(t, http.StatusOK, status(caller))
	})
}

// status returns the status of the next answer, or 0 if the connection ends without one.
func status(caller *tcpConn) int {
	r, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}
