package ledger

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	core "mothcart/core/ledger"
	fakestore "mothcart/fake/store"
	"mothcart/io/store"
)

const (
	benchLatency = 5 * time.Millisecond
	benchTime    = 15 * time.Second
	// dayRecords is the number of records of one of 64 shards in a day of 540 requests per second.
	dayRecords = 540 * 86400 / 64
)

func benchAnswer(id string) Answer {
	body := fmt.Sprintf(`{"id":%q,"parish":"bole","week":31,"names":["Abeba","Dawit","Hirut"],"text":"%s%s%s"}`, id, id, id, id)
	return Answer{Status: 200, Header: []Field{{Name: "Content-Type", Value: "application/json"}}, Body: []byte(body)}
}

func benchOptions(s *fakestore.Store, shards int) Options {
	opts := NewOptions()
	opts.Self = "e1"
	opts.Members = func() []string { return []string{"e1"} }
	opts.Shards = shards
	opts.Store = s.Client()
	opts.Execute = func(_ context.Context, req Request) (Answer, error) { return benchAnswer(req.ID), nil }
	return opts
}

// measured holds the measurements of one run.
type measured struct {
	latency *hdrhistogram.Histogram
	done    atomic.Int64
	failed  atomic.Int64
}

func (m *measured) do(l *Ledger, due time.Time, key int) {
	_, err := l.Do(context.Background(), testRequest(fmt.Sprint("bench ", key)))
	if err != nil {
		m.failed.Add(1)
		return
	}
	m.done.Add(1)
	benchMu.Lock()
	defer benchMu.Unlock()
	_ = m.latency.RecordValue(time.Since(due).Microseconds())
}

var benchMu sync.Mutex

func (m *measured) report(b *testing.B, s *fakestore.Store, d time.Duration) {
	calls := s.Calls()
	n := float64(m.done.Load())
	b.ReportMetric(n/d.Seconds(), "req/s")
	b.ReportMetric(float64(calls.Writes)/d.Seconds(), "writes/s")
	b.ReportMetric(float64(calls.Writes)/n, "writes/req")
	b.ReportMetric(float64(m.latency.ValueAtPercentile(50))/1000, "p50-ms")
	b.ReportMetric(float64(m.latency.ValueAtPercentile(99))/1000, "p99-ms")
	b.ReportMetric(float64(m.failed.Load()), "refused")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOpenLoop sends non-idempotent requests at a fixed rate. Latency is measured from the time at
// which a request was due; the upstream adds none, so all of it is the ledger's.
func BenchmarkOpenLoop(b *testing.B) {
	for _, tc := range []struct {
		name   string
		shards int
		rate   int
	}{
		{"today 5 a second, 64 shards", 64, 5},
		{"size 540 a second, 64 shards", 64, 540},
		{"size share of one shard, 8 a second", 1, 8},
		{"one shard, 200 a second", 1, 200},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				s := fakestore.New(fakestore.NewOptions().WithLatency(benchLatency))
				l := New(benchOptions(s, tc.shards))
				time.Sleep(time.Second)
				m := &measured{latency: hdrhistogram.New(1, 60e6, 3)}
				var wg sync.WaitGroup
				start := time.Now()
				for i := 0; time.Since(start) < benchTime; i++ {
					due := start.Add(time.Duration(i) * time.Second / time.Duration(tc.rate))
					time.Sleep(time.Until(due))
					wg.Go(func() { m.do(l, due, i) })
				}
				wg.Wait()
				m.report(b, s, time.Since(start))
				l.Close()
			}
		})
	}
}

// BenchmarkClosedLoop sends requests as fast as a number of clients can, with and without the limit of two
// writes per second and shard.
func BenchmarkClosedLoop(b *testing.B) {
	for _, tc := range []struct {
		name    string
		shards  int
		clients int
		writes  float64
	}{
		{"one shard, 2 writes a second", 1, 2000, 2},
		{"one shard, no pace", 1, 500, 1e6},
		{"64 shards, no pace", 64, 4000, 1e6},
	} {
		b.Run(tc.name, func(b *testing.B) {
			for b.Loop() {
				s := fakestore.New(fakestore.NewOptions().WithLatency(benchLatency).WithRates(1e6, 1e6))
				opts := benchOptions(s, tc.shards)
				opts.WritesPerSecond = tc.writes
				l := New(opts)
				m := &measured{latency: hdrhistogram.New(1, 60e6, 3)}
				var wg sync.WaitGroup
				start := time.Now()
				var next atomic.Int64
				for range tc.clients {
					wg.Go(func() {
						for time.Since(start) < benchTime {
							m.do(l, time.Now(), int(next.Add(1)))
						}
					})
				}
				wg.Wait()
				m.report(b, s, time.Since(start))
				l.Close()
			}
		})
	}
}

// writeDay fills a shard's history with dayRecords records and returns the number and size of its blocks.
func writeDay(b *testing.B, s *fakestore.Store) (objects int, bytes int64) {
	l := New(benchOptions(s, 1))
	defer l.Close()
	sh := l.shards[0]
	u := &upkeep{s: sh}
	const perBlock = 4000
	records := make([]core.Record, 0, perBlock)
	for i := range dayRecords {
		id := core.NewID("rota", fmt.Sprint(i))
		records = append(records, core.Record{ID: id, Team: "rota", State: core.Done, AtSeconds: time.Now().Unix(), Answer: benchAnswer(id.String())})
		if len(records) < perBlock && i < dayRecords-1 {
			continue
		}
		_, filters, err := u.seal(context.Background(), records)
		require.NoError(b, err)
		require.NoError(b, u.index(context.Background(), filters))
		for _, f := range filters {
			bytes += int64(f.Ref.Bytes)
		}
		objects += len(filters)
		records = records[:0]
	}
	head := core.Head{Indexes: u.history.Indexes}.WithUpdate(core.Writer{VM: "e0"}, 1)
	value, err := core.EncodeHead(head)
	require.NoError(b, err)
	require.NoError(b, sh.putObject(context.Background(), sh.headKey(), value))
	return objects, bytes
}

// BenchmarkTakeover loads a shard with a day of history and resends one of its keys.
func BenchmarkTakeover(b *testing.B) {
	s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
	objects, bytes := writeDay(b, s)
	slow := s.Client()
	get := slow.Get
	slow.Get = func(ctx context.Context, key string) (store.Object, error) {
		time.Sleep(benchLatency)
		return get(ctx, key)
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		opts := benchOptions(s, 1)
		opts.Store = slow
		reads := s.Calls().Reads
		start := time.Now()
		l := New(opts)
		require.NoError(b, l.shards[0].waitLoaded(context.Background()))
		held := time.Since(start)
		loadReads := s.Calls().Reads - reads
		o, err := l.Do(context.Background(), Request{Team: "rota", Key: "12345"})
		require.NoError(b, err)
		require.True(b, o.Recorded)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(loadReads), "reads")
		b.ReportMetric(float64(held.Milliseconds()), "load-ms")
		b.ReportMetric(float64(s.Calls().Reads-reads-loadReads), "resend-reads")
		b.ReportMetric(float64(after.HeapAlloc)/1e6-float64(before.HeapAlloc)/1e6, "heap-MB")
		b.ReportMetric(float64(bytes)/dayRecords, "bytes/record")
		b.ReportMetric(float64(objects), "blocks")
		l.Close()
	}
}
