package zone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCrossing(t *testing.T) {
	const ms = time.Millisecond
	costs := NewCosts()
	for _, tc := range []struct {
		name        string
		costs       Costs
		here, there time.Duration
		bytes       int
		want        bool
	}{
		{"equal zones", costs, 700 * ms, 700 * ms, 6 << 10, false},
		{"a little sooner", costs, 700 * ms, 650 * ms, 6 << 10, false},
		{"twice as long here", costs, 1400 * ms, 700 * ms, 6 << 10, true},
		{"a large answer", costs, 1400 * ms, 700 * ms, 100 << 10, false},
		{"bytes are free", costs.WithPerMegabyte(0), 700 * ms, 650 * ms, 100 << 10, true},
		{"sooner by less than the crossing", costs.WithPerMegabyte(0), 700 * ms, 690 * ms, 0, false},
	} {
		require.Equal(t, tc.want, tc.there+tc.costs.Crossing(tc.bytes) < tc.here, tc.name)
	}
	require.True(t, costs.IsSet())
	require.False(t, Costs{}.IsSet())
}

func TestBytes(t *testing.T) {
	require.Equal(t, headBytes+60, Bytes(8, 2))
	require.Equal(t, headBytes+48, Bytes(8, -1))
	require.Equal(t, Bytes(usualTokens, 0), Bytes(0, 0))
}
