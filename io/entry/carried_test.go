package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/io/carrier"
)

// Guards against a refusal of an entry that carries a request and that the other entry can't tell from an upstream's answer.
func TestOwnRefusalOfACarrierIsMarked(t *testing.T) {
	accounts, problems := site.NewAccounts(nil)
	require.Empty(t, problems)
	h := New(Options{
		Codec: Codec{
			RequestID: func(http.Header) string { return "r1" }, ParseCall: func(*http.Request) Call { return Call{Kind: NoJobCall} },
			Resumes: func(http.Header) string { return "" }, TakeKey: func(http.Header) (string, bool) { return "", true },
			CarriedAccount: func(http.Header) (string, bool) { return "", false },
		},
		Now: time.Now, Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
	})
	h.SetConfig(site.NewConfig(1, []site.Route{{Name: "page", Kind: site.Idempotent, Host: "a.example"}}, nil, site.Limits{}).WithAccounts(accounts))
	for _, tc := range []struct {
		host   string
		status int
	}{{"b.example", http.StatusNotFound}, {"a.example", http.StatusUnauthorized}} {
		for want, serve := range map[string]http.HandlerFunc{"1": h.ServeCarried, "": h.ServeHTTP} {
			w := httptest.NewRecorder()
			serve(w, httptest.NewRequest(http.MethodPost, "http://"+tc.host+"/", nil))
			require.Equal(t, tc.status, w.Code)
			require.Equal(t, want, w.Header().Get(carrier.HeaderNotSent), "status %d", w.Code)
		}
	}
}
