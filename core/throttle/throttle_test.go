package throttle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const (
	window = 4 * time.Second
	step   = 10 * time.Millisecond
)

// allowed is the number of requests that an upstream may get within a window.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds()) + 5 }

// mostIn returns the most of the times that lie within a window.
func mostIn(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// grantPhase is how long a home or the nodes alone grant in turn.
const grantPhase = time.Minute

// grants returns the times at which requests are sent to an upstream that names a rate, if there are always more: twice
// by a new home, and then by all nodes alone.
func grants(rate float64, nodes int) []time.Time {
	var sent []time.Time
	rng := rand.New(rand.NewPCG(1, uint64(nodes)))
	var granting []Limit
	for now := start; now.Before(start.Add(4 * grantPhase)); now = now.Add(step) {
		switch now.Sub(start) % (2 * grantPhase) {
		case 0:
			granting = []Limit{Limit{}.Learned(now, now, rate)}
		case grantPhase:
			granting = make([]Limit, nodes)
			for i := range granting {
				granting[i] = Limit{}.Named(now, now, rate).Alone(now, nodes, rng.Float64())
			}
		}
		for i := range granting {
			for granting[i].Allows(now) {
				granting[i], sent = granting[i].Taken(now), append(sent, now)
			}
		}
	}
	return sent
}

// Guards against more requests than the rate allows, and against a rate that stays unused, whoever grants.
func TestRateHoldsInEachWindow(t *testing.T) {
	for _, rate := range []float64{0.3, 1, 2.7, 10, 100} {
		for _, nodes := range []int{1, 9, 300} {
			t.Run(fmt.Sprintf("%g a second, %d nodes", rate, nodes), func(t *testing.T) {
				sent := grants(rate, nodes)
				require.LessOrEqual(t, mostIn(sent), allowed(rate))
				require.GreaterOrEqual(t, float64(len(sent)), 0.9*(1+aloneShare)*max(rate, minRate)*2*grantPhase.Seconds()-4)
			})
		}
	}
}

func TestNamedAndLifted(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	named := Limit{}.Named(at(10), at(9), 4)
	for _, tc := range []struct {
		name string
		l    Limit
		want float64
	}{
		{"none", Limit{}, 0},
		{"named", named, 4},
		{"zero", Limit{}.Named(at(1), at(0), 0), minRate},
		{"lower, from an answer that may be older", named.Named(at(11), at(9), 2), 2},
		{"higher, from an answer that may be older", named.Named(at(11), at(9), 8), 4},
		{"higher, from a later request", named.Named(at(12), at(11), 8), 8},
		{"lifted by an answer that may be older", named.Lifted(at(9)), 4},
		{"lifted by a later request", named.Lifted(at(11)), 0},
		{"lifted without a limit", Limit{}.Lifted(at(11)), 0},
		{"learned", Limit{}.Learned(at(12), at(11), 3), 3},
		{"learned, older", named.Learned(at(12), at(9), 3), 4},
		{"learned, newer", named.Learned(at(12), at(11), 8), 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, tc.l.Rate())
			require.Equal(t, tc.want > 0, tc.l.Active())
		})
	}
	require.False(t, named.Allows(at(10)), "it begins without an allowance")
	require.True(t, named.Allows(at(10.25)))
	require.Equal(t, 6.0, named.Level(at(100)), "the burst is bounded")
	require.False(t, named.IsSpare(at(11)))
	require.True(t, named.IsSpare(at(100)))
	require.True(t, Limit{}.IsSpare(start))
	require.True(t, Limit{}.Allows(start))
}

func TestIsValid(t *testing.T) {
	for rate, want := range map[float64]bool{0: true, 0.5: true, 1e9: true, -1: false, math.Inf(1): false, math.Inf(-1): false} {
		require.Equal(t, want, IsValid(rate), "%g", rate)
	}
	require.False(t, IsValid(math.NaN()))
}
