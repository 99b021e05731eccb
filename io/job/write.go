package job

import (
	"context"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/job"
	"mothcart/core/outcome"
	"mothcart/io/store"
)

// Bounds of the pause after a failed write of a chunk's record. Each attempt compresses all pending
// outcomes again, so the pause doubles with each failure.
const (
	minWriteBackoff = time.Second
	maxWriteBackoff = 8 * time.Second
)

// recordWriteResult records whether the last write of a chunk failed, and sets the pause after a failure;
// the caller holds mu.
func (h *heldChunk) recordWriteResult(err error) {
	h.failing = err != nil
	if !h.failing {
		h.backoff = 0
		return
	}
	h.backoff = min(max(2*h.backoff, minWriteBackoff), maxWriteBackoff)
	h.retryAt = time.Now().Add(h.backoff)
}

func (j *Jobs) writeLoop() {
	for {
		select {
		case <-j.done:
			return
		case h := <-j.writes:
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			j.writeHeldChunk(ctx, h)
			cancel()
		}
	}
}

// writeHeldChunk writes the next record of a held chunk, if one is due.
func (j *Jobs) writeHeldChunk(ctx context.Context, h *heldChunk) {
	now := time.Now()
	j.mu.Lock()
	w, due := h.nextWrite(now)
	if h.dropped || !due {
		h.queued = false
		j.mu.Unlock()
		return
	}
	outcomes := h.outcomes(w)
	j.mu.Unlock()
	err := j.writeChunk(ctx, h, w, outcomes, now)
	if err == nil && !w.Chunk.Closed {
		j.checkCancelled(ctx, h)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	h.queued = false
	h.recordWriteResult(err)
	j.queueIfDue(time.Now(), h)
}

// nextWrite returns the write that is due: the last one of a cancelled job, the one that the chunk's
// state requires, or an early one once the pending answers reach flushBytes. The caller holds mu.
func (h *heldChunk) nextWrite(now time.Time) (job.Write, bool) {
	if h.stopping {
		return h.state.Cancel(), true
	}
	if w, due := h.state.NextWrite(now); due {
		return w, true
	}
	if h.pendingBytes < flushBytes {
		return job.Write{}, false
	}
	return h.state.Checkpoint(), true
}

// outcomes returns the outcomes that w makes durable; the caller holds mu.
func (h *heldChunk) outcomes(w job.Write) []Outcome {
	list := make([]Outcome, 0, len(w.Decided))
	for _, p := range w.Decided {
		if o, ok := h.pending[p]; ok {
			list = append(list, o)
		}
	}
	return list
}

// writeChunk writes w and records the result; since is the time at which the write started.
func (j *Jobs) writeChunk(ctx context.Context, h *heldChunk, w job.Write, outcomes []Outcome, since time.Time) error {
	c, err := j.withOutcomes(ctx, h, w.Chunk, outcomes)
	if err != nil {
		return err
	}
	raw, err := encode(c)
	if err != nil {
		return err
	}
	version, err := store.PutConfirmed(ctx, j.store, chunkKey(h.head.ID, h.index), raw, h.version)
	switch store.OutcomeOf(err) {
	case outcome.Done:
		j.applyWrite(h, c, version, since)
		return nil
	case outcome.Unknown:
		j.mu.Lock()
		if h.unresolvedSince.IsZero() {
			h.unresolvedSince = since
		}
		j.mu.Unlock()
	case outcome.NotDone:
	}
	if store.Changed(err) {
		return j.resync(ctx, h)
	}
	return err
}

// applyWrite records that c became durable by a write that started at since.
func (j *Jobs) applyWrite(h *heldChunk, c job.Chunk, version store.Version, since time.Time) {
	j.mu.Lock()
	h.state = h.state.Wrote(c, since)
	h.version = version
	h.unresolvedSince = time.Time{}
	for p, o := range h.pending {
		if c.Items[p].Final() {
			h.pendingBytes -= len(o.Body)
			j.pendingBytes -= len(o.Body)
			delete(h.pending, p)
		}
	}
	if h.ctx.Err() != nil && !h.stopping {
		h.ctx, h.cancel = context.WithCancel(j.ctx)
	}
	if c.Closed || c.Owner != j.writer {
		j.drop(h)
	}
	j.mu.Unlock()
	j.report(h.head.ID, job.ReportOf(h.index, uint64(version), c))
}

// resync reads a chunk whose version is not the expected one. An earlier write of this holder, whose
// answer was lost, may have had effect; otherwise another VM has claimed or closed the chunk.
func (j *Jobs) resync(ctx context.Context, h *heldChunk) error {
	o, err := j.store.Get(ctx, chunkKey(h.head.ID, h.index))
	if err != nil {
		return merry.Errorf("read chunk back: %w", err)
	}
	c, err := decodeChunk(o.Value, h.head.Chunks[h.index].Items)
	if err != nil {
		return merry.Errorf("read chunk back: %w", err)
	}
	if c.Owner == j.writer && c.Fence == h.fence && !h.unresolvedSince.IsZero() {
		j.applyWrite(h, c, o.Version, h.unresolvedSince)
		return nil
	}
	j.mu.Lock()
	j.drop(h)
	j.mu.Unlock()
	j.count("jobs.chunks.fenced", 1)
	j.opts.Log.Info().Str("job", h.head.ID).Int("chunk", h.index).Str("owner", c.Owner).Msg("chunkClaimLost")
	j.report(h.head.ID, job.ReportOf(h.index, uint64(o.Version), c))
	return nil
}

// withOutcomes adds outcomes to the record, or stores them in separate objects once those in the record
// would exceed maxInlineBytes.
func (j *Jobs) withOutcomes(ctx context.Context, h *heldChunk, c job.Chunk, outcomes []Outcome) (job.Chunk, error) {
	pieces, err := j.packOutcomes(outcomes)
	if err != nil {
		return c, err
	}
	size := 0
	for _, s := range c.Segments {
		size += len(s.Data)
	}
	for n, data := range pieces {
		size += len(data)
		if size <= maxInlineBytes {
			c = c.WithSegment(job.Segment{Data: data})
			continue
		}
		key := segmentKey(h.head.ID, h.index, c, n)
		key += "-" + hashOf(string(data))[:16]
		if err := j.createOnce(ctx, key, data); err != nil {
			return c, err
		}
		c = c.WithSegment(job.Segment{Key: key})
		size -= len(data)
	}
	return c, nil
}

// packOutcomes compresses outcomes in pieces that each fit in an object.
func (j *Jobs) packOutcomes(outcomes []Outcome) ([][]byte, error) {
	if len(outcomes) == 0 {
		return nil, nil
	}
	data, err := j.codec.pack(outcomes)
	if err != nil {
		return nil, err
	}
	if len(data) <= maxItemBytes || len(outcomes) == 1 {
		return [][]byte{data}, nil
	}
	half := len(outcomes) / 2
	left, err := j.packOutcomes(outcomes[:half])
	if err != nil {
		return nil, err
	}
	right, err := j.packOutcomes(outcomes[half:])
	return append(left, right...), err
}

// checkCancelled reads the job's state after a write, in case the notice of its cancellation was lost.
func (j *Jobs) checkCancelled(ctx context.Context, h *heldChunk) {
	head, _, err := j.readHead(ctx, h.head.ID)
	if err != nil || head.State == job.Running {
		return
	}
	j.stopJob(h.head.ID)
}

// cancelledMemory is how long a cancelled job is remembered for chunks of it whose claims are in progress.
const cancelledMemory = time.Minute

// stopJob stops the work on all chunks of a cancelled job, also on those that are only being claimed.
func (j *Jobs) stopJob(id string) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	maps.DeleteFunc(j.cancelled, func(_ string, at time.Time) bool { return now.Sub(at) > cancelledMemory })
	j.cancelled[id] = now
	for _, h := range j.heldChunks.all() {
		if h.head.ID == id && !h.stopping {
			j.stop(now, h)
		}
	}
}

// release releases a chunk, so that another VM can claim it at once. The caller has marked it queued and
// releasing, so that no item is dispatched or started meanwhile.
func (j *Jobs) release(ctx context.Context, h *heldChunk) {
	now := time.Now()
	j.mu.Lock()
	w := h.state.Release()
	outcomes := h.outcomes(w)
	j.mu.Unlock()
	err := j.writeChunk(ctx, h, w, outcomes, now)
	j.mu.Lock()
	defer j.mu.Unlock()
	h.queued, h.releasing = false, false
	h.recordWriteResult(err)
}

// releaseTimeout bounds the last writes of all held chunks in Close.
const releaseTimeout = 10 * time.Second

func (j *Jobs) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	j.mu.Lock()
	all := j.heldChunks.all()
	for _, h := range all {
		h.queued, h.releasing = true, true
	}
	j.mu.Unlock()
	for _, h := range all {
		j.release(ctx, h)
	}
}
