package serve_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/vm"
	"mothcart/fake/ca"
	"mothcart/fake/store"
	"mothcart/fake/vmlist"
	"mothcart/io/serve"
	"mothcart/io/settings"
)

// tlsSite is a site of two VMs with TLS on every port.
type tlsSite struct {
	authority *ca.Authority
	dir       string
	servers   []*serve.Server
}

func startTLSSite(t *testing.T) *tlsSite {
	authority, err := ca.New(time.Now())
	require.NoError(t, err)
	s := &tlsSite{authority: authority, dir: t.TempDir()}
	caFile, err := authority.Write(s.dir)
	require.NoError(t, err)
	objects, list := store.New(store.NewOptions()), vmlist.New()
	var vms []vm.VM
	for i := range 2 {
		id := fmt.Sprintf("entry%d", i)
		var text strings.Builder
		fmt.Fprintf(&text, "[vm]\nid = %s\n[listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n", id)
		text.WriteString("[platform]\nstore = http://127.0.0.1:1\nvmList = http://127.0.0.1:1\n[tls]\n")
		for _, role := range []string{ca.RoleCaller, ca.RoleOperator, ca.RolePeer} {
			name := id
			if role != ca.RolePeer {
				name = id + "-" + role
			}
			cert, err := authority.Issue(role, name)
			require.NoError(t, err)
			certFile, keyFile, err := cert.Write(s.dir)
			require.NoError(t, err)
			fmt.Fprintf(&text, "%sCert = %s\n%sKey = %s\n", role, certFile, role, keyFile)
		}
		fmt.Fprintf(&text, "operatorCA = %s\npeerCA = %s\n", caFile, caFile)
		cfg, err := settings.Parse("test", []byte(text.String()))
		require.NoError(t, err)
		server, err := serve.New(serve.NewOptions(cfg, zerolog.Nop()).WithSignals(false).WithPlatform(objects.Client(), list.Client(id)))
		require.NoError(t, err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Run(context.Background())
		}()
		t.Cleanup(func() {
			server.Kill()
			<-done
		})
		s.servers = append(s.servers, server)
		vms = append(vms, server.VM())
	}
	list.Set(vms)
	return s
}

// client returns a client that trusts the authority, and presents cert unless it is nil.
func (s *tlsSite) client(t *testing.T, cert *ca.Certificate) *http.Client {
	c, err := s.authority.Issue(ca.RoleCaller, "nobody")
	require.NoError(t, err)
	cfg, err := c.TLS(s.authority)
	require.NoError(t, err)
	cfg.Certificates = nil
	if cert != nil {
		pair, err := tls.X509KeyPair(cert.CertPEM, cert.KeyPEM)
		require.NoError(t, err)
		cfg.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}, Timeout: waitTimeout}
}

// Peers and operators must present a certificate of their authority; callers need only an API key.
func TestPortsUnderTLS(t *testing.T) {
	s := startTLSSite(t)
	require.Eventually(t, func() bool { return s.servers[0].Members() == 2 && s.servers[1].Members() == 2 }, waitTimeout, 10*time.Millisecond,
		"peers find each other over mutual TLS")

	operator, err := s.authority.Issue(ca.RoleOperator, "abebe")
	require.NoError(t, err)
	resp, err := s.client(t, &operator).Get("https://" + s.servers[0].OperatorAddress() + "/v1/configuration")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, http.StatusOK, resp.StatusCode)

	_, err = s.client(t, nil).Get("https://" + s.servers[0].OperatorAddress() + "/healthz")
	require.Error(t, err, "the operators' port requires a client certificate")

	resp, err = s.client(t, nil).Get("https://" + s.servers[0].CallerAddress() + "/v1/models")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, http.StatusUnauthorized, resp.StatusCode, "callers need a key, not a certificate")
}

// A certificate that is renewed on disk is presented to callers without a restart.
func TestCallerCertificateIsReloaded(t *testing.T) {
	s := startTLSSite(t)
	serial := func() string {
		resp, err := s.client(t, nil).Get("https://" + s.servers[0].CallerAddress() + "/v1/models")
		if err != nil {
			return ""
		}
		resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.String()
	}
	before := serial()
	renewed, err := s.authority.Issue(ca.RoleCaller, "entry0-caller")
	require.NoError(t, err)
	_, _, err = renewed.Write(s.dir)
	require.NoError(t, err)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(filepath.Join(s.dir, "entry0-caller.cert.pem"), later, later))
	require.Eventually(t, func() bool { return serial() != before }, waitTimeout, 50*time.Millisecond)
}
