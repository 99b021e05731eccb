package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// from is a connection from an address.
type from struct {
	*tcpConn
	ip byte
}

func (c *from) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, c.ip), Port: 1} }

// crowd is a server with many connections.
type crowd struct {
	listener *Listener
	accept   chan net.Conn
	callers  []*tcpConn
	server   *http.Server
}

func newCrowd(opts Options, h http.HandlerFunc) *crowd {
	opts.Log, opts.Registry = zerolog.Nop(), metrics.NewRegistry()
	below := &chanListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l := NewListener(below, opts)
	c := &crowd{listener: l, accept: below.conns}
	c.server = &http.Server{Handler: l.Handler(h), ConnContext: ConnContext, ConnState: l.ConnState, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Minute}
	go func() { _ = c.server.Serve(l) }()
	return c
}

func (c *crowd) close() {
	for _, caller := range c.callers {
		_ = caller.Close()
	}
	_ = c.server.Close()
	time.Sleep(time.Minute)
}

// requireBounds checks what the listener holds.
func (c *crowd) requireBounds(t *testing.T) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if most := c.listener.opts.Connections; most > 0 {
		require.LessOrEqual(t, c.listener.room.live, most)
	}
	if most := c.listener.opts.HeadBytes; most > 0 {
		require.LessOrEqual(t, c.listener.room.heads, most)
	}
}

// requireNothingHeld ends all callers and checks that no count is left.
func (c *crowd) requireNothingHeld(t *testing.T) {
	for _, caller := range c.callers {
		_ = caller.Close()
	}
	time.Sleep(time.Minute)
	require.Zero(t, c.listener.Open())
	require.Zero(t, c.listener.room.live)
	require.Zero(t, c.listener.room.heads)
	require.Empty(t, c.listener.room.addresses)
	require.Zero(t, c.listener.turnedAway.Load())
}

// connect opens a connection from an address and sends bytes on it.
func (c *crowd) connect(ip byte, sends string) *tcpConn {
	caller, near := tcpPipe()
	c.callers = append(c.callers, caller)
	c.accept <- &from{tcpConn: near, ip: ip}
	_, _ = io.WriteString(caller, sends)
	synctest.Wait()
	return caller
}

// Guards against callers that find no room because others hold connections, or bytes of heads, and complete no request.
func TestCrowdLeavesRoomForOthers(t *testing.T) {
	fields := strings.Repeat("a:b\r\n", 2000)
	for _, tc := range []struct {
		name  string
		crowd string
		opts  Options
	}{
		{"connections that send nothing", "", Options{Connections: 20}},
		{"heads that never end", request[:10], Options{Connections: 20}},
		{"bodies that never come", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n", Options{Connections: 20}},
		{"heads of many fields", "GET / HTTP/1.1\r\n" + fields, Options{HeadBytes: 1 << 20}},
		{"heads of many fields behind a request, with bodies that never come", request + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n" + fields[:3000] + "\r\n", Options{HeadBytes: 1 << 20}},
		{"heads of many fields, with bodies that never come", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n" + fields + "\r\n", Options{HeadBytes: 1 << 20}},
	} {
		for _, addresses := range []int{1, 30} {
			t.Run(fmt.Sprintf("%s, %d addresses", tc.name, addresses), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCrowd(tc.opts, readAll)
					defer c.close()
					busy := c.connect(200, request)
					require.Equal(t, http.StatusOK, status(busy))
					for i := range 100 {
						c.connect(byte(i%addresses), tc.crowd)
						c.requireBounds(t)
					}
					require.Equal(t, http.StatusOK, status(c.connect(201, request)))
					require.Equal(t, http.StatusOK, status(c.connect(0, request)), "also from an address of the crowd")
					require.Positive(t, c.listener.sheds.Count())
					c.requireNothingHeld(t)
				})
			})
		}
	}
}

// Guards against requests in progress that lose their connection to others, whatever they cost.
func TestRequestsInProgressAreNotShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{})
		end := sync.OnceFunc(func() { close(ended) })
		c := newCrowd(Options{Connections: 5, HeadBytes: 3 << 10}, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-ended
			_, _ = io.WriteString(w, "done")
		})
		defer c.close()
		defer end()
		var busy []*tcpConn
		for range 5 {
			busy = append(busy, c.connect(1, request))
		}
		for range 20 {
			c.connect(2, "")
		}
		require.EqualValues(t, 20, c.listener.refused.Count())
		end()
		for _, caller := range busy {
			require.Equal(t, http.StatusOK, status(caller))
		}
		require.Equal(t, http.StatusOK, status(c.connect(2, request)), "an idle one makes room")
	})
}

// Guards against limits of the configuration that aren't kept, or only by a new process.
func TestLimitsInForceAreKept(t *testing.T) {
	large := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	for _, tc := range []struct {
		name   string
		limits Limits
		// first is sent on a new connection, or behind an answer if kept; rest after a pause.
		first, rest string
		kept        bool
		pause       time.Duration
		status      int
	}{
		{"head within the limit", Limits{HeadBytes: 32 << 10}, large, "", false, 0, http.StatusOK},
		{"head over the limit", Limits{HeadBytes: 8 << 10}, large, "", false, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"head over the limit, kept", Limits{HeadBytes: 8 << 10}, large, "", true, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"head over net/http's default", Limits{HeadBytes: 8 << 10}, "GET / HTTP/1.1\r\n" + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 3000), "", false, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"slow head within the limit", Limits{HeadTime: 3 * time.Second}, request[:5], request[5:], false, 2900 * time.Millisecond, http.StatusOK},
		{"slow head over the limit", Limits{HeadTime: 3 * time.Second}, request[:5], request[5:], false, 3100 * time.Millisecond, http.StatusRequestTimeout},
		{"slow head over the limit, kept", Limits{HeadTime: 3 * time.Second}, request[:5], request[5:], true, 3100 * time.Millisecond, http.StatusRequestTimeout},
		{"slow head within a longer limit", Limits{HeadTime: 20 * time.Second}, request[:5], request[5:], true, 19 * time.Second, http.StatusOK},
		{"idle within the limit", Limits{IdleTime: 10 * time.Second}, "", request, true, 9 * time.Second, http.StatusOK},
		{"idle over the limit", Limits{IdleTime: 10 * time.Second}, "", request, true, 11 * time.Second, 0},
		{"idle within a longer limit", Limits{IdleTime: 100 * time.Second}, "", request, true, 99 * time.Second, http.StatusOK},
		{"body larger than the limit of heads", Limits{HeadBytes: 8 << 10}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", 100000), true, 0, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := DefaultLimits()
				c := newCrowd(Options{Limits: func() Limits { return limits }}, readAll)
				defer c.close()
				limits = tc.limits
				first := tc.first
				if tc.kept {
					first = request
				}
				caller := c.connect(1, first)
				if tc.kept {
					require.Equal(t, http.StatusOK, status(caller))
					_, _ = io.WriteString(caller, tc.first)
				}
				time.Sleep(tc.pause)
				_, _ = io.WriteString(caller, tc.rest)
				require.Equal(t, tc.status, status(caller))
			})
		})
	}
}

// Guards against a request that is read whole, and cut off since its connection is shed at that moment.
func TestShedRequestThatIsCompleteIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(Options{}, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			readAll(w, r)
		})
		defer c.close()
		caller := c.connect(1, request)
		for _, conn := range c.listener.open() {
			conn.inProgress.Store(false) // as before the handler is called
			conn.isShed.Store(true)
			conn.wake()
		}
		require.Equal(t, http.StatusOK, status(caller))
	})
}

// Guards against connections that end early, or never, when the time of day jumps: deadlines count on the steady clock, which
// times have only while they aren't converted.
func TestDeadlinesAreOnTheSteadyClock(t *testing.T) {
	l := NewListener(&chanListener{}, Options{Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
	for _, tc := range []struct {
		name string
		set  func(c *Conn)
	}{
		{"new", func(*Conn) {}},
		{"idle", func(c *Conn) { c.setPhase(idle) }},
		{"head", func(c *Conn) { c.setPart(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			near, _ := tcpPipe()
			c := newConn(near, l)
			tc.set(c)
			require.Contains(t, c.headDeadline(DefaultLimits()).String(), " m=", "has a reading of the steady clock")
		})
	}
}
