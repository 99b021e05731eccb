package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/io/held"
)

// Guards against bodies that take more memory than the process may hold, and against bodies that are read in vain.
func TestBodyIsReadOnlyIfItFits(t *testing.T) {
	const limit, bodyLimit = 1 << 20, 512 << 10
	for _, tc := range []struct {
		name string
		size int64
		// declared is the length in the headers, -1 if they have none.
		declared int64
		held     int64
		kind     site.Kind
		status   int
		// most is the most bytes that are read.
		most int64
	}{
		{"none", 0, 0, 0, site.Idempotent, 0, 0},
		{"small", 100, 100, 0, site.Idempotent, 0, 100},
		{"small, beside others", 100, 100, limit * 15 / 16, site.Idempotent, 0, 100},
		{"large", 400 << 10, 400 << 10, 0, site.Idempotent, 0, 400 << 10},
		{"large, without a length", 200 << 10, -1, 0, site.Idempotent, 0, 200 << 10},
		{"large, beside others", 400 << 10, 400 << 10, limit / 2, site.Idempotent, http.StatusServiceUnavailable, 0},
		{"large, without a length, beside others", 400 << 10, -1, limit / 2, site.Idempotent, http.StatusServiceUnavailable, 300 << 10},
		{"job, held several times", 400 << 10, 400 << 10, 0, site.Batch, http.StatusServiceUnavailable, 0},
		{"over the limit", bodyLimit + 1, bodyLimit + 1, 0, site.Idempotent, http.StatusRequestEntityTooLarge, bodyLimit + 1},
		{"over the limit, without a length", bodyLimit + 1, -1, 0, site.Idempotent, http.StatusRequestEntityTooLarge, bodyLimit + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			registry := metrics.NewRegistry()
			b := held.NewBudget(held.Options{Bytes: limit, Now: time.Now, Log: zerolog.Nop(), Registry: registry})
			b.Add(tc.held)
			h := New(Options{Held: b, Log: zerolog.Nop()})
			text := strings.Repeat("x", int(tc.size))
			read := &countedReader{Reader: strings.NewReader(text)}
			r := httptest.NewRequest(http.MethodPost, "/", read)
			r.ContentLength = tc.declared
			w := httptest.NewRecorder()
			got, free, err := h.readBody(w, r, site.Config{Limits: site.Limits{BodyBytes: bodyLimit}}, site.Route{Kind: tc.kind})
			require.Equal(t, tc.status == 0, err == nil)
			require.LessOrEqual(t, read.n, tc.most)
			if err == nil {
				require.Equal(t, text, string(got))
				require.LessOrEqual(t, int64(cap(got))-1, max(2*tc.size, bodyStep))
			} else {
				h.refuseBody(w, "r1", bodyLimit, err)
				require.Equal(t, tc.status, w.Code)
			}
			free()
			require.Equal(t, tc.held, registry.Get("held.bytes").(metrics.Gauge).Value())
		})
	}
}

type countedReader struct {
	io.Reader
	n int64
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += int64(n)
	return n, err
}
