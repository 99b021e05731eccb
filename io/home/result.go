package home

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"mothcart/core/batch"
	"mothcart/core/slot"
	"mothcart/io/object"
	"mothcart/io/store"
)

const (
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
			listed, created := j.log.Len() == len(j.log.Job().Items), j.created
			h.mu.Unlock()
			if listed {
				h.listed.add(id, created)
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
