package home

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mothcart/core/batch"
	"mothcart/core/budget"
	"mothcart/core/poison"
	"mothcart/core/slot"
)

const (
	// batchOwner is the owner of the home's own requests for slots.
	batchOwner = "batch"
	// retryPause is the time before a slot is asked for again for an item that failed or was refused, and
	// before a write or a read is repeated.
	retryPause = 100 * time.Millisecond
)

// run is the execution of one item until it has a result, over all its attempts.
type run struct {
	job  string
	item batch.Item
	key  slot.Key
	// cancel ends the attempt in progress; nil while the item waits.
	cancel context.CancelCauseFunc
	// startedAt is when the last attempt began, by the wall clock.
	startedAt time.Time
	// text, events and lastID are the progress of the stream that ended attempts made. Only upstreams of its version
	// can go on with it.
	text     *budget.Text
	events   int
	lastID   string
	version  string
	failures int
	// erredAt is the upstream that last answered with an error; another one tells whether the item is to blame.
	erredAt string
	// silences counts the last attempts in a row that were idle for too long without an event.
	silences int
	// preemptedEarly reports that the slot went to an online request before the attempt started.
	preemptedEarly bool
	// ranFor is the total duration of the attempts that made the progress.
	ranFor time.Duration
	// received is what the attempt in progress has received, from the upstream sender of receivedVersion; nil while
	// the item waits.
	received                *stream
	sender, receivedVersion string
	ended                   bool
	// sentBytes is how much of the text was sent to the standbys, in bytes; resultSent reports that the
	// result was.
	sentBytes  int
	resultSent bool
}

// newRun returns the run of an item of a job, whose text counts in texts.
func newRun(texts *budget.Texts, job string, item batch.Item) *run {
	return &run{job: job, item: item, text: texts.NewText()}
}

// end ends the run: its progress is no longer kept, and the attempt in progress is cancelled. It reports whether there was one.
// Each run that its job drops has ended, so that what the home keeps in texts is that of its jobs' runs; the mutex is held.
func (r *run) end() bool {
	r.ended = true
	r.text.Drop()
	if r.cancel != nil {
		r.cancel(errCancelled)
	}
	return r.cancel != nil
}

// excludingUpstreams is the number of upstreams from which on an item leaves out the one that answered it with an error;
// with fewer, the others may all be away.
const excludingUpstreams = 4

// itemKey returns the key of a slot that the home asks for an item.
func itemKey(id uint64) slot.Key { return slot.Key{Owner: batchOwner, ID: id} }

// startItems asks for a slot for each open item that has no run, once the progress of the previous home's items is known.
func (h *Home) startItems(id string) {
	select {
	case <-h.progressLoaded:
		h.askSlots(id)
	default:
		h.done.Go(func() {
			select {
			case <-h.progressLoaded:
				h.askSlots(id)
			case <-h.ctx.Done():
			}
		})
	}
}

func (h *Home) askSlots(id string) {
	h.mu.Lock()
	j := h.jobs[id]
	var started []*run
	if j != nil {
		for _, item := range j.log.Open() {
			if j.runs[item.ID] == nil {
				r := newRun(&h.texts, id, item)
				j.runs[item.ID] = r
				if !h.resume(j, r) {
					started = append(started, r)
				}
			}
		}
		for _, item := range j.log.Job().Items {
			delete(h.progress, [2]string{id, item.ID}) // that of listed items is of no use
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
	job, acceptedAt := j.log.Job(), j.acceptedAt
	r.key = itemKey(h.nextID.Add(1))
	key, ran, version, header, erredAt := r.key, r.ranFor, r.version, r.item.Header, r.erredAt
	h.mu.Unlock()
	route, service, ok := h.pickService(job.Host, job.Path)
	if !ok {
		time.AfterFunc(sweepInterval, func() { h.askSlot(r) })
		return
	}
	var exclude []string
	if erredAt != "" && version == "" && h.pool.Load(service).Upstreams >= excludingUpstreams {
		exclude = []string{erredAt}
	}
	parts, size := h.opts.Runner.describe(header)
	h.pool.Ask(slot.Request{
		Key: key, Service: service, Batch: true, Priority: route.Priority, Order: acceptedAt.Add(route.Completion),
		Ran: ran, AvailabilityZone: h.opts.AvailabilityZone, Version: version, Exclude: exclude,
		Account: job.Account, Parts: parts, PromptTokens: size.Prompt, OutputTokens: size.Output, ExpectedTokens: size.Expected,
	}, asker{
		granted: func(g slot.Grant) { h.startRun(r, g) },
		refused: func(refusal slot.Refusal) {
			h.refusedForRoom(refusal)
			if refusal.Reason == slot.ReasonNoVersion && !refusal.Unknown {
				h.restart(r)
			}
			time.AfterFunc(min(max(refusal.RetryAfter, retryPause), sweepInterval), func() { h.askSlot(r) })
		},
		preempted: func() { h.preempt(r) },
	})
}

// restart drops the progress of an item, since no upstream of its software version is left to go on with it.
func (h *Home) restart(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.opts.Log.Info().Str("job", r.job).Str("item", r.item.ID).Str("version", r.version).Int("events", r.events).Msg("itemRestarted")
	h.metrics.restarts.Inc(1)
	r.dropProgress()
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
		if r.end() {
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
		Slot: g.Request.Key.ID, Trial: g.Trial, Limited: h.pool.IsLimited(g.Upstream.ID),
		Upstream: g.Upstream, LastEventID: r.lastID, IdleTimeout: min(itemIdleTimeout<<min(r.silences, 8), maxItemIdleTimeout),
	}
	got := new(stream)
	r.received, r.sender, r.receivedVersion = got, g.Upstream.ID, g.Upstream.Version
	r.startedAt = h.opts.TimeOfDay()
	h.noteItem(j, r.item.ID, g)
	h.mu.Unlock()
	startedAt := h.opts.Now()
	out, runner := h.execute(ctx, call, got)
	took := h.opts.Now().Sub(startedAt)
	cancelled := errors.Is(context.Cause(ctx), errCancelled)
	h.applyItemPace(g.Request.Key.ID, out.Pace)
	h.pool.Release(g.Request.Key, out.Result)
	logChoice(h.opts.Log.Info(), g).Str("job", r.job).Str("item", r.item.ID).Str("upstream", g.Upstream.ID).Int64("incarnation", g.Upstream.Incarnation).
		Str("version", g.Upstream.Version).Str("runner", runner).Int64("term", h.opts.Term).Str("from", call.LastEventID).Str("to", out.LastEventID).Int("status", out.Status).Bool("cut", cancelled).
		Int("failures", r.failures).Dur("tookMillis", took).Str("error", out.Err).
		Strs("parts", poison.Names(g.Request.Parts)).Msg("itemAttempt")
	h.completeAttempt(r, out, took, cancelled)
}

// addProgress adds the progress of the attempt that has ended. The item begins again if its text is longer than an item's may be, or
// if there is no room for it; the mutex is held.
func (h *Home) addProgress(r *run, out itemOutcome, took time.Duration) {
	r.addProgress(out, took)
	if out.Events == 0 || out.Complete { // a complete item is listed and no longer counts
		return
	}
	tooLong := r.text.Len() > maxItemText
	if !tooLong && !budget.OverShare(h.opts.TextBytes, h.texts.Held(), int64(r.text.Len()), h.texts.Holders()) {
		return
	}
	h.metrics.textsDropped.Inc(1)
	h.opts.Log.Warn().Str("job", r.job).Str("item", r.item.ID).Int("bytes", r.text.Len()).Int64("heldBytes", h.texts.Held()).Int64("limitBytes", h.opts.TextBytes).
		Bool("tooLong", tooLong).Msg("itemTextDropped")
	r.dropProgress()
}

// dropProgress makes an item begin again.
func (r *run) dropProgress() {
	r.text.Drop()
	r.events, r.lastID, r.version, r.ranFor, r.sentBytes = 0, "", "", 0, 0
}

// addProgress adds the progress of the attempt that has ended.
func (r *run) addProgress(out itemOutcome, took time.Duration) {
	if out.Events == 0 {
		return
	}
	r.version = r.receivedVersion
	r.ranFor += took
	if r.events > 0 {
		r.text.Append("\n")
	}
	r.text.Append(out.Text)
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
	h.addProgress(r, out, took)
	if !cancelled && out.Status == http.StatusInternalServerError && !out.NotRun {
		r.failures++
		r.erredAt = r.sender
	}
	if out.Dropped {
		r.sentBytes = 0 // the standbys may have a part of what was dropped
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
