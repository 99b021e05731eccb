package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"mothcart/core/retry"
	"mothcart/io/upstream"
)

// problem is an error as it is reported to the caller.
type problem struct {
	status     int
	code       string
	ran        retry.Ran
	message    string
	retryAfter time.Duration
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func (p problem) body() []byte {
	kind := "server_error"
	if p.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	data, err := json.Marshal(errorBody{Error: errorDetail{Message: p.message, Type: kind, Code: p.code}})
	if err != nil {
		return []byte(`{"error":{"message":"","type":"server_error","param":null,"code":"internal"}}`)
	}
	return data
}

func writeError(w http.ResponseWriter, p problem) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(ranHeader, string(p.ran))
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body())
}

// statusClientClosed is the customary HTTP status of a request whose caller disconnected or cancelled it.
const statusClientClosed = 499

// problemOf converts an error of the router to a problem.
func problemOf(err error) problem {
	var refusal *upstream.Refusal
	if errors.As(err, &refusal) {
		return refusalProblem(refusal)
	}
	var exchange *upstream.ExchangeError
	if errors.As(err, &exchange) {
		return exchangeProblem(exchange)
	}
	return problem{status: http.StatusInternalServerError, code: "internal", ran: retry.RanMaybe, message: err.Error()}
}

func refusalProblem(r *upstream.Refusal) problem {
	p := problem{status: http.StatusServiceUnavailable, code: string(r.Code), ran: retry.RanNo, retryAfter: r.RetryAfter, message: "the request was refused and did not run"}
	switch r.Code {
	case upstream.CodeUnknownModel:
		p.status, p.message = http.StatusNotFound, "no service serves this name"
	case upstream.CodeQueueFull:
		p.status, p.message = http.StatusTooManyRequests, "the team's queue is full; the request did not run"
	case upstream.CodeDeadline:
		p.message = "the deadline can't be met; the request did not run"
	case upstream.CodeCancelled:
		p.status, p.message = statusClientClosed, "the caller gave the request up; it did not run"
	}
	return p
}

func exchangeProblem(e *upstream.ExchangeError) problem {
	p := problem{status: http.StatusBadGateway, code: string(e.Code), ran: e.Ran, retryAfter: e.RetryAfter, message: "the upstream failed"}
	if e.Code == upstream.CodeRejected {
		p.status = e.Status
		p.message = upstreamMessage(e.Body)
	}
	if e.Ran == retry.RanNo && p.retryAfter == 0 && e.Code != upstream.CodeRejected {
		p.status, p.retryAfter = http.StatusServiceUnavailable, time.Second
	}
	return p
}

// upstreamMessage returns the message in an upstream's error answer, or a general one if it has none.
func upstreamMessage(body []byte) string {
	var b errorBody
	if err := json.Unmarshal(body, &b); err == nil && b.Error.Message != "" {
		return b.Error.Message
	}
	return "the upstream rejected the request"
}
