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
	// usageMark is contained in the last event before [DONE] and in no token event.
	usageMark = `"usage":{`
	// retryPause is the base of the pause before an attempt after a refusal; the pause doubles with each
	// attempt.
	retryPause = 20 * time.Millisecond
)

// Request is one request for a model engine.
type Request struct {
	// ID is unique among all VMs.
	ID      string
	Team    string
	Service config.Service
	// Name is the model or adapter.
	Name string
	// Path is engine.ChatPath or engine.CompletionPath.
	Path string
	// Body asks for a stream if Exchange runs the request, and otherwise for a complete answer.
	Body []byte
	// Prefix is the hash of the prompt's first part; 0 means none.
	Prefix uint64
	// Tokens is the estimated length of the prompt.
	Tokens int
	// Idempotent reports that the request may run more than once.
	Idempotent bool
	Deadline   time.Time
}

// Summary describes how a request was served.
type Summary struct {
	// Upstream is the ID of the upstream that gave the last part of the answer.
	Upstream string
	Attempts int
	// Tokens is the number of tokens passed to the sink.
	Tokens int
	// Resumed is the number of times that the stream was resumed over a new connection.
	Resumed int
	// Waited is the time until the request got its first slot at an upstream.
	Waited time.Duration
	// LoadAge is the age of the last upstream's load digest when the request was assigned to the upstream;
	// negative if there was none.
	LoadAge time.Duration
}

// Exchange runs the request and passes each event of the stream to sink, each token once and in
// order, and [DONE] last. It returns nil only after [DONE]. Errors are of type *Refusal,
// *ExchangeError, or the sink's own.
func (r *Router) Exchange(ctx context.Context, req Request, sink func(data string) error) (Summary, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &exchange{router: r, req: req, sink: sink}
	err := x.run(ctx)
	return x.summary, err
}

// ExchangeComplete runs a request whose body asks for a complete (non-streamed) answer, and returns the
// answer's body. The request can't be resumed; errors are as for Exchange.
func (r *Router) ExchangeComplete(ctx context.Context, req Request) ([]byte, Summary, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &exchange{router: r, req: req, nonStreamed: true}
	err := x.run(ctx)
	return x.answer, x.summary, err
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) error {
	x.router.count(x.req.Service.Name)
	for {
		err := x.attempt(ctx)
		if err == nil {
			return nil
		}
		var f *engine.Failure
		if !errors.As(err, &f) {
			return err
		}
		if x.usageSeen {
			return x.deliver(engine.Event{Index: engine.NoIndex, Data: engine.DoneEvent})
		}
		if !x.prepareRetry(ctx, f) {
			return x.final(f)
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
	// nonStreamed asks for a complete (non-streamed) answer; answer is its body.
	nonStreamed bool
	answer      []byte
	// maybeRan stays true once an attempt may have run.
	maybeRan bool
}

// attempt makes one call at one upstream.
func (x *exchange) attempt(ctx context.Context) error {
	startedAt := time.Now()
	lease, err := x.router.Acquire(ctx, Want{
		Service: x.req.Service.Name, Name: x.req.Name, Team: x.req.Team, Prefix: x.req.Prefix,
		Deadline: x.req.Deadline, Exclude: x.exclude, Tokens: x.req.Tokens,
	})
	if err != nil {
		return x.refused(err)
	}
	if x.summary.Attempts == 0 {
		x.summary.Waited = time.Since(startedAt)
	}
	x.summary.Attempts++
	x.summary.Upstream = lease.Upstream.ID
	x.summary.LoadAge = lease.LoadAge
	x.progress = false
	err = x.send(ctx, lease)
	var f *engine.Failure
	fault := errors.As(err, &f) && f.UpstreamFault()
	lease.Done(time.Now(), !fault)
	if x.sinkErr != nil || (f != nil && f.Kind == engine.Cancelled) {
		x.router.abandon(lease.Upstream.Address, x.req.ID)
	}
	return err
}

// send makes the call at the leased upstream.
func (x *exchange) send(ctx context.Context, lease *Lease) error {
	call := engine.Call{Address: lease.Upstream.Address, Path: x.req.Path, RequestID: x.req.ID, Body: x.req.Body}
	if x.nonStreamed {
		body, err := x.router.opts.Engines.Complete(ctx, call)
		x.answer = body
		return err
	}
	call.Resumable = x.req.Idempotent
	call.ProgressTimeout = x.req.Service.ProgressTimeout
	if x.resume {
		call.ResumeFrom = x.summary.Tokens
	}
	return x.router.opts.Engines.Stream(ctx, call, x.deliver)
}

// deliver passes one event to the sink and counts the tokens.
func (x *exchange) deliver(e engine.Event) error {
	x.progress = true
	switch {
	case e.Index != engine.NoIndex && !strings.Contains(e.Data, usageMark):
		x.summary.Tokens++
	case e.Data != engine.DoneEvent:
		x.usageSeen = true
	}
	x.sinkErr = x.sink(e.Data)
	return x.sinkErr
}

// refused converts a refusal into the request's error. After an attempt that may have run, the error says
// so.
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

// prepareRetry reports whether another attempt is to be made, and waits before that attempt if the last one
// was refused.
func (x *exchange) prepareRetry(ctx context.Context, f *engine.Failure) bool {
	x.maybeRan = x.maybeRan || !f.DidNotRun()
	if f.Kind == engine.Rejected || f.Kind == engine.Cancelled {
		return false
	}
	failure := retry.Failure{
		Idempotent: x.req.Idempotent, Sent: x.maybeRan, Refused: !x.maybeRan, Resumable: !x.nonStreamed,
		Delivered: x.summary.Tokens, Attempts: x.summary.Attempts, Progress: x.progress,
	}
	action := x.router.Decide(time.Now(), x.req.Service.Name, x.req.Deadline, failure)
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

// final returns the request's error for the failure of its last attempt.
func (x *exchange) final(f *engine.Failure) error {
	e := &ExchangeError{Code: CodeUpstream, Status: f.Status, Body: f.Body, RetryAfter: f.RetryAfter, err: f}
	e.Ran = retry.RanAfter(retry.Failure{Sent: x.maybeRan, Delivered: x.summary.Tokens})
	if f.Kind == engine.Rejected && x.summary.Tokens == 0 { // else it is no answer to what the caller has sent
		e.Code = CodeRejected
	}
	return e
}

// count counts a request towards the service's retry budget.
func (r *Router) count(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.services[service]; ok {
		s.budget = s.budget.WithRequest()
	}
}

// Decide returns the action after a failed attempt, and charges a retry to the service's retry budget.
func (r *Router) Decide(now time.Time, service string, deadline time.Time, f retry.Failure) retry.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	if !ok {
		return retry.Fail
	}
	action, budget := retry.Decide(now, deadline, f, s.budget)
	s.budget = budget
	return action
}

// abandon cancels the request at the engine, since no caller waits for it any more.
func (r *Router) abandon(address, requestID string) {
	go func() { _ = r.opts.Engines.Cancel(context.Background(), address, requestID) }()
}
