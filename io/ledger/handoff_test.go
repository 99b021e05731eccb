package ledger

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	core "mothcart/core/ledger"
	fakestore "mothcart/fake/store"
)

// Guards against callers that are told that a request did not run whose result its home holds.
func TestResultThatANewHomeDeniesIsUncertain(t *testing.T) {
	for _, tc := range []struct {
		result core.ResultKind
		code   uint8
		want   core.EffectKind
	}{
		{core.DidNotRun, codeDidNotRun, core.NotRun},
		{core.Completed, codeDidNotRun, core.Uncertain},
		{core.MayHaveRun, codeDidNotRun, core.Uncertain},
		{core.Completed, codeMayHaveRun, core.Uncertain},
		{core.Completed, codeOK, core.Recorded},
	} {
		synctest.Test(t, func(t *testing.T) {
			opts := testOptions("e1", fakestore.New(fakestore.NewOptions()), &upstream{})
			opts.Members = func() []string { return []string{"e2"} }
			opts.Call = func(context.Context, string, Call) (Reply, error) { return Reply{Code: tc.code}, nil }
			l := New(opts)
			defer l.Close()
			e, ok := l.shards[0].tryHandoff(t.Context(), core.Record{ID: core.NewID("rota", "k")}, core.Result{Kind: tc.result})
			require.True(t, ok)
			require.Equal(t, tc.want, e.Kind, "result %d, code %d", tc.result, tc.code)
		})
	}
}
