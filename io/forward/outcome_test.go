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
	"mothcart/io/service"
)

// forwarderTo returns a forwarder whose attempts go to one address, up to maxRefusals of them, which it counts.
func forwarderTo(client *service.Client, address string, carried bool, sent *int) *Forwarder {
	lease := Lease{
		Upstream: site.Upstream{ID: "u", Address: address}, Carried: carried, Release: func(time.Time, slot.Result) {},
		Limit: func(float64, bool) {}, Wrote: func() {}, Silence: func(bool) {}, Leaving: func(string) {}, Began: func(string) {},
		Report: func(time.Time, int, int) {},
	}
	return New(Options{
		Client: client,
		Acquire: func(_ context.Context, r slot.Request) (Lease, *slot.Refusal, error) {
			if *sent++; *sent > maxRefusals {
				return Lease{}, &slot.Refusal{Request: r, Reason: slot.ReasonFull}, nil
			}
			return lease, nil, nil
		},
		Wire: HeaderCodec{
			SharedParts: func(http.Header) []poison.Part { return nil }, Caller: func(http.Header) string { return "" },
			Size:     func(http.Header) Size { return Size{} },
			Outgoing: func(h http.Header, _ Attempt) http.Header { return h },
			Read:     func(h http.Header) AnswerInfo { return AnswerInfo{NotRun: h.Get("Not-Run") != ""} },
		},
		Links: Links{
			Lost: never, Doubtful: never, Judge: func(report func(bool)) { report(true) }, CarrierAnswered: func(string, http.Header) {},
		},
		NextID: func() uint64 { return 1 }, Now: time.Now, Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
	})
}

// Guards against a request that is reported as not run, or is sent again, since an answer is taken for a refusal that doesn't
// say that the request didn't run.
func TestAnswerThatDoesNotSayNotRun(t *testing.T) {
	for _, tc := range []struct {
		name    string
		carried bool
		answer  string
		want    int
		runs    int
	}{
		{"refused", false, "503 Full\r\nNot-Run: 1", http.StatusServiceUnavailable, 0},
		{"another upstream", false, "421 Elsewhere\r\nNot-Run: 1", http.StatusServiceUnavailable, 0},
		{"503 alone", false, "503 Error", http.StatusBadGateway, 1},
		{"421 alone", false, "421 Error", http.StatusServiceUnavailable, 0},
		{"404 alone", false, "404 None", http.StatusNotFound, 1},
		{"carrier without a slot", true, "503 Full", http.StatusServiceUnavailable, 0},
		{"carrier without a route", true, "404 None\r\n" + carrier.HeaderNotSent + ": 1", http.StatusServiceUnavailable, 0},
		{"carrier without the key", true, "401 None\r\n" + carrier.HeaderNotSent + ": 1", http.StatusServiceUnavailable, 0},
		{"404 of an upstream by a carrier", true, "404 None", http.StatusNotFound, 1},
		{"401 of an upstream by a carrier", true, "401 None", http.StatusUnauthorized, 1},
		{"421 by a carrier", true, "421 Error", http.StatusServiceUnavailable, 0},
	} {
		address := unframedUpstream(t, "HTTP/1.1 "+tc.answer+"\r\nContent-Length: 0\r\n\r\n", closes)
		client := service.New(service.NewOptions())
		sent, now := 0, time.Now()
		f := forwarderTo(client, address, tc.carried, &sent)
		w := httptest.NewRecorder()
		route := site.Route{Name: "page", Kind: site.NonIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second, Targets: []site.Target{{Service: "desk", Weight: 1}}}
		f.Serve(t.Context(), w, Request{
			ID: "r1", Method: http.MethodPost, Path: "/", Header: http.Header{}, Route: route, Arrived: now, Deadline: now.Add(5 * time.Second),
			Generates: func(string) bool { return false },
		}, 0)
		client.Close()
		require.Equal(t, tc.want, w.Code, tc.name)
		if tc.runs > 0 {
			require.Equal(t, tc.runs, sent, "%s: it may have run, so that it isn't sent again", tc.name)
		}
	}
}
