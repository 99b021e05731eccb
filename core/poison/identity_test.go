package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against copies of a request that aren't recognized, and against other requests that are taken for copies.
func TestIdentityIsThatOfCallerPathAndBody(t *testing.T) {
	base := NewIdentity("caller", "POST", "host", "/path?page=1", []byte("body"))
	require.NotZero(t, base)
	require.Equal(t, base, NewIdentity("caller", "POST", "host", "/path?page=1", []byte("body")))
	for _, tc := range []struct {
		name  string
		other Identity
	}{
		{"caller", NewIdentity("another", "POST", "host", "/path?page=1", []byte("body"))},
		{"method", NewIdentity("caller", "PUT", "host", "/path?page=1", []byte("body"))},
		{"host", NewIdentity("caller", "POST", "another", "/path?page=1", []byte("body"))},
		{"query", NewIdentity("caller", "POST", "host", "/path?page=2", []byte("body"))},
		{"body", NewIdentity("caller", "POST", "host", "/path?page=1", []byte("another"))},
		{"no body", NewIdentity("caller", "POST", "host", "/path?page=1", nil)},
		{"where a field ends", NewIdentity("caller", "POST", "host/path", "?page=1", []byte("body"))},
		{"where the body begins", NewIdentity("caller", "POST", "host", "/path", []byte("?page=1body"))},
	} {
		require.NotEqual(t, base, tc.other, tc.name)
	}
}

// Guards against a hash that differs between nodes of two releases.
func TestIdentityIsTheSameInEachRelease(t *testing.T) {
	require.Equal(t, "4ed07c2e54da09c5", NewIdentity("caller", "POST", "host", "/path", []byte("body")).String())
}
