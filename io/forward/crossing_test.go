package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/service"
)

// uploadBytes is the size of an upload that the buffers of a connection can't hold.
const uploadBytes = 16 << 20

// upload returns the answer to an upload at an address whose connections are opened by dial.
func upload(t *testing.T, address string, stream bool, dial func(ctx context.Context, network, address string) (net.Conn, error)) Answer {
	t.Helper()
	client := service.New(service.NewOptions().WithDial(dial))
	defer client.Close()
	codec := HeaderCodec{
		Outgoing: func(h http.Header, _ Attempt) http.Header { return h },
		Read:     func(h http.Header) AnswerInfo { return AnswerInfo{Signed: h.Get("X-Signature") != ""} },
	}
	var sink *Sink
	if stream {
		sink = &Sink{Start: func(int, http.Header) error { return nil }, Event: func(Event, bool) error { return nil }}
	}
	return Do(t.Context(), client, codec, Call{
		ID: "r1", Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes), OnWrote: func() {}, OnLimit: func(float64, bool) {},
		Attempt: Attempt{Upstream: site.Upstream{ID: "u", Address: address}},
	}, sink)
}

// crossed is a connection whose write meets the reset of the other side before a read does. The write returns before or
// after the read has found the end of the connection.
type crossed struct {
	net.Conn
	returnsFirst bool

	once          sync.Once
	failed, ended chan struct{}
	// answered reports that the reader has got the first bytes of the answer.
	answered bool
}

func dialCrossed(ctx context.Context, network, address string, returnsFirst bool) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &crossed{Conn: conn, returnsFirst: returnsFirst, failed: make(chan struct{}), ended: make(chan struct{})}, nil
}

// SyscallConn implements syscall.Conn.
func (c *crossed) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }

// Write implements io.Writer.
func (c *crossed) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		if !c.returnsFirst {
			<-c.ended
		}
	}
	return n, err
}

// Read implements io.Reader.
func (c *crossed) Read(p []byte) (int, error) {
	if c.answered {
		<-c.failed
	}
	n, err := c.Conn.Read(p)
	c.answered = true
	if err != nil {
		close(c.ended)
	}
	return n, err
}

// Guards against cut answers that look whole: the system reports a reset to the write of the upload alone, and the read
// of the answer finds an end as after a close.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, tc := range []struct {
		name   string
		stream bool
		answer string
	}{
		{"plain answer", false, "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nhalf"},
		{"plain answer of HTTP/1.0", false, "HTTP/1.0 200 OK\r\nX-Signature: s\r\n\r\nhalf"},
		{"failure", false, "HTTP/1.1 500 Broken\r\nX-Signature: s\r\n\r\nhalf"},
		{"stream", true, unframedHead + event1 + event2},
		{"plain answer with a length", false, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 8\r\n\r\nhalf"},
		{"plain answer in chunks", false, "HTTP/1.1 200 OK\r\nX-Signature: s\r\n" + chunks + "\r\n" + chunk("half")},
	} {
		for _, returnsFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, write returns first=%v", tc.name, returnsFirst), func(t *testing.T) {
				address := upstream(t, func(_ net.Listener, conn *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(conn, tc.answer)
					time.Sleep(5 * time.Millisecond)
					_ = conn.SetLinger(0)
				})
				a := upload(t, address, tc.stream, func(ctx context.Context, network, address string) (net.Conn, error) {
					return dialCrossed(ctx, network, address, returnsFirst)
				})
				require.False(t, a.Success(), "status %d, body %q", a.Status, a.Body)
				require.Error(t, a.Err, "status %d, body %q", a.Status, a.Body)
				require.True(t, a.Sent, "it may have run")
				require.Equal(t, slot.Broken, a.Result(t.Context()))
			})
		}
	}
}

// Guards against the same without a delay of reads and writes, at the moments at which a reset may come, by a close with
// bytes that were not read as well.
func TestAnswersThatAreResetDuringTheUpload(t *testing.T) {
	const plays = 20
	for _, after := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond} {
		for _, unread := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v, unread bytes=%v", after, unread), func(t *testing.T) {
				address := upstream(t, func(_ net.Listener, conn *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nhalf")
					time.Sleep(after)
					if unread {
						_, _ = conn.Read(make([]byte, 1)) // the rest of the segment is left, without which a close is one in order
					} else {
						_ = conn.SetLinger(0)
					}
				})
				for range plays {
					a := upload(t, address, false, new(net.Dialer).DialContext)
					require.False(t, a.Success(), "body %q", a.Body)
				}
			})
		}
	}
}

// Guards against answers that are lost since they come, whole and in order, while the upload goes on.
func TestEarlyAnswerIsServed(t *testing.T) {
	const plays = 12
	body := bytes.Repeat([]byte("x"), 100<<10)
	for name, answer := range map[string]string{
		"until the end": "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n" + string(body),
		"HTTP/1.0":      "HTTP/1.0 200 OK\r\nX-Signature: s\r\n\r\n" + string(body),
		"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks":     "HTTP/1.1 200 OK\r\nX-Signature: s\r\n" + chunks + "\r\n" + chunk(string(body)) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := upstream(t, func(_ net.Listener, conn *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(conn, answer)
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, r.Body) // ends when the other side closes the connection
			})
			for range plays {
				a := upload(t, address, false, new(net.Dialer).DialContext)
				require.True(t, a.Success(), "%v", a.Err)
				require.Equal(t, body, a.Body)
			}
		})
	}
}

// Guards against cut answers that look whole: the upstream closes the connection in order in the middle of its body, and the
// system resets it since more of the upload comes.
func TestEndThatAResetFollowsDuringTheUploadIsNone(t *testing.T) {
	address := upstream(t, func(_ net.Listener, conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nhalf")
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	for _, returnsFirst := range []bool{false, true} {
		a := upload(t, address, false, func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialCrossed(ctx, network, address, returnsFirst)
		})
		require.False(t, a.Success(), "body %q", a.Body)
		require.Equal(t, slot.Broken, a.Result(t.Context()))
	}
}
