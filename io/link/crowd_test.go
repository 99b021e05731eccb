package link

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/admit"
	"mothcart/io/msgframe"
)

// from is a connection from an address.
type from struct {
	net.Conn
	ip byte
}

// RemoteAddr implements net.Conn.
func (c from) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, c.ip), Port: 1} }

// port is a server with connections of nodes and of others.
type port struct {
	t        *testing.T
	listener *faultyListener
	server   *Server
	registry metrics.Registry
	conns    []net.Conn
	// notices counts the notices that were handled.
	notices atomic.Int64
}

func newPort(t *testing.T, opts admit.Options) *port {
	p := &port{t: t, listener: newFaultyListener(0), registry: metrics.NewRegistry()}
	opts.Name, opts.Log, opts.Registry = "nodes", zerolog.Nop(), p.registry
	p.server = NewServer(p.listener, Options{Admit: opts, Handle: func(c *Conn, in Incoming) {
		var body string
		if err := in.Decode(&body); err != nil {
			in.Fail(err)
			return
		}
		switch in.Method {
		case "hello":
			c.Prove()
		case "notice":
			p.notices.Add(1)
		}
		in.Answer(len(body))
	}})
	return p
}

func (p *port) close() {
	p.server.Close()
	for _, c := range p.conns {
		_ = c.Close()
	}
	time.Sleep(time.Minute) // ends the connections
}

func (p *port) count(name string) int64 {
	return metrics.GetOrRegisterCounter("inbound."+name, p.registry).Count()
}

// connect opens a connection from an address.
func (p *port) connect(ip byte) net.Conn {
	near, far := net.Pipe()
	p.listener.conns <- from{far, ip}
	p.conns = append(p.conns, near)
	return near
}

// node opens the connection of a node that says hello with a body.
func (p *port) node(ip byte, body string) (*Conn, error) {
	connect := func(context.Context, string, string) (net.Conn, error) { return p.connect(ip), nil }
	c, err := Dial(p.t.Context(), connect, "n:1", Options{Handle: func(*Conn, Incoming) {}})
	require.NoError(p.t, err)
	var n int
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Minute)
	defer cancel()
	if err := c.Call(ctx, "hello", body, &n); err != nil {
		return c, err
	}
	require.Equal(p.t, len(body), n)
	return c, nil
}

// encoded returns the bytes of a frame of a method.
func encoded(t *testing.T, k kind, method string, v any) []byte {
	body, err := msgframe.EncodeBody(v)
	require.NoError(t, err)
	b, err := msgframe.Encode(frame{Kind: k, ID: 1, Method: method, Body: body}, maxFrame)
	require.NoError(t, err)
	return b
}

// sender sends bytes until the connection is closed.
type sender struct {
	conn net.Conn
	sent atomic.Int64
	open atomic.Bool
}

func (p *port) send(ip byte, b []byte) *sender {
	s := &sender{conn: p.connect(ip)}
	s.open.Store(true)
	s.write(b)
	go func() {
		_, _ = io.Copy(io.Discard, s.conn)
		s.open.Store(false)
	}()
	return s
}

func (s *sender) write(b []byte) {
	go func() {
		for len(b) > 0 {
			n, err := s.conn.Write(b[:min(len(b), 1<<10)])
			s.sent.Add(int64(n))
			b = b[n:]
			if err != nil {
				return
			}
		}
	}()
}

// heldBy returns the number of bytes that the server has read of senders whose connections are open.
func heldBy(senders []*sender) (held int64) {
	for _, s := range senders {
		if s.open.Load() {
			held += s.sent.Load()
		}
	}
	return held
}

// Guards against a process that runs out of memory since many connections have each declared a large frame that doesn't end.
func TestFramesThatNeverEndLeaveRoomForNodes(t *testing.T) {
	const bytes, crowdSize = 6 << 20, 300
	endless := binary.BigEndian.AppendUint32(nil, maxFrame)
	endless = append(endless, make([]byte, 1<<20)...)
	test := func(t *testing.T, addresses, sends, helloSize int) {
		p := newPort(t, admit.Options{Bytes: bytes})
		defer p.close()
		hello, large := encoded(t, kindCall, "hello", ""), encoded(t, kindCall, "m", strings.Repeat("x", 3<<20))
		proved := p.send(200, append(slices.Clone(hello), large[:2<<20]...))
		synctest.Wait()
		var crowd []*sender
		for i := range crowdSize {
			crowd = append(crowd, p.send(byte(i%addresses), endless[:sends]))
		}
		synctest.Wait()
		require.LessOrEqual(t, heldBy(crowd), int64(bytes+crowdSize*4<<10), "apart from the buffer of each connection")
		c, err := p.node(201, strings.Repeat("x", helloSize))
		require.NoError(t, err)
		c.Close()
		require.True(t, proved.open.Load())
		proved.write(large[2<<20:])
		synctest.Wait()
		require.EqualValues(t, len(hello)+len(large), proved.sent.Load(), "a node's frame is read to its end")
		require.Equal(t, sends > bytes/crowdSize, p.count("shed") > 0)
	}
	for _, tc := range []struct{ addresses, hello int }{{1, 200 << 10}, {100, 24 << 10}} {
		for _, sends := range []int{1 << 20, 100 << 10, 5} {
			t.Run(fmt.Sprintf("%d addresses, %d bytes", tc.addresses, sends), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { test(t, tc.addresses, sends, tc.hello) })
			})
		}
	}
}

// Guards against nodes that are closed as if they were others: all of a large site say hello at once, with many open requests.
func TestHellosOfAllNodesAtOnceFit(t *testing.T) {
	for _, addresses := range []int{1, 200} {
		synctest.Test(t, func(t *testing.T) {
			p := newPort(t, admit.Options{Bytes: 154 << 20 / 16})
			defer p.close()
			hello := encoded(t, kindCall, "hello", strings.Repeat("x", 24<<10))
			var nodes []*sender
			for i := range 340 {
				nodes = append(nodes, p.send(byte(i%addresses), hello[:20<<10]))
			}
			synctest.Wait()
			for _, s := range nodes {
				s.write(hello[20<<10:])
			}
			synctest.Wait()
			for _, s := range nodes {
				require.EqualValues(t, len(hello), s.sent.Load())
			}
			require.Zero(t, p.count("shed"))
		})
	}
}

// Guards against a small notice of an unknown sender that takes the memory of a large one.
func TestPackedNoticeCountsUnpacked(t *testing.T) {
	packed := encoded(t, kindPackedNotice, "notice", s2.Encode(nil, encodedBody(t, strings.Repeat("x", 3<<20))))
	require.Less(t, len(packed), 1<<20)
	for _, proves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPort(t, admit.Options{Bytes: 1 << 20})
			defer p.close()
			first := encoded(t, kindCall, "m", "")
			if proves {
				first = encoded(t, kindCall, "hello", "")
			}
			p.send(1, append(first, packed...))
			synctest.Wait()
			require.Equal(t, proves, p.notices.Load() == 1)
			require.Equal(t, !proves, p.count("shed") == 1)
		})
	}
}

func encodedBody(t *testing.T, v any) []byte {
	b, err := msgframe.EncodeBody(v)
	require.NoError(t, err)
	return b
}

// Guards against nodes that find no room, or lose it, since others hold connections.
func TestConnectionsLeaveRoomForNodes(t *testing.T) {
	const most, nodes, crowdSize = 60, 50, 300
	test := func(t *testing.T, addresses int, sends []byte) {
		p := newPort(t, admit.Options{Connections: most})
		defer p.close()
		var proved []*Conn
		join := func(n int, ip byte) {
			for range n {
				c, err := p.node(ip, "")
				require.NoError(t, err)
				proved = append(proved, c)
			}
		}
		join(nodes, 200)
		for i := range crowdSize {
			p.send(byte(i%addresses), sends)
			synctest.Wait()
			n := 0
			p.server.Each(func(*Conn) { n++ })
			require.LessOrEqual(t, n, most)
		}
		join(most-nodes, 201)
		require.EqualValues(t, crowdSize, p.count("shed"))
		_, err := p.node(1, "")
		require.ErrorIs(t, err, ErrClosed)
		require.EqualValues(t, 1, p.count("refusedConnections"))
		for _, c := range proved {
			require.NoError(t, c.Err())
		}
	}
	for _, sends := range [][]byte{nil, {0, 0}, encoded(t, kindHeartbeat, "", nil)} {
		for _, addresses := range []int{1, 100} {
			t.Run(fmt.Sprintf("%d bytes from %d addresses", len(sends), addresses), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { test(t, addresses, sends) })
			})
		}
	}
}
