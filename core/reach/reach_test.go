package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.3.0.%d:80", i+1)
	}
	return out
}

// Guards against links that count as lost while upstreams have failed, and against lost ones that don't.
func TestWhatFailuresProve(t *testing.T) {
	const ms = time.Millisecond
	fail := func(l Links, from, to int) Links {
		for i := from; i < to; i++ {
			l = l.WithFailure(start.Add(time.Duration(i)*ms), fmt.Sprintf("10.3.0.%d:80", i+1))
		}
		return l
	}
	for _, tc := range []struct {
		name           string
		upstreams      int
		play           func(l Links) Links
		doubtful, lost bool
	}{
		{"one upstream", 12, func(l Links) Links { return fail(l, 0, 1) }, false, false},
		{"one upstream again and again", 12, func(l Links) Links {
			for range 20 {
				l = fail(l, 0, 1)
			}
			return l
		}, false, false},
		{"all three of one service", 12, func(l Links) Links { return fail(l, 0, 3) }, true, false},
		{"three, and one that is reached", 12, func(l Links) Links { return fail(l, 0, 3).WithSuccess(start.Add(4 * ms)) }, false, false},
		{"five", 12, func(l Links) Links { return fail(l, 0, 5) }, true, true},
		{"five, with one reached in between", 12, func(l Links) Links { return fail(fail(l, 0, 3).WithSuccess(start), 3, 5) }, true, false},
		{"five, in more than five seconds", 12, func(l Links) Links {
			for i := range 5 {
				l = l.WithFailure(start.Add(time.Duration(i)*2*time.Second), fmt.Sprintf("10.3.0.%d:80", i+1))
			}
			return l
		}, true, false},
		{"all of four", 4, func(l Links) Links { return fail(l, 0, 4) }, true, true},
		{"three of four", 4, func(l Links) Links { return fail(l, 0, 3) }, true, false},
		{"the only one", 1, func(l Links) Links { return fail(l, 0, 1) }, false, false},
		{"some that are gone since", 12, func(l Links) Links { return fail(l, 0, 4).WithUpstreams(addresses(12)[2:]) }, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := tc.play(NewLinks().WithUpstreams(addresses(tc.upstreams)))
			require.Equal(t, tc.doubtful, l.Doubtful())
			require.Equal(t, tc.lost, l.Lost())
		})
	}
}

// Guards against nodes that go back and forth with links that come and go each second.
func TestFlappingLinksAreUsedLater(t *testing.T) {
	l := NewLinks().WithUpstreams(addresses(9))
	now := start
	for _, want := range []int{2, 4, 8, 16, 16} {
		for _, a := range addresses(5) {
			l = l.WithFailure(now, a)
		}
		require.True(t, l.Lost())
		n := 0
		for l.Lost() {
			n++
			l = l.WithSuccess(now)
		}
		require.Equal(t, want, n)
		now = now.Add(time.Second)
	}
	now = now.Add(flapTime)
	for _, a := range addresses(5) {
		l = l.WithFailure(now, a)
	}
	require.False(t, l.WithSuccess(now).WithSuccess(now).Lost(), "after a quiet time")
}

// Guards against probes that go to the upstreams that have failed, or to the same ones each time.
func TestProbesCoverAllUpstreams(t *testing.T) {
	l := NewLinks().WithUpstreams(addresses(9))
	require.False(t, l.ProbeDue(start))
	l = l.WithFailure(start, addresses(9)[0])
	require.False(t, l.ProbeDue(start), "one upstream fails now and then")
	l = l.WithFailure(start, addresses(9)[1])
	require.True(t, l.ProbeDue(start))
	require.NotContains(t, l.ProbeTargets(), addresses(9)[0])
	require.NotContains(t, l.ProbeTargets(), addresses(9)[1])
	probed := map[string]bool{}
	for range 3 {
		targets := l.ProbeTargets()
		require.Len(t, targets, probesAtOnce)
		for _, a := range targets {
			probed[a] = true
			l = l.WithFailure(start, a)
		}
		l = l.WithProbes(start)
		require.False(t, l.ProbeDue(start))
	}
	require.GreaterOrEqual(t, len(probed), 8)
	require.True(t, l.Lost())
}
