package home

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/plainjson"
	"mothcart/core/poison"
	"mothcart/core/slot"
	"mothcart/io/object"
)

// countTexts counts the size of the progress of all jobs' runs, in bytes, and how many have any.
func countTexts(h *Home) (held int64, holders int) {
	for _, j := range h.jobs {
		for _, r := range j.runs {
			if n := r.text.Len(); n > 0 {
				held += int64(n)
				holders++
			}
		}
	}
	return held, holders
}

// textSeries drives a home, and the homes after it, with events that items' progress comes and goes with.
type textSeries struct {
	t        *testing.T
	random   *rand.Rand
	objects  *memory
	client   object.Client
	limit    int64
	revision object.Revision
	home     *Home
	end      context.CancelFunc
	// seen holds all runs that the home has had, kept those of them that had progress at some time.
	seen map[*run]bool
	kept int
}

const seriesItems = 6

func newTextSeries(t *testing.T, seed uint64) *textSeries {
	s := &textSeries{t: t, random: rand.New(rand.NewPCG(seed, 52)), limit: int64(seed%2) * 4 << 10}
	s.objects, s.client = newMemory()
	s.client.ValueBytes = 3 << 10 // some results are larger
	s.client.Delete = func(_ context.Context, kind, name string) error {
		s.objects.mu.Lock()
		defer s.objects.mu.Unlock()
		delete(s.objects.objects, kind+"/"+name)
		return nil
	}
	s.client.Put = func(_ context.Context, kind, name string, _ any, _ object.Revision) (object.Object, error) {
		return object.Object{Name: name}, nil
	}
	s.startHome(1, nil)
	return s
}

// startHome starts the home of a term that takes over progress.
func (s *textSeries) startHome(term int64, taken []ItemProgress) {
	ctx, cancel := context.WithCancel(s.t.Context())
	h := newLoadingHome(ctx, s.client)
	registry := metrics.NewRegistry()
	h.opts.Term, h.opts.TextBytes, h.opts.ResultRetention, h.startedAt = term, s.limit, 30*time.Second, time.Now()
	h.metrics.results, h.metrics.chunks = metrics.NewCounter(), newChunkMetrics(registry)
	h.metrics.textsDropped, h.metrics.restarts = metrics.NewCounter(), metrics.NewCounter()
	h.metrics.refusedJobs, h.metrics.refusedJobsRan = metrics.NewCounter(), metrics.NewCounter()
	h.pool = NewSlotPool(slot.NewOptions(), time.Now, func([]poison.Finding) {}, func([]slot.LimitChange) {})
	h.progress, h.hintRead = make(map[[2]string]ItemProgress), true
	h.mergeProgress("home", taken)
	close(h.progressLoaded)
	s.home, s.end, s.seen = h, cancel, make(map[*run]bool)
	h.applyJobs(object.Change{Listed: true, At: s.revision, Objects: s.stored()})
}

func (s *textSeries) stop() {
	s.end()
	s.home.pool.Close()
	s.home.done.Wait()
}

// stored returns the jobs that exist.
func (s *textSeries) stored() []object.Object {
	s.objects.mu.Lock()
	defer s.objects.mu.Unlock()
	var out []object.Object
	for key, o := range s.objects.objects {
		if strings.HasPrefix(key, KindJobs+"/") {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (s *textSeries) anyJob() string { return fmt.Sprint("j", s.random.IntN(5)) }

func (s *textSeries) anyText() string { return strings.Repeat("x", s.random.IntN(1500)) }

// submit stores a job, in the place of one with its ID, and tells the home, maybe.
func (s *textSeries) submit() {
	s.revision++
	job := batch.Job{AcceptedAt: time.Now()}
	for i := range seriesItems {
		job.Items = append(job.Items, batch.Item{ID: fmt.Sprint("i", i)})
	}
	spec, err := plainjson.Marshal(job)
	require.NoError(s.t, err)
	o := object.Object{Name: s.anyJob(), Revision: s.revision, Created: s.revision, Spec: spec}
	s.store(o)
	if s.random.IntN(4) > 0 {
		s.home.applyJobs(object.Change{Events: []object.Event{{Object: o}}})
	}
}

// store stores a job without the results of another one that had its ID.
func (s *textSeries) store(o object.Object) {
	s.objects.mu.Lock()
	defer s.objects.mu.Unlock()
	maps.DeleteFunc(s.objects.objects, func(key string, _ object.Object) bool { return strings.HasPrefix(key, resultsKind(o.Name)+"/") })
	s.objects.objects[KindJobs+"/"+o.Name] = o
}

// list shows the home all jobs that exist.
func (s *textSeries) list() {
	s.home.applyJobs(object.Change{Listed: true, At: s.revision, Objects: s.stored()})
}

// remove removes a job.
func (s *textSeries) remove() {
	s.revision++
	id := s.anyJob()
	_ = s.client.Delete(s.t.Context(), KindJobs, id)
	if s.random.IntN(4) > 0 {
		s.home.applyJobs(object.Change{Events: []object.Event{{Object: object.Object{Name: id, Revision: s.revision}, Deleted: true}}})
	}
}

// endJob ends a job, of which the home learns by a notice or by the watch.
func (s *textSeries) endJob() {
	id := s.anyJob()
	o, err := s.client.Get(s.t.Context(), KindJobs, id)
	if err != nil {
		return
	}
	s.revision++
	o.Revision, o.Status = s.revision, json.RawMessage(`{"ended":true}`)
	s.objects.mu.Lock()
	s.objects.objects[KindJobs+"/"+id] = o
	s.objects.mu.Unlock()
	if s.random.IntN(2) == 0 {
		s.home.endJob(id, End{Revision: o.Revision, Created: o.Created}, byNotice)
		return
	}
	s.home.applyJobs(object.Change{Events: []object.Event{{Object: o}}})
}

// anyRun returns one of the runs that the home has had, also of items and jobs that have ended; nil if there is none.
func (s *textSeries) anyRun() *run {
	runs := slices.SortedFunc(maps.Keys(s.seen), func(a, b *run) int {
		return strings.Compare(fmt.Sprint(a.job, a.item.ID, a.number()), fmt.Sprint(b.job, b.item.ID, b.number()))
	})
	if len(runs) == 0 {
		return nil
	}
	return runs[s.random.IntN(len(runs))]
}

// number tells the runs of an item apart that it had one after another.
func (r *run) number() uint64 { return r.key.ID }

// endAttempt ends an attempt at an item.
func (s *textSeries) endAttempt() {
	r := s.anyRun()
	if r == nil {
		return
	}
	out := itemOutcome{Status: http.StatusOK}
	switch s.random.IntN(12) {
	case 0:
		out.Complete = true
	case 1:
		out.Status = http.StatusUnprocessableEntity
	case 2:
		out.Status = http.StatusInternalServerError
	case 3:
		out.Dropped = true
	}
	if !out.Dropped && s.random.IntN(5) > 0 {
		out.Events, out.LastEventID, out.Text = 1+s.random.IntN(3), "1", s.anyText()
		if s.random.IntN(10) == 0 {
			out.Text = strings.Repeat("x", 300<<10)
		}
	}
	s.home.completeAttempt(r, out, time.Second, s.random.IntN(2) == 0)
}

// restart begins an item again whose software version is gone.
func (s *textSeries) restart() {
	if r := s.anyRun(); r != nil {
		s.home.restart(r)
	}
}

// writeAsOther writes results of a job as an earlier or a later home does.
func (s *textSeries) writeAsOther() {
	id := s.anyJob()
	s.home.mu.Lock()
	j := s.home.jobs[id]
	if j == nil {
		s.home.mu.Unlock()
		return
	}
	open, number := j.log.Open(), j.log.Chunks()
	chunk := batch.Chunk{From: j.log.Len(), Term: s.home.opts.Term - 1}
	s.home.mu.Unlock()
	if s.random.IntN(6) == 0 {
		chunk.Term += 2
	}
	for _, item := range open[:s.random.IntN(len(open)+1)] {
		chunk.Results = append(chunk.Results, batch.Result{Item: item.ID, State: batch.Completed, Text: "x"})
	}
	_, _ = s.client.Create(s.t.Context(), resultsKind(id), chunkName(number), chunk) // fails if this home was first
}

// sweep does what the home does at intervals.
func (s *textSeries) sweep() {
	now := time.Now()
	s.home.sweepJobs(now)
	s.home.sweepLoads(now)
	s.home.writeListed(now)
}

// changeHome makes another home take over, with or without the progress at this one.
func (s *textSeries) changeHome() {
	items := s.home.stopItems()
	s.check()
	s.stop()
	if s.random.IntN(4) == 0 {
		items = nil
	}
	s.startHome(s.home.opts.Term+1, items)
}

// check compares the sum that the home keeps with a count.
func (s *textSeries) check() {
	s.home.mu.Lock()
	defer s.home.mu.Unlock()
	held, holders := countTexts(s.home)
	require.Equal(s.t, held, s.home.texts.Held())
	require.Equal(s.t, holders, s.home.texts.Holders())
	s.kept = max(s.kept, holders)
	current := make(map[*run]bool)
	for _, j := range s.home.jobs {
		for _, r := range j.runs {
			current[r], s.seen[r] = true, true
		}
	}
	for r := range s.seen {
		require.True(s.t, current[r] || r.text.Len() == 0, "an item that is gone keeps no progress")
	}
}

// Guards against a sum of the items' progress that drifts from what is there, so that items lose their progress for no reason or a
// home runs out of memory.
func TestSumOfTextsMatchesACount(t *testing.T) {
	kept := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			s := newTextSeries(t, seed)
			steps := []func(){
				s.submit, s.submit, s.list, s.remove, s.endJob, s.restart, s.writeAsOther, s.sweep, s.changeHome,
				func() { time.Sleep(time.Duration(s.random.IntN(3000)) * time.Millisecond) },
			}
			for range 12 {
				steps = append(steps, s.endAttempt)
			}
			for range 400 {
				steps[s.random.IntN(len(steps))]()
				synctest.Wait()
				s.check()
			}
			kept += s.kept
			s.stop()
		})
	}
	require.Greater(t, kept, 40*seriesItems/2, "the series are to have items with progress")
}
