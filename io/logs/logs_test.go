package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOneObjectPerLine(t *testing.T) {
	var b bytes.Buffer
	log, flush, err := New(&b, "info", 10, func(int) {})
	require.NoError(t, err)
	log.Debug().Msg("hidden")
	log.Info().Str("request", "r1").Str("reason", "a = b\nc").Int("status", 200).Msg("requestDone")
	flush()
	require.Equal(t, 1, bytes.Count(b.Bytes(), []byte("\n")))
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	assert.Regexp(t, `^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}`, line["time"])
	delete(line, "time")
	assert.Equal(t, map[string]any{
		"level": "info", "message": "requestDone", "request": "r1", "reason": "a = b\nc", "status": 200.0,
	}, line)
}

func TestUnknownLevel(t *testing.T) {
	_, _, err := New(&bytes.Buffer{}, "loud", 10, func(int) {})
	assert.ErrorContains(t, err, "not one of debug")
}

// blockingWriter blocks until release is closed, like the pipe to a process that has stopped reading.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBlockedWriterDropsLinesWithoutDelay(t *testing.T) {
	const lines, queued = 5000, 100
	w := blockingWriter{release: make(chan struct{})}
	var missed atomic.Int64
	log, end, err := New(w, "info", queued, func(n int) { missed.Add(int64(n)) })
	require.NoError(t, err)
	text := strings.Repeat("x", 200)
	for range lines {
		log.Info().Str("text", text).Msg("line") // would block here if it waited for the writer
	}
	close(w.release)
	end()
	require.Positive(t, missed.Load(), "dropped lines are counted")
}

func BenchmarkJSONLine(b *testing.B) {
	log, end, err := New(io.Discard, "info", 1000, func(int) {})
	require.NoError(b, err)
	defer end()
	for b.Loop() {
		log.Info().Str("request", "9c41d07be2a35f68").Str("route", "r1").Str("upstream", "i-7f3a91c2").Int("status", 200).Msg("requestDone")
	}
}
