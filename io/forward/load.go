package forward

import (
	"time"

	"github.com/rs/zerolog"
)

// observeLoad passes on what an answer says of the load and the pace of the upstream.
func (l Lease) observeLoad(now time.Time, m AnswerInfo) {
	l.Report(now, m.Running, m.Waiting)
	if m.Pace > 0 && l.Pace != nil {
		l.Pace(m.Pace)
	}
}

// logChoice adds what decided about the upstream, if anything but its load did.
func (l Lease) logChoice(e *zerolog.Event) *zerolog.Event {
	if l.Choice.IsZero() {
		return e
	}
	return e.Str("zone", l.Upstream.Zone).Float64("pace", l.Choice.Pace()).Dur("paceAgeMillis", l.Choice.FigureAge).Bool("leftZone", l.Choice.LeftZone)
}
