// Package operator is the operators' HTTP port for the configuration, and its client.
//
// An operator is identified by the common name of the client certificate. Bodies are JSON; their field
// names are the INI keys. The port answers 200 to an accepted or unchanged set, 409 to a conflict, 422 to a
// set with problems, 503 when nothing was published because the object service was unavailable or too
// many updates raced, and 504 when the outcome is unknown. A set may always be sent again: an unchanged set
// makes no new generation.
//
// Usage:
//
//	handler := operator.NewHandler(operator.NewOptions(follower))
//	client := operator.NewClient("https://10.0.0.1:8444", httpClient)
//	result, err := client.Apply(ctx, set, nil)
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
	"mothcart/core/outcome"
	"mothcart/core/publication"
	"mothcart/io/published"
)

// Paths of the port.
const (
	PathConfiguration = "/v1/configuration"
	PathDiff          = "/v1/configuration/diff"
	PathAudit         = "/v1/configuration/audit"
	PathStatus        = "/v1/configuration/status"
)

// OperatorHeader names the operator on a port without TLS.
const OperatorHeader = "Mothcart-Operator"

const (
	// maxBodyBytes is the limit for the body of a request, in bytes.
	maxBodyBytes = 64 << 20
	// defaultAuditLimit and maxAuditLimit are the default and the greatest number of audit entries in one
	// answer.
	defaultAuditLimit = 20
	maxAuditLimit     = 1000
)

var errNoOperator = merry.Sentinel("no operator: use a client certificate with a common name")

type handler struct{ opts Options }

// NewHandler returns the handler of the paths of this package.
func NewHandler(opts Options) http.Handler {
	h := handler{opts}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathConfiguration, h.requireOperator(h.apply))
	mux.HandleFunc("GET "+PathConfiguration, h.requireOperator(h.get))
	mux.HandleFunc("POST "+PathDiff, h.requireOperator(h.diff))
	mux.HandleFunc("GET "+PathAudit, h.requireOperator(h.audit))
	mux.HandleFunc("GET "+PathStatus, h.requireOperator(h.status))
	return mux
}

// requireOperator calls next with the operator's name, or refuses a request without an allowed operator.
func (h handler) requireOperator(next func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, err := h.operatorName(r)
		switch {
		case err != nil:
			h.opts.Log.Info().Str("path", r.URL.Path).Int("status", http.StatusUnauthorized).Err(err).Msg("operatorRefused")
			writeError(w, http.StatusUnauthorized, err)
		case h.opts.Allow != nil && !h.opts.Allow(name):
			h.opts.Log.Info().Str("path", r.URL.Path).Int("status", http.StatusForbidden).Str("operator", name).Msg("operatorRefused")
			writeError(w, http.StatusForbidden, merry.Errorf("operator %q is not allowed here", name))
		default:
			next(w, r, name)
		}
	}
}

func (h handler) operatorName(r *http.Request) (string, error) {
	if r.TLS != nil {
		for _, chain := range r.TLS.VerifiedChains {
			if name := chain[0].Subject.CommonName; name != "" {
				return name, nil
			}
		}
		return "", errNoOperator
	}
	if name := r.Header.Get(OperatorHeader); h.opts.Plain && name != "" {
		return name, nil
	}
	return "", errNoOperator
}

type applyRequest struct {
	Set    config.Set `json:"set"`
	Expect *uint64    `json:"expect,omitempty"`
}

type applyResponse struct {
	ID         publication.EntryID `json:"id,omitzero"`
	Outcome    string              `json:"outcome"`
	From       uint64              `json:"from"`
	Generation uint64              `json:"generation"`
	Rebased    bool                `json:"rebased"`
	Changes    []config.Change     `json:"changes"`
	Problems   []config.Problem    `json:"problems"`
	Conflicts  []config.Conflict   `json:"conflicts"`
}

func (h handler) apply(w http.ResponseWriter, r *http.Request, operator string) {
	var req applyRequest
	if !readBody(w, r, &req) {
		return
	}
	// An operator's disconnect must not cancel an update between the write and its audit entry.
	ctx := context.WithoutCancel(r.Context())
	result, err := h.opts.Follower.Apply(ctx, h.opts.Now(), operator, config.Normalize(req.Set), req.Expect)
	event := h.opts.Log.Info().Str("operator", operator).Str("outcome", result.Outcome).Uint64("generation", result.Generation)
	if err != nil {
		event.Err(err).Msg("applyFailed")
		writeError(w, errorStatus(err), err)
		return
	}
	event.Int("changes", len(result.Changes)).Msg("apply")
	writeJSON(w, outcomeStatus(result.Outcome), applyResponse(result))
}

func outcomeStatus(outcome string) int {
	switch outcome {
	case publication.OutcomeConflict:
		return http.StatusConflict
	case publication.OutcomeRefused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusOK
	}
}

func errorStatus(err error) int {
	so := published.OutcomeOf(err)
	switch {
	case so == outcome.NotDone && errors.Is(err, publication.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case so == outcome.NotDone:
		return http.StatusServiceUnavailable
	case errors.Is(err, published.ErrOutcomeUnknown):
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

type getResponse struct {
	Generation uint64     `json:"generation"`
	Set        config.Set `json:"set"`
}

func (h handler) get(w http.ResponseWriter, _ *http.Request, _ string) {
	snapshot := h.opts.Follower.Current()
	writeJSON(w, http.StatusOK, getResponse{Generation: snapshot.Generation, Set: snapshot.Set})
}

type diffRequest struct {
	Set config.Set `json:"set"`
}

type diffResponse struct {
	Generation uint64           `json:"generation"`
	Changes    []config.Change  `json:"changes"`
	Problems   []config.Problem `json:"problems"`
}

func (h handler) diff(w http.ResponseWriter, r *http.Request, _ string) {
	var req diffRequest
	if !readBody(w, r, &req) {
		return
	}
	set := config.Normalize(req.Set)
	snapshot := h.opts.Follower.Current()
	writeJSON(w, http.StatusOK, diffResponse{
		Generation: snapshot.Generation,
		Changes:    config.Diff(snapshot.Set, set),
		Problems:   config.CheckChange(snapshot.Set, set),
	})
}

type auditResponse struct {
	Entries []publication.Entry `json:"entries"`
	// Partial says why older entries or changes are missing; it is empty when the answer is complete.
	Partial string `json:"partial,omitempty"`
}

func (h handler) audit(w http.ResponseWriter, r *http.Request, _ string) {
	limit := defaultAuditLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditLimit {
			writeError(w, http.StatusBadRequest, merry.Errorf("limit %q is not a number from 1 to %d", text, maxAuditLimit))
			return
		}
		limit = n
	}
	var resp auditResponse
	var err error
	resp.Entries, err = h.opts.Follower.Audit(r.Context(), limit)
	if err == nil && r.URL.Query().Get("changes") == "all" {
		err = h.allChanges(r.Context(), resp.Entries)
	}
	if err != nil {
		resp.Partial = err.Error()
	}
	writeJSON(w, http.StatusOK, resp)
}

// allChanges replaces the changes of each entry, which are only the first ones, with all its changes.
func (h handler) allChanges(ctx context.Context, entries []publication.Entry) error {
	for i := range entries {
		changes, err := h.opts.Follower.Changes(ctx, entries[i])
		if err != nil {
			return err
		}
		entries[i].Changes = changes
	}
	return nil
}

type statusResponse struct {
	Generation      uint64            `json:"generation"`
	ConfirmedMillis int64             `json:"confirmedMillis"`
	Accepted        uint64            `json:"accepted"`
	AcceptedKnown   bool              `json:"acceptedKnown"`
	InForce         int               `json:"inForce"`
	Of              int               `json:"of"`
	VMs             map[string]uint64 `json:"vms"`
	Silent          []string          `json:"silent"`
}

func (h handler) status(w http.ResponseWriter, r *http.Request, _ string) {
	f := h.opts.Follower
	spread := f.Spread(r.Context())
	own := f.Current().Generation
	newest := own
	if spread.AcceptedKnown {
		newest = max(own, spread.Accepted)
	}
	n, of := spread.InForce(newest)
	writeJSON(w, http.StatusOK, statusResponse{
		Generation: own, ConfirmedMillis: f.Confirmed(h.opts.Now()).Milliseconds(),
		Accepted: spread.Accepted, AcceptedKnown: spread.AcceptedKnown,
		InForce: n, Of: of, VMs: spread.VMs, Silent: spread.Silent,
	})
}

type errorResponse struct {
	Error string `json:"error"`
}

func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, merry.Errorf("read request: %w", err))
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, errorResponse{Error: err.Error()})
}
