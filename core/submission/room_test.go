package submission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against nodes that accept more than the cap together while each decides alone, above all after a restart.
func TestNodesAloneKeepTheCapTogether(t *testing.T) {
	const tokenCap, excess, job = 1_900_000, 0.1, 9_400
	now := time.Unix(100, 0)
	for _, tc := range []struct {
		name  string
		nodes int
		// open is what waits; counted is how many nodes know it, at most age ago, the others being just started.
		open    int64
		counted int
		age     time.Duration
		// some reports that a job must be accepted.
		some bool
	}{
		{"nothing waits", 12, 0, 12, time.Second, true},
		{"nothing waits, all have just started", 12, 0, 0, 0, false},
		{"little waits", 12, 400_000, 12, time.Second, true},
		{"full", 12, tokenCap, 12, time.Second, false},
		{"full, four have just started", 12, tokenCap, 8, time.Second, false},
		{"full, all have just started", 12, tokenCap, 0, 0, false},
		{"full, counted long ago", 12, tokenCap, 12, time.Minute, false},
		{"one node", 1, tokenCap / 4, 1, time.Second, true},
		{"many nodes", 340, 0, 340, time.Second, false},
	} {
		total := tc.open
		for n := range tc.nodes {
			var r Room
			if n < tc.counted {
				r = r.WithCount(now.Add(-tc.age), tc.open)
			}
			for r.Fits(now, tokenCap, job, tc.nodes) {
				r = r.WithAccepted(job)
				total += job
			}
		}
		require.LessOrEqual(t, float64(total), tokenCap*(1+excess), tc.name)
		if tc.some {
			require.Greater(t, total, tc.open, tc.name)
		}
	}
	require.True(t, Room{}.Fits(now, 0, job, 340), "no cap")
}
