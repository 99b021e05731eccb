package upstream

import (
	"context"
	"errors"
	"strings"
	"time"

	"mothcart/core/config"
	"mothcart/core/retry"
	"mothcart/io/engine"
)

const (
	doneEvent = "[DONE]"
	// usageMark is found in the last event before [DONE] and in no other.
	usageMark = `"usage":{`
	// retryPause is the time before an attempt after a refusal; it doubles with each attempt.
	retryPause = 20 * time.Millisecond
)

// Request is one request for a model engine.
type Request struct {
	// ID is unique over all VMs.
	ID      string
	Team    string
	Service config.Service
	// Name is the model or adapter.
	Name string
	// Path is engine.ChatPath or engine.CompletionPath.
	Path string
	// Body asks for a stream.
	Body []byte
	// Prefix is the hash of the prompt's first part; 0 means none.
	Prefix uint64
	// Tokens is the estimated length of the prompt.
	Tokens int
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	Deadline   time.Time
}

// Summary tells how a request went.
type Summary struct {
	// Upstream is the ID of the upstream that gave the last part of the answer.
	Upstream string
	Attempts int
	// Tokens is the number of tokens handed to the sink.
	Tokens int
	// Resumed is the number of times that the stream went on over a new connection.
	Resumed int
	// Waited is the time until the first place at an upstream.
	Waited time.Duration
}

// Exchange runs the request and hands each event of the stream to sink, each token once and in
// order, [DONE] at last. It returns nil only after [DONE]. Errors are of type *Refusal,
// *ExchangeError, or the sink's own.
func (r *Router) Exchange(ctx context.Context, req Request, sink func(data string) error) (Summary, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &exchange{router: r, req: req, sink: sink}
	r.count(req.Service.Name)
	for {
		err := x.attempt(ctx)
		if err == nil {
			return x.summary, nil
		}
		var f *engine.Failure
		if !errors.As(err, &f) {
			return x.summary, err
		}
		if x.usageSeen {
			return x.summary, x.deliver(doneEvent)
		}
		if !x.goOn(ctx, f) {
			return x.summary, x.final(f)
		}
	}
}

// exchange is the state of one request over its attempts.
type exchange struct {
	router    *Router
	req       Request
	sink      func(string) error
	summary   Summary
	exclude   string
	resume    bool
	progress  bool
	usageSeen bool
	sinkErr   error
	// maybeRan stays true once an attempt may have run.
	maybeRan bool
}

// attempt makes one call at one upstream.
func (x *exchange) attempt(ctx context.Context) error {
	begun := time.Now()
	lease, err := x.router.Acquire(ctx, Want{
		Service: x.req.Service.Name, Name: x.req.Name, Team: x.req.Team, Prefix: x.req.Prefix,
		Deadline: x.req.Deadline, Exclude: x.exclude, Tokens: x.req.Tokens,
	})
	if err != nil {
		return x.refused(err)
	}
	if x.summary.Attempts == 0 {
		x.summary.Waited = time.Since(begun)
	}
	x.summary.Attempts++
	x.summary.Upstream = lease.Upstream.ID
	x.progress = false
	call := engine.Call{
		Address: lease.Upstream.Address, Path: x.req.Path, RequestID: x.req.ID, Body: x.req.Body,
		Resumable: x.req.Idempotent, Progress: x.req.Service.ProgressTimeout,
	}
	if x.resume {
		call.ResumeFrom = x.summary.Tokens
	}
	err = x.router.opts.Engines.Stream(ctx, call, x.deliver)
	var f *engine.Failure
	fault := errors.As(err, &f) && f.UpstreamFault()
	lease.Done(time.Now(), !fault)
	if x.sinkErr != nil || (f != nil && f.Kind == engine.Cancelled) {
		x.router.abandon(lease.Upstream.Address, x.req.ID)
	}
	return err
}

// deliver hands one event on and counts the tokens.
func (x *exchange) deliver(data string) error {
	x.progress = true
	if data != doneEvent {
		if strings.Contains(data, usageMark) {
			x.usageSeen = true
		} else {
			x.summary.Tokens++
		}
	}
	x.sinkErr = x.sink(data)
	return x.sinkErr
}

// refused turns a refusal of a later attempt into an error that tells what may have run.
func (x *exchange) refused(err error) error {
	if !x.maybeRan {
		return err
	}
	var refusal *Refusal
	retryAfter := time.Duration(0)
	code := CodeUpstream
	if errors.As(err, &refusal) {
		retryAfter, code = refusal.RetryAfter, refusal.Code
	}
	return &ExchangeError{Code: code, Ran: retry.RanAfter(retry.Failure{Sent: true, Delivered: x.summary.Tokens}), RetryAfter: retryAfter, err: err}
}

// goOn decides whether there is another attempt, and waits before it.
func (x *exchange) goOn(ctx context.Context, f *engine.Failure) bool {
	x.maybeRan = x.maybeRan || !f.DidNotRun()
	if f.Kind == engine.Rejected || f.Kind == engine.Cancelled {
		return false
	}
	failure := retry.Failure{
		Idempotent: x.req.Idempotent, Sent: x.maybeRan, Refused: !x.maybeRan, Resumable: true,
		Delivered: x.summary.Tokens, Attempts: x.summary.Attempts, Progress: x.progress,
	}
	action := x.router.decide(time.Now(), x.req, failure)
	if action == retry.Fail {
		return false
	}
	x.resume = action == retry.Resume && x.summary.Tokens > 0
	if x.resume {
		x.summary.Resumed++
	}
	if f.Kind != engine.Silent {
		x.exclude = x.summary.Upstream
	}
	if f.Kind == engine.Refused {
		return pause(ctx, max(f.RetryAfter, retryPause<<x.summary.Attempts))
	}
	return true
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// final describes the last failure to the caller.
func (x *exchange) final(f *engine.Failure) error {
	e := &ExchangeError{Code: CodeUpstream, Status: f.Status, Body: f.Body, RetryAfter: f.RetryAfter, err: f}
	e.Ran = retry.RanAfter(retry.Failure{Sent: x.maybeRan, Delivered: x.summary.Tokens})
	if f.Kind == engine.Rejected {
		e.Code = CodeRejected
	}
	return e
}

// count adds a request to the service's retry budget.
func (r *Router) count(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.services[service]; ok {
		s.budget = s.budget.WithRequest()
	}
}

func (r *Router) decide(now time.Time, req Request, f retry.Failure) retry.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[req.Service.Name]
	if !ok {
		return retry.Fail
	}
	action, budget := retry.Decide(now, req.Deadline, f, s.budget)
	s.budget = budget
	return action
}

// abandon tells the engine that nobody waits for the request any more.
func (r *Router) abandon(address, requestID string) {
	go func() { _ = r.opts.Engines.Cancel(context.Background(), address, requestID) }()
}
