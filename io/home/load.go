package home

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"mothcart/core/batch"
	"mothcart/core/tombstone"
	"mothcart/io/clock"
	"mothcart/io/object"
	"mothcart/io/store"
)

const (
	// loadConcurrency is the number of jobs that are read at the same time.
	loadConcurrency = 16
	// loadInterval is the least time between the starts of two loads, each of which writes once, so that leases, jobs and ends
	// get through beside them.
	loadInterval = 5 * time.Millisecond
	// lastLoadPause bounds the time until a job, or a chunk of its results, that could not be read is read again, which doubles
	// with each failure from retryPause on.
	lastLoadPause = 3200 * time.Millisecond
	// loadPatience is how long the home counts as loading for the sake of jobs that can't be read.
	loadPatience = 10 * time.Second
)

// loading is a job that the home knows by its object and has not loaded yet. It is used under the home's mutex, but for what
// never changes and for stale, which only the goroutine that reads the job uses.
type loading struct {
	// o is the newest copy of the object; job is the job in it without its items, whose tokens are tokens. The latter two
	// never change.
	o      object.Object
	job    batch.Job
	tokens int64
	// isNew reports that the watch has delivered the creation of the job, so that no earlier home has written results.
	isNew bool
	// stale reports that the object must be read again before the job is loaded.
	stale bool
	// initial reports that the home counts as loading until the job is loaded.
	initial bool
	since   time.Time
	// failures counts the attempts to read the job; broken reports that another one can't help.
	failures int
	broken   bool
	// cancel ends the attempt in progress.
	cancel context.CancelFunc
}

type loadMetrics struct {
	// loading is the number of jobs that are not loaded yet, unread that of those which could not be read so far.
	loading, unread metrics.Gauge
	// obsolete counts copies of jobs that were older than what the home had been told.
	obsolete metrics.Counter
}

func newLoadMetrics(r metrics.Registry) loadMetrics {
	return loadMetrics{
		loading: metrics.GetOrRegisterGauge("home.jobsLoading", r), unread: metrics.GetOrRegisterGauge("home.jobsUnread", r),
		obsolete: metrics.GetOrRegisterCounter("home.obsoleteJobs", r),
	}
}

// decodeHead returns the job in an object without its items, and the sum of their tokens.
func decodeHead(o object.Object) (batch.Job, int64, error) {
	var head struct {
		Host       string `json:"host"`
		Path       string `json:"path"`
		Account    string `json:"account"`
		Parts      int    `json:"parts"`
		PartTokens int64  `json:"partTokens"`
		Items      []struct {
			Tokens int64 `json:"tokens"`
		} `json:"items"`
	}
	if err := json.Unmarshal(o.Spec, &head); err != nil {
		return batch.Job{ID: o.Name}, 0, merry.Errorf("decode head of job %s: %w: %w", o.Name, errUnreadable, err)
	}
	tokens := head.PartTokens
	for _, i := range head.Items {
		tokens += i.Tokens
	}
	return batch.Job{ID: o.Name, Host: head.Host, Path: head.Path, Account: head.Account, Parts: head.Parts}, tokens, nil
}

// decodeWhole returns the job in an object with the items that the object holds, and the sum of all items' tokens.
func decodeWhole(o object.Object) (batch.Job, int64, error) {
	var job batch.Job
	if err := json.Unmarshal(o.Spec, &job); err != nil {
		return batch.Job{ID: o.Name}, 0, merry.Errorf("decode job %s: %w: %w", o.Name, errUnreadable, err)
	}
	job.ID = o.Name
	return job, job.Tokens() + job.PartTokens, nil
}

// queueLoad records a job that is to be loaded; the mutex is held.
func (h *Home) queueLoad(l *loading) {
	h.loading[l.job.ID] = l
	delete(h.reserved, l.job.ID)
	if l.broken {
		return
	}
	l.since, l.initial = h.opts.Now(), !h.listedOnce
	if l.initial {
		h.initialLoads++
	}
	h.loadQueue = append(h.loadQueue, l)
	h.startLoaders()
}

// startLoaders starts goroutines that load the queued jobs; the mutex is held.
func (h *Home) startLoaders() {
	if !h.hintRead || h.ctx.Err() != nil {
		return
	}
	for range min(loadConcurrency-h.loaders, len(h.loadQueue)) {
		h.loaders++
		h.done.Go(h.runLoader)
	}
}

// runLoader loads queued jobs until none is left.
func (h *Home) runLoader() {
	for {
		h.mu.Lock()
		l := h.nextLoad()
		if l == nil {
			h.loaders--
			h.mu.Unlock()
			return
		}
		now := h.opts.Now()
		startAt := h.nextLoadAt
		if startAt.Before(now) {
			startAt = now
		}
		h.nextLoadAt = startAt.Add(loadInterval)
		ctx, cancel := context.WithTimeout(h.ctx, startAt.Sub(now)+loadTimeout)
		l.cancel = cancel
		h.mu.Unlock()
		if !startAt.After(now) || clock.Sleep(ctx, startAt.Sub(now)) == nil { // else it needs to be loaded no longer
			h.tryLoad(ctx, l)
		}
		cancel()
	}
}

// nextLoad takes a job from the queue; nil if there is none or the home ends. The mutex is held.
func (h *Home) nextLoad() *loading {
	for len(h.loadQueue) > 0 && h.ctx.Err() == nil {
		l := h.loadQueue[0]
		h.loadQueue = h.loadQueue[1:]
		if h.loading[l.job.ID] == l {
			return l
		}
	}
	return nil
}

// tryLoad reads a job and its results and starts its open items.
func (h *Home) tryLoad(ctx context.Context, l *loading) {
	if l.stale && !h.readAgain(ctx, l) {
		return
	}
	h.mu.Lock()
	o := l.o
	h.mu.Unlock()
	log, err := decodeJob(ctx, h.opts.Objects, o)
	if err == nil && !l.isNew {
		log, err = LoadChunks(ctx, h.opts.Objects, log)
		if err == nil {
			log, err = h.seal(ctx, log)
		}
	}
	if err != nil {
		h.loadFailed(l, err)
		return
	}
	h.mu.Lock()
	if h.loading[o.Name] != l {
		h.mu.Unlock()
		return // ended or removed while it was read
	}
	h.endLoading(l)
	if len(log.Open()) == 0 {
		h.listed.add(o.Name, o.Created)
	}
	h.hold(o, log, l.job.Parts > 0)
	h.mu.Unlock()
	h.startItems(o.Name)
}

// readAgain reads the object of a job whose copy may be obsolete. It reports whether the job is still to be loaded.
func (h *Home) readAgain(ctx context.Context, l *loading) bool {
	name, readAt := l.job.ID, h.opts.Now()
	h.mu.Lock()
	known := l.o.Revision
	h.mu.Unlock()
	o, err := h.opts.Objects.Get(ctx, KindJobs, name)
	if errors.Is(err, store.ErrNotFound) {
		h.dropJob(name, known)
	}
	if err != nil {
		h.loadFailed(l, err) // without effect if the job was dropped
		return false
	}
	l.stale = false
	h.mu.Lock()
	h.tombstones.Confirm(name, readAt)
	h.mu.Unlock()
	h.applyJob(o, byListing)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loading[name] == l
}

// loadFailed queues a job again that could not be read, after a pause.
func (h *Home) loadFailed(l *loading, err error) {
	h.mu.Lock()
	if h.loading[l.job.ID] != l || h.ctx.Err() != nil {
		h.mu.Unlock()
		return
	}
	pause := min(retryPause<<min(l.failures, 8), lastLoadPause)
	l.failures++
	l.stale = true
	l.broken = errors.Is(err, errUnreadable) || errors.Is(err, errReplaced)
	if l.broken {
		h.awaitNoLonger(l)
	}
	h.opts.Log.Warn().Str("job", l.job.ID).Int64("revision", int64(l.o.Revision)).Int("failures", l.failures).Bool("broken", l.broken).Err(err).Msg("jobNotRead")
	broken := l.broken
	h.mu.Unlock()
	if broken {
		return
	}
	h.done.Go(func() {
		if clock.Sleep(h.ctx, pause) != nil {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.loadQueue = append(h.loadQueue, l)
		h.startLoaders()
	})
}

// endLoading forgets a job that is loaded, or needs to be loaded no longer; the mutex is held.
func (h *Home) endLoading(l *loading) {
	delete(h.loading, l.job.ID)
	if l.cancel != nil {
		l.cancel()
	}
	h.awaitNoLonger(l)
}

// awaitNoLonger records that the home counts as loaded without a job; the mutex is held.
func (h *Home) awaitNoLonger(l *loading) {
	if l.initial {
		l.initial = false
		h.initialLoads--
		h.noteLoaded()
	}
}

// noteLoaded records that the home has loaded the jobs that existed at its start; the mutex is held.
func (h *Home) noteLoaded() {
	if h.loaded || !h.hintRead || h.initialLoads > 0 {
		return
	}
	h.loaded = true
	open := 0
	for _, j := range h.jobs {
		if !j.log.Done() {
			open++
		}
	}
	h.opts.Log.Info().Int("jobs", len(h.jobs)+len(h.unloaded)).Int("open", open).Int("unread", len(h.loading)).
		Dur("tookMillis", h.opts.Now().Sub(h.startedAt)).Msg("jobsLoaded")
}

// sweepLoads stops waiting for jobs that can't be read, and updates the metrics.
func (h *Home) sweepLoads(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tombstones.Expire(now)
	h.sweepProgress(now)
	unread := 0
	for name, l := range h.loading {
		if l.failures == 0 && !l.broken {
			continue
		}
		unread++
		if l.initial && now.Sub(l.since) > loadPatience {
			h.opts.Log.Error().Str("job", name).Int("failures", l.failures).Msg("jobMissing")
			h.awaitNoLonger(l)
		}
	}
	h.metrics.loads.loading.Update(int64(len(h.loading)))
	h.metrics.loads.unread.Update(int64(unread))
}

// seal writes an empty chunk of this home's term at the position at which an earlier home would append its
// next results, so that no results are listed that this home doesn't have. What an earlier home has appended meanwhile is appended
// to the log before.
func (h *Home) seal(ctx context.Context, log batch.Log) (batch.Log, error) {
	id := log.Job().ID
	for {
		if log.Term() > h.opts.Term {
			return log, merry.Errorf("job %s is at the home of term %d: %w", id, log.Term(), errReplaced)
		}
		c := batch.Chunk{From: log.Len(), Term: h.opts.Term}
		o, err := object.CreateConfirmed(ctx, h.opts.Objects, resultsKind(id), chunkName(log.Chunks()), c)
		switch {
		case err == nil:
			return log.WithChunk(c)
		case !errors.Is(err, store.ErrConflict):
			return log, merry.Errorf("seal results of job %s: %w", id, err)
		}
		next, err := withObject(log, o)
		if err == nil && next.Chunks() == log.Chunks() {
			err = merry.Errorf("object %q stands for chunk %d: %w", o.Name, log.Chunks(), errUnreadable)
		}
		if err != nil {
			return log, merry.Errorf("seal results of job %s: %w", id, err)
		}
		log = next
	}
}

// judge returns what a copy of a job is worth by what the home was told before; the mutex is held.
func (h *Home) judge(o object.Object) tombstone.Verdict {
	return h.tombstones.Judge(h.opts.Now(), o.Name, int64(o.Revision))
}
