package job

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/job"
)

// Limits of the results that are not yet written to the store.
const (
	// maxPendingBytes is the size of all answers not yet written above which Take returns no items.
	maxPendingBytes = 32 << 20
	// flushBytes is the size of one chunk's answers not yet written at which they are written early.
	flushBytes = 4 << 20
)

// demand describes the recent calls of Take for one model.
type demand struct {
	// recentLimit is the largest recent limit of Take; it decays with each call. at is the time of the last
	// call, retryAt the earliest time of the next claim, lastJob the job of the last claimed chunk.
	recentLimit int
	at          time.Time
	retryAt     time.Time
	lastJob     string
	// aloneChunk is the chunk whose item runs alone at present.
	aloneChunk *heldChunk
	// aloneWaitingSince is the time since which an item that must run alone has waited.
	aloneWaitingSince time.Time
}

// maxAloneWait bounds the time for which other items are dispatched while one that must run alone waits.
const maxAloneWait = 10 * time.Second

// Take returns up to limit items of the model to dispatch now. It never blocks: items are claimed in
// the background, for as long as Take is called. Each item must end in Done or Return, unless Start
// reported false.
func (j *Jobs) Take(model string, limit int) []Item {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if limit <= 0 || j.closed {
		return nil
	}
	j.recordDemand(now, model, limit)
	if j.pendingBytes > maxPendingBytes {
		return nil
	}
	items := j.takeMany(now, model, limit)
	if len(items) == 0 {
		items = j.takeAlone(now, model)
	}
	if j.heldChunks.ready(model) < j.demands[model].target() {
		j.wakeFill()
	}
	return items
}

// takeMany dispatches items that may run together. It dispatches none while an item that must run alone
// is dispatched or has waited for longer than maxAloneWait.
func (j *Jobs) takeMany(now time.Time, model string, limit int) []Item {
	d := j.demands[model]
	if d.aloneChunk != nil || (!d.aloneWaitingSince.IsZero() && now.Sub(d.aloneWaitingSince) > maxAloneWait) {
		return nil
	}
	var items []Item
	for _, h := range j.heldChunks.byModel[model] {
		if h.state.ReadyAlone() {
			if d.aloneWaitingSince.IsZero() {
				d.aloneWaitingSince = now
			}
			continue
		}
		if len(items) < limit {
			items = append(items, j.takeFrom(now, h, limit-len(items))...)
		}
	}
	return items
}

// takeAlone dispatches one item that may have crashed workers, once this VM has nothing else of the
// model in flight. If the worker is lost then, this item is the cause, and no other item is blamed.
func (j *Jobs) takeAlone(now time.Time, model string) []Item {
	d := j.demands[model]
	if d.aloneChunk != nil && d.aloneChunk.aloneDispatched() {
		return nil
	}
	d.aloneChunk = nil
	for _, h := range j.heldChunks.byModel[model] {
		if h.state.DispatchedCount() > 0 {
			return nil
		}
	}
	for _, h := range j.heldChunks.byModel[model] {
		if !h.state.ReadyAlone() {
			continue
		}
		if items := j.takeFrom(now, h, 1); len(items) > 0 {
			d.aloneChunk, d.aloneWaitingSince = h, time.Time{}
			return items
		}
	}
	d.aloneWaitingSince = time.Time{}
	return nil
}

// aloneDispatched reports whether the item that runs alone is still dispatched.
func (h *heldChunk) aloneDispatched() bool { return !h.dropped && h.state.DispatchedCount() > 0 }

func (j *Jobs) recordDemand(now time.Time, model string, n int) {
	d := j.demands[model]
	if d == nil {
		d = &demand{}
		j.demands[model] = d
	}
	d.recentLimit = max(n, d.recentLimit-d.recentLimit/16)
	d.at = now
}

// target returns the number of ready items to hold in advance.
func (d *demand) target() int { return 2*d.recentLimit + 8 }

func (j *Jobs) takeFrom(now time.Time, h *heldChunk, n int) []Item {
	if h.stopping || h.releasing || h.dropped {
		return nil
	}
	next, positions := h.state.Take(now, n)
	if len(positions) == 0 {
		return nil
	}
	h.state = next
	h.lastTake = now
	items := make([]Item, 0, len(positions))
	for _, p := range positions {
		attempt, last := h.state.Attempt(p)
		items = append(items, Item{
			Job:        h.head.ID,
			Index:      h.first + p,
			CustomID:   h.inputs[p].CustomID,
			Team:       h.head.Team,
			Model:      h.head.Model,
			Endpoint:   h.head.Endpoint,
			Body:       h.inputs[p].Body,
			Idempotent: h.head.Terms.Idempotent,
			Deadline:   h.head.Deadline,
			Attempt:    attempt,
			Alone:      last,
			ctx:        h.ctx,
			chunk:      h,
			position:   p,
		})
	}
	return items
}

// Start is called just before an item is sent. It reports false when the item must not be sent any
// more, because its job was cancelled, its chunk was lost or is being released, or the chunk's lease has
// lapsed. The item needs no Return then.
func (j *Jobs) Start(item Item) bool {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	h := item.chunk
	if h.dropped || h.stopping {
		return false
	}
	if h.releasing {
		h.state = h.state.Withdraw(item.position)
		return false
	}
	next, ok := h.state.Start(now, item.position)
	h.state = next
	return ok
}

// Done records the result of an item. Results for items whose outcome is recorded already are dropped
// and counted.
func (j *Jobs) Done(item Item, r Result) {
	now := time.Now()
	r = r.bounded()
	j.mu.Lock()
	defer j.mu.Unlock()
	h := item.chunk
	if h.dropped {
		j.count("jobs.items.late", 1)
		return
	}
	next, state := apply(h.state, item.position, r)
	if state == job.Open {
		h.state = next
		j.count("jobs.items.retried", 1)
		j.queueIfDue(now, h)
		return
	}
	if next.Undecided() == h.state.Undecided() {
		j.count("jobs.items.late", 1)
		return
	}
	h.state = next
	j.addPending(h, item.position, state, r)
	j.queueIfDue(now, h)
}

// apply records a result in the chunk's state and returns the state that the item has then.
func apply(h job.HeldChunk, position int, r Result) (job.HeldChunk, job.ItemState) {
	if r.Retry || r.Lost {
		return h.Fail(position, r.Lost)
	}
	state := job.Succeeded
	if r.failed() {
		state = job.Failed
	}
	h, _ = h.Done(position, state)
	return h, state
}

// addPending keeps the outcome in memory until it is written to the store.
func (j *Jobs) addPending(h *heldChunk, position int, state job.ItemState, r Result) {
	h.pending[position] = Outcome{
		Position: position,
		CustomID: h.inputs[position].CustomID,
		State:    state,
		Status:   r.Status,
		Body:     r.Body,
		Error:    r.Error,
	}
	h.pendingBytes += len(r.Body)
	j.pendingBytes += len(r.Body)
	j.count("jobs.items.done", 1)
}

// Return returns an item that was not run or was preempted by online requests; this is not counted as
// a failed attempt. An item that is not idempotent and for which Start reported true ends as unknown.
func (j *Jobs) Return(item Item) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	h := item.chunk
	if h.dropped {
		return
	}
	next, state := h.state.Return(item.position)
	h.state = next
	if state == job.Unknown {
		j.addPending(h, item.position, state, Result{Error: "stopped after it may have been sent"})
	}
	j.count("jobs.items.returned", 1)
	j.queueIfDue(now, h)
}

func (j *Jobs) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, j.opts.Metrics).Inc(n)
}

func (j *Jobs) wakeFill() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// queueIfDue queues the chunk for a writer goroutine if a write is due; the caller holds mu.
func (j *Jobs) queueIfDue(now time.Time, h *heldChunk) {
	if h.queued || h.dropped || j.closed || now.Before(h.retryAt) {
		return
	}
	if _, due := h.nextWrite(now); !due {
		return
	}
	select {
	case j.writes <- h:
		h.queued = true
	default:
	}
}

// stop ends the work on a chunk of a cancelled job; the caller holds mu.
func (j *Jobs) stop(now time.Time, h *heldChunk) {
	h.stopping = true
	h.cancel()
	j.queueIfDue(now, h)
}

// drop removes a chunk that this VM does not hold any more; the caller holds mu.
func (j *Jobs) drop(h *heldChunk) {
	if h.dropped {
		return
	}
	h.dropped = true
	h.cancel()
	j.pendingBytes -= h.pendingBytes
	h.pending = nil
	h.inputs = nil
	j.heldChunks.remove(h)
}

// tickHeldChunks does the periodic work for the held chunks.
func (j *Jobs) tickHeldChunks(ctx context.Context) {
	now := time.Now()
	var idle []*heldChunk
	var alive []aliveMessage
	j.mu.Lock()
	for _, h := range j.heldChunks.all() {
		j.queueIfDue(now, h)
		if h.failing {
			alive = append(alive, aliveMessage{Job: h.head.ID, Chunk: h.index, Version: uint64(h.version)})
		}
		if h.state.Lapsed(now) && h.head.Terms.Idempotent {
			h.cancel()
		}
		if j.isIdle(now, h) {
			h.queued, h.releasing = true, true
			idle = append(idle, h)
		}
	}
	claims := j.unconfirmed
	j.unconfirmed = nil
	j.mu.Unlock()
	for _, msg := range alive {
		notifyPeer(j.bus, j.homeOf(msg.Job), methodAlive, msg)
	}
	for _, h := range idle {
		j.release(ctx, h)
	}
	for _, c := range claims {
		j.confirmClaim(ctx, c)
	}
}

// isIdle reports whether no item was taken from the chunk for IdleRelease and no dispatcher has one.
func (j *Jobs) isIdle(now time.Time, h *heldChunk) bool {
	return !h.queued && !h.stopping && h.state.Ready() > 0 && now.Sub(h.lastTake) >= j.opts.IdleRelease &&
		len(h.state.Dispatched()) == 0 && !now.Before(h.retryAt)
}
