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
	// maxLineBytes bounds the length of a line.
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

// inputBody holds the fields that are read from a line's body.
type inputBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// lineError is OpenAI's error object for one line.
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

// inputError means that lines of the input file are invalid.
type inputError struct{ lines []lineError }

// Error describes the first invalid line.
func (e *inputError) Error() string {
	return fmt.Sprintf("the input file has errors, first in line %d: %s", e.lines[0].Line, e.lines[0].Message)
}

// Unwrap returns errBadRequest, so that an input error is answered as a bad request.
func (e *inputError) Unwrap() error { return errBadRequest }

// parsedInput is the content of a valid input file.
type parsedInput struct {
	model string
	items []job.ItemSpec
}

// parser checks the lines of an input file.
type parser struct {
	endpoint   string
	serves     func(model string) bool
	result     parsedInput
	seen       map[string]bool
	lineErrors []lineError
}

// parseInput reads and checks an input file. Errors: *inputError for invalid lines, or the read error of r.
func parseInput(r io.Reader, endpoint string, serves func(string) bool) (parsedInput, error) {
	p := &parser{endpoint: endpoint, serves: serves, seen: map[string]bool{}}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	n := 0
	for scanner.Scan() && len(p.lineErrors) < maxLineErrors && len(p.result.items) <= corejob.MaxItems {
		n++
		if line := bytes.TrimSpace(scanner.Bytes()); len(line) > 0 {
			p.parseLine(n, line)
		}
	}
	err := scanner.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		p.addError(n+1, "line_too_long", "", fmt.Sprintf("the line is over %d bytes", maxLineBytes))
	case err != nil:
		return parsedInput{}, merry.Errorf("read input file: %w", err)
	}
	if len(p.result.items) > corejob.MaxItems {
		p.addError(n, "too_many_tasks", "", fmt.Sprintf("the file has over %d requests", corejob.MaxItems))
	}
	if len(p.result.items) == 0 && len(p.lineErrors) == 0 {
		p.addError(1, "empty_file", "", "the file has no requests")
	}
	if len(p.lineErrors) > 0 {
		return parsedInput{}, &inputError{lines: p.lineErrors}
	}
	return p.result, nil
}

func (p *parser) addError(line int, code, param, message string) {
	p.lineErrors = append(p.lineErrors, lineError{Code: code, Line: line, Message: message, Param: param})
}

func (p *parser) parseLine(n int, data []byte) {
	var line inputLine
	if err := json.Unmarshal(data, &line); err != nil {
		p.addError(n, "invalid_json_line", "", "the line is not a JSON object of a request: "+err.Error())
		return
	}
	var body inputBody
	if err := json.Unmarshal(line.Body, &body); err != nil {
		p.addError(n, "invalid_body", "body", "the body is not a JSON object of a request")
		return
	}
	if p.check(n, line, body) {
		p.seen[line.CustomID] = true
		p.result.model = body.Model
		p.result.items = append(p.result.items, job.ItemSpec{CustomID: line.CustomID, Body: bytes.Clone(line.Body)})
	}
}

// check reports whether the line is valid, and records its first error if it is not.
func (p *parser) check(n int, line inputLine, body inputBody) bool {
	switch {
	case line.CustomID == "":
		p.addError(n, "missing_custom_id", "custom_id", "custom_id is missing")
	case p.seen[line.CustomID]:
		p.addError(n, "duplicate_custom_id", "custom_id", fmt.Sprintf("custom_id %q was used before", line.CustomID))
	case line.Method != http.MethodPost:
		p.addError(n, "invalid_method", "method", "method must be POST")
	case line.URL != p.endpoint:
		p.addError(n, "invalid_url", "url", fmt.Sprintf("url must be the batch's endpoint %s", p.endpoint))
	case body.Model == "":
		p.addError(n, "missing_model", "body.model", "model is missing")
	case p.result.model != "" && body.Model != p.result.model:
		p.addError(n, "mismatched_model", "body.model", "all lines must name the same model")
	case !p.serves(body.Model):
		p.addError(n, "model_not_found", "body.model", fmt.Sprintf("model %q is not served", body.Model))
	case body.Stream:
		p.addError(n, "stream_not_supported", "body.stream", "stream must be false in a batch")
	default:
		return true
	}
	return false
}
