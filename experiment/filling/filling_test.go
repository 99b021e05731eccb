package filling

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTable(t *testing.T) {
	if os.Getenv("FILLING_TABLE") == "" {
		t.Skip()
	}
	r, err := Run(NewOptions().WithDuration(2 * time.Minute))
	require.NoError(t, err)
	t.Log(r.Markdown())
}
