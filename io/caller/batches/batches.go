// Package batches serves OpenAI's Files and Batches endpoints over the batch jobs of a VM.
//
// An input file is uploaded, then a batch is created from it; every line is checked before the batch
// is accepted. The output file holds the answers and the error file all other outcomes; both can be
// read while the batch runs, and then hold the outcomes that are durable at that time.
//
// A batch's metadata may set options of mothcart: "class" (a batch class), "key" (the client key, which
// makes resends return the same batch; the header Idempotency-Key does the same) and "idempotent"
// ("false" for items that must run at most once). Without a key the content of the file is the key.
//
// Usage:
//
//	h := batches.New(batches.Options{Jobs: j, Authenticate: authenticate})
//	mux.Handle("/v1/files", h)
//	mux.Handle("/v1/files/", h)
//	mux.Handle("/v1/batches", h)
//	mux.Handle("/v1/batches/", h)
package batches

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	corejob "mothcart/core/job"
	"mothcart/core/outcome"
	"mothcart/io/job"
)

// Caller identifies the account and the team that make a request.
type Caller struct {
	Account string
	Team    string
}

// ErrUnauthenticated means that the request carries no valid API key.
var ErrUnauthenticated = merry.Sentinel("no valid API key")

// Options are the settings of the endpoints.
type Options struct {
	Jobs *job.Jobs
	// Authenticate returns the caller of a request, or ErrUnauthenticated.
	Authenticate func(r *http.Request) (Caller, error)
	// Serves reports whether a model is served; nil accepts every model.
	Serves func(model string) bool
	Log    zerolog.Logger
}

type server struct {
	jobs   *job.Jobs
	auth   func(r *http.Request) (Caller, error)
	serves func(model string) bool
	log    zerolog.Logger
}

// New returns the handler of /v1/files and /v1/batches.
func New(opts Options) http.Handler {
	s := &server{jobs: opts.Jobs, auth: opts.Authenticate, serves: opts.Serves, log: opts.Log}
	if s.serves == nil {
		s.serves = func(string) bool { return true }
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", s.withCaller(s.uploadFile))
	mux.HandleFunc("GET /v1/files", s.withCaller(s.listFiles))
	mux.HandleFunc("GET /v1/files/{id}", s.withCaller(s.getFile))
	mux.HandleFunc("DELETE /v1/files/{id}", s.withCaller(s.deleteFile))
	mux.HandleFunc("GET /v1/files/{id}/content", s.withCaller(s.fileContent))
	mux.HandleFunc("POST /v1/batches", s.withCaller(s.createBatch))
	mux.HandleFunc("GET /v1/batches", s.withCaller(s.listBatches))
	mux.HandleFunc("GET /v1/batches/{id}", s.withCaller(s.getBatch))
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.withCaller(s.cancelBatch))
	return mux
}

// withCaller returns a handler that authenticates the caller, calls h and answers with the error if h fails.
func (s *server) withCaller(h func(w http.ResponseWriter, r *http.Request, c Caller) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := s.auth(r)
		if err == nil {
			err = h(w, r, c)
		}
		if err != nil {
			s.writeError(w, r, err)
		}
	}
}

// Headers of refusals.
const (
	// headerRan says whether the refused request had an effect: no or maybe.
	headerRan = "Mothcart-Ran"
	// retryAfterSeconds is the Retry-After of answers with status 503, which callers get while the object
	// service is unreachable or when its answer to a write was lost.
	retryAfterSeconds = 2
)

// apiError is OpenAI's error object.
type apiError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

type errorResponse struct {
	Error apiError `json:"error"`
	// Errors lists the errors of single lines of an input file.
	Errors *lineErrorList `json:"errors,omitempty"`
}

// errBadRequest means that the request itself is invalid.
var errBadRequest = merry.Sentinel("bad request")

// refusal is the status, the codes and the Mothcart-Ran value with which an error is reported to callers.
type refusal struct {
	status int
	kind   string
	code   string
	ran    string
}

// calls are the errors that tell the outcome of a call.
var calls = outcome.Sentinels{
	Unknown: job.ErrOutcomeUnknown,
	NotDone: []error{
		ErrUnauthenticated, errBadRequest, job.ErrNotFound, job.ErrKeyReused, job.ErrTooLarge, job.ErrInvalid, job.ErrUnavailable, corejob.ErrTerminal,
	},
}

func refusalOf(err error) refusal {
	switch {
	case calls.Of(err) == outcome.NotDone:
		return notDoneRefusal(err)
	case errors.Is(err, job.ErrOutcomeUnknown):
		return refusal{http.StatusServiceUnavailable, "server_error", "outcome_unknown", "maybe"}
	default:
		return refusal{http.StatusInternalServerError, "server_error", "internal_error", "maybe"}
	}
}

// notDoneRefusal returns the refusal of a call that had no effect.
func notDoneRefusal(err error) refusal {
	switch {
	case errors.Is(err, ErrUnauthenticated):
		return refusal{http.StatusUnauthorized, "invalid_request_error", "invalid_api_key", "no"}
	case errors.Is(err, job.ErrNotFound):
		return refusal{http.StatusNotFound, "invalid_request_error", "not_found", "no"}
	case errors.Is(err, job.ErrKeyReused):
		return refusal{http.StatusUnprocessableEntity, "invalid_request_error", "key_reused", "no"}
	case errors.Is(err, job.ErrTooLarge):
		return refusal{http.StatusRequestEntityTooLarge, "invalid_request_error", "file_too_large", "no"}
	case errors.Is(err, job.ErrInvalid), errors.Is(err, errBadRequest):
		return refusal{http.StatusBadRequest, "invalid_request_error", "invalid_request", "no"}
	case errors.Is(err, corejob.ErrTerminal):
		return refusal{http.StatusConflict, "invalid_request_error", "batch_ended", "no"}
	default:
		return refusal{http.StatusServiceUnavailable, "server_error", "unavailable", "no"}
	}
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	ref := refusalOf(err)
	resp := errorResponse{Error: apiError{Message: err.Error(), Type: ref.kind, Code: ref.code}}
	var lines *inputError
	if errors.As(err, &lines) {
		resp.Error.Code = "invalid_input_file"
		resp.Errors = &lineErrorList{Object: "list", Data: lines.lines}
	}
	level := zerolog.InfoLevel
	if ref.status >= http.StatusInternalServerError {
		level = zerolog.WarnLevel
	}
	s.log.WithLevel(level).Str("method", r.Method).Str("path", r.URL.Path).Int("status", ref.status).
		Str("code", resp.Error.Code).Str("ran", ref.ran).Err(err).Msg("requestRefused")
	w.Header().Set(headerRan, ref.ran)
	if ref.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(w, ref.status, resp)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Page sizes of listings.
const (
	defaultLimit = 20
	maxLimit     = 100
)

// pageOf returns the query parameters after and limit of a listing.
func pageOf(r *http.Request) (after string, limit int) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultLimit
	}
	return r.URL.Query().Get("after"), min(limit, maxLimit)
}

// listResponse is a page of a listing.
type listResponse[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id"`
	LastID  string `json:"last_id"`
	HasMore bool   `json:"has_more"`
}

func listOf[T any](data []T, more bool, id func(T) string) listResponse[T] {
	resp := listResponse[T]{Object: "list", Data: data, HasMore: more}
	if len(data) == 0 {
		resp.Data = []T{}
		return resp
	}
	resp.FirstID, resp.LastID = id(data[0]), id(data[len(data)-1])
	return resp
}
