package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"mothcart/core/retry"
)

const (
	// prefixBytes is the length in bytes of the start of the prompt that is hashed to choose the preferred
	// upstream.
	prefixBytes = 512
	// bytesPerToken is the usual length of a token in bytes, used to estimate the tokens of a prompt.
	bytesPerToken = 4
	// maxDeadline is the longest deadline that a caller may ask for, counted from receipt.
	maxDeadline = time.Hour
	// defaultDeadline applies when neither the caller nor the service sets one.
	defaultDeadline = 2 * time.Minute
)

// readBody reads the entire body within the limits on size and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &problem{status: http.StatusRequestEntityTooLarge, code: "body_too_large", ran: retry.RanNo, message: "the body is over " + strconv.FormatInt(h.opts.MaxBodyBytes, 10) + " bytes"}
	case err != nil:
		return nil, &problem{status: http.StatusRequestTimeout, code: "body_incomplete", ran: retry.RanNo, message: "the body did not arrive whole"}
	}
	return body, nil
}

// completionBody is the body of a completion, with the fields that routing needs decoded; fields holds all
// fields, which are forwarded.
type completionBody struct {
	fields map[string]json.RawMessage
	model  string
	stream bool
	prompt json.RawMessage
}

// parseCompletion reads a completion's body.
func parseCompletion(data []byte) (completionBody, error) {
	var b completionBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&b.fields); err != nil {
		return b, merry.Errorf("body is not a JSON object: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return b, merry.New("body has more than one JSON value")
	}
	if err := json.Unmarshal(b.fields["model"], &b.model); err != nil || b.model == "" {
		return b, merry.New("model must be a non-empty string")
	}
	if raw, ok := b.fields["stream"]; ok {
		if err := json.Unmarshal(raw, &b.stream); err != nil {
			return b, merry.New("stream must be true or false")
		}
	}
	b.prompt = b.fields["messages"]
	if b.prompt == nil {
		b.prompt = b.fields["prompt"]
	}
	if b.prompt == nil {
		return b, merry.New("messages or prompt is missing")
	}
	return b, nil
}

// canAssemble reports whether a complete answer can be assembled from the events of a stream, which holds
// for one choice of plain text.
func (b completionBody) canAssemble() bool {
	for _, name := range []string{"tools", "functions", "logprobs", "top_logprobs", "audio", "best_of"} {
		if raw, ok := b.fields[name]; ok && string(raw) != "false" && string(raw) != "null" {
			return false
		}
	}
	n, ok := b.fields["n"]
	return !ok || string(n) == "1"
}

// forUpstream encodes the body with name as its model; stream asks the upstream for a stream with usage.
func (b completionBody) forUpstream(name string, stream bool) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(b.fields)+2)
	for k, v := range b.fields {
		fields[k] = v
	}
	quoted, err := json.Marshal(name)
	if err != nil {
		return nil, merry.Errorf("encode model: %w", err)
	}
	fields["model"] = quoted
	if stream {
		fields["stream"] = json.RawMessage("true")
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, merry.Errorf("encode body: %w", err)
	}
	return body, nil
}

// prefix hashes the first prefixBytes of the prompt together with the model's name. The hash is never 0,
// since 0 means that a request has no prefix.
func (b completionBody) prefix(name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.Write(b.prompt[:min(len(b.prompt), prefixBytes)])
	return d.Sum64() | 1
}

// tokens estimates the number of tokens of the prompt.
func (b completionBody) tokens() int { return len(b.prompt)/bytesPerToken + 1 }

// deadline returns the request's deadline: the caller's if its header sets one, else the service's timeout,
// else defaultDeadline.
func deadline(r *http.Request, received time.Time, serviceTimeout time.Duration) (time.Time, *problem) {
	limit := serviceTimeout
	if limit <= 0 {
		limit = defaultDeadline
	}
	if text := r.Header.Get(deadlineHeader); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
			return time.Time{}, &problem{status: http.StatusBadRequest, code: "bad_deadline", ran: retry.RanNo, message: deadlineHeader + " must be milliseconds from 1 to " + strconv.FormatInt(maxDeadline.Milliseconds(), 10)}
		}
		limit = time.Duration(millis) * time.Millisecond
	}
	return received.Add(limit), nil
}

// idempotent returns the value of the caller's Mothcart-Idempotent header, or fallback without one.
func idempotent(r *http.Request, fallback bool) (bool, *problem) {
	switch text := strings.ToLower(r.Header.Get(idempotentHeader)); text {
	case "":
		return fallback, nil
	case "true", "false":
		return text == "true", nil
	default:
		return false, &problem{status: http.StatusBadRequest, code: "bad_header", ran: retry.RanNo, message: idempotentHeader + " must be true or false"}
	}
}

// respondAsync reports whether the caller asked to be answered before the request has run.
func respondAsync(r *http.Request) bool {
	for _, prefer := range r.Header.Values("Prefer") {
		for part := range strings.SplitSeq(prefer, ",") {
			if strings.TrimSpace(part) == "respond-async" {
				return true
			}
		}
	}
	return false
}
