// Package load sends open-loop load to callers' ports or engines and measures it.
//
// Arrivals are Poisson with bursts, from a seed. Each time is counted from the moment that the
// request was due, so that a slow server can't hide the requests that wait behind it (coordinated
// omission). Results are JSON and an HTML report with plots.
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

// maxMicros is the longest time that the histograms hold, in microseconds.
const maxMicros = int64(2 * time.Minute / time.Microsecond)

// Quantiles are those of a time, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50Millis"`
	P95  float64 `json:"p95Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	Max  float64 `json:"maxMillis"`
}

// String renders the three most used quantiles.
func (q Quantiles) String() string { return fmt.Sprintf("%.2f / %.2f / %.2f", q.P50, q.P95, q.P99) }

// Result is what a run measured.
type Result struct {
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	// Whole requests got their whole answer; Refused were told that they did not run; Failed got
	// any other error; Dropped were never sent, because too many were in progress.
	Whole      int       `json:"whole"`
	Refused    int       `json:"refused"`
	Failed     int       `json:"failed"`
	Dropped    int       `json:"dropped"`
	Tokens     int       `json:"tokens"`
	FirstToken Quantiles `json:"firstToken"`
	InterToken Quantiles `json:"interToken"`
	Total      Quantiles `json:"total"`
	// PerSecond holds the whole answers in each second of the run.
	PerSecond []int `json:"perSecond"`
	// Curve holds the total time at rising quantiles.
	Curve []Point `json:"curve"`
}

// Point is a quantile, from 0 to 100, and its time.
type Point struct {
	Quantile float64 `json:"quantile"`
	Millis   float64 `json:"millis"`
}

// Recorder collects times. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	start   time.Time
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	total   *hdrhistogram.Histogram
	result  Result
}

// NewRecorder returns an empty recorder of a run that starts now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{
		start: now, first: hdrhistogram.New(1, maxMicros, 3), between: hdrhistogram.New(1, maxMicros, 3),
		total: hdrhistogram.New(1, maxMicros, 3),
	}
}

// Token records one token; last is the time of the token before, zero for the first.
func (r *Recorder) Token(now, last, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Tokens++
	if last.IsZero() {
		record(r.first, now.Sub(due))
		return
	}
	record(r.between, now.Sub(last))
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

// Result returns what was recorded until now.
func (r *Recorder) Result(now time.Time) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.Seconds = now.Sub(r.start).Seconds()
	result.FirstToken, result.InterToken, result.Total = quantiles(r.first), quantiles(r.between), quantiles(r.total)
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

// Run sends the load and returns what it measured. The error tells that the options are wrong.
func Run(ctx context.Context, opts Options) (Result, error) {
	if len(opts.URLs) == 0 || opts.Rate <= 0 {
		return Result{}, merry.New("a load needs a URL and a rate")
	}
	client := NewClient(opts.Key, opts.Model)
	defer client.Close()
	rng := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	begun := time.Now()
	recorder := NewRecorder(begun)
	var all sync.WaitGroup
	places := make(chan struct{}, opts.MaxInFlight)
	n := 0
	Arrivals(ctx, rng, opts.Arrival, begun.Add(opts.Duration), func(due time.Time) {
		n++
		recorder.Sent()
		select {
		case places <- struct{}{}:
		default:
			recorder.Dropped()
			return
		}
		request := Request{URL: opts.URLs[n%len(opts.URLs)], Prompt: opts.prompt(n), Tokens: opts.Tokens, Stream: opts.Stream, Due: due}
		all.Go(func() {
			defer func() { <-places }()
			_, err := client.Chat(ctx, request, recorder)
			recorder.Ended(time.Now(), due, err)
		})
	})
	all.Wait()
	return recorder.Result(time.Now()), nil
}
