package store

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// serveTwice answers each request of a connection after 10 ms, and writes the answer once more after delay. Objects hold
// their key at version 7; writes of the key "busy" are refused.
func serveTwice(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return // the client has closed the connection
		}
		_, _ = io.Copy(io.Discard, req.Body) // fails if the connection is closed, as the next read does
		time.Sleep(10 * time.Millisecond)
		key, status := strings.TrimPrefix(req.URL.Path, ObjectsPath), "200 OK"
		if key == "busy" {
			status = "503 Busy"
		}
		if key == "" {
			key = fmt.Sprintf(`[{"key":%q,"version":1}]`, req.URL.Query().Get(ParamPrefix))
		}
		answer := fmt.Sprintf("HTTP/1.1 %s\r\nETag: %s\r\nContent-Length: %d\r\n\r\n%s", status, ETag(7), len(key), key)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		go func() {
			time.Sleep(delay)
			_, _ = io.WriteString(conn, answer) // the client may have closed the connection
		}()
	}
}

// Guards against an earlier answer of the object service that is taken for that of the next call: another object, a write
// that counts as done, or one that counts as refused.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 15 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &http.Transport{MaxIdleConnsPerHost: 16, DialContext: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go serveTwice(far, delay)
					return near, nil
				}}
				defer time.Sleep(time.Minute) // ends what waits to be written
				defer transport.CloseIdleConnections()
				c := NewHTTP("http://store:80", &http.Client{Transport: transport})
				for i := range 6 {
					key := fmt.Sprint("key", i)
					o, err := c.Get(t.Context(), key)
					require.NoError(t, err)
					require.Equal(t, key, string(o.Value))
					_, err = c.Put(t.Context(), "busy", []byte("v"), 7)
					require.ErrorIs(t, err, ErrUnavailable)
					_, err = c.Put(t.Context(), key, []byte("v"), 7)
					require.NoError(t, err)
					listed, err := c.List(t.Context(), key, "", 10)
					require.NoError(t, err)
					require.Equal(t, key, listed[0].Key)
					o, err = c.Watch(t.Context(), key, 6, time.Second)
					require.NoError(t, err)
					require.Equal(t, key, string(o.Value))
				}
			})
		})
	}
}
