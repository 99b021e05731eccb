// Package scrape serves metrics in the Prometheus text format.
//
// Usage:
//
//	latency := scrape.GetOrRegisterHistogram("online.total", registry)
//	latency.Observe(12 * time.Millisecond)
//	http.Handle("/metrics", scrape.Handler(registry))
package scrape

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the upper bounds of the histogram buckets. They cover the range of latency objectives and
// deadlines of requests.
var bounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 60 * time.Second,
}

// Histogram counts durations in buckets, so that the counts of several nodes can be added. It is safe for
// concurrent use.
type Histogram struct {
	// NilHistogram makes Histogram implement metrics.Histogram, since the registry of go-metrics accepts
	// only its own metric types.
	metrics.NilHistogram
	counts [len(bounds) + 1]atomic.Int64
	sum    atomic.Int64
}

// GetOrRegisterHistogram returns the histogram with a name.
func GetOrRegisterHistogram(name string, r metrics.Registry) *Histogram {
	return r.GetOrRegister(name, func() *Histogram { return &Histogram{} }).(*Histogram)
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	i := sort.Search(len(bounds), func(i int) bool { return d <= bounds[i] })
	h.counts[i].Add(1)
	h.sum.Add(int64(d))
}

func (h *Histogram) lines(name string) []string {
	var lines []string
	total := int64(0)
	for i := range h.counts {
		total += h.counts[i].Load()
		bound := "+Inf"
		if i < len(bounds) {
			bound = fmt.Sprint(bounds[i].Seconds())
		}
		lines = append(lines, fmt.Sprintf("%s_bucket{le=%q} %d", name, bound, total))
	}
	sum := time.Duration(h.sum.Load()).Seconds()
	return append(lines, fmt.Sprintf("%s_sum %g", name, sum), fmt.Sprintf("%s_count %d", name, total))
}

// Handler serves the metrics of a registry.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var groups []string
		r.Each(func(name string, metric any) { groups = append(groups, strings.Join(metricLines(name, metric), "\n")) })
		sort.Strings(groups)
		var b bytes.Buffer
		for _, group := range groups {
			b.WriteString(group + "\n")
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(b.Bytes()) // a scraper that has disconnected scrapes again later
	})
}

// quantiles are the quantiles reported for histograms of go-metrics.
var quantiles = []float64{0.5, 0.95, 0.99}

// metricLines renders one metric; times are in seconds.
func metricLines(name string, metric any) []string {
	name = "mothcart_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch m := metric.(type) {
	case *Histogram:
		return m.lines(name + "_seconds")
	case metrics.Counter:
		return []string{fmt.Sprintf("%s_total %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, m.Value())}
	case metrics.Meter:
		return []string{fmt.Sprintf("%s_total %d", name, m.Count())}
	case metrics.Histogram:
		snapshot := m.Snapshot()
		return summaryLines(name, snapshot.Count(), snapshot.Percentiles(quantiles), 1)
	default:
		return nil
	}
}

func summaryLines(name string, count int64, values []float64, unit float64) []string {
	lines := []string{fmt.Sprintf("%s_count %d", name, count)}
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(q), values[i]/unit))
	}
	return lines
}
