package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/batch"
	"mothcart/core/submission"
	"mothcart/io/home"
	"mothcart/io/store"
)

// submitted is one call that submits a job, with what is logged of it.
type submitted struct {
	w       http.ResponseWriter
	job     batch.Job
	attempt submission.Attempt
	arrived time.Time
	room    room
	// writes are the writes of the job that were started, in order.
	writes []writeResult
	// standing is what the home said when the attempt was withdrawn, valid if asked.
	standing home.Standing
	asked    bool
}

// room is the decision whether a job fits the token cap of its route; by is who decided, empty if nobody did.
type room struct {
	by          string
	open, limit int64
	fits        bool
	// standing is that of the job if the home has ended the attempt since there is no room; else home.NoWord.
	standing home.Standing
}

// jobWriter is one of the two nodes that may write a job.
type jobWriter struct {
	by    string
	write func(ctx context.Context, job batch.Job, attempt submission.Attempt) error
}

// writeResult is one write of a job, valid once it has ended.
type writeResult struct {
	by        string
	startedAt time.Time
	took      time.Duration
	ended     bool
	err       error
}

// noteWrite records the end of a write.
func (s *submitted) noteWrite(now time.Time, r writeResult) {
	for i := range s.writes {
		if w := &s.writes[i]; w.by == r.by {
			w.ended, w.err, w.took = true, r.err, now.Sub(w.startedAt)
		}
	}
}

// withdraw ends the attempt, which had no effect, and returns whether the job may be refused.
func (s *submitted) withdraw(ctx context.Context, c *home.Client) home.Standing {
	if s.asked = true; s.room.standing != home.NoWord {
		s.standing = s.room.standing
	} else {
		s.standing = c.Withdraw(ctx, s.attempt, s.job)
	}
	return s.standing
}

// logSubmitted logs and counts the answer to a call that submits a job.
func (h *Handler) logSubmitted(s *submitted, outcome string, status int, err error) {
	metrics.GetOrRegisterCounter("submissions."+strings.ReplaceAll(outcome, ":", ".")+"."+strconv.Itoa(status), h.opts.Registry).Inc(1)
	e := h.opts.Log.Info().Str("job", s.job.ID).Str("attempt", s.attempt.ID).Str("outcome", outcome).Int("status", status)
	e = s.room.log(e)
	for _, w := range s.writes {
		e = w.log(e)
	}
	if s.asked {
		e = e.Stringer("home", s.standing)
	}
	e.Dur("tookMillis", h.opts.Now().Sub(s.arrived)).AnErr("error", err).Msg("jobSubmitted")
}

func (r room) log(e *zerolog.Event) *zerolog.Event {
	if r.by == "" {
		return e
	}
	return e.Str("roomBy", r.by).Int64("roomOpen", r.open).Int64("roomCap", r.limit)
}

// log adds the outcome of a write, "open" if the caller was answered before it ended.
func (w writeResult) log(e *zerolog.Event) *zerolog.Event {
	if !w.ended {
		return e.Str(w.by+"Write", "open")
	}
	return e.Stringer(w.by+"Write", store.OutcomeOf(w.err)).Dur(w.by+"Millis", w.took)
}
