package home

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/batch"
	"mothcart/core/outcome"
	"mothcart/core/plainjson"
	"mothcart/core/slot"
	"mothcart/io/clock"
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
	// chunkOverhead is the size of a chunk without its results, in bytes of JSON.
	chunkOverhead = 128
	// writeTimeout bounds the attempts at one write before the failure is logged; the writes of chunks and
	// retirements are then repeated.
	writeTimeout = 4 * time.Second
)

type chunkMetrics struct {
	// written counts the chunks, bytes is their size. rejected counts those that the object service doesn't store, unstorable
	// the results that no object holds, unreadable the looks at stored chunks that can't be read.
	written, bytes, rejected, unstorable, unreadable metrics.Counter
}

func newChunkMetrics(r metrics.Registry) chunkMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("home."+name, r) }
	return chunkMetrics{
		written: counter("chunks"), bytes: counter("chunkBytes"), rejected: counter("chunksRejected"), unstorable: counter("resultsTooLarge"),
		unreadable: counter("chunksUnreadable"),
	}
}

// failItem finishes an item as failed; the mutex is held.
func (h *Home) failItem(id string, j *job, item, reason string) {
	h.opts.Log.Warn().Str("job", id).Str("item", item).Str("reason", reason).Msg("itemGivenUp")
	h.finish(id, j, batch.Result{Item: item, State: batch.Failed})
}

// finish ends the run of an item and schedules the write of its result; the mutex is held.
func (h *Home) finish(id string, j *job, result batch.Result) {
	if r := j.runs[result.Item]; r != nil {
		if r.ended && !j.replaceUnstorable(result) {
			return
		}
		r.end()
		r.item.Body, r.item.Header = nil, nil
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

// allResults as the bound of a chunk's results means that only their size bounds them.
const allResults = math.MaxInt

// writeResults writes the finished items of a job in chunks until none is left that an object can hold.
func (h *Home) writeResults(id string) {
	for most := allResults; ; {
		h.mu.Lock()
		j := h.jobs[id]
		if j == nil {
			h.mu.Unlock()
			return
		}
		chunk, size := h.nextChunk(id, j, most)
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
		switch h.writeChunk(id, number, chunk, size) {
		case chunkStored:
			most = allResults
		case chunkRejected:
			most = max(len(chunk.Results)/2, 1)
		default:
			h.mu.Lock()
			j.writing = false // results that come later start a write of their own
			h.mu.Unlock()
			return
		}
	}
}

// nextChunk returns the chunk of finished items that is written next, with at most a number of results, and its size in bytes
// of JSON. It has no results if there are none that an object can hold; the mutex is held.
func (h *Home) nextChunk(id string, j *job, most int) (batch.Chunk, int) {
	c, size := batch.Chunk{From: j.log.Len(), Term: h.opts.Term}, chunkOverhead
	limit := h.opts.Objects.SpecBytes()
	for _, r := range j.finished {
		if j.unstorable[r.Item] {
			continue
		}
		n := plainjson.Size(r) + 1 // and a comma
		if chunkOverhead+n > limit {
			h.setAside(id, j, r.Item, n)
			continue
		}
		if len(c.Results) == most || size+n > limit {
			break
		}
		size += n
		c.Results = append(c.Results, r)
	}
	return c, size
}

// setAside records that no object holds the result of an item, so that the results behind it don't wait for it. The item needs
// no further run and is given up when the maximum wait is over; the mutex is held.
func (h *Home) setAside(id string, j *job, item string, size int) {
	if j.unstorable == nil {
		j.unstorable = make(map[string]bool)
	}
	j.unstorable[item] = true
	h.metrics.chunks.unstorable.Inc(1)
	h.opts.Log.Error().Str("job", id).Str("item", item).Int("bytes", size).Int("limit", h.opts.Objects.SpecBytes()).Msg("resultTooLarge")
}

// replaceUnstorable removes the result of an item that no object holds, if the item is given up now. It reports whether it did.
func (j *job) replaceUnstorable(result batch.Result) bool {
	if result.State != batch.Failed || !j.unstorable[result.Item] {
		return false
	}
	delete(j.unstorable, result.Item)
	j.finished = slices.DeleteFunc(j.finished, func(r batch.Result) bool { return r.Item == result.Item })
	return true
}

// chunkFate is what became of a chunk.
type chunkFate int

const (
	// chunkLost means that the home has ended or was replaced.
	chunkLost chunkFate = iota
	// chunkStored means that a chunk with its number is stored, this one or one of another home.
	chunkStored
	// chunkRejected means that the object service doesn't store a chunk with these results.
	chunkRejected
	// chunkUnreadable means that the chunk that is stored with its number can't be read.
	chunkUnreadable
)

// writeChunk writes one chunk and repeats the write until its fate is known. size is that of the chunk in bytes of JSON.
func (h *Home) writeChunk(id string, number int, chunk batch.Chunk, size int) chunkFate {
	for pause := retryPause; h.ctx.Err() == nil; {
		ctx, cancel := context.WithTimeout(h.ctx, writeTimeout)
		o, err := object.CreateConfirmed(ctx, h.opts.Objects, resultsKind(id), chunkName(number), chunk)
		cancel()
		switch {
		case err == nil:
			h.metrics.chunks.written.Inc(1)
			h.metrics.chunks.bytes.Inc(int64(size))
			h.append(id, chunk, size)
			return chunkStored
		case errors.Is(err, store.ErrConflict):
			h.opts.Log.Warn().Str("job", id).Int("from", chunk.From).Int64("revision", int64(o.Revision)).Msg("chunkOfAnotherHome")
			if fate := h.appendObject(id, o); fate != chunkUnreadable {
				return fate
			}
			_ = clock.Sleep(h.ctx, pause) // ends early only with the home
			pause = min(2*pause, lastLoadPause)
			continue
		case errors.Is(err, object.ErrRejected) && store.OutcomeOf(err) == outcome.NotDone:
			h.noteRejected(id, chunk, size, err)
			return chunkRejected
		}
		h.opts.Log.Warn().Str("job", id).Int("from", chunk.From).Int("results", len(chunk.Results)).Int("bytes", size).Err(err).Msg("chunkNotWritten")
		_ = clock.Sleep(h.ctx, retryPause) // ends early only with the home
	}
	return chunkLost
}

// noteRejected records that the object service doesn't store a chunk, though it is small enough by the settings.
func (h *Home) noteRejected(id string, chunk batch.Chunk, size int, err error) {
	h.metrics.chunks.rejected.Inc(1)
	h.opts.Log.Error().Str("job", id).Int("from", chunk.From).Int("results", len(chunk.Results)).Int("bytes", size).Err(err).Msg("chunkRejected")
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return
	}
	j.chunkStartedAt = time.Time{} // the object service has stored nothing
	if len(chunk.Results) == 1 {
		h.setAside(id, j, chunk.Results[0].Item, size)
	}
}

func (h *Home) append(id string, chunk batch.Chunk, size int) {
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
	h.opts.Log.Info().Str("job", id).Int("from", chunk.From).Int("results", len(chunk.Results)).Int("of", len(log.Job().Items)).Int("bytes", size).
		Dur("ageMillis", h.opts.Now().Sub(j.acceptedAt)).Msg("resultsListed")
}

// appendObject appends a chunk that another home wrote. If that home has a later term, the fate is chunkLost, since this home's
// results are then no longer listed.
func (h *Home) appendObject(id string, o object.Object) chunkFate {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return chunkStored
	}
	var chunk batch.Chunk
	if err := json.Unmarshal(o.Spec, &chunk); err == nil && chunk.Term > h.opts.Term {
		h.opts.Log.Warn().Str("job", id).Int64("term", h.opts.Term).Int64("sealedBy", chunk.Term).Msg("homeReplaced")
		j.finished = nil
		j.cancelRuns()
		return chunkLost
	}
	log, err := withObject(j.log, o)
	if err != nil {
		h.metrics.chunks.unreadable.Inc(1)
		h.opts.Log.Error().Str("job", id).Str("chunk", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("chunkUnreadable")
		return chunkUnreadable
	}
	j.chunkStartedAt = time.Time{}
	j.setLog(log)
	for item, r := range j.runs {
		if log.Listed(item) {
			r.end()
			delete(j.runs, item)
		}
	}
	return chunkStored
}
