package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/config"
	"mothcart/core/vm"
	"mothcart/io/engine"
	"mothcart/io/upstream"
)

// Guards against a stream that looks complete though every upstream has failed, and against the text of an upstream's error
// in it.
func TestStreamThatCantGoOnDoesNotLookComplete(t *testing.T) {
	const token = "id: %\ndata: {\"id\":\"r\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"lily \"}}]}\n\n"
	for _, tc := range []struct {
		name   string
		answer func(w http.ResponseWriter)
	}{
		{"500", func(w http.ResponseWriter) { http.Error(w, "upstream broke", http.StatusInternalServerError) }},
		{"503", func(w http.ResponseWriter) { http.Error(w, "upstream broke", http.StatusServiceUnavailable) }},
		{"422", func(w http.ResponseWriter) {
			http.Error(w, `{"error":{"message":"upstream broke"}}`, http.StatusUnprocessableEntity)
		}},
		{"error event", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "data: {\"error\":\"upstream broke\"}\n\ndata: [DONE]\n\n")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				if calls.Add(1) > 1 {
					tc.answer(w)
					return
				}
				_, _ = io.WriteString(w, strings.Replace(token, "%", "0", 1)+strings.Replace(token, "%", "1", 1))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			snapshot := config.NewSnapshot(1, config.Set{
				Services:       []config.Service{{Name: "s", Kind: config.KindEngine, MaxConcurrency: 9, QueueLimit: 10, ProgressTimeout: time.Minute}},
				UpstreamGroups: []config.UpstreamGroup{{Name: "g", Service: "s", Label: "g"}},
				Models:         []config.Model{{Name: "m", Service: "s"}},
				Teams:          []config.Team{{Name: "t"}},
				Accounts:       []config.Account{{Name: "a", Team: "t", KeyHash: HashKey("key")}},
			})
			list := []vm.VM{{ID: "e1", Group: "g", Address: server.Listener.Addr().String()}}
			clients := engine.New(engine.NewOptions())
			defer clients.Close()
			router := upstream.New(upstream.NewOptions(vm.VM{ID: "v"}, clients).WithSnapshot(func() *config.Snapshot { return snapshot }).
				WithUpstreams(func() ([]vm.VM, uint64) { return list, 1 }))
			defer router.Close()
			front := httptest.NewServer(New(NewOptions(router).WithSnapshot(func() *config.Snapshot { return snapshot })))
			defer front.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/v1/chat/completions", strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer key")
			resp, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%s", body)
			require.Equal(t, 2, strings.Count(string(body), "lily"))
			require.Contains(t, string(body), `{"error":`, "the caller is told")
			require.NotContains(t, string(body), "upstream broke")
			require.NotContains(t, string(body), engine.DoneEvent)
			require.Greater(t, calls.Load(), int32(1))
		})
	}
}
