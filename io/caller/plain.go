package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"mothcart/core/config"
	"mothcart/core/retry"
	"mothcart/core/route"
	"mothcart/io/service"
	"mothcart/io/upstream"
)

// servicesPrefix starts the paths of plain services.
const servicesPrefix = "/services/"

// maxBufferedBytes is the size up to which an answer is read to its end before any of it is sent to the
// caller, so that the call can be retried if the connection breaks within the answer.
const maxBufferedBytes = 256 << 10

// plainTarget splits the URL of a call to a plain service into the service's name and the path, with the
// query, at the upstream.
func plainTarget(u *url.URL) (name, path string, ok bool) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), servicesPrefix)
	if !ok {
		return "", "", false
	}
	name, path, _ = strings.Cut(rest, "/")
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return name, path, true
}

// plainRun is a validated call to a plain service with its target, team and deadline.
type plainRun struct {
	service    config.Service
	call       service.Call
	team       string
	idempotent bool
	deadline   time.Time
}

// plain forwards a call to a plain service.
func (h *Handler) plain(w http.ResponseWriter, r *http.Request, c call) {
	data, p := h.readBody(w, r)
	if p != nil {
		h.refuse(w, c, *p)
		return
	}
	name, path, _ := plainTarget(r.URL)
	run, p := planPlain(r, c, name, path, data)
	if p != nil {
		h.refuse(w, c, *p)
		return
	}
	if key := r.Header.Get(keyHeader); key != "" || respondAsync(r) {
		h.serveDurable(w, r, c, newDurableRequest(r, c, data, key, run.idempotent, run.deadline))
		return
	}
	answer, err := h.exchangePlain(r.Context(), run)
	if err != nil {
		h.refuse(w, c, problemOf(err))
		return
	}
	defer answer.Body.Close()
	h.forwardAnswer(w, c, answer)
}

func planPlain(r *http.Request, c call, name, path string, data []byte) (plainRun, *problem) {
	target, ok := route.Resolve(c.snapshot, name, r.Header.Get, c.account.Name, rand.Uint64())
	if !ok || target.Service.Kind != config.KindPlain {
		return plainRun{}, &problem{status: http.StatusNotFound, code: "service_not_found", ran: retry.RanNo, message: "no plain service is called " + name}
	}
	due, p := deadline(r, c.received, target.Service.RequestTimeout)
	if p != nil {
		return plainRun{}, p
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	mayRepeat, p := idempotent(r, target.Service.Idempotent || safe)
	if p != nil {
		return plainRun{}, p
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	return plainRun{
		service: target.Service, team: c.account.Team, idempotent: mayRepeat, deadline: due,
		call: service.Call{Method: r.Method, Path: path, Header: header, Body: data, RequestID: c.id},
	}, nil
}

// exchangePlain makes attempts until one gets an answer or no retry is allowed. Its errors are of the
// same types as those of upstream.Router.Exchange.
func (h *Handler) exchangePlain(ctx context.Context, run plainRun) (service.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	x := plainExchange{handler: h, run: run}
	for {
		answer, err := x.attempt(ctx)
		if err == nil {
			answer.Body = cancelOnClose{ReadCloser: answer.Body, cancel: cancel}
			return answer, nil
		}
		if !x.shouldRetry(err) {
			cancel()
			return service.Answer{}, x.finalError(err)
		}
	}
}

// plainExchange is the state of one call across its attempts. maybeRan is set once any attempt may have
// reached an upstream; exclude is the upstream of the last attempt, which the next attempt avoids.
type plainExchange struct {
	handler  *Handler
	run      plainRun
	attempts int
	maybeRan bool
	exclude  string
}

// attempt acquires a slot of an upstream and sends the call to it once.
func (x *plainExchange) attempt(ctx context.Context) (service.Answer, error) {
	lease, err := x.handler.opts.Router.Acquire(ctx, upstream.Want{
		Service: x.run.service.Name, Name: x.run.service.Name, Team: x.run.team, Deadline: x.run.deadline, Exclude: x.exclude,
	})
	if err != nil {
		return service.Answer{}, err
	}
	x.attempts++
	x.exclude = lease.Upstream.ID
	call := x.run.call
	call.Address = lease.Upstream.Address
	answer, err := x.handler.opts.Services.Do(ctx, call)
	if err != nil {
		lease.Done(time.Now(), ctx.Err() != nil)
		return service.Answer{}, err
	}
	if answer, err = bufferAnswer(answer); err != nil {
		lease.Done(time.Now(), ctx.Err() != nil)
		return service.Answer{}, err
	}
	if answer.Status == http.StatusServiceUnavailable && x.mayRetryBusy() {
		answer.Body.Close()
		lease.Done(time.Now(), true)
		return service.Answer{}, errUpstreamBusy
	}
	answer.Body = doneOnClose{ReadCloser: answer.Body, lease: lease}
	return answer, nil
}

// errUpstreamBusy means that the upstream answered 503 and that the call may be retried at another upstream.
var errUpstreamBusy = errors.New("upstream answered 503")

// mayRetryBusy reports whether a call that was answered with 503 may be retried: it is idempotent and has
// attempts remaining.
func (x *plainExchange) mayRetryBusy() bool {
	return x.run.idempotent && x.attempts < retry.MaxAttempts
}

// bufferAnswer reads an answer of up to maxBufferedBytes into memory, so that a broken connection is detected
// before any of the answer is sent to the caller.
func bufferAnswer(a service.Answer) (service.Answer, error) {
	if a.Length < 0 || a.Length > maxBufferedBytes {
		return a, nil
	}
	body, err := service.ReadAnswer(a.Body, maxBufferedBytes)
	a.Body.Close()
	if err != nil {
		return service.Answer{}, err
	}
	a.Body = io.NopCloser(bytes.NewReader(body))
	return a, nil
}

// shouldRetry records whether the failed attempt may have reached an upstream, and reports whether to make
// another attempt. A refusal of the router is final.
func (x *plainExchange) shouldRetry(err error) bool {
	var refusal *upstream.Refusal
	if errors.As(err, &refusal) {
		return false
	}
	var failure *service.Failure
	sent := true
	if errors.As(err, &failure) {
		sent = failure.Sent
	}
	x.maybeRan = x.maybeRan || sent
	f := retry.Failure{Idempotent: x.run.idempotent, Sent: x.maybeRan, Attempts: x.attempts}
	return x.handler.opts.Router.Decide(time.Now(), x.run.service.Name, x.run.deadline, f) != retry.Fail
}

// finalError converts the last attempt's error to the error of the call.
func (x *plainExchange) finalError(err error) error {
	if !x.maybeRan {
		var refusal *upstream.Refusal
		if errors.As(err, &refusal) {
			return err
		}
		return upstream.NewExchangeError(upstream.CodeUpstream, retry.RanNo, err)
	}
	return upstream.NewExchangeError(upstream.CodeUpstream, retry.RanMaybe, err)
}

// forwardAnswer sends the upstream's answer to the caller. If the upstream's body ends early, it aborts the
// caller's connection, so that a truncated answer is never taken for a complete one.
func (h *Handler) forwardAnswer(w http.ResponseWriter, c call, a service.Answer) {
	for name, values := range a.Header {
		if name != http.CanonicalHeaderKey(requestIDHeader) {
			w.Header()[name] = values
		}
	}
	w.Header().Set(ranHeader, string(retry.RanYes))
	w.WriteHeader(a.Status)
	if _, err := io.Copy(w, a.Body); err != nil {
		h.failed.Mark(1)
		h.opts.Log.Warn().Err(err).Str("request", c.id).Msg("answerBroken")
		panic(http.ErrAbortHandler)
	}
	h.total.Observe(time.Since(c.received))
	h.opts.Log.Info().Str("request", c.id).Str("account", c.account.Name).Int("status", a.Status).Dur("took", time.Since(c.received)).Msg("callDone")
}

// replayPlain runs a call to a plain service stored in the ledger and returns its complete answer; one of more
// than MaxBodyBytes is an error.
func (h *Handler) replayPlain(ctx context.Context, r *http.Request, c call, name, path string, body []byte, d DurableRequest) (DurableAnswer, retry.Ran, error) {
	run, p := planPlain(r, c, name, path, body)
	if p != nil {
		return p.answer(), p.ran, nil
	}
	run.idempotent = d.Idempotent
	run.deadline = d.Deadline
	answer, err := h.exchangePlain(ctx, run)
	if err != nil {
		p := problemOf(err)
		return p.answer(), p.ran, err
	}
	defer answer.Body.Close()
	data, err := service.ReadAnswer(answer.Body, h.opts.MaxBodyBytes)
	if err != nil {
		p := problemOf(upstream.NewExchangeError(upstream.CodeUpstream, retry.RanMaybe, err))
		return p.answer(), p.ran, err
	}
	return DurableAnswer{Status: answer.Status, Header: answer.Header, Body: data}, retry.RanYes, nil
}

// cancelOnClose cancels the context of a call when the answer's body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// doneOnClose releases the upstream's slot when the answer's body is closed.
type doneOnClose struct {
	io.ReadCloser
	lease *upstream.Lease
}

// Close closes the body.
func (d doneOnClose) Close() error {
	defer d.lease.Done(time.Now(), true)
	return d.ReadCloser.Close()
}
