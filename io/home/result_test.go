package home

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/plainjson"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/object"
	"mothcart/io/store"
)

// newListingHome returns a home with a job j1 of a number of items, all of which run.
func newListingHome(ctx context.Context, t *testing.T, c object.Client, items int) (*Home, *job) {
	now := time.Now
	j := &job{changed: make(chan struct{}), runs: map[string]*run{}, dueAt: time.Now().Add(time.Minute)}
	of := batch.Job{ID: "j1", Host: "h.example", Path: "/lot/1"}
	for i := range items {
		of.Items = append(of.Items, batch.Item{ID: fmt.Sprint("i", i)})
	}
	j.log = batch.NewLog(of)
	registry := metrics.NewRegistry()
	h := &Home{
		ctx: ctx, listed: newListedJobs(), jobs: map[string]*job{"j1": j}, loading: map[string]*loading{},
		opts: Options{Objects: c, Now: now, Log: zerolog.Nop(), Registry: registry, Term: 2, Config: func() site.Config { return site.Config{} }},
	}
	for _, item := range of.Items {
		j.runs[item.ID] = newRun(&h.texts, "j1", item)
	}
	h.metrics.results, h.metrics.chunks = metrics.NewCounter(), newChunkMetrics(registry)
	h.pool = NewSlotPool(slot.NewOptions(), now, nil, nil)
	t.Cleanup(h.pool.Close)
	return h, j
}

// finishAll finishes the items of a job with the same text.
func (h *Home) finishAll(j *job, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range j.log.Job().Items {
		h.finish("j1", j, batch.Result{Item: i.ID, State: batch.Completed, Text: text})
	}
}

// listedOf returns the results of a job that are listed.
func (h *Home) listedOf(j *job) []batch.Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	results, _ := j.log.Page(0, 1<<30)
	return results
}

// Guards against results that pile up while the object service is down and are never listed, since together they are larger
// than an object may be.
func TestResultsThatPileUpFitIntoObjects(t *testing.T) {
	for _, text := range []struct{ name, unit string }{
		{"letters", "a"}, {"HTML", "<p>&"}, {"quotes", `"`}, {"backslashes", `\`}, {"line feeds", "\n"}, {"control characters", "\x01"},
		{"two bytes", "é"}, {"three bytes", "木"}, {"line separators", "\u2028"}, {"four bytes", "🌸"},
	} {
		for _, items := range []int{10, 100, 200} {
			t.Run(fmt.Sprintf("%s, %d items", text.name, items), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m, c := newMemory()
					m.maxBytes = 1 << 20
					m.refuse(resultsKind("j1"))
					ctx, cancel := context.WithCancel(t.Context())
					defer func() { cancel(); time.Sleep(time.Second) }()
					h, j := newListingHome(ctx, t, c, items)
					want := strings.Repeat(text.unit, (24<<10)/len(text.unit))
					h.finishAll(j, want)
					time.Sleep(4500 * time.Millisecond)
					require.Empty(t, h.listedOf(j))
					m.refuse("")
					time.Sleep(2 * time.Second)
					listed := h.listedOf(j)
					require.Len(t, listed, items)
					for _, r := range listed {
						require.Equal(t, want, r.Text)
					}
					require.Zero(t, m.tooLarge)
					t.Logf("%d writes, %d bytes", h.metrics.chunks.written.Count(), h.metrics.chunks.bytes.Count())
				})
			})
		}
	}
}

// Guards against a result that no object holds and that holds up the results behind it, or its job after the maximum wait.
func TestResultThatNoObjectHoldsHoldsUpNothing(t *testing.T) {
	const limit = 64 << 10
	for _, tc := range []struct {
		name string
		// told is the size of the largest object that the client is told of.
		told int
		want int64
	}{
		{"known before the write", limit, 0},
		{"refused by the object service", 2 * limit, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, c := newMemory()
				m.maxBytes, c.ValueBytes = limit, tc.told
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); time.Sleep(time.Second) }()
				h, j := newListingHome(ctx, t, c, 20)
				h.mu.Lock()
				for i, item := range j.log.Job().Items {
					text := strings.Repeat("x", 1+i*100)
					if i == 3 {
						text = strings.Repeat("x", limit)
					}
					h.finish("j1", j, batch.Result{Item: item.ID, State: batch.Completed, Text: text})
				}
				h.mu.Unlock()
				time.Sleep(3 * time.Second)
				require.Len(t, h.listedOf(j), 19)
				require.EqualValues(t, 1, h.metrics.chunks.unstorable.Count())
				require.GreaterOrEqual(t, h.metrics.chunks.rejected.Count(), tc.want)
				refused := m.tooLarge
				time.Sleep(time.Minute)
				require.Equal(t, refused, m.tooLarge, "it is not written again")
				h.mu.Lock()
				h.failItem("j1", j, "i3", "maxWait")
				h.failItem("j1", j, "i3", "maxWait")
				h.mu.Unlock()
				time.Sleep(time.Second)
				listed := h.listedOf(j)
				require.Len(t, listed, 20)
				require.Equal(t, batch.Result{Item: "i3", State: batch.Failed}, listed[19])
			})
		})
	}
}

// Guards against a job whose reads stay undecided, since the object service has refused the last chunk for its content.
func TestRejectedChunkLeavesNothingUnresolved(t *testing.T) {
	const limit = 64 << 10
	synctest.Test(t, func(t *testing.T) {
		m, c := newMemory()
		m.maxBytes, c.ValueBytes = limit, 2*limit
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Second) }()
		h, j := newListingHome(ctx, t, c, 1)
		h.finishAll(j, strings.Repeat("x", limit))
		time.Sleep(3 * time.Second)
		require.Empty(t, h.listedOf(j))
		h.mu.Lock()
		defer h.mu.Unlock()
		require.False(t, j.unresolved(time.Now()))
		require.False(t, j.writing)
	})
}

// Guards against results that are never listed after a write that was executed and not answered: the repetition is told that the
// object exists, without the object.
func TestResultsAfterAnUnansweredWriteAreListed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reads []error
		// stored is the chunk that is there already; nil means none.
		stored *batch.Chunk
		// within is the time until all are listed.
		within time.Duration
	}{
		{"read back", nil, nil, time.Second},
		{"read back late", []error{store.ErrUnavailable, store.ErrUnavailable, store.ErrUnavailable}, nil, 3 * time.Second},
		{"read that finds nothing", []error{store.ErrNotFound, store.ErrNotFound}, nil, 3 * time.Second},
		{"chunk of an earlier home", nil, &batch.Chunk{Term: 1, Results: []batch.Result{{Item: "i0", State: batch.Completed, Text: "x"}}}, time.Second},
		{"seal of an earlier home", nil, &batch.Chunk{Term: 1}, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, c := newMemory()
				lost := map[string]bool{}
				m.unanswered = func(kind, name string) bool {
					first := !lost[kind+name]
					lost[kind+name] = true
					return first
				}
				m.readFaults = tc.reads
				if tc.stored != nil {
					b, err := plainjson.Marshal(tc.stored)
					require.NoError(t, err)
					m.objects[resultsKind("j1")+"/"+chunkName(0)] = object.Object{Name: chunkName(0), Spec: b}
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); time.Sleep(5 * time.Second) }()
				h, j := newListingHome(ctx, t, c, 10)
				h.finishAll(j, "x")
				time.Sleep(maxGather + tc.within)
				require.Len(t, h.listedOf(j), 10)
				h.mu.Lock()
				defer h.mu.Unlock()
				require.False(t, j.writing)
			})
		})
	}
}

// Guards against a job that counts as being written for ever, since the chunk that is stored at its position can't be read.
func TestResultsBehindAnUnreadableChunkAreListedOnceItIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, c := newMemory()
		key := resultsKind("j1") + "/" + chunkName(0)
		m.objects[key] = object.Object{Name: chunkName(0), Spec: []byte(`{"from":7}`)}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(5 * time.Second) }()
		h, j := newListingHome(ctx, t, c, 10)
		h.finishAll(j, "x")
		time.Sleep(time.Minute)
		require.Empty(t, h.listedOf(j))
		require.Less(t, m.reads, 60, "it is read less and less often")
		m.mu.Lock()
		delete(m.objects, key)
		m.mu.Unlock()
		time.Sleep(2 * lastLoadPause)
		require.Len(t, h.listedOf(j), 10)
	})
}

// Guards against a job that a home doesn't load in one go, since its seal was executed without an answer or an earlier home has
// appended meanwhile.
func TestSealGoesOnAfterAConflict(t *testing.T) {
	for _, tc := range []struct {
		name   string
		found  batch.Chunk
		want   error
		listed int
	}{
		{"own seal", batch.Chunk{Term: 2}, nil, 0},
		{"results of an earlier home", batch.Chunk{Term: 1, Results: []batch.Result{{Item: "i0", State: batch.Completed}}}, nil, 1},
		{"seal of a later home", batch.Chunk{Term: 3}, errReplaced, 0},
		{"chunk that can't be read", batch.Chunk{From: 7, Term: 1}, errUnreadable, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, c := newMemory()
			b, err := plainjson.Marshal(tc.found)
			require.NoError(t, err)
			m.objects[resultsKind("j1")+"/"+chunkName(0)] = object.Object{Name: chunkName(0), Spec: b}
			h := &Home{opts: Options{Objects: c, Term: 2, Log: zerolog.Nop()}}
			log, err := h.seal(t.Context(), batch.NewLog(batch.Job{ID: "j1", Items: []batch.Item{{ID: "i0"}, {ID: "i1"}}}))
			require.ErrorIs(t, err, tc.want)
			if tc.want == nil {
				require.NoError(t, err)
				require.EqualValues(t, 2, log.Term())
			}
			require.Equal(t, tc.listed, log.Len())
		})
	}
}
