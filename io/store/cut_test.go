package store

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against writes that count as done, or as refused, and against objects that are read, when the object service stops
// inside the head of its answer: after each byte.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found", "412 Precondition Failed", "503 Busy"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				head := "HTTP/1.1 " + status + "\r\nETag: " + ETag(7) + "\r\nContent-Length: 0\r\n\r\n"
				sent := ""
				transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						req, err := http.ReadRequest(bufio.NewReader(far))
						if err != nil {
							return // the client has closed the connection
						}
						_, _ = io.Copy(io.Discard, req.Body) // fails if the connection is closed, as the write does
						_, _ = io.WriteString(far, sent)
					}()
					return near, nil
				}}
				c := NewHTTP("http://store:80", &http.Client{Transport: transport})
				for n := range head {
					sent = head[:n]
					_, err := c.Get(t.Context(), "k")
					require.ErrorIs(t, err, ErrUnavailable, "%q", sent)
					require.NotErrorIs(t, err, ErrNotFound, "%q", sent)
					_, err = c.Put(t.Context(), "k", []byte("v"), 7)
					require.ErrorIs(t, err, ErrUnknown, "%q", sent)
					require.NotErrorIs(t, err, ErrUnavailable, "%q", sent)
					require.ErrorIs(t, c.Delete(t.Context(), "k", 7), ErrUnknown, "%q", sent)
				}
				time.Sleep(time.Minute) // ends the connections
			})
		})
	}
}
