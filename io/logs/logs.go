// Package logs writes each event as one JSON object per line and never blocks on a slow reader of the log.
//
// Usage:
//
//	log, flush, err := logs.New(os.Stdout, "info", logs.QueuedLines, func(n int) { missed.Inc(int64(n)) })
//	defer flush()
//	log.Info().Str("request", id).Msg("requestDone")
package logs

import (
	"bufio"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// QueuedLines is the number of lines that may be queued while the log's reader is slow, about 400 KB.
const QueuedLines = 1000

// Levels returns the accepted names of levels.
func Levels() []string { return []string{"debug", "info", "warn", "error", "disabled"} }

// New returns a logger that writes the events of level and above to w, one JSON object per line.
// A goroutine batches and writes the lines. If w blocks, at most queued lines are kept: the oldest are
// dropped, and missed is called with their number. The returned function flushes and closes the logger.
func New(w io.Writer, level string, queued int, missed func(lines int)) (zerolog.Logger, func(), error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), nil, merry.Errorf("log level %q: not one of %s", level, strings.Join(Levels(), ", "))
	}
	zerolog.TimeFieldFormat = timeFormat
	out := &batchingWriter{w: bufio.NewWriterSize(w, batchBytes)}
	ring := diode.NewWriter(out, queued, pollInterval, missed)
	end := func() {
		_ = ring.Close() // writes the queued lines before it returns
		out.flush()
	}
	return zerolog.New(ring).Level(parsed).With().Timestamp().Logger(), end, nil
}

// timeFormat has millisecond precision; the clocks of VMs don't agree more closely.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

const (
	// pollInterval is the interval at which the goroutine polls for lines to write.
	pollInterval = 50 * time.Millisecond
	// batchBytes is the size of the write buffer in bytes, flushDelay how long lines may stay in it.
	batchBytes = 8 << 10
	flushDelay = 250 * time.Millisecond
)

// batchingWriter writes several lines at once, so that not every line costs a system call.
type batchingWriter struct {
	mu             sync.Mutex
	w              *bufio.Writer
	flushScheduled bool
}

// Write implements io.Writer.
func (b *batchingWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.flushScheduled {
		b.flushScheduled = true
		time.AfterFunc(flushDelay, b.flush)
	}
	return b.w.Write(line)
}

func (b *batchingWriter) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flushScheduled = false
	_ = b.w.Flush() // the log itself failed, so the error can't be logged
}
