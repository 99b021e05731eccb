package job

import (
	"bytes"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/job"
	fakestore "mothcart/fake/store"
)

// benchItems returns n items with bodies of about 1 KB that share a prompt prefix.
func benchItems(n int) []ItemSpec {
	prompt := bytes.Repeat([]byte("Draft the rota of the parish for the week. "), 20)
	list := make([]ItemSpec, n)
	for i := range list {
		body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"%s church %d, %x"}]}`, prompt, i, i*2654435761)
		list[i] = ItemSpec{CustomID: fmt.Sprintf("item-%d", i), Body: body}
	}
	return list
}

func benchJobs(b *testing.B) (*Jobs, *fakestore.Store) {
	s := fakestore.New(fakestore.NewOptions().WithRates(1e6, 1e6))
	opts := NewOptions("e1", s.Client()).WithStoreRates(1e6, 1e6)
	opts.Tick = 20 * time.Millisecond
	j, err := New(opts)
	require.NoError(b, err)
	b.Cleanup(j.Close)
	return j, s
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkItems runs jobs of the largest size on one VM: each item is taken, started and completed with
// an answer of about 0.5 KB. It reports store writes and bytes per chunk and CPU time per item, that of
// the fake store included.
func BenchmarkItems(b *testing.B) {
	for _, nonIdempotent := range []bool{false, true} {
		b.Run(fmt.Sprintf("nonIdempotent=%t", nonIdempotent), func(b *testing.B) {
			j, s := benchJobs(b)
			body := bytes.Repeat([]byte("Abebe, Sara; "), 40)
			submission := Spec{Team: "team", Model: "m", Endpoint: "/v1/chat/completions", NonIdempotent: nonIdempotent}
			submission.Items = benchItems(job.MaxItems)
			for n := 0; b.Loop(); n++ {
				submission.Key = fmt.Sprint("lot", n)
				b.StopTimer()
				status, err := j.Submit(b.Context(), submission)
				require.NoError(b, err)
				before, cpu := s.Calls(), cpuTime()
				written := j.opts.Metrics.Get("jobs.store.writtenBytes").(counter).Count()
				b.StartTimer()
				runAll(b, j, status, body)
				chunks := float64(len(status.Head.Chunks))
				b.ReportMetric(float64(s.Calls().Writes-before.Writes)/chunks, "writes/chunk")
				total := j.opts.Metrics.Get("jobs.store.writtenBytes").(counter).Count() - written
				b.ReportMetric(float64(total)/chunks, "bytes/chunk")
				b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/job.MaxItems, "cpu-ns/item")
			}
			b.ReportMetric(job.MaxItems*float64(b.N)/b.Elapsed().Seconds(), "items/s")
		})
	}
}

type counter interface{ Count() int64 }

func runAll(b *testing.B, j *Jobs, status Status, body []byte) {
	for done := 0; done < status.Head.Items; {
		items := j.Take("m", 512)
		if len(items) == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, item := range items {
			if j.Start(item) {
				j.Done(item, Result{Status: 200, Body: body})
				done++
			}
		}
	}
}

// BenchmarkSubmit accepts jobs of the largest size with bodies of about 1 KB.
func BenchmarkSubmit(b *testing.B) {
	j, s := benchJobs(b)
	submission := Spec{Team: "team", Model: "other", Endpoint: "/v1/chat/completions", Items: benchItems(job.MaxItems)}
	for n := 0; b.Loop(); n++ {
		submission.Key = fmt.Sprint("lot", n)
		_, err := j.Submit(b.Context(), submission)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(s.Calls().Writes)/float64(b.N), "writes/job")
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the memory of an open job of 51,000 items at its home, and of a held chunk
// of 256 items of 1 KB.
func BenchmarkMemory(b *testing.B) {
	const jobs = 10
	for b.Loop() {
		j, _ := benchJobs(b)
		submission := Spec{Team: "team", Model: "m", Endpoint: "/v1/chat/completions", Items: benchItems(job.MaxItems)}
		submission.Key = "first"
		_, err := j.Submit(b.Context(), submission)
		require.NoError(b, err)
		before := heapBytes()
		heads := make([]*homeJob, jobs)
		for i := range heads {
			head, version, err := j.readHead(b.Context(), jobID(b, j))
			require.NoError(b, err)
			table := job.NewTable(len(head.Chunks), job.DefaultLease)
			for c := range head.Chunks {
				table = table.Reported(time.Now(), job.Report{Chunk: c, Version: 1, Holder: "e1#x"})
			}
			heads[i] = &homeJob{head: head, version: version, table: table}
		}
		b.ReportMetric((heapBytes()-before)/jobs, "B/openJob")
		runtime.KeepAlive(heads)
		few := claimChunks(j, 16)
		before = heapBytes()
		held := float64(claimChunks(j, 64) - few)
		b.ReportMetric((heapBytes()-before)/held, "B/heldChunk")
	}
}

// claimChunks sets the VM's bound of held chunks to n and takes items until the VM holds so many. It
// returns the number of held chunks.
func claimChunks(j *Jobs, n int) int {
	j.mu.Lock()
	j.opts.MaxHeldChunks = n
	j.mu.Unlock()
	for {
		j.Take("m", n*job.ChunkItems)
		time.Sleep(time.Millisecond)
		j.mu.Lock()
		held := j.heldChunks.count()
		j.mu.Unlock()
		if held >= n {
			return held
		}
	}
}

func jobID(b *testing.B, j *Jobs) string {
	page, err := j.List(b.Context(), "team", "", 1)
	require.NoError(b, err)
	return page.Jobs[0].Head.ID
}
