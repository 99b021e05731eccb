package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/config"
)

// A request that is refused before it reaches a model writes exactly one log line, with the request ID
// that the caller got.
func TestEachRefusalIsLogged(t *testing.T) {
	snapshot := config.NewSnapshot(7, config.Set{Accounts: []config.Account{{Name: "a", Team: "t", KeyHash: HashKey("k")}}})
	for _, tc := range []struct {
		name, path, key, code string
		inFlight              int
		allow                 bool
		status                int
	}{
		{"unknown key", "/v1/models", "other", "invalid_api_key", 1, true, http.StatusUnauthorized},
		{"account limit", "/v1/models", "k", "rate_limit_exceeded", 1, false, http.StatusTooManyRequests},
		{"unknown path", "/v2", "k", "unknown_url", 1, true, http.StatusNotFound},
		{"too many requests in flight", "/v1/models", "k", "vm_overloaded", 0, true, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			opts := NewOptions(nil).WithSnapshot(func() *config.Snapshot { return snapshot }).WithLog(zerolog.New(&out)).
				WithAllow(func(context.Context, config.Account) (time.Duration, bool) { return 1500 * time.Millisecond, tc.allow })
			opts.MaxInFlight = tc.inFlight
			r := httptest.NewRequest(http.MethodGet, tc.path, nil)
			r.Header.Set("Authorization", "Bearer "+tc.key)
			w := httptest.NewRecorder()
			New(opts).ServeHTTP(w, r)
			require.Equal(t, tc.status, w.Code)
			var line map[string]any
			require.NoError(t, json.Unmarshal(out.Bytes(), &line), "one line")
			assert.Equal(t, "requestRefused", line["message"])
			assert.Equal(t, w.Header().Get(requestIDHeader), line["request"])
			assert.Equal(t, tc.code, line["code"])
			assert.Equal(t, "no", line["ran"])
			assert.InDelta(t, 7, line["configuration"], 0)
		})
	}
}
