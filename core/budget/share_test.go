package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestOverShare(t *testing.T) {
	for _, tc := range []struct {
		name             string
		limit, held, own int64
		holders          int
		want             bool
	}{
		{"no limit", 0, 1000, 1000, 1, false},
		{"room for all", 100, 100, 90, 2, false},
		{"more than its share", 100, 101, 51, 2, true},
		{"its share", 100, 101, 50, 2, false},
		{"all alike", 100, 104, 26, 4, true},
		{"no holder counted", 100, 101, 101, 0, true},
	} {
		require.Equal(t, tc.want, OverShare(tc.limit, tc.held, tc.own, tc.holders), tc.name)
	}
}

// Whatever grows, the holders that are left hold at most the limit, and one that holds no more than its share is never dropped.
func TestHoldersStayBelowTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit, holders = 1000, 8
		var own [holders]int64
		held := int64(0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, holders-1).Draw(rt, "holder")
			n := rapid.Int64Range(1, 100).Draw(rt, "bytes")
			own[i] += n
			held += n
			if OverShare(limit, held, own[i], holders) {
				require.Greater(rt, own[i], int64(limit/holders))
				held -= own[i]
				own[i] = 0
			}
			require.LessOrEqual(rt, held, int64(2*limit))
		}
	})
}
