package http1

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// answering returns the address of a server that answers the requests of a connection with the answers, in order, and then
// closes it. With cfg it uses TLS.
func answering(t *testing.T, cfg *tls.Config, answers ...string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for _, answer := range answers {
					if _, err := http.ReadRequest(r); err != nil {
						return // the client has closed the connection
					}
					_, _ = io.WriteString(conn, answer) // the client may have closed the connection
				}
			}()
		}
	}()
	return l.Addr().String()
}

// get returns the body that a client gets.
func get(c *http.Client, url string) (string, error) {
	resp, err := c.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const (
	soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	blankInName = "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 5\r\n\r\nwhole"
	// headInBody is a sound answer whose body looks like a broken head.
	headInBody = "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n\r\n\r\nHTTP/9.9 000 Odd\r\nX Odd: 1\r\n\r\n"
)

// Guards against a later answer on a connection that is not checked, and against bodies that are taken for heads.
func TestEachAnswerOfAKeptConnectionIsChecked(t *testing.T) {
	address := answering(t, nil, headInBody, "HTTP/1.1 103 Early\r\n\r\n"+headInBody, blankInName)
	var faults []error
	c := &http.Client{Transport: Counting(&http.Transport{}, func(err error) { faults = append(faults, err) })}
	defer c.CloseIdleConnections()
	for range 2 {
		body, err := get(c, "http://"+address)
		require.NoError(t, err)
		require.Len(t, body, 34)
	}
	require.Empty(t, faults)
	_, err := get(c, "http://"+address)
	require.NoError(t, err, "net/http sends a GET once more, on another connection")
	require.Len(t, faults, 1)
	require.ErrorIs(t, faults[0], ErrHead)
	require.ErrorContains(t, faults[0], `"X Odd"`)
}

// Guards against answers over TLS that are not checked, and against certificates that are not.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	cfg := &tls.Config{Certificates: server.TLS.Certificates, MinVersion: tls.VersionTLS12}
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	trusting := &http.Client{Transport: Transport(&http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}})}
	body, err := get(trusting, "https://"+answering(t, cfg, soundAnswer))
	require.NoError(t, err)
	require.Equal(t, "whole", body)
	_, err = get(trusting, "https://"+answering(t, cfg, blankInName))
	require.ErrorIs(t, err, ErrHead)
	_, err = get(trusting, strings.Replace("https://"+answering(t, cfg, soundAnswer), "127.0.0.1", "localhost", 1))
	require.Error(t, err, "the certificate is that of another name")
	strict := &http.Client{Transport: Transport(&http.Transport{DisableKeepAlives: true})}
	_, err = get(strict, "https://"+answering(t, cfg, soundAnswer))
	require.Error(t, err, "the certificate is nobody's")
}

// Guards against lines that are checked in parts, wherever the reads split a head.
func TestHeadInPieces(t *testing.T) {
	for _, tc := range []struct {
		answer string
		broken bool
	}{
		{headInBody, false},
		{"HTTP/1.0 100 Continue\n\nHTTP/1.1 200 OK\nA: b\n\nX Odd: 1\n", false},
		{blankInName, true},
		{"HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n" + soundAnswer, true},
	} {
		for size := 1; size <= len(tc.answer); size++ {
			var h head
			var err error
			for rest := tc.answer; rest != "" && err == nil; {
				n := min(size, len(rest))
				err = h.add([]byte(rest[:n]))
				rest = rest[n:]
			}
			require.Equal(t, tc.broken, errors.Is(err, ErrHead), "%q in pieces of %d: %v", tc.answer, size, err)
		}
	}
}

// Guards against bytes of a broken head that are read after the error.
func TestBrokenHeadStaysBroken(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n")
		_, _ = io.WriteString(far, "\r\nbody")
		_ = far.Close()
	}()
	c := newConn(near, false, func(error) {})
	for range 2 {
		n, err := c.Read(make([]byte, 100))
		require.Zero(t, n)
		require.ErrorIs(t, err, ErrHead)
	}
}

// failing is a connection whose writes fail and whose reads find an end.
type failing struct {
	net.Conn
	err error
}

// Write implements io.Writer.
func (c failing) Write([]byte) (int, error) { return 0, c.err }

// Read implements io.Reader.
func (failing) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against ends that count as resets, and resets that count as ends, where the state of the socket isn't known.
func TestEndAfterAFailedWrite(t *testing.T) {
	for _, tc := range []struct {
		name  string
		write error
		read  error
	}{
		{"reset", &net.OpError{Op: "write", Err: syscall.ECONNRESET}, ErrReset},
		{"no acknowledgement in time", &net.OpError{Op: "write", Err: syscall.ETIMEDOUT}, ErrReset},
		{"reset after an end in order", &net.OpError{Op: "write", Err: syscall.EPIPE}, ErrReset},
		{"closed pipe", io.ErrClosedPipe, io.EOF},
		{"none", nil, io.EOF},
	} {
		faults := 0
		c := newConn(failing{err: tc.write}, false, func(error) { faults++ })
		_, err := c.Write([]byte("upload"))
		require.Equal(t, tc.write, err, tc.name)
		_, err = c.Read(make([]byte, 1))
		require.Equal(t, tc.read, err, tc.name)
		_, err = io.ReadAll(iotest.OneByteReader(c))
		require.Equal(t, tc.read == io.EOF, err == nil, "%s, read again", tc.name)
		require.Equal(t, tc.read == ErrReset, faults == 1, tc.name)
	}
}

// Guards against whole answers that count as cut: a server resets the connection after it has ended it in order, when the
// request has been written.
func TestResetAfterAnEndInOrder(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	far, err := l.Accept()
	require.NoError(t, err)
	c := newConn(near, false, func(error) {})
	_, err = io.WriteString(c, "request")
	require.NoError(t, err)
	_, err = io.ReadFull(far, make([]byte, len("request")))
	require.NoError(t, err)
	_, err = io.WriteString(far, soundAnswer)
	require.NoError(t, err)
	require.NoError(t, far.(*net.TCPConn).CloseWrite())
	require.NoError(t, far.(*net.TCPConn).SetLinger(0))
	require.NoError(t, far.Close())
	require.Eventually(t, c.isClosed, 10*time.Second, time.Millisecond, "the reset has arrived")
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, soundAnswer, string(got))
}
