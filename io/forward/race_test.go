package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
)

// Guards against streams that are taken up and come after all new ones, as if their first event were late.
func TestStreamThatIsTakenUpIsNotLate(t *testing.T) {
	now := time.Unix(1000, 0)
	route := site.Route{Name: "ask", Kind: site.Streaming, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second,
		Objective: 300 * time.Millisecond, Targets: []site.Target{{Service: "scribe", Weight: 1}}}
	for _, tc := range []struct {
		name, lastEventID string
		want              time.Duration
	}{
		{"retried before its first event", "", 210*time.Millisecond - time.Second},
		{"taken up", "7", 210 * time.Millisecond},
	} {
		var asked slot.Request
		f := New(Options{
			Acquire: func(_ context.Context, r slot.Request) (Lease, *slot.Refusal, error) {
				asked = r
				return Lease{}, &slot.Refusal{Request: r, Reason: slot.ReasonFull}, nil
			},
			Wire: HeaderCodec{
				SharedParts: func(http.Header) []poison.Part { return nil }, Caller: func(http.Header) string { return "" },
				Size: func(http.Header) Size { return Size{} },
			},
			NextID: func() uint64 { return 1 }, Now: func() time.Time { return now }, Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
		})
		f.Serve(t.Context(), httptest.NewRecorder(), Request{
			ID: "r1", Route: route, Arrived: now, Deadline: now.Add(4 * time.Second), Waited: time.Second, LastEventID: tc.lastEventID, Resumes: "r0",
		}, 0)
		require.Equal(t, tc.want, asked.Objective.Sub(now), tc.name)
		require.Equal(t, tc.lastEventID != "", asked.Continues, tc.name)
	}
}

// Guards against a panic of an attempt, which would end the process with all its requests.
func TestPanicEndsOnlyTheAttempt(t *testing.T) {
	a := Do(t.Context(), nil, HeaderCodec{}, Call{}, nil)
	require.ErrorContains(t, a.Err, "panicked")
	require.True(t, a.Sent, "the request may have run")
}
