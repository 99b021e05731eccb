package home

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/io/clock"
	"mothcart/io/object"
	"mothcart/io/store"
)

// applyJobs applies changes of jobs from the object service.
func (h *Home) applyJobs(c object.Change) {
	h.mu.Lock()
	missed := len(h.undelivered)
	for _, o := range c.Objects {
		delete(h.undelivered, o.Name)
	}
	missed -= len(h.undelivered)
	for _, e := range c.Events {
		delete(h.undelivered, e.Object.Name)
	}
	h.mu.Unlock()
	if missed > 0 {
		h.opts.Log.Warn().Int("jobs", missed).Int64("revision", int64(c.At)).Msg("watchOwesJobs")
	}
	if c.Listed {
		h.load(c.Objects)
		return
	}
	for _, e := range c.Events {
		if e.Deleted {
			h.dropJob(e.Object.Name)
			continue
		}
		h.applyJob(e.Object, byWatch)
	}
}

// loadConcurrency is the number of jobs whose results are read at the same time.
const loadConcurrency = 4

// load loads all jobs, and the results of those that may have open items.
func (h *Home) load(objects []object.Object) {
	h.mu.Lock()
	first := !h.loaded
	h.mu.Unlock()
	if first {
		h.opts.Log.Info().Int("jobs", len(objects)).Int64("term", h.opts.Term).Msg("jobsLoading")
		h.loadListed(objects)
	}
	var group sync.WaitGroup
	limit := make(chan struct{}, loadConcurrency)
	for _, o := range objects {
		if h.hasJob(o.Name) {
			h.applyJob(o, byListing) // the kind is listed again; the home already has the job's results
			continue
		}
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			h.loadWithResults(o)
		})
	}
	group.Wait()
	h.mu.Lock()
	h.loaded = true
	open := 0
	for _, j := range h.jobs {
		if !j.log.Done() {
			open++
		}
	}
	h.mu.Unlock()
	h.opts.Log.Info().Int("jobs", len(objects)).Int("open", open).Msg("jobsLoaded")
}

// loadWithResults loads a job that may have results of an earlier home and starts its open items. A job that
// needs no more runs is not loaded; readers get it from the object service.
func (h *Home) loadWithResults(o object.Object) {
	if s := decodeStatus(o); s.Listed || s.Ended || h.listed.has(o.Name) {
		h.skipJob(o)
		return
	}
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
		log, err := decodeJob(ctx, h.opts.Objects, o)
		if err == nil {
			log, err = LoadChunks(ctx, h.opts.Objects, log)
		}
		if err == nil {
			log, err = h.seal(ctx, log)
		}
		cancel()
		if err == nil {
			h.startJob(o, log)
			return
		}
		h.opts.Log.Warn().Str("job", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("jobNotRead")
		if errors.Is(err, errUnreadable) || errors.Is(err, errReplaced) {
			return
		}
		time.Sleep(retryPause)
	}
}

// seal writes an empty chunk of this home's term at the position at which an earlier home would append its
// next results, so that no results are listed that this home doesn't have.
func (h *Home) seal(ctx context.Context, log batch.Log) (batch.Log, error) {
	id := log.Job().ID
	if log.Term() > h.opts.Term {
		return log, merry.Errorf("job %s is at the home of term %d: %w", id, log.Term(), errReplaced)
	}
	c := batch.Chunk{From: log.Len(), Term: h.opts.Term}
	_, err := object.CreateConfirmed(ctx, h.opts.Objects, resultsKind(id), chunkName(log.Chunks()), c)
	if err != nil {
		return log, merry.Errorf("seal results of job %s: %w", id, err)
	}
	return log.WithChunk(c)
}

// hasJob reports that a job has been loaded.
func (h *Home) hasJob(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id] != nil
}

const (
	// jobsWatchGap gathers the jobs of a large site, which come many a second; they are due many seconds later.
	jobsWatchGap = 200 * time.Millisecond
	// watchLag is how long the watch may take to deliver a stored job before the kind is listed; an object
	// service without load reports a change within a few milliseconds.
	watchLag = 300*time.Millisecond + jobsWatchGap
	// undeliveredLimit is how long the kind is listed for a job that neither the watch nor the listings
	// deliver.
	undeliveredLimit = 5 * time.Second
)

// noteStored records that the object service has stored a job that this home may not have received yet.
func (h *Home) noteStored(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, noted := h.undelivered[id]; !noted && h.jobs[id] == nil {
		h.undelivered[id] = h.opts.Now()
	}
}

// verifyJobs returns watchLag as the listing interval while the watch is late with a stored job, and 0
// otherwise.
func (h *Home) verifyJobs() time.Duration {
	now := h.opts.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	late := false
	for id, since := range h.undelivered {
		age := now.Sub(since)
		if age > undeliveredLimit || h.jobs[id] != nil {
			delete(h.undelivered, id)
			continue
		}
		late = late || age >= watchLag
	}
	if !late {
		return 0
	}
	return watchLag
}

// applyJob applies a change of a job. It starts a new job without reading results, since it has none yet.
func (h *Home) applyJob(o object.Object, way endWay) {
	exists := h.hasJob(o.Name)
	status := decodeStatus(o)
	switch {
	case exists && status.Ended:
		h.endJob(o.Name, status.End, way)
	case exists:
	case status.Ended || status.Listed || h.listed.has(o.Name):
		h.skipJob(o)
	default:
		ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
		defer cancel()
		log, err := decodeJob(ctx, h.opts.Objects, o)
		if err != nil {
			h.opts.Log.Error().Str("job", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("jobSkipped")
			if !errors.Is(err, errUnreadable) {
				h.done.Go(func() { h.readAgain(o.Name) })
			}
			return
		}
		h.startJob(o, log)
	}
}

// readAgain applies a job whose items could not be read.
func (h *Home) readAgain(id string) {
	for clock.Sleep(h.ctx, retryPause) == nil {
		ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
		o, err := h.opts.Objects.Get(ctx, KindJobs, id)
		cancel()
		if err == nil {
			h.applyJob(o, byListing)
		}
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return
		}
	}
}

// startJob adds a job and starts its open items.
func (h *Home) startJob(o object.Object, log batch.Log) {
	now := h.opts.Now()
	age := max(h.opts.TimeOfDay().Sub(log.Job().AcceptedAt), 0)
	h.mu.Lock()
	if current := h.jobs[o.Name]; current != nil {
		if log.Len() > current.log.Len() {
			current.setLog(log)
		}
		h.mu.Unlock()
		return
	}
	if _, done := h.unloaded[o.Name]; done {
		h.mu.Unlock()
		return // it was ended while its items were read again
	}
	j := &job{
		log: log.WithoutListedBodies(), parted: len(log.Job().Split(jobBytes)) > 1, changed: make(chan struct{}), runs: make(map[string]*run),
		acceptedAt: now.Add(-age), removeAt: now.Add(h.opts.ResultRetention - age),
	}
	route, ok := h.opts.Config().Match(log.Job().Host, log.Job().Path)
	if ok {
		j.maxRuns = route.MaxAttempts
		j.dueAt = j.acceptedAt.Add(route.Completion)
	}
	h.jobs[o.Name] = j
	delete(h.reserved, o.Name)
	j.refused = h.noteSubmission(o.Name)
	h.mu.Unlock()
	h.opts.Log.Info().Str("job", o.Name).Str("route", route.Name).Int("items", len(log.Job().Items)).Int("listed", log.Len()).
		Int64("revision", int64(o.Revision)).Dur("ageMillis", age).Dur("dueInMillis", route.Completion-age).Msg("jobTaken")
	h.startItems(o.Name)
}

// skipJob records a job that needs no more runs, so that it is not refused when its caller sends it again.
func (h *Home) skipJob(o object.Object) {
	owner, err := decodeOwner(o)
	if err != nil {
		h.opts.Log.Error().Str("job", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("jobSkipped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unloaded[o.Name] = owner
	h.noteSubmission(o.Name)
}

func (h *Home) dropJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unloaded, id)
	if j := h.jobs[id]; j != nil {
		j.cancelRuns()
		delete(h.jobs, id)
	}
}
