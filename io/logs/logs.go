// Package logs writes one JSON object a line for each event, without ever waiting for a reader.
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

// QueuedLines is the number of lines that may wait for a reader of the log, about 400 KB.
const QueuedLines = 1000

// Levels lists the accepted names of levels.
func Levels() []string { return []string{"debug", "info", "warn", "error", "disabled"} }

// New returns a logger that writes the events of level and above to w, one JSON object a line.
// Lines are gathered and written by a goroutine; if w doesn't take them, the oldest of more than
// queued lines are dropped, and missed is called with their number. The function flushes and ends it.
func New(w io.Writer, level string, queued int, missed func(lines int)) (zerolog.Logger, func(), error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), nil, merry.Errorf("log level %q: not one of %s", level, strings.Join(Levels(), ", "))
	}
	zerolog.TimeFieldFormat = timeFormat
	out := &gatheringWriter{w: bufio.NewWriterSize(w, gatherBytes)}
	ring := diode.NewWriter(out, queued, pollInterval, missed)
	end := func() {
		_ = ring.Close() // a ring that is closed has written what it held
		out.flush()
	}
	return zerolog.New(ring).Level(parsed).With().Timestamp().Logger(), end, nil
}

// timeFormat shows times to the millisecond, to which the clocks of VMs agree at best.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

const (
	// pollInterval is the time between two looks for lines to write.
	pollInterval = 50 * time.Millisecond
	// gatherBytes and gatherTime bound what is gathered before it is written.
	gatherBytes = 8 << 10
	gatherTime  = 250 * time.Millisecond
)

// gatheringWriter writes lines together, so that a line doesn't cost a system call.
type gatheringWriter struct {
	mu      sync.Mutex
	w       *bufio.Writer
	waiting bool
}

// Write implements io.Writer.
func (g *gatheringWriter) Write(line []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.waiting {
		g.waiting = true
		time.AfterFunc(gatherTime, g.flush)
	}
	return g.w.Write(line)
}

func (g *gatheringWriter) flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = false
	_ = g.w.Flush() // without a reader of the log there is nobody to tell
}
