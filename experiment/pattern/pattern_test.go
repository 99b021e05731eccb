package pattern

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// small is a site on which all patterns are played in seconds.
func small() Options {
	opts := NewOptions()
	opts.Fronts, opts.Engines = 6, 9
	return opts
}

func rowsOf(r Report, pattern string) map[string]Row {
	rows := map[string]Row{}
	for _, row := range r.Rows {
		if row.Pattern == pattern {
			rows[row.Way] = row
		}
	}
	return rows
}

const grantWay = "a grant for each attempt"

// Of the ways, a grant for each attempt serves callers best under each pattern, and no way passes
// the bound.
func TestGrantsAreBestUnderEachPattern(t *testing.T) {
	report := Run(small())
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			rows := rowsOf(report, sc.name)
			require.Len(t, rows, 3)
			for way, row := range rows {
				assert.LessOrEqual(t, row.Worth, row.Bound, way)
				assert.LessOrEqual(t, row.Worth, rows[grantWay].Worth, way)
				assert.LessOrEqual(t, row.InTime["ask"], rows[grantWay].InTime["ask"], way)
			}
		})
	}
}

// The worst two seconds are worth at least half of the mean, but where no front is there to ask.
func TestWorstSecondsUnderEachPattern(t *testing.T) {
	report := Run(small())
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			row := rowsOf(report, sc.name)[grantWay]
			if sc.outage > 0 {
				assert.Greater(t, row.InTime["item"], 0.95, "items outlast the fronts")
				return
			}
			assert.GreaterOrEqual(t, row.Worst, row.Worth/2)
		})
	}
}

func TestRunIsRepeatable(t *testing.T) {
	opts := small()
	opts.Length = 4 * time.Second
	assert.Equal(t, Run(opts), Run(opts))
}

// The bound is that of a site without capacity where there is none, and of all work where there is
// plenty.
func TestBound(t *testing.T) {
	s := newSim(small(), scenarios[0])
	r := s.newRequest(ask, 0)
	assert.InDelta(t, ask.value, s.bound(), 1e-9)
	s.opts.Slots = 0
	assert.InDelta(t, ask.late, s.bound(), 1e-9)
	s.opts.Slots, s.opts.Engines = 1, 1
	for range 10_000 {
		s.all = append(s.all, r)
	}
	assert.Less(t, s.bound(), 10*ask.value+10_000*ask.late, "one slot serves no more than its time holds")
}
