package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a panic of an attempt in the background, which would end the process with all its requests.
func TestPanicEndsOnlyTheAttempt(t *testing.T) {
	a := doRecovered(t.Context(), nil, HeaderCodec{}, Call{}, nil)
	require.ErrorContains(t, a.Err, "panicked")
	require.True(t, a.Sent, "the request may have run")
}
