package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func rowOf(t *testing.T, r Report, policy string, lag time.Duration) Row {
	for _, row := range r.Rows {
		if row.Policy == policy && row.LagMillis == lag.Milliseconds() {
			return row
		}
	}
	t.Fatalf("no row of %s at %s", policy, lag)
	return Row{}
}

// Runs in virtual time with the same seed give the same report, and at every lag the product's policy has a
// better first-token p99 and more prefix hits than random, round robin and least reported.
func TestRunIsRepeatable(t *testing.T) {
	opts := NewOptions().WithDuration(10 * time.Second)
	first, err := Run(opts)
	require.NoError(t, err)
	second, err := Run(opts)
	require.NoError(t, err)
	assert.Equal(t, first, second)
	for _, lag := range opts.Lags {
		for _, other := range []string{"random", "round robin", "least reported"} {
			assert.Less(t, rowOf(t, first, "product", lag).First99, rowOf(t, first, other, lag).First99, other)
			assert.Greater(t, rowOf(t, first, "product", lag).CacheHits, rowOf(t, first, other, lag).CacheHits, other)
		}
	}
}
