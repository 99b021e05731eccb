package ledger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
	fakestore "mothcart/fake/store"
)

// Guards against an error that matches two outcomes and is told to another VM by the order of the questions.
func TestErrorWithTwoOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want outcome.Outcome
	}{
		{"did not run", merry.Errorf("execute: %w", ErrDidNotRun), outcome.NotDone},
		{"both", errors.Join(ErrDidNotRun, ErrMayHaveRun), outcome.Unknown},
		{"neither", errors.New("panic"), outcome.Unknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			opts := testOptions("e1", fakestore.New(fakestore.NewOptions()), &upstream{})
			opts.Execute = func(context.Context, Request) (Answer, error) { return Answer{}, tc.err }
			l := New(opts)
			defer l.Close()
			for _, key := range []string{"", "k"} {
				got, err := l.Do(t.Context(), testRequest(key))
				if key != "" && tc.want == outcome.Unknown {
					require.NoError(t, err, tc.name)
					require.Equal(t, core.Unknown, got.State, tc.name)
					continue
				}
				require.Equal(t, tc.want, OutcomeOf(err), "%s, key %q: %v", tc.name, key, err)
			}
			require.Equal(t, tc.want, OutcomeOf(codeErrors[codeOf(tc.err)]), tc.name)
		})
	}
}
