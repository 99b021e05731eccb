package filling

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTable(t *testing.T) {
	if os.Getenv("FILLING_TABLE") == "" {
		t.Skip()
	}
	secs, _ := strconv.Atoi(os.Getenv("FILLING_TABLE"))
	fw := -1.0
	if v := os.Getenv("FILLING_FAULTS"); v != "" {
		fw, _ = strconv.ParseFloat(v, 64)
	}
	opts := NewOptions().WithFaultWeight(fw).WithDuration(time.Duration(secs) * time.Second)
	if w := os.Getenv("FILLING_WEIGHTS"); w != "" {
		opts = opts.WithProductOnly(true).WithWeights()
		for _, v := range strings.Split(w, ",") {
			f, _ := strconv.ParseFloat(v, 64)
			opts.Weights = append(opts.Weights, f)
		}
	}
	r, err := Run(opts)
	require.NoError(t, err)
	t.Log(r.Markdown())
}
