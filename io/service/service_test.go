package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Method, escaped path, query, headers, body and status must pass unchanged, without hop-by-hop headers.
func TestForwardsCall(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Empty(t, r.Header.Get("X-Hop"))
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("X-Mine")+" "+string(body))
		w.WriteHeader(http.StatusTeapot)
	}))
	defer server.Close()
	c := New(NewOptions())
	defer c.Close()
	answer, err := c.Do(context.Background(), Call{
		Address: server.Listener.Addr().String(), Method: "PUT", Path: "/a%2Fb?q=1",
		Header: http.Header{"X-Mine": {"yes"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}, Body: []byte("body"), RequestID: "r1",
	})
	require.NoError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, http.StatusTeapot, answer.Status)
	assert.Equal(t, "PUT /a%2Fb?q=1 yes body", answer.Header.Get("X-Seen"))
}

// When a server reads a request and closes the keep-alive connection without an answer, the transport must not
// send the request again, although the method and an Idempotency-Key would allow it to.
func TestTransportNeverRepeats(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var second atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveUntilSecond(conn, &second)
		}
	}()
	c := New(NewOptions())
	defer c.Close()
	call := Call{Address: listener.Addr().String(), Method: "GET", Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}, RequestID: "r"}
	answer, err := c.Do(context.Background(), call)
	require.NoError(t, err)
	_, _ = io.ReadAll(answer.Body)
	answer.Body.Close()
	call.RequestID = "second"
	_, err = c.Do(context.Background(), call)
	var failure *Failure
	require.ErrorAs(t, err, &failure)
	assert.True(t, failure.Sent)
	assert.Equal(t, int32(1), second.Load())
}

// serveUntilSecond answers the requests of a connection until one with the ID "second"; it counts that
// one and closes the connection.
func serveUntilSecond(conn net.Conn, second *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Header.Get(NewOptions().RequestIDHeader) == "second" {
			second.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}
