package outcome

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	errLost, errRefused, errConflict = errors.New("lost"), errors.New("refused"), errors.New("conflict")
	sentinels                        = Sentinels{Unknown: errLost, NotDone: []error{errRefused, errConflict}}
)

// Guards against an outcome that depends on the order of the questions, for errors that wrap those of several attempts.
func TestUnknownIsNeverOutranked(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want Outcome
	}{
		{"no error", nil, Done},
		{"refused", fmt.Errorf("create: %w", errRefused), NotDone},
		{"conflict", fmt.Errorf("create: %w", errConflict), NotDone},
		{"lost", fmt.Errorf("create: %w", errLost), Unknown},
		{"lost, then refused", fmt.Errorf("create: %w: %w", errLost, errRefused), Unknown},
		{"refused, then lost", fmt.Errorf("create: %w: %w", errRefused, errLost), Unknown},
		{"joined", errors.Join(errRefused, fmt.Errorf("again: %w", errLost)), Unknown},
		{"two refusals", errors.Join(errRefused, errConflict), NotDone},
		{"another error", context.Canceled, Unknown},
		{"built from a refusal", sentinels.Lost(fmt.Errorf("create: %w", errRefused)), Unknown},
	} {
		require.Equal(t, tc.want, sentinels.Of(tc.err), tc.name)
	}
}

func TestLostErrorHasOneOutcome(t *testing.T) {
	err := fmt.Errorf("create: %w", sentinels.Lost(fmt.Errorf("last: %w: %w", errRefused, context.Canceled)))
	require.ErrorIs(t, err, errLost)
	require.NotErrorIs(t, err, errRefused)
	require.NotErrorIs(t, err, errConflict)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, "create: lost: last: refused: context canceled", err.Error())
}

func TestWithAttempt(t *testing.T) {
	for _, tc := range []struct{ a, b, want Outcome }{
		{NotDone, NotDone, NotDone}, {NotDone, Unknown, Unknown}, {NotDone, Done, Done}, {Unknown, Unknown, Unknown}, {Unknown, Done, Done}, {Done, Done, Done},
	} {
		require.Equal(t, tc.want, tc.a.With(tc.b), "%s with %s", tc.a, tc.b)
		require.Equal(t, tc.want, tc.b.With(tc.a), "%s with %s", tc.b, tc.a)
	}
}
