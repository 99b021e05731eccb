package serve

import (
	"errors"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	core "mothcart/core/ledger"
	"mothcart/io/caller"
	"mothcart/io/ledger"
)

// Guards against a recorded outcome without an answer that is sent as an answer, which has no status.
func TestRecordedOutcomeForACaller(t *testing.T) {
	for _, tc := range []struct {
		state   core.State
		status  int
		unknown bool
		err     error
	}{
		{core.Done, 200, false, nil},
		{core.Unknown, 0, true, nil},
		{core.Expired, 0, false, caller.ErrNotDurable},
	} {
		a, err := recordedAnswer(ledger.Outcome{State: tc.state, Answer: ledger.Answer{Status: tc.status}})
		require.ErrorIs(t, err, tc.err, tc.state)
		require.Equal(t, tc.status, a.Status, tc.state)
		require.Equal(t, tc.unknown, a.Unknown, tc.state)
	}
}

// Guards against an error of the ledger that is told to a caller by the order of the questions.
func TestLedgerErrorForACaller(t *testing.T) {
	for _, tc := range []struct {
		err, want error
	}{
		{ledger.ErrDidNotRun, caller.ErrNotDurable},
		{ledger.ErrBodyMismatch, caller.ErrKeyReused},
		{ledger.ErrMayHaveRun, caller.ErrInProgress},
		{errors.Join(ledger.ErrDidNotRun, ledger.ErrMayHaveRun), caller.ErrInProgress},
		{ledger.ErrUnavailable, caller.ErrLookup},
		{ledger.ErrNotFound, caller.ErrNoRequest},
	} {
		require.ErrorIs(t, toCallerError(merry.Errorf("run: %w", tc.err)), tc.want, "%v", tc.err)
	}
}
