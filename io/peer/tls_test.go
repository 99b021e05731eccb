package peer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/vm"
	"mothcart/fake/ca"
	"mothcart/io/msgframe"
)

func issue(t *testing.T, a *ca.Authority, role, id string) *tls.Config {
	t.Helper()
	cert, err := a.Issue(role, id)
	require.NoError(t, err)
	cfg, err := cert.TLS(a)
	require.NoError(t, err)
	return cfg
}

func TestMutualTLS(t *testing.T) {
	a, err := ca.New(time.Now())
	require.NoError(t, err)
	dir := t.TempDir()
	authority, err := a.Write(dir)
	require.NoError(t, err)
	nodes := startNodes(t, 3, func(o Options) Options {
		cert, err := a.Issue(ca.RolePeer, o.Self.ID)
		require.NoError(t, err)
		certFile, keyFile, err := cert.Write(dir)
		require.NoError(t, err)
		cfg, err := LoadTLS(certFile, keyFile, authority)
		require.NoError(t, err)
		return o.WithTLS(cfg)
	})
	waitMembers(t, nodes, 3)
	answer, err := Call[echoAnswer](context.Background(), nodes[0], "e2", "test.echo", Bulk, echoRequest{Text: "a"})
	require.NoError(t, err)
	require.Equal(t, "e1", answer.From)
}

// validHello returns a hello that the node e1 accepts.
func validHello() hello {
	return hello{Protocol: protocolName, Version: protocolVersion, Class: Control, VM: vm.VM{ID: "x", Group: vm.EntryGroup}}
}

func mustEncode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := msgframe.Encode(v, 1<<20)
	require.NoError(t, err)
	return b
}

func TestBadConnectionsAreRefused(t *testing.T) {
	a, err := ca.New(time.Now())
	require.NoError(t, err)
	foreign, err := ca.New(time.Now())
	require.NoError(t, err)
	wrongVersion := validHello()
	wrongVersion.Version = protocolVersion + 1
	otherProtocol := validHello()
	otherProtocol.Protocol = "http"
	ownID := validHello()
	ownID.VM.ID = "e1"
	oversized := binary.BigEndian.AppendUint32(nil, 1<<30)
	secure := func(o Options) Options { return o.WithTLS(issue(t, a, ca.RolePeer, o.Self.ID)) }
	for _, tc := range []struct {
		name   string
		server func(o Options) Options
		// client is the TLS configuration of the other end; nil means plain TCP.
		client *tls.Config
		sends  []byte
	}{
		{name: "garbage for a hello", sends: []byte("GET / HTTP/1.1\r\n\r\n")},
		{name: "oversized hello", sends: oversized},
		{name: "empty frame", sends: make([]byte, msgframe.LengthBytes)},
		{name: "wrong version", sends: mustEncode(t, wrongVersion)},
		{name: "other protocol", sends: mustEncode(t, otherProtocol)},
		{name: "own ID", sends: mustEncode(t, ownID)},
		{name: "oversized frame", sends: append(mustEncode(t, validHello()), oversized...)},
		{name: "garbage frame", sends: append(mustEncode(t, validHello()), 0, 0, 0, 3, 0xc1, 0xc1, 0xc1)},
		{name: "array of 4 billion", sends: append(mustEncode(t, validHello()), 0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff)},
		{name: "unknown kind", sends: append(mustEncode(t, validHello()), mustEncode(t, frame{Kind: 99})...)},
		{name: "plain TCP to TLS", server: secure, sends: mustEncode(t, validHello())},
		{name: "no client certificate", server: secure, client: &tls.Config{RootCAs: issue(t, a, ca.RolePeer, "x").RootCAs}, sends: mustEncode(t, validHello())},
		{name: "certificate of a caller", server: secure, client: issue(t, a, ca.RoleCaller, "x"), sends: mustEncode(t, validHello())},
		{name: "certificate of another VM", server: secure, client: issue(t, a, ca.RolePeer, "y"), sends: mustEncode(t, validHello())},
		{name: "certificate of another authority", server: secure, client: issue(t, foreign, ca.RolePeer, "x"), sends: mustEncode(t, validHello())},
	} {
		t.Run(tc.name, func(t *testing.T) {
			node := startNodes(t, 1, tc.server)[0]
			var c net.Conn
			c, err := net.Dial("tcp", node.Self().Address)
			require.NoError(t, err)
			defer c.Close()
			if tc.client != nil {
				cfg := tc.client.Clone()
				cfg.ServerName = "e1"
				cfg.RootCAs = issue(t, a, ca.RolePeer, "x").RootCAs
				c = tls.Client(c, cfg)
			}
			_, _ = c.Write(tc.sends)
			eventually(t, func() bool { return node.metrics.refused.Count() == 1 }, "refusal")
			require.Len(t, node.View().VMs, 1)
			eventually(t, func() bool { return node.metrics.connections.Count() == 0 }, "connection closed")
		})
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, v := range []any{
		validHello(),
		frame{Kind: kindRequest, ID: 7, Method: "test.echo", TimeoutMillis: 100, Body: []byte{0x81, 0xa1, 't', 0xa1, 'a'}},
		frame{Kind: kindResponse, ID: 7, Code: CodeFailed, Body: []byte{0xa1, 'a'}},
		frame{Kind: kindHeartbeat},
	} {
		b, err := msgframe.Encode(v, 1<<20)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b[msgframe.LengthBytes:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if h, err := decodeHello(b); err == nil {
			again, err := decodeHello(mustEncode(t, h)[msgframe.LengthBytes:])
			require.NoError(t, err)
			require.Equal(t, h, again)
		}
		if d, err := decodeFrame(b); err == nil {
			again, err := decodeFrame(mustEncode(t, d)[msgframe.LengthBytes:])
			require.NoError(t, err)
			require.Equal(t, d.ID, again.ID)
		}
		if msgframe.CheckWellFormed(b) == nil {
			_, _ = decodeMember(b)
		}
	})
}
