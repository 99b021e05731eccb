package scrape

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Buckets are cumulative and in seconds, so that a scraper can add those of several nodes.
func TestHistogramsHaveBuckets(t *testing.T) {
	r := metrics.NewRegistry()
	h := GetOrRegisterHistogram("online.total", r)
	for _, d := range []time.Duration{time.Millisecond, 15 * time.Millisecond, time.Hour} {
		h.Observe(d)
	}
	metrics.GetOrRegisterCounter("store.list.config", r).Inc(3)
	w := httptest.NewRecorder()
	Handler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`mothcart_online_total_seconds_bucket{le="0.001"} 1`,
		`mothcart_online_total_seconds_bucket{le="0.01"} 1`,
		`mothcart_online_total_seconds_bucket{le="0.02"} 2`,
		`mothcart_online_total_seconds_bucket{le="60"} 2`,
		`mothcart_online_total_seconds_bucket{le="+Inf"} 3`,
		"mothcart_online_total_seconds_count 3",
		"mothcart_store_list_config_total 3",
	} {
		assert.Contains(t, w.Body.String(), want+"\n")
	}
}
