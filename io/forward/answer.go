package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mothcart/core/budget"
	"mothcart/core/poison"
	"mothcart/core/slot"
)

// complete ends a request with an upstream's success.
func (x *exchange) complete(now time.Time, lease Lease, a Answer) {
	x.f.metrics.answered.Inc(1)
	if x.isStream() {
		x.done(now, lease.Upstream.ID, "answered", a.Status)
		return
	}
	x.sendAnswer(now, lease, a, "answered")
}

// sendAnswer sends an upstream's complete answer to the caller.
func (x *exchange) sendAnswer(now time.Time, lease Lease, a Answer, outcome string) {
	x.first = now
	x.copyHeader(a.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	x.w.WriteHeader(a.Status)
	small := int64(min(len(a.Body), budget.Small)) // the rest counts already
	x.f.opts.Held.Add(small)
	defer x.f.opts.Held.Free(small)
	if _, err := x.w.Write(a.Body); err != nil {
		outcome = "callerGone"
	}
	x.done(now, lease.Upstream.ID, outcome, a.Status)
}

// fail ends a request that no upstream served successfully.
func (x *exchange) fail(ctx context.Context, reason string, now time.Time, refusal slot.Refusal) {
	switch {
	case x.f.callerGone(ctx):
		x.done(now, "", "callerGone", 0)
		panic(http.ErrAbortHandler)
	case x.started:
		x.f.metrics.broken.Inc(1)
		x.done(now, "", "streamBroken:"+reason, 0)
		panic(http.ErrAbortHandler)
	case x.fallback != nil:
		x.f.metrics.failed.Inc(1)
		x.sendAnswer(now, Lease{}, *x.fallback, "failedAtUpstream")
	case x.runs == 0:
		x.f.metrics.refused.Inc(1)
		if refusal.Reason == slot.ReasonQuarantined || refusal.Reason == slot.ReasonQuarantinedRequest {
			x.log = x.log.With().Strs("parts", poison.Names(x.parts)).Stringer("identity", x.identity).Logger()
		}
		status := refusalStatus(refusal.Reason)
		if refusal.Reason == slot.ReasonOverLimit {
			x.f.metrics.overLimit.Inc(1)
		}
		refuse(x.w, status, refusal.RetryAfter, refusalText(refusal.Reason))
		x.done(now, "", "refused:"+reason, status)
	case ctx.Err() != nil || !now.Before(x.req.Deadline):
		x.f.metrics.failed.Inc(1)
		http.Error(x.w, "no answer in time", http.StatusGatewayTimeout)
		x.done(now, "", "timeout:"+reason, http.StatusGatewayTimeout)
	default:
		x.f.metrics.failed.Inc(1)
		http.Error(x.w, "upstream failed; the request may have run", http.StatusBadGateway)
		x.done(now, "", "failed:"+reason, http.StatusBadGateway)
	}
}

// Refuse answers that a request has not run, and when the caller should retry.
func Refuse(w http.ResponseWriter, retryAfter time.Duration) {
	refuse(w, http.StatusServiceUnavailable, retryAfter, refusalText(""))
}

// refusalStatus returns the status of the answer to a refused caller.
func refusalStatus(reason slot.Reason) int {
	if reason == slot.ReasonOverLimit {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func refuse(w http.ResponseWriter, status int, retryAfter time.Duration, text string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(max(retryAfter, minRetryAfter).Seconds(), 'f', 3, 64))
	http.Error(w, text, status)
}

// refusalText returns what a refused caller is told.
func refusalText(reason slot.Reason) string {
	switch reason {
	case slot.ReasonNoVersion:
		return "not run; no upstream is left at the software version that began this stream"
	case slot.ReasonUnknownVersion:
		return "not run; the software version that began this stream is not known here"
	case slot.ReasonQuarantined:
		return "not run; a part of the prompt crashes upstreams"
	case slot.ReasonTooLarge:
		return "not run; the request needs more memory than an upstream has"
	case slot.ReasonLinksLost:
		return "not run; no entry reaches the upstreams"
	case slot.ReasonQuarantinedRequest:
		return "not run; this request crashes upstreams"
	case slot.ReasonOverLimit:
		return "not run; the account has used up its limit"
	default:
		return "not run; come back later"
	}
}

func (x *exchange) done(now time.Time, upstream, outcome string, status int) {
	x.f.metrics.total.Observe(now.Sub(x.req.Arrived))
	e := x.granted.logChoice(x.log.Info()).Str("outcome", outcome).Int("status", status).Str("upstream", upstream).Str("basis", x.basis).
		Uint64("ask", x.ask).Int("attempts", x.attempts).Int("runs", x.runs).Int("refusals", x.refusals).
		Dur("waitedMillis", x.waited).Dur("tookMillis", now.Sub(x.req.Arrived)).Dur("leftMillis", x.req.Deadline.Sub(now))
	if !x.first.IsZero() {
		x.f.metrics.firstByte.Observe(x.first.Sub(x.req.Arrived))
		e = e.Dur("firstMillis", x.first.Sub(x.req.Arrived)).Int32("events", x.delivered.Load())
	}
	if version := x.boundVersion(); version != "" {
		e = e.Str("version", version)
	}
	if x.req.LastEventID != "" {
		e = e.Str("after", x.req.LastEventID).Str("resumes", x.req.Resumes).Str("boundBy", string(x.boundBy))
	}
	e.Msg("requestDone")
}

// startStream sends the caller the headers of the first upstream that sends an event. A resumed stream continues in
// the same answer, so the headers of later upstreams are dropped.
func (x *exchange) startStream(status int, h http.Header) error {
	if x.started {
		return nil
	}
	x.started = true
	x.copyHeader(h)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(status)
	return nil
}

// sendEvent forwards one event to the caller. It flushes only when no further event is buffered, so that events that
// arrive together are sent together.
func (x *exchange) sendEvent(e Event, more bool) error {
	if _, err := x.w.Write(e.Raw); err != nil {
		return err
	}
	if len(e.Raw) > 0 {
		x.sent(e)
	}
	if more {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// sent records an event that the caller gets.
func (x *exchange) sent(e Event) {
	x.delivered.Add(1)
	switch {
	case e.ID != "":
		x.lastID = e.ID
		x.unnumbered.Store(false)
	case !e.Blank && x.lastID == "":
		x.unnumbered.Store(true)
	}
	if x.first.IsZero() {
		x.first = x.f.opts.Now()
	}
}
