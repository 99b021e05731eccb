package home

import (
	"errors"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"mothcart/core/outcome"
	"mothcart/io/store"
)

// Guards against a home that tells a node that a write had no effect though one of its attempts was not answered, also
// between releases.
func TestOutcomeOfAWriteForANode(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want error
		so   outcome.Outcome
	}{
		{"done", nil, nil, outcome.Done},
		{"refused", merry.Errorf("create: %w", store.ErrUnavailable), store.ErrUnavailable, outcome.NotDone},
		{"lost, then refused", merry.Errorf("create: %w", store.LostError(store.ErrUnavailable)), store.ErrUnknown, outcome.Unknown},
		{"lost and refused in one error", errors.Join(store.ErrUnavailable, store.ErrUnknown), store.ErrUnknown, outcome.Unknown},
		{"another account's", merry.Errorf("create: %w", store.ErrConflict), store.ErrConflict, outcome.NotDone},
		{"no such job", merry.Errorf("end: %w", store.ErrNotFound), store.ErrNotFound, outcome.NotDone},
		{"not known", errors.New("panic"), store.ErrUnknown, outcome.Unknown},
	} {
		got := writeOutcomeOf(tc.err).err()
		require.ErrorIs(t, got, tc.want, tc.name)
		require.Equal(t, tc.so, store.OutcomeOf(got), tc.name)
	}
	require.ErrorIs(t, writeMaybeNotDone.err(), store.ErrUnknown, "an earlier release's \"not done\" may hide an unknown outcome")
	require.ErrorIs(t, writeOutcome(99).err(), store.ErrUnknown, "an outcome of a later release")
}
