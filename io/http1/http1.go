// Package http1 checks the connections on which clients read answers of HTTP/1.
//
// net/http takes some broken answers for sound ones. A line whose name ends in a blank is passed on, and if it is that of
// the length or of the chunks, the body is another one than the server's. The end of a connection ends an answer that has
// neither a length nor chunks, also where the connection was reset and the system has reported that to the goroutine that
// writes the request. Transport returns a transport on whose connections such an answer is a read error, so that no client
// sees it; the head is checked before any of its lines is used.
//
// Trailers aren't checked: they come after the last chunk, and no client reads them.
//
// Usage:
//
//	client := &http.Client{Transport: http1.Transport(&http.Transport{DisableKeepAlives: true})}
package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrHead means that the head of an answer breaks the rules of HTTP/1.
	ErrHead = merry.Sentinel("answer with a broken head")
	// ErrReset means that a connection was reset, although its reader found an end.
	ErrReset = merry.Sentinel("connection was reset during the request")
)

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport returns a copy of a transport that checks its connections. Where t keeps connections, its requests must have
// no body: the next write after an answer's head is taken for the next request.
func Transport(t *http.Transport) *http.Transport {
	return Counting(t, func(error) {})
}

// Counting is Transport that calls onFault with the first error of each connection, ErrHead or ErrReset. It must not
// block.
func Counting(t *http.Transport, onFault func(error)) *http.Transport {
	t = t.Clone()
	dial := dialFunc(t.DialContext)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	kept := !t.DisableKeepAlives
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err // as it is, for those who tell errors of dialing apart
		}
		return newConn(conn, kept, onFault), nil
	}
	cfg := t.TLSClientConfig
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialTLS(ctx, dial, cfg, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(conn, kept, onFault), nil
	}
	return t
}

// dialTLS opens a connection with TLS; the name of the server is the host of the address if cfg has none.
func dialTLS(ctx context.Context, dial dialFunc, cfg *tls.Config, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			_ = conn.Close() // the address is wrong in any case
			return nil, merry.Errorf("split %s: %w", address, err)
		}
		cfg = cfg.Clone()
		cfg.ServerName = host
	}
	secure := tls.Client(conn, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // the handshake has failed in any case
		return nil, merry.Errorf("TLS handshake with %s: %w", address, err)
	}
	return secure, nil
}
