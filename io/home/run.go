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
	// retryPause is the time before an item that failed asks again, and before a write is repeated.
	retryPause = 100 * time.Millisecond
	// gatherPause is how long finished items wait for others, so that one write lists them together.
	gatherPause = 500 * time.Millisecond
	// chunkBytes bounds the texts of one chunk; the object service holds 1 MB in an object.
	chunkBytes = 600 << 10
	// writeTimeout bounds the attempts at one chunk before they are logged and repeated.
	writeTimeout = 4 * time.Second
)

// run is one item on its way to a result.
type run struct {
	job  string
	item batch.Item
	key  slot.Key
	// cancel ends the attempt in progress; nil while the item waits.
	cancel context.CancelCauseFunc
	// text and lastID are the progress of the stream.
	text     bytes.Buffer
	events   int
	lastID   string
	failures int
	// cutEarly reports that the slot was given away before the attempt began.
	cutEarly bool
	// ran is for how long the attempts lasted that brought the progress.
	ran time.Duration
	// got is what the attempt in progress has received; nil while the item waits.
	got  *stream
	over bool
	// saved is how much of the text, in bytes, the standbys have; resultSaved reports that they have
	// its result.
	saved       int
	resultSaved bool
}

// startItems asks for a slot for each open item that has no run.
func (h *Home) startItems(id string) {
	select {
	case <-h.progressTaken:
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

// askSlot asks for a slot for an item; an item without a route asks again later.
func (h *Home) askSlot(r *run) {
	h.mu.Lock()
	j := h.jobs[r.job]
	if j == nil || r.over || h.replaced || h.ctx.Err() != nil {
		h.mu.Unlock()
		return
	}
	host, path, acceptedAt := j.log.Job().Host, j.log.Job().Path, j.acceptedAt
	r.key = slot.Key{Owner: batchOwner, ID: h.nextID.Add(1)}
	key, ran := r.key, r.ran
	h.mu.Unlock()
	route, service, ok := h.pickService(host, path)
	if !ok {
		time.AfterFunc(sweepInterval, func() { h.askSlot(r) })
		return
	}
	h.desk.Ask(slot.Request{
		Key: key, Service: service, Batch: true, Priority: route.Priority, Order: acceptedAt.Add(route.Completion),
		Ran: ran, AvailabilityZone: h.opts.AvailabilityZone,
	}, asker{
		granted: func(g slot.Grant) { h.startRun(r, g) },
		refused: func(slot.Refusal) { time.AfterFunc(retryPause, func() { h.askSlot(r) }) },
		cut:     func() { h.cut(r) },
	})
}

// startRun begins an attempt with a slot.
func (h *Home) startRun(r *run, g slot.Grant) {
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.mu.Lock()
	over, cut := r.over || h.replaced, r.cutEarly
	r.cutEarly = false
	if !over && !cut {
		r.cancel = cancel
	}
	h.mu.Unlock()
	if over || cut {
		cancel(errCut)
		h.desk.Release(g.Request.Key, slot.Abandoned)
		h.askSlot(r)
		return
	}
	h.metrics.runs.Inc(1)
	go func() {
		defer cancel(nil)
		h.attempt(ctx, r, g)
	}()
}

func (h *Home) cut(r *run) {
	h.metrics.cuts.Inc(1)
	h.mu.Lock()
	cancel := r.cancel
	r.cutEarly = cancel == nil
	h.mu.Unlock()
	if cancel != nil {
		cancel(errCut)
	}
}

// cutRuns ends all runs of a job and returns how many were at an upstream; the mutex is held.
func (j *job) cutRuns() int {
	running := 0
	for id, r := range j.runs {
		r.over = true
		if r.cancel != nil {
			r.cancel(errCut)
			running++
		}
		delete(j.runs, id)
	}
	return running
}

// attempt runs an item at one upstream, from its last event on.
func (h *Home) attempt(ctx context.Context, r *run, g slot.Grant) {
	h.mu.Lock()
	j := h.jobs[r.job]
	if j == nil {
		h.mu.Unlock()
		h.desk.Release(g.Request.Key, slot.Abandoned)
		return
	}
	host := j.log.Job().Host
	h.mu.Unlock()
	began := h.opts.Now()
	call := itemCall{
		ID: r.item.ID, Host: host, Path: r.item.Path, Header: r.item.Header, Body: r.item.Body,
		Upstream: g.Upstream, LastEventID: r.lastID,
	}
	got := new(stream)
	h.mu.Lock()
	r.got = got
	h.mu.Unlock()
	out, runner := h.execute(ctx, call, got)
	took := h.opts.Now().Sub(began)
	wasCut := errors.Is(context.Cause(ctx), errCut)
	h.desk.Release(g.Request.Key, out.Result)
	h.opts.Log.Info().Str("job", r.job).Str("item", r.item.ID).Str("upstream", g.Upstream.ID).Int64("incarnation", g.Upstream.Incarnation).
		Str("runner", runner).Str("from", call.LastEventID).Str("to", out.LastEventID).Int("status", out.Status).Bool("cut", wasCut).
		Int("failures", r.failures).Dur("tookMillis", took).Str("error", out.Err).Msg("itemAttempt")
	h.settle(r, out, took, wasCut)
}

// take adds the progress of an attempt.
func (r *run) take(out itemOutcome, took time.Duration) {
	if out.Events == 0 {
		return
	}
	r.ran += took
	if r.events > 0 {
		r.text.WriteByte('\n')
	}
	r.text.WriteString(out.Text)
	r.events += out.Events
	r.lastID = out.LastEventID
}

// settle decides what follows an attempt.
func (h *Home) settle(r *run, out itemOutcome, took time.Duration, wasCut bool) {
	h.mu.Lock()
	j := h.jobs[r.job]
	if j == nil || r.over || h.ctx.Err() != nil {
		h.mu.Unlock()
		return
	}
	r.cancel, r.got = nil, nil
	r.take(out, took)
	if !wasCut && out.Status == http.StatusInternalServerError && !out.NotRun {
		r.failures++
	}
	switch {
	case out.Complete:
		h.finish(r.job, j, batch.Result{Item: r.item.ID, State: batch.Completed, Text: r.text.String()})
	case out.Status == http.StatusUnprocessableEntity && !out.NotRun:
		h.giveUp(r.job, j, r.item.ID, "notDoable")
	case j.maxRuns > 0 && r.failures >= j.maxRuns:
		h.giveUp(r.job, j, r.item.ID, "failed")
	default:
		h.mu.Unlock()
		if wasCut {
			h.askSlot(r)
		} else {
			time.AfterFunc(retryPause, func() { h.askSlot(r) })
		}
		return
	}
	h.mu.Unlock()
}

// giveUp lists an item as failed; the mutex is held.
func (h *Home) giveUp(id string, j *job, item, reason string) {
	h.opts.Log.Warn().Str("job", id).Str("item", item).Str("reason", reason).Msg("itemGivenUp")
	h.finish(id, j, batch.Result{Item: item, State: batch.Failed})
}

// finish hands a result to be written; the mutex is held.
func (h *Home) finish(id string, j *job, result batch.Result) {
	if r := j.runs[result.Item]; r != nil {
		if r.over {
			return
		}
		r.over = true
		if r.cancel != nil {
			r.cancel(errCut)
		}
		r.text = bytes.Buffer{}
		key := r.key
		time.AfterFunc(0, func() { h.desk.Release(key, slot.Abandoned) })
	}
	h.metrics.results.Inc(1)
	j.finished = append(j.finished, result)
	if j.writing {
		return
	}
	j.writing = true
	pause := gatherPause
	if len(j.finished)+j.log.Len() == len(j.log.Job().Items) {
		pause = 0
	}
	time.AfterFunc(pause, func() { h.writeResults(id) })
}

// writeResults lists the finished items of a job until none is left.
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
			j.chunkSince = h.opts.Now()
		}
		if len(chunk.Results) == 0 || j.log.Ended() {
			j.writing = false
			listed := j.log.Len() == len(j.log.Job().Items)
			h.mu.Unlock()
			if listed {
				h.markListed(id)
			}
			return
		}
		h.mu.Unlock()
		if !h.writeChunk(id, number, chunk) {
			return
		}
	}
}

// markListed notes in a job's object that nothing of it is left to run, which saves the next home
// reading its results.
func (h *Home) markListed(id string) {
	ctx, cancel := context.WithTimeout(h.ctx, writeTimeout)
	defer cancel()
	if _, err := h.opts.Objects.PutStatus(ctx, KindJobs, id, jobStatus{Listed: true}); err != nil {
		h.opts.Log.Warn().Str("job", id).Err(err).Msg("jobNotMarked")
	}
}

// nextChunk returns the finished items that are written next.
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

// writeChunk writes one chunk, repeated until its number is taken by it or by another one. It reports
// false when the home has ended or was replaced.
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
	j.chunkSince = time.Time{}
	j.setLog(log)
	h.opts.Log.Info().Str("job", id).Int("from", chunk.From).Int("results", len(chunk.Results)).Int("of", len(log.Job().Items)).
		Dur("ageMillis", h.opts.Now().Sub(j.acceptedAt)).Msg("resultsListed")
}

// appendObject takes up a chunk that another home wrote. It reports false if that home follows this
// one, whose results are then no longer listed.
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
		j.cutRuns()
		return false
	}
	log, err := withObject(j.log, o)
	if err != nil {
		h.opts.Log.Error().Str("job", id).Str("chunk", o.Name).Err(err).Msg("chunkSkipped")
		return false
	}
	j.chunkSince = time.Time{}
	j.setLog(log)
	for item, r := range j.runs {
		if log.Listed(item) {
			r.over = true
			if r.cancel != nil {
				r.cancel(errCut)
			}
			delete(j.runs, item)
		}
	}
	return true
}
