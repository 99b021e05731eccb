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
	"mothcart/io/carrier"
)

// Guards against a caller over its limit who is told that the service is down, and against other refusals told as such.
func TestOverLimitIsAnswered429(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		reason     slot.Reason
		wantStatus int
		wantCount  int64
	}{
		{slot.ReasonOverLimit, http.StatusTooManyRequests, 1},
		{slot.ReasonFull, http.StatusServiceUnavailable, 0},
	} {
		registry := metrics.NewRegistry()
		f := New(Options{
			Acquire: func(_ context.Context, r slot.Request) (Lease, *slot.Refusal, error) {
				return Lease{}, &slot.Refusal{Request: r, Reason: tc.reason, RetryAfter: 1500 * time.Millisecond}, nil
			},
			Wire: HeaderCodec{
				SharedParts: func(http.Header) []poison.Part { return nil }, Caller: func(http.Header) string { return "" },
				Size: func(http.Header) Size { return Size{} },
			},
			NextID: func() uint64 { return 1 }, Now: func() time.Time { return now }, Log: zerolog.Nop(), Registry: registry,
		})
		w := httptest.NewRecorder()
		route := site.Route{Name: "page", Kind: site.Idempotent, MaxAttempts: 2, Timeout: time.Second, Targets: []site.Target{{Service: "desk", Weight: 1}}}
		f.Serve(t.Context(), w, Request{ID: "r1", Route: route, Arrived: now, Deadline: now.Add(time.Second), Account: "a"}, 0)
		require.Equal(t, tc.wantStatus, w.Code)
		require.Equal(t, "1.500", w.Header().Get("Retry-After"))
		require.Equal(t, tc.wantCount, metrics.GetOrRegisterCounter("online.overLimit", registry).Count())
	}
}

// Guards against a refusal of another entry that is taken for a run, and against an upstream's answer taken for one.
func TestCarriedRefusalKeepsItsReason(t *testing.T) {
	carried := Lease{Carried: true}
	for _, tc := range []struct {
		name   string
		lease  Lease
		status int
		notRun bool
		unable bool
		want   slot.Reason
	}{
		{"over its limit", carried, http.StatusTooManyRequests, true, false, slot.ReasonOverLimit},
		{"no slot", carried, http.StatusServiceUnavailable, true, false, slot.ReasonByCarrier},
		{"an upstream's own", carried, http.StatusTooManyRequests, false, false, ""},
		{"not reached", carried, http.StatusServiceUnavailable, true, true, ""},
		{"no route", carried, http.StatusNotFound, true, false, ""},
		{"not carried", Lease{}, http.StatusTooManyRequests, true, false, ""},
	} {
		a := Answer{Status: tc.status, Header: http.Header{"Retry-After": {"0.700"}}, Info: AnswerInfo{NotRun: tc.notRun}}
		if tc.unable {
			a.Header.Set(carrier.HeaderUnable, "1")
		}
		refusal, ok := carrierRefusal(tc.lease, a)
		require.Equal(t, tc.want != "", ok, tc.name)
		require.Equal(t, tc.want, refusal.Reason, tc.name)
		if ok {
			require.Equal(t, 700*time.Millisecond, refusal.RetryAfter, tc.name)
		}
	}
	marked := http.Header{carrier.HeaderNotSent: {"1"}}
	for status, want := range map[int]bool{429: true, 503: true, 404: false, 401: false, 400: false, 500: false} {
		require.Equal(t, want, isOwnRefusal(status, http.Header{}), status)
		require.True(t, isOwnRefusal(status, marked), status)
	}
}
