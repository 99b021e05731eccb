package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/fill"
	"mothcart/io/engine"
)

// bytesPerToken is the usual length of a token, for estimates.
const bytesPerToken = 4

// assumedAnswerTokens is the assumed length of a batch answer, in tokens, for the KV memory budget.
const assumedAnswerTokens = 128

// batchRun is one batch item that runs at the engine.
type batchRun struct {
	item   BatchItem
	cancel context.CancelCauseFunc
}

// minBackOff and maxBackOff bound the pause in filling after the engine was unreachable or refused a request.
const (
	minBackOff = 100 * time.Millisecond
	maxBackOff = 5 * time.Second
)

// preempt stops the item if it is idempotent. An item that is not idempotent continues, since it may have
// run and could not be sent again.
func (r *batchRun) preempt() {
	if r.item.Idempotent {
		r.cancel(errPreempted)
	}
}

// errPreempted is the cause of cancellation of a preempted batch item: it yields to online requests, its engine
// may no longer run batch items, or its engineHome is being closed.
var errPreempted = errors.New("batch item yields to online requests")

// pausedItem is an item that was preempted, with the part of its answer that has arrived. It resumes before
// new items start, at the same engine, which keeps the request's state for some seconds.
type pausedItem struct {
	item   BatchItem
	answer *engine.Assembler
	until  time.Time
}

// maxPause is the longest time that an item waits to resume at its engine; after that it is returned, so
// that another engine can run it.
const maxPause = 5 * time.Second

// takePaused removes up to n paused items to be resumed, and returns to their source those that waited
// longer than maxPause or whose context has ended, and all of them once e is closed; mu is not held.
func (e *engineHome) takePaused(now time.Time, n int) []pausedItem {
	e.mu.Lock()
	var ready, expired []pausedItem
	for len(e.paused) > 0 && (len(ready) < n || !now.Before(e.paused[0].until)) {
		p := e.paused[0]
		e.paused = e.paused[1:]
		if p.item.Context.Err() != nil || !now.Before(p.until) || e.ctx.Err() != nil {
			expired = append(expired, p)
			continue
		}
		ready = append(ready, p)
	}
	e.mu.Unlock()
	for _, p := range expired {
		p.item.Return()
	}
	return ready
}

// fillLoop keeps filling the capacity that online requests leave free with batch items, until e is closed.
func (e *engineHome) fillLoop() {
	ticker := time.NewTicker(fillInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.wake:
		case <-ticker.C:
		}
		e.fill(time.Now())
	}
}

// fill makes and executes one decision of core/fill.
func (e *engineHome) fill(now time.Time) {
	e.mu.Lock()
	decision := e.state.Decide(now)
	for _, id := range decision.Cancel {
		if run, ok := e.batch[id]; ok {
			run.preempt()
		}
	}
	models, leaving := e.batchModels(), e.upstream.Leaving
	blocked := now.Before(e.backOffUntil) || !e.mayBatch
	if !e.mayBatch {
		for _, run := range e.batch {
			run.preempt()
		}
	}
	e.mu.Unlock()
	if leaving || blocked || len(decision.Cancel) > 0 {
		return
	}
	e.admit(now, decision, models)
}

// batchModels returns the models to request items for, rotated by one at each call; mu is held.
func (e *engineHome) batchModels() []string {
	models := e.loaded
	if e.loadAt.IsZero() {
		models = e.names
	}
	if len(models) == 0 {
		return nil
	}
	e.nextModel = (e.nextModel + 1) % len(models)
	return append(append([]string{}, models[e.nextModel:]...), models[:e.nextModel]...)
}

// admit starts as many items as the decision allows.
func (e *engineHome) admit(now time.Time, d fill.Decision, models []string) {
	room, tokens := d.Admit, d.AdmitTokens
	for _, p := range e.takePaused(now, room) {
		cost := costOf(p.item)
		if tokens <= 0 || !e.startItem(now, p.item, p.answer, cost) {
			e.pause(p)
			continue
		}
		room--
		tokens -= cost
	}
	for _, model := range models {
		if room <= 0 || tokens <= 0 {
			return
		}
		for _, item := range e.opts.Items.Take(model, room) {
			cost := costOf(item)
			if tokens <= 0 || !e.startItem(now, item, nil, cost) {
				item.Return()
				continue
			}
			room--
			tokens -= cost
		}
	}
}

// costOf estimates the KV tokens of an item.
func costOf(item BatchItem) int { return len(item.Body)/bytesPerToken + assumedAnswerTokens }

// pause queues an item to be resumed.
func (e *engineHome) pause(p pausedItem) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = append(e.paused, p)
}

// startItem starts one item, or resumes it after the tokens of answer if that is not nil. It reports false
// if the item can't start now.
func (e *engineHome) startItem(now time.Time, item BatchItem, answer *engine.Assembler, cost int) bool {
	ctx, cancel := context.WithCancelCause(item.Context)
	e.mu.Lock()
	if e.ctx.Err() != nil || (item.Alone && len(e.batch) > 0) || e.runsAlone() {
		e.mu.Unlock()
		cancel(nil)
		return false
	}
	run := &batchRun{item: item, cancel: cancel}
	e.batch[item.ID] = run
	e.state = e.state.WithBatchStart(now, item.ID, cost)
	address, progress := e.upstream.Address, e.service.ProgressTimeout
	e.mu.Unlock()
	stop := context.AfterFunc(e.ctx, run.preempt)
	e.done.Go(func() {
		defer stop()
		defer cancel(nil)
		e.run(ctx, item, answer, address, progress)
	})
	return true
}

// runsAlone reports whether an item that must run alone is running; mu is held.
func (e *engineHome) runsAlone() bool {
	for _, r := range e.batch {
		return r.item.Alone
	}
	return false
}

// run sends one item and reports its outcome to the item's source.
func (e *engineHome) run(ctx context.Context, item BatchItem, answer *engine.Assembler, address string, progress time.Duration) {
	if answer == nil {
		if !item.Begin() {
			e.itemEnded(item.ID, false, 0)
			return
		}
		answer = engine.NewAssembler(item.Path)
	}
	from := answer.Tokens()
	call := engine.Call{
		Address: address, Path: item.Path, RequestID: item.ID, Body: item.Body,
		ResumeFrom: from, Resumable: item.Idempotent, ProgressTimeout: progress,
	}
	first := true
	err := e.opts.Batch.Stream(ctx, call, func(ev engine.Event) error {
		if first {
			first = false
			e.firstToken(item.ID)
		}
		return answer.Add(ev.Data)
	})
	preempted := err != nil && errors.Is(context.Cause(ctx), errPreempted)
	e.itemEnded(item.ID, preempted, answer.Tokens()-from)
	switch {
	case preempted:
		e.pauseOrReturn(item, answer)
	case err != nil && ctx.Err() != nil:
		_ = e.opts.Control.Cancel(context.WithoutCancel(ctx), address, item.ID)
		item.Return()
	case err != nil && didNotRun(err):
		e.backOff(time.Now())
		item.Return()
	case err != nil:
		item.Done(failedResult(err))
	default:
		item.Done(completeResult(answer))
	}
}

func (e *engineHome) firstToken(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = e.state.WithBatchFirstToken(time.Now(), id)
	e.backOffTime = 0
}

// itemEnded removes the item from the engine's state. tokens is the number of tokens received since it was
// sent or resumed.
func (e *engineHome) itemEnded(id string, paused bool, tokens int) {
	now := time.Now()
	e.mu.Lock()
	delete(e.batch, id)
	e.state = e.state.WithBatchLatency(now, id, tokens)
	if paused {
		e.state = e.state.WithBatchPaused(now, id)
	} else {
		e.state = e.state.WithBatchEnd(now, id)
	}
	e.mu.Unlock()
	e.wakeLoop()
}

// pauseOrReturn queues a preempted item to be resumed, or returns it if it is not idempotent or e is being
// closed.
func (e *engineHome) pauseOrReturn(item BatchItem, answer *engine.Assembler) {
	metrics.GetOrRegisterCounter("batch.gaveWay", e.opts.Registry).Inc(1)
	if !item.Idempotent || e.ctx.Err() != nil {
		item.Return()
		return
	}
	e.pause(pausedItem{item: item, answer: answer, until: time.Now().Add(maxPause)})
}

func completeResult(a *engine.Assembler) BatchResult {
	body, err := a.Answer()
	if err != nil {
		return BatchResult{Retry: true, Error: err.Error()}
	}
	return BatchResult{Status: http.StatusOK, Body: body}
}

// didNotRun reports that the engine can't be reached or accepts no requests now. Such an attempt does not
// count for the item.
func didNotRun(err error) bool {
	var f *engine.Failure
	return errors.As(err, &f) && (f.Kind == engine.NotSent || f.Kind == engine.Refused)
}

// backOff stops filling for a time that doubles while the engine accepts no requests.
func (e *engineHome) backOff(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.backOffUntil) {
		return
	}
	e.backOffTime = min(max(2*e.backOffTime, minBackOff), maxBackOff)
	e.backOffUntil = now.Add(e.backOffTime)
}

// failedResult returns the result of a failed attempt. Retry is set unless the engine rejected the item,
// and Lost if the engine broke off or stopped responding.
func failedResult(err error) BatchResult {
	var f *engine.Failure
	if !errors.As(err, &f) {
		return BatchResult{Retry: true, Error: err.Error()}
	}
	r := BatchResult{Status: f.Status, Body: f.Body, Error: f.Error()}
	switch f.Kind {
	case engine.Rejected:
	case engine.Broken, engine.Silent:
		r.Retry, r.Lost = true, true
	default:
		r.Retry = true
	}
	return r
}
