package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"mothcart/core/retry"
	"mothcart/core/route"
	"mothcart/io/engine"
	"mothcart/io/upstream"
)

// completion serves chat and text completions, streamed and not.
func (h *Handler) completion(w http.ResponseWriter, r *http.Request, c call) {
	data, p := h.readBody(w, r)
	if p != nil {
		h.refuse(w, c, *p)
		return
	}
	run, p := h.plan(r, c, data)
	if p != nil {
		h.refuse(w, c, *p)
		return
	}
	switch {
	case run.durable():
		h.serveDurable(w, r, c, run.durableRequest(r, c, data))
	case run.body.stream:
		h.serveStream(r.Context(), w, c, run)
	default:
		h.serveComplete(r.Context(), w, c, run)
	}
}

// completionRun is a validated completion with the upstream request to make for it.
type completionRun struct {
	body     completionBody
	request  upstream.Request
	key      string
	async    bool
	path     string
	deadline time.Time
}

// plan validates a completion and resolves its target service, model and deadline.
func (h *Handler) plan(r *http.Request, c call, data []byte) (completionRun, *problem) {
	body, err := parseCompletion(data)
	if err != nil {
		return completionRun{}, &problem{status: http.StatusBadRequest, code: "invalid_body", ran: retry.RanNo, message: err.Error()}
	}
	target, ok := route.Resolve(c.snapshot, body.model, r.Header.Get, c.account.Name, rand.Uint64())
	if !ok || target.Name == target.Service.Name {
		return completionRun{}, &problem{status: http.StatusNotFound, code: "model_not_found", ran: retry.RanNo, message: "no model or adapter is called " + body.model}
	}
	due, p := deadline(r, c.received, target.Service.RequestTimeout)
	if p != nil {
		return completionRun{}, p
	}
	mayRepeat, p := idempotent(r, true)
	if p != nil {
		return completionRun{}, p
	}
	upstreamBody, err := body.forUpstream(target.Name, true)
	if err != nil {
		return completionRun{}, &problem{status: http.StatusBadRequest, code: "invalid_body", ran: retry.RanNo, message: err.Error()}
	}
	path := engine.ChatPath
	if r.URL.Path == engine.CompletionPath {
		path = engine.CompletionPath
	}
	return completionRun{
		body: body, key: r.Header.Get(keyHeader), async: respondAsync(r), path: path, deadline: due,
		request: upstream.Request{
			ID: c.id, Team: c.account.Team, Service: target.Service, Name: target.Name, Path: path, Body: upstreamBody,
			Prefix: body.prefix(target.Name), Tokens: body.tokens(), Idempotent: mayRepeat, Deadline: due,
		},
	}, nil
}

// durable reports whether the request goes through the ledger.
func (run completionRun) durable() bool { return run.key != "" || run.async }

// serveStream forwards the upstream's events as they arrive. An error after the first event is sent as an event, because
// the status has been sent by then, and ends the connection, so that the answer doesn't look complete.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, c call, run completionRun) {
	control := http.NewResponseController(w)
	started := false
	sink := func(data string) error {
		if !started {
			started = true
			h.firstToken.Observe(time.Since(c.received))
			header := w.Header()
			header.Set("Content-Type", "text/event-stream")
			header.Set("Cache-Control", "no-store")
			header.Set(ranHeader, string(retry.RanYes))
		}
		return h.writeEvent(w, control, data)
	}
	summary, err := h.opts.Router.Exchange(ctx, run.request, sink)
	h.logEnd(c, run, summary, err)
	switch {
	case err == nil:
	case !started:
		h.refuse(w, c, problemOf(err))
	default:
		h.failed.Mark(1)
		_ = h.writeEvent(w, control, string(problemOf(err).body()))
		panic(http.ErrAbortHandler)
	}
}

// writeEvent writes one server-sent event and flushes it.
func (h *Handler) writeEvent(w http.ResponseWriter, control *http.ResponseController, data string) error {
	_ = control.SetWriteDeadline(time.Now().Add(h.opts.WriteTimeout))
	if _, err := w.Write(eventBytes(data)); err != nil {
		return err
	}
	return control.Flush()
}

func eventBytes(data string) []byte {
	b := make([]byte, 0, len(data)+len("data: \n\n"))
	b = append(b, "data: "...)
	b = append(b, data...)
	return append(b, "\n\n"...)
}

// serveComplete sends the answer, not streamed, once it is complete.
func (h *Handler) serveComplete(ctx context.Context, w http.ResponseWriter, c call, run completionRun) {
	answer, summary, err := h.complete(ctx, c, run)
	h.logEnd(c, run, summary, err)
	if err != nil {
		h.refuse(w, c, problemOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(ranHeader, string(retry.RanYes))
	_, _ = w.Write(answer)
}

// complete runs a completion and returns its complete answer in OpenAI's shape. It assembles the answer from
// a stream if it can, and otherwise asks the upstream for an answer that is not streamed.
func (h *Handler) complete(ctx context.Context, c call, run completionRun) ([]byte, upstream.Summary, error) {
	if !run.body.canAssemble() {
		body, err := run.body.forUpstream(run.request.Name, false)
		if err != nil {
			return nil, upstream.Summary{}, err
		}
		run.request.Body = body
		return h.opts.Router.ExchangeComplete(ctx, run.request)
	}
	a := engine.NewAssembler(run.path)
	summary, err := h.opts.Router.Exchange(ctx, run.request, func(data string) error {
		if a.Events() == 0 {
			h.firstToken.Observe(time.Since(c.received))
		}
		return a.Add(data)
	})
	if err != nil {
		return nil, summary, err
	}
	answer, err := a.Answer()
	return answer, summary, err
}

// refuse answers with an error, logs it, and counts it as refused if the request did not run, else as failed.
func (h *Handler) refuse(w http.ResponseWriter, c call, p problem) {
	if p.ran == retry.RanNo {
		h.refused.Mark(1)
	} else {
		h.failed.Mark(1)
	}
	h.opts.Log.Info().Str("request", c.id).Str("account", c.account.Name).Int("status", p.status).
		Str("code", p.code).Str("ran", string(p.ran)).Uint64("configuration", c.snapshot.Generation).
		Dur("retryAfterMillis", p.retryAfter).Dur("tookMillis", time.Since(c.received)).Msg("requestRefused")
	writeError(w, p)
}

func (h *Handler) logEnd(c call, run completionRun, s upstream.Summary, err error) {
	h.total.Observe(time.Since(c.received))
	e := h.opts.Log.Info()
	if err != nil {
		e = h.opts.Log.Warn().Err(err)
	}
	e.Str("request", c.id).Str("account", c.account.Name).Str("model", run.request.Name).Str("upstream", s.Upstream).
		Int("attempts", s.Attempts).Int("resumed", s.Resumed).Int("tokens", s.Tokens).
		Uint64("configuration", c.snapshot.Generation).Dur("loadAgeMillis", s.LoadAge).
		Dur("waitedMillis", s.Waited).Dur("tookMillis", time.Since(c.received)).Msg("requestDone")
}
