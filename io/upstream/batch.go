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

// assumedAnswerTokens is the length of a batch answer for the budget of memory.
const assumedAnswerTokens = 128

// batchRun is one batch item at the engine.
type batchRun struct {
	item   BatchItem
	cancel context.CancelCauseFunc
}

// minBackOff and maxBackOff bound the time without filling after the engine took no requests.
const (
	minBackOff = 100 * time.Millisecond
	maxBackOff = 5 * time.Second
)

// giveWay stops the item. One that is not idempotent goes on: it may have run, and could not be sent
// again.
func (r *batchRun) giveWay() {
	if r.item.Idempotent {
		r.cancel(errGiveWay)
	}
}

// errGiveWay is the cause of the cancellation of a batch item that makes room for online.
var errGiveWay = errors.New("batch gives way to online")

// pausedItem is an item that gave way, with what it has of its answer. It goes on first at the same
// engine, which keeps its state for some seconds.
type pausedItem struct {
	item   BatchItem
	answer *engine.Assembler
	until  time.Time
}

// maxPause is how long an item waits to go on at its engine; then it is given back for others.
const maxPause = 5 * time.Second

// takePaused takes up to n paused items to go on, and gives those back that waited too long; mu is
// not held.
func (e *engineHome) takePaused(now time.Time, n int) []pausedItem {
	e.mu.Lock()
	var ready, late []pausedItem
	for len(e.paused) > 0 && (len(ready) < n || !now.Before(e.paused[0].until)) {
		p := e.paused[0]
		e.paused = e.paused[1:]
		if p.item.Context.Err() != nil || !now.Before(p.until) || e.ctx.Err() != nil {
			late = append(late, p)
			continue
		}
		ready = append(ready, p)
	}
	e.mu.Unlock()
	for _, p := range late {
		p.item.Return()
	}
	return ready
}

// fillLoop keeps the engine filled with batch items as far as online leaves room.
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

// fill carries one decision out.
func (e *engineHome) fill(now time.Time) {
	e.mu.Lock()
	decision := e.state.Decide(now)
	for _, id := range decision.Cancel {
		if run, ok := e.batch[id]; ok {
			run.giveWay()
		}
	}
	models, leaving := e.batchModels(), e.upstream.Leaving
	away := now.Before(e.backUntil) || !e.mayBatch
	if !e.mayBatch {
		for _, run := range e.batch {
			run.giveWay()
		}
	}
	e.mu.Unlock()
	if leaving || away || len(decision.Cancel) > 0 {
		return
	}
	e.admit(now, decision, models)
}

// batchModels returns the models to take items for, starting with another one each time; mu is
// held.
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
		if tokens <= 0 || !e.begin(now, p.item, p.answer, cost) {
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
			if tokens <= 0 || !e.begin(now, item, nil, cost) {
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

// pause keeps an item for going on.
func (e *engineHome) pause(p pausedItem) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = append(e.paused, p)
}

// begin starts one item, which goes on from answer unless that is nil; it reports false when the
// item can't start now.
func (e *engineHome) begin(now time.Time, item BatchItem, answer *engine.Assembler, cost int) bool {
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
	stop := context.AfterFunc(e.ctx, run.giveWay)
	e.done.Go(func() {
		defer stop()
		defer cancel(nil)
		e.run(ctx, item, answer, address, progress)
	})
	return true
}

// runsAlone reports that an item runs that wants no others beside it; mu is held.
func (e *engineHome) runsAlone() bool {
	for _, r := range e.batch {
		return r.item.Alone
	}
	return false
}

// run sends one item and records what became of it.
func (e *engineHome) run(ctx context.Context, item BatchItem, answer *engine.Assembler, address string, progress time.Duration) {
	if answer == nil {
		if !item.Begin() {
			e.ended(item.ID, false, 0)
			return
		}
		answer = engine.NewAssembler(item.Path)
	}
	from := answer.Tokens()
	call := engine.Call{
		Address: address, Path: item.Path, RequestID: item.ID, Body: item.Body,
		ResumeFrom: from, Resumable: item.Idempotent, Progress: progress,
	}
	first := true
	err := e.opts.Batch.Stream(ctx, call, func(ev engine.Event) error {
		if first {
			first = false
			e.firstToken(item.ID)
		}
		return answer.Add(ev.Data)
	})
	gaveWay := err != nil && errors.Is(context.Cause(ctx), errGiveWay)
	e.ended(item.ID, gaveWay, answer.Tokens()-from)
	switch {
	case gaveWay:
		e.giveBack(item, answer)
	case err != nil && ctx.Err() != nil:
		_ = e.opts.Control.Cancel(context.WithoutCancel(ctx), address, item.ID)
		item.Return()
	case err != nil && didNotRun(err):
		e.backOff(time.Now())
		item.Return()
	case err != nil:
		item.Done(failedResult(err))
	default:
		item.Done(wholeResult(answer))
	}
}

func (e *engineHome) firstToken(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = e.state.WithBatchFirstToken(time.Now(), id)
	e.backTime = 0
}

// ended takes the item out of the engine's state; tokens came since it was sent.
func (e *engineHome) ended(id string, paused bool, tokens int) {
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

// giveBack keeps an item that gave way for going on, or returns it.
func (e *engineHome) giveBack(item BatchItem, answer *engine.Assembler) {
	metrics.GetOrRegisterCounter("batch.gaveWay", e.opts.Registry).Inc(1)
	if !item.Idempotent || e.ctx.Err() != nil {
		item.Return()
		return
	}
	e.pause(pausedItem{item: item, answer: answer, until: time.Now().Add(maxPause)})
}

func wholeResult(a *engine.Assembler) BatchResult {
	body, err := a.Answer()
	if err != nil {
		return BatchResult{Retry: true, Error: err.Error()}
	}
	return BatchResult{Status: http.StatusOK, Body: body}
}

// didNotRun reports that the engine can't be reached or takes no requests now: the attempt does not
// count for the item.
func didNotRun(err error) bool {
	var f *engine.Failure
	return errors.As(err, &f) && (f.Kind == engine.NotSent || f.Kind == engine.Refused)
}

// backOff stops filling for a time that doubles while the engine takes no requests.
func (e *engineHome) backOff(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.backUntil) {
		return
	}
	e.backTime = min(max(2*e.backTime, minBackOff), maxBackOff)
	e.backUntil = now.Add(e.backTime)
}

// failedResult tells a hopeless item from one that another attempt may mend.
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
