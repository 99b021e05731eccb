package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"mothcart/core/outcome"
	"mothcart/core/retry"
)

type acceptedBody struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	State  string `json:"state"`
	// Status and Body are the recorded answer, set once the request has completed; Body holds an answer that
	// is valid JSON, Text any other.
	Status int             `json:"status,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
	Text   string          `json:"text,omitempty"`
}

const (
	requestObject = "mothcart.request"
	requestsPath  = "/v1/requests/"
	// pollInterval is the Retry-After that callers get while the outcome of a request isn't known or can't
	// be read.
	pollInterval = time.Second
)

// serveDurable runs a request through the ledger and answers with the outcome recorded there, or with status
// 202 before the request has run if the caller asked for that.
func (h *Handler) serveDurable(w http.ResponseWriter, r *http.Request, c call, d DurableRequest) {
	if h.opts.Durable == nil {
		h.refuse(w, c, notDurable())
		return
	}
	if respondAsync(r) {
		h.accept(w, r, c, d)
		return
	}
	answer, err := h.opts.Durable(r.Context(), d)
	if err != nil {
		h.refuse(w, c, durableProblem(err))
		return
	}
	h.writeAnswer(w, c, answer)
}

// accept answers with status 202 and the URL of the request's state once the ledger has stored the request.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, c call, d DurableRequest) {
	id, err := h.opts.Accept(r.Context(), d)
	if err != nil {
		h.refuse(w, c, durableProblem(err))
		return
	}
	w.Header().Set("Location", requestsPath+id)
	w.Header().Set("Preference-Applied", "respond-async")
	writeJSON(w, http.StatusAccepted, acceptedBody{ID: id, Object: requestObject, State: "running"})
}

// getRequest answers with the state of an accepted request.
func (h *Handler) getRequest(w http.ResponseWriter, r *http.Request, c call) {
	if h.opts.Lookup == nil {
		h.refuse(w, c, durableProblem(ErrNoRequest))
		return
	}
	state, err := h.opts.Lookup(r.Context(), c.account.Team, r.PathValue("id"))
	if err != nil {
		h.refuse(w, c, durableProblem(err))
		return
	}
	body := acceptedBody{ID: r.PathValue("id"), Object: requestObject, State: state.State, Status: state.Answer.Status}
	if json.Valid(state.Answer.Body) {
		body.Body = state.Answer.Body
	} else {
		body.Text = string(state.Answer.Body)
	}
	writeJSON(w, http.StatusOK, body)
}

func (h *Handler) writeAnswer(w http.ResponseWriter, c call, a DurableAnswer) {
	if a.Unknown {
		h.refuse(w, c, problem{status: http.StatusBadGateway, code: "outcome_unknown", ran: retry.RanMaybe, message: "the request may have run; it is not sent again"})
		return
	}
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	if w.Header().Get(ranHeader) == "" {
		w.Header().Set(ranHeader, string(retry.RanYes))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func notDurable() problem {
	return problem{status: http.StatusServiceUnavailable, code: "not_durable", ran: retry.RanNo, message: ErrNotDurable.Error(), retryAfter: time.Second}
}

// durable are the errors that tell the outcome of a request that goes through the ledger.
var durable = outcome.Sentinels{Unknown: ErrInProgress, NotDone: []error{ErrNotDurable, ErrKeyReused, ErrNoRequest}}

func durableProblem(err error) problem {
	so := durable.Of(err)
	switch {
	case so == outcome.NotDone && errors.Is(err, ErrKeyReused):
		return problem{status: http.StatusUnprocessableEntity, code: "idempotency_key_reused", ran: retry.RanNo, message: ErrKeyReused.Error()}
	case so == outcome.NotDone && errors.Is(err, ErrNoRequest):
		return problem{status: http.StatusNotFound, code: "request_not_found", ran: retry.RanNo, message: ErrNoRequest.Error()}
	case so == outcome.NotDone:
		return notDurable()
	case errors.Is(err, ErrInProgress):
		return problem{status: http.StatusConflict, code: "request_in_progress", ran: retry.RanMaybe, message: ErrInProgress.Error(), retryAfter: pollInterval}
	case errors.Is(err, ErrLookup):
		return problem{status: http.StatusServiceUnavailable, code: "lookup_unavailable", ran: retry.RanMaybe, message: ErrLookup.Error(), retryAfter: pollInterval}
	default:
		return problem{status: http.StatusBadGateway, code: "outcome_unknown", ran: retry.RanMaybe, message: err.Error()}
	}
}
