package batches

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	corejob "mothcart/core/job"
	"mothcart/io/job"
)

// Limits of an input file.
const (
	// maxLineBytes is the longest line.
	maxLineBytes = 900 << 10
	// maxLineErrors bounds the errors that one answer lists.
	maxLineErrors = 100
)

// inputLine is one line of an input file.
type inputLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// inputBody is what is read of a line's body.
type inputBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// lineError is OpenAI's error of one line.
type lineError struct {
	Code    string `json:"code"`
	Line    int    `json:"line"`
	Message string `json:"message"`
	Param   string `json:"param"`
}

type lineErrorList struct {
	Object string      `json:"object"`
	Data   []lineError `json:"data"`
}

// inputError means that lines of the input file are wrong.
type inputError struct{ lines []lineError }

// Error names the first wrong line.
func (e *inputError) Error() string {
	return fmt.Sprintf("the input file has errors, first in line %d: %s", e.lines[0].Line, e.lines[0].Message)
}

// Unwrap makes an input error a bad request.
func (e *inputError) Unwrap() error { return errBadRequest }

// parsed is a checked input file.
type parsed struct {
	model string
	items []job.ItemSpec
}

// parser checks the lines of an input file.
type parser struct {
	endpoint string
	serves   func(model string) bool
	result   parsed
	seen     map[string]bool
	wrong    []lineError
}

// parseInput reads and checks an input file. Errors: *inputError, or that of r.
func parseInput(r io.Reader, endpoint string, serves func(string) bool) (parsed, error) {
	p := &parser{endpoint: endpoint, serves: serves, seen: map[string]bool{}}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	n := 0
	for scanner.Scan() && len(p.wrong) < maxLineErrors && len(p.result.items) <= corejob.MaxItems {
		n++
		if line := bytes.TrimSpace(scanner.Bytes()); len(line) > 0 {
			p.line(n, line)
		}
	}
	err := scanner.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		p.fail(n+1, "line_too_long", "", fmt.Sprintf("the line is over %d bytes", maxLineBytes))
	case err != nil:
		return parsed{}, merry.Errorf("read input file: %w", err)
	}
	if len(p.result.items) > corejob.MaxItems {
		p.fail(n, "too_many_tasks", "", fmt.Sprintf("the file has over %d requests", corejob.MaxItems))
	}
	if len(p.result.items) == 0 && len(p.wrong) == 0 {
		p.fail(1, "empty_file", "", "the file has no requests")
	}
	if len(p.wrong) > 0 {
		return parsed{}, &inputError{lines: p.wrong}
	}
	return p.result, nil
}

func (p *parser) fail(line int, code, param, message string) {
	p.wrong = append(p.wrong, lineError{Code: code, Line: line, Message: message, Param: param})
}

func (p *parser) line(n int, data []byte) {
	var line inputLine
	if err := json.Unmarshal(data, &line); err != nil {
		p.fail(n, "invalid_json_line", "", "the line is not a JSON object of a request: "+err.Error())
		return
	}
	var body inputBody
	if err := json.Unmarshal(line.Body, &body); err != nil {
		p.fail(n, "invalid_body", "body", "the body is not a JSON object of a request")
		return
	}
	if p.check(n, line, body) {
		p.seen[line.CustomID] = true
		p.result.model = body.Model
		p.result.items = append(p.result.items, job.ItemSpec{CustomID: line.CustomID, Body: bytes.Clone(line.Body)})
	}
}

// check reports whether the line is right, and records the first thing that is wrong.
func (p *parser) check(n int, line inputLine, body inputBody) bool {
	switch {
	case line.CustomID == "":
		p.fail(n, "missing_custom_id", "custom_id", "custom_id is missing")
	case p.seen[line.CustomID]:
		p.fail(n, "duplicate_custom_id", "custom_id", fmt.Sprintf("custom_id %q was used before", line.CustomID))
	case line.Method != http.MethodPost:
		p.fail(n, "invalid_method", "method", "method must be POST")
	case line.URL != p.endpoint:
		p.fail(n, "invalid_url", "url", fmt.Sprintf("url must be the batch's endpoint %s", p.endpoint))
	case body.Model == "":
		p.fail(n, "missing_model", "body.model", "model is missing")
	case p.result.model != "" && body.Model != p.result.model:
		p.fail(n, "mismatched_model", "body.model", "all lines must name the same model")
	case !p.serves(body.Model):
		p.fail(n, "model_not_found", "body.model", fmt.Sprintf("model %q is not served", body.Model))
	case body.Stream:
		p.fail(n, "stream_not_supported", "body.stream", "stream must be false in a batch")
	default:
		return true
	}
	return false
}
