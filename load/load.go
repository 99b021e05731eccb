// Package load sends open-loop load to the callers' ports of entry VMs or to engines and measures it.
//
// Arrivals are Poisson with bursts and come from a seed. First-token and total times are counted from the moment
// at which the request was due, so that a slow server can't hide the time for which requests waited to be sent
// (coordinated omission). Results are JSON and an HTML report with plots.
//
// Usage:
//
//	result, err := load.Run(ctx, load.NewOptions("http://127.0.0.1:8080").WithRate(500, 10*time.Second))
//	err = load.WriteReport(w, []load.Named{{Name: "site", Result: result}})
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"
)

// maxMicros is the longest time that the histograms can record, in microseconds.
const maxMicros = int64(2 * time.Minute / time.Microsecond)

// Quantiles holds the quantiles of a latency in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50Millis"`
	P95  float64 `json:"p95Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	Max  float64 `json:"maxMillis"`
}

// String returns P50, P95 and P99.
func (q Quantiles) String() string { return fmt.Sprintf("%.2f / %.2f / %.2f", q.P50, q.P95, q.P99) }

// Result holds the measurements of a run.
type Result struct {
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	// Whole counts the requests that got a complete answer, Refused those that the server refused and did not
	// run, Failed those with any other error, and Dropped those that were never sent because too many were in
	// flight. The template of the HTML report uses the names of these fields.
	Whole      int       `json:"whole"`
	Refused    int       `json:"refused"`
	Failed     int       `json:"failed"`
	Dropped    int       `json:"dropped"`
	Tokens     int       `json:"tokens"`
	FirstToken Quantiles `json:"firstToken"`
	InterToken Quantiles `json:"interToken"`
	Total      Quantiles `json:"total"`
	// PerSecond holds the number of complete answers in each second of the run.
	PerSecond []int `json:"perSecond"`
	// Curve holds the total time of complete answers at increasing quantiles.
	Curve []Point `json:"curve"`
}

// Point is a quantile, from 0 to 100, and the time at it.
type Point struct {
	Quantile float64 `json:"quantile"`
	Millis   float64 `json:"millis"`
}

// Recorder collects the times and outcomes of requests. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	start      time.Time
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	result     Result
}

// NewRecorder returns an empty recorder of a run that starts now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{
		start: now, firstToken: hdrhistogram.New(1, maxMicros, 3), interToken: hdrhistogram.New(1, maxMicros, 3),
		total: hdrhistogram.New(1, maxMicros, 3),
	}
}

// Token records one token; last is the time of the previous token, zero for the first one.
func (r *Recorder) Token(now, last, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Tokens++
	if last.IsZero() {
		record(r.firstToken, now.Sub(due))
		return
	}
	record(r.interToken, now.Sub(last))
}

// Sent counts a request that was due.
func (r *Recorder) Sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
}

// Dropped counts a request that was not sent.
func (r *Recorder) Dropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Dropped++
}

// Ended records the end of a request.
func (r *Recorder) Ended(now, due time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.result.Whole++
		record(r.total, now.Sub(due))
		second := int(now.Sub(r.start).Seconds())
		for len(r.result.PerSecond) <= second {
			r.result.PerSecond = append(r.result.PerSecond, 0)
		}
		r.result.PerSecond[second]++
	case errors.Is(err, ErrRefused):
		r.result.Refused++
	default:
		r.result.Failed++
	}
}

// Result returns the measurements up to now.
func (r *Recorder) Result(now time.Time) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.Seconds = now.Sub(r.start).Seconds()
	result.FirstToken, result.InterToken, result.Total = quantiles(r.firstToken), quantiles(r.interToken), quantiles(r.total)
	for _, b := range r.total.CumulativeDistribution() {
		result.Curve = append(result.Curve, Point{Quantile: b.Quantile, Millis: millis(b.ValueAt)})
	}
	return result
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return millis(h.ValueAtQuantile(q)) }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: millis(h.Max())}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// Run sends the load and returns the measurements. It fails only if the options are invalid.
func Run(ctx context.Context, opts Options) (Result, error) {
	if len(opts.URLs) == 0 || opts.Rate <= 0 {
		return Result{}, merry.New("a load needs a URL and a rate")
	}
	client := NewClient(opts.Key, opts.Model)
	defer client.Close()
	rng := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	started := time.Now()
	recorder := NewRecorder(started)
	var wg sync.WaitGroup
	slots := make(chan struct{}, opts.MaxInFlight)
	n := 0
	Arrivals(ctx, rng, opts.Arrival, started.Add(opts.Duration), func(due time.Time) {
		n++
		recorder.Sent()
		select {
		case slots <- struct{}{}:
		default:
			recorder.Dropped()
			return
		}
		request := Request{URL: opts.URLs[n%len(opts.URLs)], Prompt: opts.prompt(n), Tokens: opts.Tokens, Stream: opts.Stream, Due: due}
		wg.Go(func() {
			defer func() { <-slots }()
			_, err := client.Chat(ctx, request, recorder)
			recorder.Ended(time.Now(), due, err)
		})
	})
	wg.Wait()
	return recorder.Result(time.Now()), nil
}
