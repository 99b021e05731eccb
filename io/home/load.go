package home

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/io/object"
)

// applyJobs takes up jobs that were written or ended.
func (h *Home) applyJobs(c object.Change) {
	h.mu.Lock()
	owed := len(h.awaited)
	for _, o := range c.Objects {
		delete(h.awaited, o.Name)
	}
	owed -= len(h.awaited)
	for _, e := range c.Events {
		delete(h.awaited, e.Object.Name)
	}
	h.mu.Unlock()
	if owed > 0 {
		h.opts.Log.Warn().Int("jobs", owed).Int64("revision", int64(c.At)).Msg("watchOwesJobs")
	}
	if c.Listed {
		h.load(c.Objects)
		return
	}
	for _, e := range c.Events {
		if e.Deleted {
			h.forget(e.Object.Name)
			continue
		}
		h.take(e.Object)
	}
}

// loaders is the number of jobs whose results are read at the same time.
const loaders = 4

// load takes up all jobs; of those that may have open items also the results.
func (h *Home) load(objects []object.Object) {
	var group sync.WaitGroup
	limit := make(chan struct{}, loaders)
	for _, o := range objects {
		if h.knows(o.Name) {
			h.take(o) // a watch was lost and the kind is listed again; the job's state is here
			continue
		}
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			h.takeWithResults(o)
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

// takeWithResults takes a job up that may have results of an earlier home. One that needs no more runs
// is left to the object service.
func (h *Home) takeWithResults(o object.Object) {
	if s := decodeStatus(o); s.Listed || s.Ended {
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
			h.start(o, log)
			return
		}
		h.opts.Log.Warn().Str("job", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("jobNotRead")
		if errors.Is(err, errUnreadable) || errors.Is(err, errReplaced) {
			return
		}
		time.Sleep(retryPause)
	}
}

// seal takes the place that an earlier home would append the next results at, so that nothing is listed
// that this home doesn't know of.
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

// knows reports that a job has been taken up.
func (h *Home) knows(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id] != nil
}

const (
	// watchLag is how long the watch may owe a job before the kind is listed; a calm object service
	// tells of a change within a few milliseconds.
	watchLag = 300 * time.Millisecond
	// awaitLimit bounds the listings for a job that isn't there after all.
	awaitLimit = 5 * time.Second
)

// awaitJob notes that the object service holds a job.
func (h *Home) awaitJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, noted := h.awaited[id]; !noted && h.jobs[id] == nil {
		h.awaited[id] = h.opts.Now()
	}
}

// verifyJobs asks for listings while the watch owes a job.
func (h *Home) verifyJobs() time.Duration {
	now := h.opts.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	late := false
	for id, since := range h.awaited {
		age := now.Sub(since)
		if age > awaitLimit || h.jobs[id] != nil {
			delete(h.awaited, id)
			continue
		}
		late = late || age >= watchLag
	}
	if !late {
		return 0
	}
	return watchLag
}

// take takes up the change of a job: a new one has no results yet.
func (h *Home) take(o object.Object) {
	known := h.knows(o.Name)
	status := decodeStatus(o)
	switch {
	case known && status.Ended:
		h.endJob(o.Name)
	case known || status.Ended || status.Listed:
	default:
		ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
		defer cancel()
		log, err := decodeJob(ctx, h.opts.Objects, o)
		if err != nil {
			h.opts.Log.Error().Str("job", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("jobSkipped")
			return
		}
		h.start(o, log)
	}
}

// start runs the open items of a job.
func (h *Home) start(o object.Object, log batch.Log) {
	now := h.opts.Now()
	age := max(h.opts.TimeOfDay().Sub(log.Job().AcceptedAt), 0)
	h.mu.Lock()
	if known := h.jobs[o.Name]; known != nil {
		if log.Len() > known.log.Len() {
			known.setLog(log)
		}
		h.mu.Unlock()
		return
	}
	j := &job{
		log: log, changed: make(chan struct{}), runs: make(map[string]*run),
		acceptedAt: now.Add(-age), removeAt: now.Add(h.opts.ResultsKept - age),
	}
	route, ok := h.opts.Config().Match(log.Job().Host, log.Job().Path)
	if ok {
		j.maxRuns = route.MaxAttempts
	}
	h.jobs[o.Name] = j
	delete(h.reserved, o.Name)
	h.mu.Unlock()
	h.opts.Log.Info().Str("job", o.Name).Str("route", route.Name).Int("items", len(log.Job().Items)).Int("listed", log.Len()).
		Int64("revision", int64(o.Revision)).Dur("ageMillis", age).Dur("dueInMillis", route.Completion-age).Msg("jobTaken")
	h.startItems(o.Name)
}

func (h *Home) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		j.cutRuns()
		delete(h.jobs, id)
	}
}
