package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The pattern: a wave of two kinds of requests with the same objective, whose callers wait for different times.
// Neither kind may be served at the cost of the other.
func TestKindsWithTheSameObjectiveShareAWave(t *testing.T) {
	const slots, hold, interval = 40, 200 * time.Millisecond, 4 * time.Millisecond // 1.25 times the capacity
	timeouts := []time.Duration{4300 * time.Millisecond, 4900 * time.Millisecond}
	p := newPool(1, slots)
	inTime, asked := make([]int, 2), make([]int, 2)
	ends := map[Key]time.Time{}
	record := func(now time.Time, out Outcome) {
		for _, g := range out.Granted {
			ends[g.Request.Key] = now.Add(hold)
			if !g.Request.missesObjective(now) {
				inTime[g.Request.Key.ID%2]++
			}
		}
	}
	for id := range uint64(2000) {
		now := start.Add(time.Duration(id) * interval)
		for k, end := range ends {
			if !now.Before(end) {
				delete(ends, k)
				record(now, p.Release(now, k, Served))
			}
		}
		record(now, p.Tick(now))
		r := online(id)
		r.Objective = now.Add(210 * time.Millisecond)
		r.Order, r.Deadline = now.Add(timeouts[id%2]), now.Add(210*time.Millisecond)
		asked[id%2]++
		record(now, p.Ask(now, r))
	}
	shares := []float64{float64(inTime[0]) / float64(asked[0]), float64(inTime[1]) / float64(asked[1])}
	require.Greater(t, shares[0]+shares[1], 1.5, "the slots are used")
	require.InDelta(t, shares[0], shares[1], 0.1)
}
