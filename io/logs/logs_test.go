package logs

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOneLineOfPairs(t *testing.T) {
	var b bytes.Buffer
	log, err := New(&b, "info")
	require.NoError(t, err)
	log.Debug().Msg("hidden")
	log.Info().Str("request", "r1").Str("reason", "a = b\nc").Int("status", 200).Msg("requestDone")
	line := b.String()
	assert.Regexp(t, `^time=\S+ level=info event=requestDone `, line)
	assert.Contains(t, line, ` request=r1`)
	assert.Contains(t, line, ` reason="a = b\nc"`)
	assert.Contains(t, line, ` status=200`)
	assert.Equal(t, 1, bytes.Count(b.Bytes(), []byte("\n")))
}

func TestUnknownLevel(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud")
	assert.ErrorContains(t, err, "not one of debug")
}
