package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Load: 200 bodies of 4 MB that arrive at once beside small ones.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const limit, large, small = 40 << 20, 4 << 20, 1 << 10
	b := New(limit)
	taken, ok := 0, false
	for range 200 {
		if b, ok = b.Take(large); ok {
			taken++
		}
		b, ok = b.Take(small)
		require.True(t, ok)
		require.LessOrEqual(t, b.Held(), int64(limit))
	}
	require.Equal(t, 8, taken)
}

// Bytes that can wait must not make a node refuse requests.
func TestSpareBytesLeaveRoomForRequests(t *testing.T) {
	b, ok := New(1000), true
	for ok {
		b, ok = b.TakeSpare(100)
	}
	require.Equal(t, int64(200), b.Held())
	require.False(t, b.Full())
	_, ok = b.Take(800)
	require.True(t, ok)
}

func TestFullEndsOnlyWhenMuchLessIsHeld(t *testing.T) {
	b := New(1000)
	for _, tc := range []struct {
		add  int64
		full bool
	}{
		{749, false}, {1, true}, {-1, true}, {-249, true}, {-1, false}, {200, false}, {400, true}, {-1099, false},
	} {
		if tc.add > 0 {
			b = b.Add(tc.add)
		} else {
			b = b.Free(-tc.add)
		}
		require.Equal(t, tc.full, b.Full(), "%d held", b.Held())
	}
	require.Zero(t, b.Held())
}
