package ledger

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
	fakestore "mothcart/fake/store"
)

// Guards against a request that is reported as not run by one home though another one, which was sent it before, may run it.
func TestHomesThatAnswerOneAfterTheOther(t *testing.T) {
	type answer struct {
		reply Reply
		err   error
	}
	refused, ran := answer{reply: Reply{Code: codeDidNotRun}}, answer{reply: Reply{Outcome: Outcome{State: core.Done}}}
	lost, unreachable := answer{err: merry.New("connection closed")}, answer{err: ErrUnreachable}
	for _, tc := range []struct {
		name    string
		answers []answer
		want    outcome.Outcome
	}{
		{"refused", []answer{refused}, outcome.NotDone},
		{"never sent, then refused", []answer{unreachable, unreachable, refused}, outcome.NotDone},
		{"lost, then refused", []answer{lost, refused}, outcome.Unknown},
		{"never sent, then lost, then refused", []answer{unreachable, lost, refused}, outcome.Unknown},
		{"fenced, then refused", []answer{{reply: Reply{Code: codeReroute}}, refused}, outcome.Unknown},
		{"lost, then used for another body", []answer{lost, {reply: Reply{Code: codeBodyMismatch}}}, outcome.Unknown},
		{"a code of a later release, then refused", []answer{{reply: Reply{Code: 99}}, refused}, outcome.Unknown},
		{"lost, then answered", []answer{lost, ran}, outcome.Done},
		{"lost three times, then this VM refuses", []answer{lost, lost, lost}, outcome.Unknown},
		{"never sent three times, then this VM refuses", []answer{unreachable, unreachable, unreachable}, outcome.NotDone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fakestore.New(fakestore.NewOptions())
				s.SetOutage(true)
				opts := testOptions("e1", s, &upstream{})
				opts.Members = func() []string { return []string{"e2"} }
				opts.Call = func(context.Context, string, Call) (Reply, error) {
					a := tc.answers[0]
					tc.answers = tc.answers[1:]
					return a.reply, a.err
				}
				l := New(opts)
				defer l.Close()
				_, err := l.Do(t.Context(), testRequest("swap"))
				require.Equal(t, tc.want, OutcomeOf(err), "%v", err)
				if tc.want == outcome.Unknown {
					require.ErrorIs(t, err, ErrMayHaveRun)
					require.NotErrorIs(t, err, ErrDidNotRun)
				}
			})
		})
	}
}
