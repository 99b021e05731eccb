package caller

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"mothcart/core/retry"
)

// The code outcome_unknown is for final outcomes only; an error after which a retry can succeed carries a
// Retry-After.
func TestDurableProblems(t *testing.T) {
	for _, tc := range []struct {
		err    error
		status int
		code   string
		ran    retry.Ran
		again  bool
	}{
		{ErrNotDurable, http.StatusServiceUnavailable, "not_durable", retry.RanNo, true},
		{ErrKeyReused, http.StatusUnprocessableEntity, "idempotency_key_reused", retry.RanNo, false},
		{ErrInProgress, http.StatusConflict, "request_in_progress", retry.RanMaybe, true},
		{errors.Join(ErrNotDurable, ErrInProgress), http.StatusConflict, "request_in_progress", retry.RanMaybe, true},
		{ErrLookup, http.StatusServiceUnavailable, "lookup_unavailable", retry.RanMaybe, true},
		{ErrNoRequest, http.StatusNotFound, "request_not_found", retry.RanNo, false},
		{errors.New("other"), http.StatusBadGateway, "outcome_unknown", retry.RanMaybe, false},
	} {
		t.Run(tc.code, func(t *testing.T) {
			p := durableProblem(fmt.Errorf("wrapped: %w", tc.err))
			assert.Equal(t, tc.status, p.status)
			assert.Equal(t, tc.code, p.code)
			assert.Equal(t, tc.ran, p.ran)
			assert.Equal(t, tc.again, p.retryAfter > 0)
		})
	}
}
