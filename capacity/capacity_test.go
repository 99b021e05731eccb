package capacity

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func load(t *testing.T) Slopes {
	data, err := os.ReadFile("../docs/capacity.json")
	require.NoError(t, err)
	s, err := Parse(data)
	require.NoError(t, err)
	return s
}

// docs/CAPACITY.md must hold the tables that Page computes from docs/capacity.json.
func TestPageFollowsFromTheSlopes(t *testing.T) {
	page, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	assert.Contains(t, string(page), Page(load(t), TwoYears()))
	assert.Contains(t, string(page), SweepPage(load(t)))
}

func TestSweepGrowth(t *testing.T) {
	vms := []float64{30, 100, 400}
	for _, tc := range []struct {
		name           string
		m              SweepMeasure
		power, at, end float64
		breaks         bool
	}{
		{"square root", SweepMeasure{Busiest: []float64{1, 10, 20}, Limit: 40}, 0.5, 40, 1600, true},
		{"linear", SweepMeasure{Busiest: []float64{1, 10, 40}, Limit: 20}, 1, 160, 200, true},
		{"constant", SweepMeasure{Busiest: []float64{1, 10, 10}, Limit: 20}, 0, 10, 0, false},
		{"falling", SweepMeasure{Busiest: []float64{1, 20, 10}, Limit: 20}, -0.5, 10, 0, false},
		{"no limit", SweepMeasure{Busiest: []float64{1, 10, 40}}, 1, 160, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			end, breaks := tc.m.Breaks(vms)
			assert.InDelta(t, tc.power, tc.m.Power(vms), 0.001)
			assert.InDelta(t, tc.at, tc.m.At(vms, 1600), 0.001)
			assert.InDelta(t, tc.end, end, 0.001)
			assert.Equal(t, tc.breaks, breaks)
		})
	}
}

// What the platform is planned for must fit on the smallest VM of each role, and the largest size must serve nearly
// as much as the smallest.
func TestSweepHoldsAtTheTarget(t *testing.T) {
	s := load(t).sweep
	const servedShare = 0.95
	assert.GreaterOrEqual(t, s.Served[len(s.VMs)-1], servedShare*s.Served[0])
	for _, m := range s.Measures {
		if m.Limit > 0 {
			assert.LessOrEqual(t, m.At(s.VMs, s.Target), m.Limit, "%s: %s", m.Role, m.Measure)
		}
	}
}

// The summed costs of all roles must stay within the users' limits at the size of TwoYears.
func TestLimitsHold(t *testing.T) {
	z := TwoYears()
	var sum Row
	for _, r := range Rows(load(t), z) {
		sum.Bytes += r.Bytes
		sum.Core += r.Core
		sum.Memory += r.Memory
		sum.Writes += r.Writes
		sum.Reads += r.Reads
	}
	for _, tc := range []struct {
		name       string
		got, limit float64
	}{
		{"bytes a second", sum.Bytes, z.BytesLimit}, {"core", sum.Core, z.CoreLimit}, {"memory", sum.Memory, z.MemoryLimit},
		{"writes a second", sum.Writes, z.StoreWrites}, {"reads a second", sum.Reads, z.StoreReads},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.LessOrEqual(t, tc.got, tc.limit) })
	}
}
