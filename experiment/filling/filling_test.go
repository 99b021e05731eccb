package filling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Runs with the same seed must give the same report. With weight 1, the product's policy must have a lower
// online p99 than dispatch without control, yield to online within 50 ms, fill an idle engine within one
// second, and complete nearly as many online requests as a run without batch.
func TestRunIsRepeatableAndKeepsBounds(t *testing.T) {
	opts := NewOptions().WithDuration(20*time.Second).WithWeights(1, 0).WithFaultWeight(-1)
	first, err := Run(opts)
	require.NoError(t, err)
	second, err := Run(opts)
	require.NoError(t, err)
	require.Equal(t, first, second)
	for _, d := range first.Deployments {
		rows := map[string]Row{}
		for _, row := range d.Rows {
			rows[row.Policy] = row
		}
		productRow, noControlRow := rows["product, weight 1"], rows["no control"]
		require.Less(t, productRow.FirstToken.P99, noControlRow.FirstToken.P99, d.Name)
		require.Less(t, productRow.InterToken.P99, noControlRow.InterToken.P99, d.Name)
		require.Less(t, productRow.Yield.P99, 50.0, "batch must yield to online within 50 ms")
		require.Less(t, productRow.Ramp.P50, 1000.0, "batch must fill an idle engine within one second")
		require.Equal(t, d.WithoutBatch.OnlineAnswers/100, productRow.OnlineAnswers/100)
	}
	svg, err := first.SVG()
	require.NoError(t, err)
	require.Contains(t, string(svg), "textsetzer: inter-token p99")
}

func TestRunRefusesTooSmall(t *testing.T) {
	_, err := Run(NewOptions().WithDuration(time.Millisecond))
	require.Error(t, err)
}
