package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/config"
	"mothcart/core/publication"
	fakestore "mothcart/fake/store"
	"mothcart/io/published"
)

// A name in OperatorHeader must not be accepted in place of a client certificate on a port with TLS.
func TestOperatorIsIdentifiedByCertificate(t *testing.T) {
	s := fakestore.New(fakestore.NewOptions())
	f := published.New(published.Options{Self: "e1", Store: s.Client()})
	t.Cleanup(f.Close)
	chain := func(name string) *tls.ConnectionState {
		cert := &x509.Certificate{Subject: pkix.Name{CommonName: name}}
		return &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{cert}}}
	}
	allow := func(name string) bool { return name == "abebe" }
	for _, tc := range []struct {
		name   string
		plain  bool
		tls    *tls.ConnectionState
		header string
		want   int
	}{
		{"certificate", false, chain("abebe"), "", http.StatusOK},
		{"certificate wins over header", true, chain("eve"), "abebe", http.StatusForbidden},
		{"TLS without certificate", true, &tls.ConnectionState{}, "abebe", http.StatusUnauthorized},
		{"header on a plain port", true, nil, "abebe", http.StatusOK},
		{"header without the plain option", false, nil, "abebe", http.StatusUnauthorized},
		{"plain without header", true, nil, "", http.StatusUnauthorized},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := NewHandler(NewOptions(f).WithPlain(tc.plain).WithAllow(allow))
			r := httptest.NewRequest(http.MethodGet, PathConfiguration, nil)
			r.TLS = tc.tls
			r.Header.Set(OperatorHeader, tc.header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			assert.Equal(t, tc.want, w.Code, w.Body.String())
		})
	}
}

// An operator must be able to tell a set with problems, which is refused, from one that was not published
// because the object service is unreachable.
func TestApplyDistinguishesRefusedFromUnavailable(t *testing.T) {
	s := fakestore.New(fakestore.NewOptions())
	f := published.New(published.Options{Self: "e1", Store: s.Client()})
	t.Cleanup(f.Close)
	now := time.Date(2026, 11, 3, 8, 0, 0, 0, time.UTC)
	opts := NewOptions(f).WithPlain(true).WithNow(func() time.Time { return now })
	server := httptest.NewServer(NewHandler(opts))
	t.Cleanup(server.Close)
	ctx := context.Background()
	c := NewClient(server.URL, server.Client()).WithOperator("abebe")

	result, err := c.Apply(ctx, config.Set{Models: []config.Model{{Name: "m", Service: "s", Version: "1"}}}, nil)
	require.NoError(t, err)
	assert.Equal(t, publication.OutcomeRefused, result.Outcome)
	require.Len(t, result.Problems, 1)
	assert.Equal(t, "model m: service: no service is called s", result.Problems[0].String())

	teams := config.Set{Teams: []config.Team{{Name: "b"}, {Name: "a"}}}
	result, err = c.Apply(ctx, teams, nil)
	require.NoError(t, err)
	assert.EqualValues(t, 1, result.Generation)
	entries, partial, err := c.Audit(ctx, 10, true)
	require.NoError(t, err)
	assert.Empty(t, partial)
	require.Len(t, entries, 2)
	assert.True(t, now.Equal(entries[0].At))
	assert.Equal(t, "abebe", entries[0].Operator)
	status, err := c.Status(ctx)
	require.NoError(t, err)
	n, of := status.InForce(1)
	assert.Equal(t, [3]uint64{1, 1, 1}, [3]uint64{status.Accepted, uint64(n), uint64(of)})

	s.SetOutage(true)
	_, err = c.Apply(ctx, config.Set{}, nil)
	require.ErrorContains(t, err, "answer 503: ")
	require.ErrorContains(t, err, "not published: the object service is unavailable")
	resp, err := http.Post(server.URL+PathConfiguration, "application/json", strings.NewReader(`{"sett":{}}`))
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, http.StatusUnauthorized, resp.StatusCode)
}
