package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is reported as not run, or as expired, since its last home did not run it, though an earlier
// one may have.
func TestEarlierHomeMayHaveRunTheRequest(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		async      bool
		// tries are those of homes before this one.
		tries uint8
		// want is the effect of the execution here that did not run, wantLate the state after the request's time; None means
		// that the record is gone.
		want     EffectKind
		wantLate State
	}{
		{"no earlier home, a caller waits", true, false, 0, NotRun, None},
		{"an earlier home, a caller waits", true, false, 1, Uncertain, None},
		{"no earlier home, accepted", true, true, 0, 0, Expired},
		{"an earlier home, accepted", true, true, 1, 0, Unknown},
		{"not idempotent, accepted and not sent", false, true, 0, 0, Expired},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			id := NewID("team", "k")
			r := Record{ID: id, State: Accepted, Idempotent: tc.idempotent, Async: tc.async, Tries: tc.tries, TimeoutMillis: 1000}
			s := NewShard(NewLimits(), Writer{VM: "e2", Incarnation: 2})
			s, _ = s.Load(now, Head{Tail: []Record{r}, Last: Written{Writer: Writer{VM: "e1", Incarnation: 1}, Sequence: 1}}, false)
			var seen []Effect
			write := func() {
				var effects []Effect
				s, _, _ = s.Commit()
				s, effects = s.Committed(now)
				seen = append(seen, effects...)
			}
			s, _, _ = s.Tick(now)
			write()
			require.Equal(t, Dispatch, seen[len(seen)-1].Kind)
			attempt := seen[len(seen)-1].Record.Attempt
			s, effects := s.Result(now, id, Result{Kind: DidNotRun, Attempt: attempt})
			seen = effects
			write()
			if tc.want != 0 {
				require.NotEmpty(t, seen)
				require.Equal(t, tc.want, seen[0].Kind)
				require.Len(t, seen, 1)
			}
			now = now.Add(time.Minute)
			s, _, _ = s.Tick(now)
			write()
			got, _ := s.Record(id)
			require.Equal(t, tc.wantLate, got.State)
		})
	}
}
