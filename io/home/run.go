package home

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"mothcart/core/batch"
	"mothcart/core/slot"
	"mothcart/io/object"
	"mothcart/io/store"
)

const (
	// batchOwner is the owner of the home's own requests for slots.
	batchOwner = "batch"
	// retryPause is the time before a slot is asked for again for an item that failed or was refused, and
	// before a write or a read is repeated.
	retryPause = 100 * time.Millisecond
	// gatherShare is the share of the time until its due time for which a job's finished items wait for others,
	// so that one write lists them together. minGather and maxGather bound that wait; items of a job that is late
	// wait for lateGather.
	gatherShare = 1.0 / 8
	minGather   = 100 * time.Millisecond
	maxGather   = 500 * time.Millisecond
	lateGather  = 500 * time.Millisecond
	// chunkBytes bounds the texts of one chunk, in bytes; an object of the object service holds 1 MB.
	chunkBytes = 600 << 10
	// writeTimeout bounds the attempts at one write before the failure is logged; the writes of chunks and
	// retirements are then repeated.
	writeTimeout = 4 * time.Second
)

// run is the execution of one item until it has a result, over all its attempts.
type run struct {
	job  string
	item batch.Item
	key  slot.Key
	// cancel ends the attempt in progress; nil while the item waits.
	cancel context.CancelCauseFunc
	// text, events and lastID are the progress of the stream that ended attempts made.
	text     bytes.Buffer
	events   int
	lastID   string
	failures int
	// silences counts the last attempts in a row that were idle for too long without an event.
	silences int
	// preemptedEarly reports that the slot went to an online request before the attempt started.
	preemptedEarly bool
	// ranFor is the total duration of the attempts that made the progress.
	ranFor time.Duration
	// received is what the attempt in progress has received; nil while the item waits.
	received *stream
	ended    bool
	// sentBytes is how much of the text was sent to the standbys, in bytes; resultSent reports that the
	// result was.
	sentBytes  int
	resultSent bool
}

// startItems asks for a slot for each open item that has no run.
func (h *Home) startItems(id string) {
	select {
	case <-h.progressLoaded:
	case <-h.ctx.Done():
		return
	}
	h.mu.Lock()
	j := h.jobs[id]
	var started []*run
	if j != nil {
		for _, item := range j.log.Open() {
			if j.runs[item.ID] == nil {
				r := &run{job: id, item: item}
				j.runs[item.ID] = r
				if !h.resume(j, r) {
					started = append(started, r)
				}
			}
		}
	}
	h.mu.Unlock()
	for _, r := range started {
		h.askSlot(r)
	}
}

// askSlot asks for a slot for an item. Without a batch route for the job it tries again after sweepInterval.
func (h *Home) askSlot(r *run) {
	h.mu.Lock()
	j := h.jobs[r.job]
	if j == nil || r.ended || h.replaced || h.ctx.Err() != nil {
		h.mu.Unlock()
		return
	}
	host, path, acceptedAt := j.log.Job().Host, j.log.Job().Path, j.acceptedAt
	r.key = slot.Key{Owner: batchOwner, ID: h.nextID.Add(1)}
	key, ran := r.key, r.ranFor
	h.mu.Unlock()
	route, service, ok := h.pickService(host, path)
	if !ok {
		time.AfterFunc(sweepInterval, func() { h.askSlot(r) })
		return
	}
	h.pool.Ask(slot.Request{
		Key: key, Service: service, Batch: true, Priority: route.Priority, Order: acceptedAt.Add(route.Completion),
		Ran: ran, AvailabilityZone: h.opts.AvailabilityZone,
	}, asker{
		granted:   func(g slot.Grant) { h.startRun(r, g) },
		refused:   func(slot.Refusal) { time.AfterFunc(retryPause, func() { h.askSlot(r) }) },
		preempted: func() { h.preempt(r) },
	})
}

// startRun starts an attempt with a granted slot.
func (h *Home) startRun(r *run, g slot.Grant) {
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.mu.Lock()
	ended, preempted := r.ended || h.replaced, r.preemptedEarly
	r.preemptedEarly = false
	if !ended && !preempted {
		r.cancel = cancel
	}
	h.mu.Unlock()
	if ended || preempted {
		cancel(errCancelled)
		h.pool.Release(g.Request.Key, slot.Abandoned)
		h.askSlot(r)
		return
	}
	h.metrics.runs.Inc(1)
	go func() {
		defer cancel(nil)
		h.attempt(ctx, r, g)
	}()
}

func (h *Home) preempt(r *run) {
	h.metrics.preemptions.Inc(1)
	h.mu.Lock()
	cancel := r.cancel
	r.preemptedEarly = cancel == nil
	h.mu.Unlock()
	if cancel != nil {
		cancel(errCancelled)
	}
}

// cancelRuns ends all runs of a job and returns how many had an attempt in progress; the mutex is held.
func (j *job) cancelRuns() int {
	running := 0
	for id, r := range j.runs {
		r.ended = true
		if r.cancel != nil {
			r.cancel(errCancelled)
			running++
		}
		delete(j.runs, id)
	}
	return running
}

// attempt runs an item at one upstream and resumes it after its last event.
func (h *Home) attempt(ctx context.Context, r *run, g slot.Grant) {
	h.mu.Lock()
	j := h.jobs[r.job]
	if j == nil || r.ended {
		h.mu.Unlock()
		h.pool.Release(g.Request.Key, slot.Abandoned)
		return
	}
	call := itemCall{
		ID: r.item.ID, Host: j.log.Job().Host, Path: r.item.Path, Header: r.item.Header, Body: r.item.Body,
		Upstream: g.Upstream, LastEventID: r.lastID, IdleTimeout: min(itemIdleTimeout<<min(r.silences, 8), maxItemIdleTimeout),
	}
	got := new(stream)
	r.received = got
	h.mu.Unlock()
	startedAt := h.opts.Now()
	out, runner := h.execute(ctx, call, got)
	took := h.opts.Now().Sub(startedAt)
	cancelled := errors.Is(context.Cause(ctx), errCancelled)
	h.pool.Release(g.Request.Key, out.Result)
	h.opts.Log.Info().Str("job", r.job).Str("item", r.item.ID).Str("upstream", g.Upstream.ID).Int64("incarnation", g.Upstream.Incarnation).
		Str("version", g.Upstream.Version).Str("runner", runner).Str("from", call.LastEventID).Str("to", out.LastEventID).Int("status", out.Status).Bool("cut", cancelled).
		Int("failures", r.failures).Dur("tookMillis", took).Str("error", out.Err).Msg("itemAttempt")
	h.completeAttempt(r, out, took, cancelled)
}

// addProgress adds the progress of an attempt.
func (r *run) addProgress(out itemOutcome, took time.Duration) {
	if out.Events == 0 {
		return
	}
	r.ranFor += took
	if r.events > 0 {
		r.text.WriteByte('\n')
	}
	r.text.WriteString(out.Text)
	r.events += out.Events
	r.lastID = out.LastEventID
}

// completeAttempt decides what follows an attempt.
func (h *Home) completeAttempt(r *run, out itemOutcome, took time.Duration, cancelled bool) {
	h.mu.Lock()
	j := h.jobs[r.job]
	if j == nil || r.ended || h.ctx.Err() != nil {
		h.mu.Unlock()
		return
	}
	r.cancel, r.received = nil, nil
	r.addProgress(out, took)
	if !cancelled && out.Status == http.StatusInternalServerError && !out.NotRun {
		r.failures++
	}
	switch {
	case out.Events > 0:
		r.silences = 0
	case out.Silent:
		r.silences++
	}
	switch {
	case out.Complete:
		h.finish(r.job, j, batch.Result{Item: r.item.ID, State: batch.Completed, Text: r.text.String()})
	case out.Status == http.StatusUnprocessableEntity && !out.NotRun:
		h.failItem(r.job, j, r.item.ID, "notDoable")
	case j.maxRuns > 0 && r.failures >= j.maxRuns:
		h.failItem(r.job, j, r.item.ID, "failed")
	default:
		h.mu.Unlock()
		if cancelled {
			h.askSlot(r)
		} else {
			time.AfterFunc(retryPause, func() { h.askSlot(r) })
		}
		return
	}
	h.mu.Unlock()
}

// failItem finishes an item as failed; the mutex is held.
func (h *Home) failItem(id string, j *job, item, reason string) {
	h.opts.Log.Warn().Str("job", id).Str("item", item).Str("reason", reason).Msg("itemGivenUp")
	h.finish(id, j, batch.Result{Item: item, State: batch.Failed})
}

// finish ends the run of an item and schedules the write of its result; the mutex is held.
func (h *Home) finish(id string, j *job, result batch.Result) {
	if r := j.runs[result.Item]; r != nil {
		if r.ended {
			return
		}
		r.ended = true
		if r.cancel != nil {
			r.cancel(errCancelled)
		}
		r.text, r.item.Body, r.item.Header = bytes.Buffer{}, nil, nil
		key := r.key
		time.AfterFunc(0, func() { h.pool.Release(key, slot.Abandoned) })
	}
	h.metrics.results.Inc(1)
	j.finished = append(j.finished, result)
	pause := gatherTime(j.dueAt.Sub(h.opts.Now()))
	if len(j.finished)+j.log.Len() == len(j.log.Job().Items) {
		pause = 0
	}
	switch {
	case !j.writing:
		j.writing = true
		j.gathering = time.AfterFunc(pause, func() { h.writeResults(id) })
	case pause == 0 && j.gathering.Stop():
		j.gathering.Reset(0)
	}
}

// gatherTime returns how long finished items of a job wait for others, by the time that the job has left.
func gatherTime(remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return lateGather
	}
	return min(max(time.Duration(float64(remaining)*gatherShare), minGather), maxGather)
}

// writeResults writes the finished items of a job in chunks until none is left.
func (h *Home) writeResults(id string) {
	for {
		h.mu.Lock()
		j := h.jobs[id]
		if j == nil {
			h.mu.Unlock()
			return
		}
		chunk := j.nextChunk()
		chunk.Term = h.opts.Term
		number := j.log.Chunks()
		if len(chunk.Results) > 0 {
			j.chunkStartedAt = h.opts.Now()
		}
		if len(chunk.Results) == 0 || j.log.Ended() {
			j.writing = false
			listed := j.log.Len() == len(j.log.Job().Items)
			h.mu.Unlock()
			if listed {
				h.listed.add(id)
			}
			return
		}
		h.mu.Unlock()
		if !h.writeChunk(id, number, chunk) {
			return
		}
	}
}

// nextChunk returns the chunk of finished items that is written next; it has no results if there are none.
func (j *job) nextChunk() batch.Chunk {
	c := batch.Chunk{From: j.log.Len()}
	size := 0
	for _, r := range j.finished {
		size += len(r.Text)
		if len(c.Results) > 0 && size > chunkBytes {
			break
		}
		c.Results = append(c.Results, r)
	}
	return c
}

// writeChunk writes one chunk and repeats the write until a chunk with its number is stored, this one or one
// of another home. It reports false if the home has ended or was replaced, or the stored chunk is invalid.
func (h *Home) writeChunk(id string, number int, chunk batch.Chunk) bool {
	for h.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(h.ctx, writeTimeout)
		o, err := object.CreateConfirmed(ctx, h.opts.Objects, resultsKind(id), chunkName(number), chunk)
		cancel()
		switch {
		case err == nil:
			h.metrics.chunks.Inc(1)
			h.append(id, chunk)
			return true
		case errors.Is(err, store.ErrConflict):
			h.opts.Log.Warn().Str("job", id).Int("from", chunk.From).Int64("revision", int64(o.Revision)).Msg("chunkOfAnotherHome")
			return h.appendObject(id, o)
		}
		h.opts.Log.Warn().Str("job", id).Int("from", chunk.From).Int("results", len(chunk.Results)).Err(err).Msg("chunkNotWritten")
		time.Sleep(retryPause)
	}
	return false
}

func (h *Home) append(id string, chunk batch.Chunk) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return
	}
	log, err := j.log.WithChunk(chunk)
	if err != nil {
		h.opts.Log.Error().Str("job", id).Int("from", chunk.From).Err(err).Msg("chunkSkipped")
		return
	}
	j.chunkStartedAt = time.Time{}
	j.setLog(log)
	h.opts.Log.Info().Str("job", id).Int("from", chunk.From).Int("results", len(chunk.Results)).Int("of", len(log.Job().Items)).
		Dur("ageMillis", h.opts.Now().Sub(j.acceptedAt)).Msg("resultsListed")
}

// appendObject appends a chunk that another home wrote. It reports false if that home has a later term, since
// this home's results are then no longer listed, or if the chunk is invalid.
func (h *Home) appendObject(id string, o object.Object) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return true
	}
	var chunk batch.Chunk
	if err := json.Unmarshal(o.Spec, &chunk); err == nil && chunk.Term > h.opts.Term {
		h.opts.Log.Warn().Str("job", id).Int64("term", h.opts.Term).Int64("sealedBy", chunk.Term).Msg("homeReplaced")
		j.finished = nil
		j.cancelRuns()
		return false
	}
	log, err := withObject(j.log, o)
	if err != nil {
		h.opts.Log.Error().Str("job", id).Str("chunk", o.Name).Err(err).Msg("chunkSkipped")
		return false
	}
	j.chunkStartedAt = time.Time{}
	j.setLog(log)
	for item, r := range j.runs {
		if log.Listed(item) {
			r.ended = true
			if r.cancel != nil {
				r.cancel(errCancelled)
			}
			delete(j.runs, item)
		}
	}
	return true
}
