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

// assumedAnswerTokens is the length of a batch answer for the budget of memory.
const assumedAnswerTokens = 128

// maxProgress bounds the answers begun and given back that are kept for resuming.
const maxProgress = 2048

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

// errGiveWay is the cause of the cancellation of a batch item that makes room for online.
var errGiveWay = errors.New("batch gives way to online")

// progressCache keeps the begun answers of items that were given back. The home's mu guards it.
type progressCache struct {
	byID  map[string]*engine.Assembler
	order []string
}

func newProgressCache() progressCache {
	return progressCache{byID: map[string]*engine.Assembler{}}
}

// take returns the begun answer of an item, or nil.
func (c *progressCache) take(id string) *engine.Assembler {
	a := c.byID[id]
	delete(c.byID, id)
	return a
}

// put keeps a begun answer; the oldest goes when there are too many.
func (c *progressCache) put(id string, a *engine.Assembler) {
	c.byID[id] = a
	c.order = append(c.order, id)
	if len(c.order) > maxProgress {
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
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
			run.cancel(errGiveWay)
		}
	}
	models, leaving := e.batchModels(), e.upstream.Leaving
	away := now.Before(e.backUntil) || !e.mayBatch
	if !e.mayBatch {
		for _, run := range e.batch {
			run.cancel(errGiveWay)
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
	for _, model := range models {
		if room <= 0 || tokens <= 0 {
			return
		}
		for _, item := range e.opts.Items.Take(model, room) {
			cost := len(item.Body)/4 + assumedAnswerTokens
			if tokens <= 0 || !e.begin(now, item, cost) {
				item.Return()
				continue
			}
			room--
			tokens -= cost
		}
	}
}

// begin starts one item; it reports false when the item can't start now.
func (e *engineHome) begin(now time.Time, item BatchItem, cost int) bool {
	ctx, cancel := context.WithCancelCause(item.Context)
	e.mu.Lock()
	if e.ctx.Err() != nil || (item.Alone && len(e.batch) > 0) || e.runsAlone() {
		e.mu.Unlock()
		cancel(nil)
		return false
	}
	e.batch[item.ID] = &batchRun{item: item, cancel: cancel}
	e.state = e.state.WithBatchStart(now, item.ID, cost)
	answer := e.progress.take(item.ID)
	address, progress := e.upstream.Address, e.service.ProgressTimeout
	e.mu.Unlock()
	stop := context.AfterFunc(e.ctx, func() { cancel(errGiveWay) })
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
	if !item.Begin() {
		e.ended(item.ID, false)
		return
	}
	if answer == nil {
		answer = engine.NewAssembler(item.Path)
	}
	call := engine.Call{
		Address: address, Path: item.Path, RequestID: item.ID, Body: item.Body,
		ResumeFrom: answer.Tokens(), Resumable: item.Idempotent, Progress: progress,
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
	e.ended(item.ID, gaveWay)
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

// ended takes the item out of the engine's state.
func (e *engineHome) ended(id string, paused bool) {
	now := time.Now()
	e.mu.Lock()
	delete(e.batch, id)
	if paused {
		e.state = e.state.WithBatchPaused(now, id)
	} else {
		e.state = e.state.WithBatchEnd(now, id)
	}
	e.mu.Unlock()
	e.poke()
}

// giveBack returns an item that gave way; what it has of its answer is kept for going on.
func (e *engineHome) giveBack(item BatchItem, answer *engine.Assembler) {
	metrics.GetOrRegisterCounter("batch.gaveWay", e.opts.Registry).Inc(1)
	if item.Idempotent && answer.Tokens() > 0 {
		e.mu.Lock()
		e.progress.put(item.ID, answer)
		e.mu.Unlock()
	}
	item.Return()
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
