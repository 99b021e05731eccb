package pattern

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// small returns options for a site small enough to run all scenarios in seconds.
func small() Options {
	opts := NewOptions()
	opts.Entries, opts.Engines = 6, 9
	return opts
}

func rowsOf(r Report, pattern string) map[string]Row {
	rows := map[string]Row{}
	for _, row := range r.Rows {
		if row.Pattern == pattern {
			rows[row.Strategy] = row
		}
	}
	return rows
}

const grantStrategyName = "a grant for each attempt"

// Under each pattern no strategy earns more value or has more asks in time than a grant for each attempt, and
// none exceeds the bound.
func TestGrantsAreBestUnderEachPattern(t *testing.T) {
	report := Run(small())
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			rows := rowsOf(report, sc.name)
			require.Len(t, rows, 3)
			for name, row := range rows {
				assert.LessOrEqual(t, row.ValueShare, row.Bound, name)
				assert.LessOrEqual(t, row.ValueShare, rows[grantStrategyName].ValueShare, name)
				assert.LessOrEqual(t, row.InTime["ask"], rows[grantStrategyName].InTime["ask"], name)
			}
		})
	}
}

// With a grant for each attempt, the work of the worst two seconds earns at least half of the mean value
// share. While all entries are down, requests can't ask for a slot; the scenario with that outage must
// instead have nearly all batch items in time.
func TestWorstSecondsUnderEachPattern(t *testing.T) {
	report := Run(small())
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			row := rowsOf(report, sc.name)[grantStrategyName]
			if sc.outage > 0 {
				assert.Greater(t, row.InTime["item"], 0.95, "items must survive the loss of the entries")
				return
			}
			assert.GreaterOrEqual(t, row.WorstShare, row.ValueShare/2)
		})
	}
}

// Under each pattern of accounts the asks of those that don't flood are in time as without the flood, and accounts that all
// want more than there is get the same.
func TestAccountsThatFloodYield(t *testing.T) {
	for _, sc := range accountScenarios {
		t.Run(sc.name, func(t *testing.T) {
			row := runAccounts(NewOptions(), sc, (*sim).grantStrategy)
			if row.LeastJain > 0 {
				assert.GreaterOrEqual(t, row.Jain, row.LeastJain)
				return
			}
			assert.GreaterOrEqual(t, row.Others["ask"], row.Calm["ask"]-mostLost)
		})
	}
}

// Runs with the same seed must give the same report, or the results of the strategies can't be compared.
func TestRunIsRepeatable(t *testing.T) {
	opts := small()
	opts.Length = 4 * time.Second
	assert.Equal(t, Run(opts), Run(opts))
}

// With ample capacity the bound is the full value of all work, without capacity it is the late value, and one
// slot bounds it by the work that fits into its time.
func TestBound(t *testing.T) {
	s := newSim(small(), scenarios[0])
	r := s.newRequest(askKind, 0)
	assert.InDelta(t, askKind.value, s.bound(), 1e-9)
	s.opts.Slots = 0
	assert.InDelta(t, askKind.lateValue, s.bound(), 1e-9)
	s.opts.Slots, s.opts.Engines = 1, 1
	for range 10_000 {
		s.all = append(s.all, r)
	}
	assert.Less(t, s.bound(), 10*askKind.value+10_000*askKind.lateValue, "one slot serves no more work than fits into its time")
}
