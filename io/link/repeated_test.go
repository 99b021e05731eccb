package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/msgframe"
)

// rawFrame returns the bytes of a frame.
func rawFrame(t *testing.T, k kind, id uint64, v any) []byte {
	body, err := msgframe.EncodeBody(v)
	require.NoError(t, err)
	b, err := msgframe.Encode(frame{Kind: k, ID: id, Body: body}, maxFrame)
	require.NoError(t, err)
	return b
}

// dialRaw returns a connection whose other side answers each call with the bytes that answer returns, and then closes if
// there are fewer than it should send.
func dialRaw(t *testing.T, answer func(id uint64) (b []byte, closes bool)) *Conn {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		r := bufio.NewReader(far)
		for {
			b, err := msgframe.ReadBytes(r, maxFrame)
			if err != nil {
				return // the connection was closed
			}
			var f frame
			if msgframe.Decode(b, &f) != nil || f.Kind != kindCall {
				continue
			}
			b, closes := answer(f.ID)
			if _, err := far.Write(b); err != nil || closes {
				return
			}
		}
	}()
	c, err := Dial(t.Context(), func(context.Context, string, string) (net.Conn, error) { return near, nil }, "n:1", Options{Handle: func(*Conn, Incoming) {}})
	require.NoError(t, err)
	return c
}

// Guards against an earlier answer, or failure, that is taken for the answer to a later call.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var earlier []byte
		c := dialRaw(t, func(id uint64) ([]byte, bool) {
			own := rawFrame(t, kindAnswer, id, fmt.Sprint("answer ", id))
			if id%2 == 1 {
				own = rawFrame(t, kindFailure, id, "full")
			}
			out := append(append([]byte{}, earlier...), rawFrame(t, kindFailure, 0, "of no call")...)
			out = append(append(out, rawFrame(t, kindAnswer, 99, "of a call to come")...), own...)
			earlier = append(own, own...)
			return append(out, earlier...), false
		})
		defer c.Close()
		for id := 1; id <= 6; id++ {
			var got string
			err := c.Call(t.Context(), "m", 1, &got)
			if id%2 == 1 {
				require.ErrorIs(t, err, ErrRemote)
				continue
			}
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("answer ", id), got)
		}
	})
}

// Guards against an answer that is cut and taken for a whole one, or for a failure of the other side.
func TestCutAnswerIsNone(t *testing.T) {
	for _, k := range []kind{kindAnswer, kindFailure} {
		whole := rawFrame(t, k, 1, "not run")
		synctest.Test(t, func(t *testing.T) {
			for n := range whole {
				c := dialRaw(t, func(uint64) ([]byte, bool) { return whole[:n], true })
				got := ""
				err := c.Call(t.Context(), "m", 1, &got)
				require.ErrorIs(t, err, ErrClosed, "after %d bytes", n)
				require.NotErrorIs(t, err, ErrRemote)
				require.Empty(t, got)
				c.Close()
			}
			time.Sleep(time.Second) // ends the connections
		})
	}
}
