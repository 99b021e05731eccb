package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"mothcart/io/msgframe"
)

// repeatingConn delivers each frame after the hello twice, the second time before the next one and once more after it.
type repeatingConn struct {
	net.Conn
	r        *io.PipeReader
	repeated *atomic.Int32
}

func newRepeatingConn(raw net.Conn, repeated *atomic.Int32) repeatingConn {
	r, w := io.Pipe()
	go func() {
		var earlier []byte
		for hello := true; ; hello = false {
			frame, err := readRaw(raw)
			if err != nil {
				_ = w.CloseWithError(err)
				return
			}
			out := frame
			if !hello {
				out = append(append(append([]byte{}, earlier...), frame...), earlier...)
				earlier = frame
				repeated.Add(1)
			}
			if _, err := w.Write(out); err != nil {
				return // the connection was closed
			}
		}
	}()
	return repeatingConn{raw, r, repeated}
}

// readRaw reads the bytes of one frame with its length.
func readRaw(r io.Reader) ([]byte, error) {
	b := make([]byte, msgframe.LengthBytes)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	b = append(b, make([]byte, binary.BigEndian.Uint32(b))...)
	_, err := io.ReadFull(r, b[msgframe.LengthBytes:])
	return b, err
}

// Read implements io.Reader.
func (c repeatingConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// Close implements net.Conn.
func (c repeatingConn) Close() error {
	_ = c.r.Close()
	return c.Conn.Close()
}

// Guards against an earlier answer, or failure, that is taken for the answer to a later call.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	var repeated atomic.Int32
	nodes := startNodes(t, 2, func(o Options) Options {
		o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newRepeatingConn(raw, &repeated), nil
		}
		return o
	})
	Handle(nodes[1], "test.fail", func(context.Context, string, echoRequest) (echoAnswer, error) {
		return echoAnswer{}, &RemoteError{Code: "full"}
	})
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	for i := range 20 {
		text := string(rune('a' + i))
		answer, err := Call[echoAnswer](ctx, nodes[0], "e2", "test.echo", Control, echoRequest{Text: text})
		require.NoError(t, err)
		require.Equal(t, text, answer.Text)
		_, err = Call[echoAnswer](ctx, nodes[0], "e2", "test.fail", Control, echoRequest{Text: text})
		var re *RemoteError
		require.ErrorAs(t, err, &re)
	}
	require.Positive(t, repeated.Load())
}
