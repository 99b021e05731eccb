package home

import (
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/forward"
)

// Guards against an item whose attempt panics and ends one home after the other, since the next home runs it again.
func TestPanicOfAnItemEndsOnlyTheAttempt(t *testing.T) {
	rn := NewRunner(RunnerOptions{Registry: metrics.NewRegistry(),
		Codec:   forward.HeaderCodec{Outgoing: func(http.Header, forward.Attempt) http.Header { panic("bad item") }},
		Refuses: func(site.Upstream) bool { return false },
	})
	out := rn.do(t.Context(), itemCall{ID: "i1", Path: "/"}, new(stream), itemReports{})
	require.Contains(t, out.Err, "bad item")
	require.False(t, out.Complete)
	require.Equal(t, slot.Broken, out.Result)
}
