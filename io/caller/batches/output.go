package batches

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"

	corejob "mothcart/core/job"
	"mothcart/io/job"
)

// outputLine is one line of an output or error file.
type outputLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *outputResponse `json:"response"`
	Error    *outputError    `json:"error"`
}

type outputResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type outputError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Codes of items without an answer.
const (
	codeFailed    = "failed"
	codeUnknown   = "unknown_may_have_run"
	codeCancelled = "batch_cancelled"
)

// lineOf returns the line of an output or error file for an outcome.
func lineOf(batchID string, o job.Outcome) outputLine {
	line := outputLine{ID: fmt.Sprintf("batch_req_%s_%d", batchID, o.Index), CustomID: o.CustomID}
	if o.Status != 0 {
		line.Response = &outputResponse{StatusCode: o.Status, RequestID: line.ID, Body: jsonOf(o.Body)}
	}
	switch o.State {
	case corejob.Succeeded:
		return line
	case corejob.Unknown:
		line.Error = &outputError{Code: codeUnknown, Message: o.Error}
	case corejob.CancelledItem:
		line.Error = &outputError{Code: codeCancelled, Message: o.Error}
	default:
		if o.Error != "" || line.Response == nil {
			line.Error = &outputError{Code: codeFailed, Message: o.Error}
		}
	}
	return line
}

// jsonOf returns the body unchanged if it is valid JSON, and otherwise as a JSON string.
func jsonOf(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}

// writeOutcomes writes the answers of a batch, or all its other outcomes if failed is set.
func (s *server) writeOutcomes(w http.ResponseWriter, r *http.Request, c Caller, batchID string, failed bool) error {
	if _, err := s.jobs.Get(r.Context(), c.Team, batchID); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	var encodeErr error
	err := s.jobs.Results(r.Context(), c.Team, batchID, func(o job.Outcome) bool {
		if failed == (o.State != corejob.Succeeded) {
			encodeErr = enc.Encode(lineOf(batchID, o))
		}
		return encodeErr == nil
	})
	if err == nil {
		err = encodeErr
	}
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		s.abort(r, err)
	}
	return nil
}
