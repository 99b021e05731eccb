package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/batch"
	"mothcart/core/outcome"
	"mothcart/core/site"
	"mothcart/core/submission"
	"mothcart/io/home"
	"mothcart/io/object"
	"mothcart/io/store"
)

const (
	// submitTimeout bounds the write of a submitted job.
	submitTimeout = 1800 * time.Millisecond
	// reserveTimeout bounds a call about a submitted job that the home answers from memory.
	reserveTimeout = 100 * time.Millisecond
	// fullRetryAfter is the Retry-After for a job that exceeds the route's token cap.
	fullRetryAfter = time.Second
)

// submit stores a job and accepts it.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, route site.Route, account string, body []byte, arrived time.Time) {
	id := h.opts.Codec.RequestID(r.Header)
	if r.Method != http.MethodPost {
		http.Error(w, "jobs are submitted by POST", http.StatusMethodNotAllowed)
		return
	}
	job, err := h.opts.Codec.DecodeJob(id, r.Host, r.URL.Path, account, h.opts.TimeOfDay(), body)
	if err != nil {
		h.logSubmitted(&submitted{job: batch.Job{ID: id}, arrived: arrived}, "badJob", http.StatusBadRequest, err)
		http.Error(w, "job can't be read", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(submitTimeout, h.deadline(r, route, arrived).Sub(h.opts.Now())))
	defer cancel()
	s := &submitted{w: w, job: job, attempt: h.opts.Home.BeginSubmission(id), arrived: arrived}
	s.room = h.askRoom(ctx, route, job, s.attempt)
	if !s.room.fits {
		h.refuseJob(r.Context(), s, "noRoom", http.StatusTooManyRequests, fullRetryAfter, nil)
		return
	}
	so, err := h.writeJob(ctx, s)
	switch {
	case so == outcome.Done:
		h.acceptJob(s)
	case so == outcome.NotDone && errors.Is(err, store.ErrConflict):
		s.withdraw(ctx, h.opts.Home)
		h.logSubmitted(s, "idInUse", http.StatusConflict, err)
		http.Error(w, "another account has a job with this ID", http.StatusConflict)
	case so == outcome.NotDone && errors.Is(err, object.ErrRejected):
		h.rejectJob(ctx, s, err)
	case so == outcome.NotDone:
		h.refuseJob(r.Context(), s, "notWritten", http.StatusServiceUnavailable, downRetryAfter, err)
	default:
		h.leaveJobInDoubt(s, "outcomeUnknown", err)
	}
}

func (h *Handler) acceptJob(s *submitted) {
	h.opts.Home.NotifyStored(s.job.ID)
	h.logSubmitted(s, "accepted", http.StatusAccepted, nil)
	s.w.WriteHeader(http.StatusAccepted)
}

// refuseJob refuses a job that this attempt has not written. The refusal promises that no part of the job runs, which also
// depends on earlier attempts, at any node: without the home's word the caller is told that the outcome isn't known.
func (h *Handler) refuseJob(ctx context.Context, s *submitted, reason string, status int, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	switch s.withdraw(ctx, h.opts.Home) {
	case home.Stored:
		h.acceptJob(s)
	case home.Settled:
		h.opts.Home.NotifyRefused(s.job.ID)
		h.logSubmitted(s, reason, status, err)
		setRetryAfter(s.w, retryAfter)
		http.Error(s.w, "the job was not accepted and does not run", status)
	default:
		metrics.GetOrRegisterCounter("submissions.refusalsWithheld", h.opts.Registry).Inc(1)
		h.leaveJobInDoubt(s, reason+":earlierAttempt", err)
	}
}

// rejectJob answers a call whose job the object service can't store, now or later.
func (h *Handler) rejectJob(ctx context.Context, s *submitted, err error) {
	if s.withdraw(ctx, h.opts.Home) == home.Stored {
		h.acceptJob(s)
		return
	}
	h.logSubmitted(s, "tooLarge", http.StatusRequestEntityTooLarge, err)
	http.Error(s.w, "an item of the job is larger than the platform can store", http.StatusRequestEntityTooLarge)
}

// leaveJobInDoubt answers a call whose job may exist or not.
func (h *Handler) leaveJobInDoubt(s *submitted, reason string, err error) {
	h.logSubmitted(s, reason, http.StatusGatewayTimeout, err)
	setRetryAfter(s.w, downRetryAfter)
	http.Error(s.w, "not known whether the job was accepted; send it again", http.StatusGatewayTimeout)
}

func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 1, 64))
}

// hedgeAfter is how long a write of a job may take before the home is asked to make the same write; an
// object service without load answers in a few milliseconds.
const hedgeAfter = 120 * time.Millisecond

// writeJob writes a job directly and, if that takes long or fails, through the home, which may reach the
// object service when this node doesn't. While the object service is known to be unreachable from here,
// the home is tried first. Writes are idempotent: the same job written twice is one job. The errors of both writes are
// returned together, so that they tell no outcome.
func (h *Handler) writeJob(ctx context.Context, s *submitted) (outcome.Outcome, error) {
	results := make(chan writeResult, 2)
	pending := 0
	start := func(w jobWriter) {
		pending++
		s.writes = append(s.writes, writeResult{by: w.by, startedAt: h.opts.Now()})
		go func() { results <- writeResult{by: w.by, err: w.write(ctx, s.job, s.attempt)} }()
	}
	first, second := jobWriter{"entry", h.createJob}, jobWriter{"home", h.opts.Home.Submit}
	if h.opts.ObjectsDown() {
		first, second = second, first
	}
	start(first)
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	hedged := false
	so := outcome.NotDone
	var failures []error
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			s.noteWrite(h.opts.Now(), r)
			if so = so.With(store.OutcomeOf(r.err)); so == outcome.Done {
				return so, nil
			}
			failures = append(failures, r.err)
		case <-hedge.C:
		}
		if !hedged && ctx.Err() == nil && !errors.Is(errors.Join(failures...), object.ErrRejected) {
			hedged = true
			start(second)
		}
	}
	return so, errors.Join(failures...)
}

// createJob writes a job from this node.
func (h *Handler) createJob(ctx context.Context, job batch.Job, attempt submission.Attempt) error {
	writer := home.Writer{By: "entry", Attempt: attempt, Log: h.opts.Log, Registry: h.opts.Registry}
	return home.CreateJob(writer.WithAttempts(ctx), h.opts.Objects, job)
}

// askRoom asks the home whether a job fits the route's token cap. Without an answer of the home this node decides by its
// share of what it knows.
func (h *Handler) askRoom(ctx context.Context, route site.Route, job batch.Job, attempt submission.Attempt) room {
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := h.opts.Home.Reserve(reserveCtx, job, attempt)
	if err == nil {
		open := reservation.Open
		if reservation.OK {
			open += job.Tokens()
		}
		h.opts.Home.NoteCount(route.Name, job.Account, open)
		return room{by: "home", open: reservation.Open, limit: route.TokenCap, fits: reservation.OK, standing: reservation.Standing}
	}
	open, fits := h.opts.Home.FitsAlone(route.Name, job.Account, route.TokenCap, job.Tokens())
	h.opts.Log.Warn().Str("job", job.ID).Str("attempt", attempt.ID).Int64("open", open).Int64("cap", route.TokenCap).Bool("fits", fits).Err(err).Msg("roomWithoutHome")
	return room{by: "entry", open: open, limit: route.TokenCap, fits: fits}
}
