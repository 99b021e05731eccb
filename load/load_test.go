package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When send blocks, later arrivals keep their due times, so that the delay counts in the measured times.
func TestArrivalsKeepTheirDueTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		start := time.Now()
		n, bursts := 0, 0
		var late time.Duration
		var last time.Time
		Arrivals(context.Background(), rng, Arrival{Rate: 100, BurstEvery: time.Second, BurstSize: 5}, start.Add(10*time.Second), func(due time.Time) {
			n++
			if due.Equal(last) {
				bursts++
			}
			last = due
			if n == 100 {
				time.Sleep(2 * time.Second)
			}
			late = max(late, time.Since(due))
		})
		assert.InDelta(t, 1050, n, 100)
		assert.InDelta(t, 45, bursts, 5)
		assert.GreaterOrEqual(t, late, 2*time.Second)
	})
}

// Each request must be counted under one outcome: a stream that breaks off or has an error inside must not
// count as complete, and a refusal must not count as a failure.
func TestRunDistinguishesOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		want   func(r Result) int
	}{
		{"complete", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
		}, func(r Result) int { return r.Whole }},
		{"stream without its end", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
		}, func(r Result) int { return r.Failed }},
		{"error inside the stream", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, "data: {\"error\":{\"message\":\"m\"}}\n\ndata: [DONE]\n\n")
		}, func(r Result) int { return r.Failed }},
		{"refused", func(w http.ResponseWriter) {
			w.Header().Set("Mothcart-Ran", "no")
			w.WriteHeader(http.StatusTooManyRequests)
		}, func(r Result) int { return r.Refused }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tc.answer(w) }))
			defer server.Close()
			r, err := Run(context.Background(), NewOptions(server.URL).WithRate(500, 50*time.Millisecond))
			require.NoError(t, err)
			assert.Positive(t, r.Sent)
			assert.Equal(t, r.Sent, tc.want(r))
		})
	}
}

func TestReportHoldsPlots(t *testing.T) {
	r := NewRecorder(time.Unix(0, 0))
	for i := range 100 {
		r.Sent()
		r.Ended(time.Unix(int64(i/10), int64(i)*1e6), time.Unix(int64(i/10), 0), nil)
	}
	var b bytes.Buffer
	require.NoError(t, WriteReport(&b, []Named{{Name: "one", Result: r.Result(time.Unix(10, 0))}}))
	assert.Equal(t, 2, bytes.Count(b.Bytes(), []byte("<svg")))
	assert.Contains(t, b.String(), fmt.Sprintf("<td>%d</td>", 100))
}
