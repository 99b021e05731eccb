package job

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/job"
)

// Limits of the results that wait for the store.
const (
	// maxHandBytes is the size of the answers in hand on this VM above which no item is handed out.
	maxHandBytes = 32 << 20
	// flushBytes is the size of one chunk's answers in hand at which they are written early.
	flushBytes = 4 << 20
)

// demand is what the callers of Take asked for lately.
type demand struct {
	most    int
	at      time.Time
	retryAt time.Time
	lastJob string
	// aloneOut holds the chunk whose item runs alone at present.
	aloneOut *held
	// aloneSince is the time since which an item that must run alone has waited.
	aloneSince time.Time
}

// aloneWait is the time for which an item that must run alone lets others go first.
const aloneWait = 10 * time.Second

// Take returns up to limit items of the model to dispatch now. It never blocks: items are claimed in
// the background, for as long as Take is called. Each item must end in Done or Return, unless Begin
// reported false.
func (j *Jobs) Take(model string, limit int) []Item {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	if limit <= 0 || j.closed {
		return nil
	}
	j.want(now, model, limit)
	if j.handBytes > maxHandBytes {
		return nil
	}
	items := j.takeMany(now, model, limit)
	if len(items) == 0 {
		items = j.takeAlone(now, model)
	}
	if j.holds.ready(model) < j.demands[model].target() {
		j.wakeFill()
	}
	return items
}

// takeMany hands out items that may run together. It hands out none while an item that must run
// alone is out, or has waited for long.
func (j *Jobs) takeMany(now time.Time, model string, limit int) []Item {
	d := j.demands[model]
	if d.aloneOut != nil || (!d.aloneSince.IsZero() && now.Sub(d.aloneSince) > aloneWait) {
		return nil
	}
	var items []Item
	for _, h := range j.holds.byModel[model] {
		if h.hold.ReadyAlone() {
			if d.aloneSince.IsZero() {
				d.aloneSince = now
			}
			continue
		}
		if len(items) < limit {
			items = append(items, j.takeFrom(now, h, limit-len(items))...)
		}
	}
	return items
}

// takeAlone hands out one item that may have killed workers, once this VM has nothing else of the
// model in flight. So an item that loses its worker alone is the cause, and no other item is blamed.
func (j *Jobs) takeAlone(now time.Time, model string) []Item {
	d := j.demands[model]
	if d.aloneOut != nil && d.aloneOut.holdsAlone() {
		return nil
	}
	d.aloneOut = nil
	for _, h := range j.holds.byModel[model] {
		if h.hold.DispatchedCount() > 0 {
			return nil
		}
	}
	for _, h := range j.holds.byModel[model] {
		if !h.hold.ReadyAlone() {
			continue
		}
		if items := j.takeFrom(now, h, 1); len(items) > 0 {
			d.aloneOut, d.aloneSince = h, time.Time{}
			return items
		}
	}
	d.aloneSince = time.Time{}
	return nil
}

// holdsAlone reports whether the item that runs alone is still out.
func (h *held) holdsAlone() bool { return !h.gone && h.hold.DispatchedCount() > 0 }

func (j *Jobs) want(now time.Time, model string, n int) {
	d := j.demands[model]
	if d == nil {
		d = &demand{}
		j.demands[model] = d
	}
	d.most = max(n, d.most-d.most/16)
	d.at = now
}

// target is the number of ready items to keep in hand.
func (d *demand) target() int { return 2*d.most + 8 }

func (j *Jobs) takeFrom(now time.Time, h *held, n int) []Item {
	if h.stopping || h.releasing || h.gone {
		return nil
	}
	next, places := h.hold.Take(now, n)
	if len(places) == 0 {
		return nil
	}
	h.hold = next
	h.lastTake = now
	items := make([]Item, 0, len(places))
	for _, p := range places {
		attempt, last := h.hold.Attempt(p)
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
			held:       h,
			place:      p,
		})
	}
	return items
}

// Begin is called just before an item is sent. It reports false when the item must not be sent any
// more, because its job was cancelled or this VM's lease has lapsed; the item is given back then.
func (j *Jobs) Begin(item Item) bool {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	h := item.held
	if h.gone || h.stopping {
		return false
	}
	if h.releasing {
		h.hold = h.hold.Withdraw(item.place)
		return false
	}
	next, ok := h.hold.Start(now, item.place)
	h.hold = next
	return ok
}

// Done records what became of an item. Results for items whose outcome is recorded already are
// dropped and counted.
func (j *Jobs) Done(item Item, r Result) {
	now := time.Now()
	r = r.bounded()
	j.mu.Lock()
	defer j.mu.Unlock()
	h := item.held
	if h.gone {
		j.count("jobs.items.late", 1)
		return
	}
	next, state := apply(h.hold, item.place, r)
	if state == job.Open {
		h.hold = next
		j.count("jobs.items.retried", 1)
		j.queueIfDue(now, h)
		return
	}
	if next.Undecided() == h.hold.Undecided() {
		j.count("jobs.items.late", 1)
		return
	}
	h.hold = next
	j.keep(h, item.place, state, r)
	j.queueIfDue(now, h)
}

// apply records a result in the hold and returns the state that the item has then.
func apply(h job.HeldChunk, place int, r Result) (job.HeldChunk, job.ItemState) {
	if r.Retry || r.Lost {
		return h.Fail(place, r.Lost)
	}
	state := job.Succeeded
	if r.failed() {
		state = job.Failed
	}
	h, _ = h.Done(place, state)
	return h, state
}

// keep holds the outcome until the store has it.
func (j *Jobs) keep(h *held, place int, state job.ItemState, r Result) {
	h.bodies[place] = Outcome{
		Place:    place,
		CustomID: h.inputs[place].CustomID,
		State:    state,
		Status:   r.Status,
		Body:     r.Body,
		Error:    r.Error,
	}
	h.handBytes += len(r.Body)
	j.handBytes += len(r.Body)
	j.count("jobs.items.done", 1)
}

// Return gives back an item that was not run or was stopped to give way; it is not counted as a
// failed attempt. An item that is not idempotent and for which Begin was called ends as unknown.
func (j *Jobs) Return(item Item) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	h := item.held
	if h.gone {
		return
	}
	next, state := h.hold.Return(item.place)
	h.hold = next
	if state == job.Unknown {
		j.keep(h, item.place, state, Result{Error: "stopped after it may have been sent"})
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

// queueIfDue hands the chunk to a writer if a write is due; the caller holds mu.
func (j *Jobs) queueIfDue(now time.Time, h *held) {
	if h.queued || h.gone || j.closed || now.Before(h.retryAt) {
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
func (j *Jobs) stop(now time.Time, h *held) {
	h.stopping = true
	h.cancel()
	j.queueIfDue(now, h)
}

// drop forgets a chunk that this VM does not hold any more; the caller holds mu.
func (j *Jobs) drop(h *held) {
	if h.gone {
		return
	}
	h.gone = true
	h.cancel()
	j.handBytes -= h.handBytes
	h.bodies = nil
	h.inputs = nil
	j.holds.remove(h)
}

// tickHolds does the timed work of the held chunks.
func (j *Jobs) tickHolds(ctx context.Context) {
	now := time.Now()
	var idle []*held
	var alive []aliveMessage
	j.mu.Lock()
	for _, h := range j.holds.all() {
		j.queueIfDue(now, h)
		if h.failing {
			alive = append(alive, aliveMessage{Job: h.head.ID, Chunk: h.chunk, Version: uint64(h.version)})
		}
		if h.hold.Lapsed(now) && h.head.Terms.Idempotent {
			h.cancel()
		}
		if j.isIdle(now, h) {
			h.queued, h.releasing = true, true
			idle = append(idle, h)
		}
	}
	pending := j.pending
	j.pending = nil
	j.mu.Unlock()
	for _, msg := range alive {
		tell(j.bus, j.homeOf(msg.Job), methodAlive, msg)
	}
	for _, h := range idle {
		j.release(ctx, h)
	}
	for _, c := range pending {
		j.resolve(ctx, c)
	}
}

// isIdle reports whether nobody has taken from the chunk for long, and no dispatcher has an item.
func (j *Jobs) isIdle(now time.Time, h *held) bool {
	return !h.queued && !h.stopping && h.hold.Ready() > 0 && now.Sub(h.lastTake) >= j.opts.IdleRelease &&
		len(h.hold.Dispatched()) == 0 && !now.Before(h.retryAt)
}
