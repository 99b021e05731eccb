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
