package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// serveTwice answers each request of a connection after 10 ms with its ID, and writes the answer once more after delay.
// Requests of which refuse is true are answered 503.
func serveTwice(conn net.Conn, named bool, delay time.Duration, refuse func(id string) bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return // the client has closed the connection
		}
		time.Sleep(10 * time.Millisecond)
		id := req.Header.Get(NewOptions().RequestIDHeader)
		answer := "HTTP/1.1 200 OK\r\n"
		if refuse(id) {
			answer = "HTTP/1.1 503 Full\r\n"
		}
		if named {
			answer += NewOptions().RequestIDHeader + ": " + id + "\r\n"
		}
		answer += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		go func() {
			time.Sleep(delay)
			_, _ = io.WriteString(conn, answer) // the client may have closed the connection
		}()
	}
}

// requireOwnAnswers makes some calls, of which the first is refused, and requires that each gets its own answer.
func requireOwnAnswers(t *testing.T, c *Client) {
	for i := range 8 {
		id, want := fmt.Sprint("r", i), http.StatusOK
		if i == 0 {
			want = http.StatusServiceUnavailable
		}
		a, err := c.Do(t.Context(), Call{Address: "s:80", Method: http.MethodPost, Path: "/", RequestID: id})
		require.NoError(t, err)
		b, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		require.Equal(t, want, a.Status)
		require.Equal(t, id, string(b))
	}
}

// Guards against an earlier answer, or refusal, that is taken for the answer to the next call.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for _, named := range []bool{true, false} {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 15 * time.Millisecond} {
			t.Run(fmt.Sprintf("named=%v, %v", named, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := New(NewOptions().WithDial(func(context.Context, string, string) (net.Conn, error) {
						near, far := net.Pipe()
						go serveTwice(far, named, delay, func(id string) bool { return id == "r0" })
						return near, nil
					}))
					defer time.Sleep(time.Minute) // ends what waits to be written
					defer c.Close()
					requireOwnAnswers(t, c)
				})
			})
		}
	}
}

// Guards against answers that are cut in their head, and look like short or empty ones.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Last: value\r\n\r\n"
	synctest.Test(t, func(t *testing.T) {
		for n := range len(head) {
			c := New(NewOptions().WithDial(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
						_, _ = io.WriteString(far, head[:n])
					}
				}()
				return near, nil
			}))
			_, err := c.Do(t.Context(), Call{Address: "s:80", Method: http.MethodPost, Path: "/", RequestID: "r1"})
			var failure *Failure
			require.ErrorAs(t, err, &failure, "%q", head[:n])
			require.True(t, failure.Sent)
			c.Close()
		}
	})
}
