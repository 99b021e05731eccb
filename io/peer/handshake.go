package peer

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"time"

	"mothcart/io/msgframe"

	"github.com/ansel1/merry/v2"
)

// CertificateRole is the organizational unit in the certificates of nodes; certificates of callers
// and operators have other units.
const CertificateRole = "peer"

// handshaker opens connections: TCP, TLS when configured, and the hello in both directions.
type handshaker struct {
	opts    Options
	address func(id string) (string, bool)
}

// dial connects to the VM of key and checks that the peer that answers is that VM.
func (h *handshaker) dial(ctx context.Context, key linkKey) (net.Conn, error) {
	address, ok := h.address(key.peer)
	if !ok {
		return nil, merry.Errorf("no address of VM %s", key.peer)
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.DialTimeout)
	defer cancel()
	raw, err := h.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Errorf("connect: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	c, err := h.clientHandshake(ctx, raw, key)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

func (h *handshaker) clientHandshake(ctx context.Context, raw net.Conn, key linkKey) (net.Conn, error) {
	_ = raw.SetDeadline(time.Now().Add(h.opts.DialTimeout))
	c := raw
	if h.opts.TLS != nil {
		cfg := h.opts.TLS.Clone()
		cfg.ServerName = key.peer
		tc := tls.Client(raw, cfg)
		if err := tc.HandshakeContext(ctx); err != nil {
			return nil, merry.Errorf("TLS handshake: %w", err)
		}
		if err := checkCertificate(tc, key.peer); err != nil {
			return nil, err
		}
		c = tc
	}
	if err := h.sendHello(c, key.class); err != nil {
		return nil, err
	}
	remote, err := h.readHello(c)
	if err != nil {
		return nil, err
	}
	if remote.VM.ID != key.peer || remote.Class != key.class {
		return nil, merry.Errorf("VM %s answers for %s: %w", remote.VM.ID, key.peer, msgframe.ErrProtocol)
	}
	return c, c.SetDeadline(time.Time{})
}

// accept performs the server side of the handshake; it returns the connection to use and the peer's hello.
func (h *handshaker) accept(ctx context.Context, raw net.Conn) (net.Conn, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.DialTimeout)
	defer cancel()
	_ = raw.SetDeadline(time.Now().Add(h.opts.DialTimeout))
	c := raw
	var tc *tls.Conn
	if h.opts.TLS != nil {
		cfg := h.opts.TLS.Clone()
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		tc = tls.Server(raw, cfg)
		if err := tc.HandshakeContext(ctx); err != nil {
			return nil, hello{}, merry.Errorf("TLS handshake: %w", err)
		}
		c = tc
	}
	remote, err := h.readHello(c)
	if err != nil {
		// This node's hello tells a peer of another version why the connection ends.
		_ = h.sendHello(c, Control)
		return nil, hello{}, err
	}
	if tc != nil {
		if err := checkCertificate(tc, remote.VM.ID); err != nil {
			return nil, hello{}, err
		}
	}
	if remote.VM.ID == h.opts.Self.ID {
		return nil, hello{}, merry.Errorf("hello with the ID of this node itself: %w", msgframe.ErrProtocol)
	}
	if err := h.sendHello(c, remote.Class); err != nil {
		return nil, hello{}, err
	}
	return c, remote, c.SetDeadline(time.Time{})
}

func (h *handshaker) sendHello(c net.Conn, class Class) error {
	b, err := msgframe.Encode(hello{Protocol: protocolName, Version: protocolVersion, Class: class, VM: h.opts.Self}, maxHelloFrame)
	if err != nil {
		return err
	}
	if _, err := c.Write(b); err != nil {
		return merry.Errorf("send hello: %w", err)
	}
	return nil
}

func (h *handshaker) readHello(c net.Conn) (hello, error) {
	b, err := msgframe.ReadBytes(c, maxHelloFrame)
	if err != nil {
		return hello{}, merry.Errorf("read hello: %w", err)
	}
	return decodeHello(b)
}

// checkCertificate checks that the verified certificate of the other end is for peers and that its common
// name is id.
func checkCertificate(c *tls.Conn, id string) error {
	subject := c.ConnectionState().PeerCertificates[0].Subject
	if !slices.Contains(subject.OrganizationalUnit, CertificateRole) {
		return merry.Errorf("certificate of %s is not for peers: %w", subject.CommonName, msgframe.ErrProtocol)
	}
	if subject.CommonName != id {
		return merry.Errorf("certificate of %s used by VM %s: %w", subject.CommonName, id, msgframe.ErrProtocol)
	}
	return nil
}
