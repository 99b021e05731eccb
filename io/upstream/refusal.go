package upstream

import (
	"fmt"
	"time"

	"mothcart/core/admit"
	"mothcart/core/retry"
)

// Code is a stable error code that callers receive.
type Code string

// Error codes.
const (
	CodeUnknownModel Code = "model_not_found"
	CodeQueueFull    Code = "queue_full"
	CodeDeadline     Code = "deadline_unreachable"
	CodeCancelled    Code = "request_cancelled"
	CodeUpstream     Code = "upstream_failed"
	CodeRejected     Code = "upstream_rejected"
)

// Refusal is the error of a request that did not run.
type Refusal struct {
	Code Code
	// RetryAfter is the advised time until the caller retries; 0 means none.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Code, r.RetryAfter)
}

// ExchangeError is the error of a request of which at least one attempt was made.
type ExchangeError struct {
	Code Code
	// Ran says what is known of whether the request ran.
	Ran retry.Ran
	// Status and Body are the upstream's own error answer, if it gave one.
	Status     int
	Body       []byte
	RetryAfter time.Duration
	err        error
}

// NewExchangeError returns the error of a request that was attempted and has no answer.
func NewExchangeError(code Code, ran retry.Ran, err error) *ExchangeError {
	return &ExchangeError{Code: code, Ran: ran, err: err}
}

// Error describes the failure.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange %s, ran %s: %v", e.Code, e.Ran, e.err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.err }

func codeOf(r admit.Reason) Code {
	if r == admit.TooLate {
		return CodeDeadline
	}
	return CodeQueueFull
}
