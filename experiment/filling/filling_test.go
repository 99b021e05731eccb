package filling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
		harm, none := rows["product, weight 1"], rows["no control"]
		require.Less(t, harm.FirstToken.P99, none.FirstToken.P99, d.Name)
		require.Less(t, harm.InterToken.P99, none.InterToken.P99, d.Name)
		require.Less(t, harm.Yield.P99, 50.0, "batch must yield to online within 50 ms")
		require.Less(t, harm.Ramp.P50, 1000.0, "batch must fill an idle engine within one second")
		require.Equal(t, d.WithoutBatch.OnlineAnswers/100, harm.OnlineAnswers/100)
	}
	svg, err := first.SVG()
	require.NoError(t, err)
	require.Contains(t, string(svg), "textsetzer: inter-token p99")
}

func TestRunRefusesTooSmall(t *testing.T) {
	_, err := Run(NewOptions().WithDuration(time.Millisecond))
	require.Error(t, err)
}
