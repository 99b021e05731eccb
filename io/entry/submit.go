package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"mothcart/core/batch"
	"mothcart/core/outcome"
	"mothcart/core/site"
	"mothcart/core/submission"
	"mothcart/io/home"
	"mothcart/io/store"
)

const (
	// submitTimeout bounds the write of a submitted job.
	submitTimeout = 1800 * time.Millisecond
	// reserveTimeout bounds a call about a submitted job that the home answers from memory.
	reserveTimeout = 100 * time.Millisecond
	// noHomeShare is the fraction of a route's token cap up to which jobs are accepted while no home
	// counts them.
	noHomeShare = 0.5
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
		h.logJob(id, "badJob", http.StatusBadRequest, arrived, err)
		http.Error(w, "job can't be read", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(submitTimeout, h.deadline(r, route, arrived).Sub(h.opts.Now())))
	defer cancel()
	s := submitted{w: w, job: job, attempt: h.opts.Home.BeginSubmission(id), arrived: arrived}
	if !h.hasRoom(ctx, route, job, s.attempt) {
		h.refuseJob(r.Context(), s, "noRoom", http.StatusTooManyRequests, fullRetryAfter, nil)
		return
	}
	so, err := h.writeJob(ctx, job)
	switch {
	case so == outcome.Done:
		h.acceptJob(s)
	case so == outcome.NotDone && errors.Is(err, store.ErrConflict):
		h.opts.Home.Withdraw(ctx, s.attempt, job)
		h.logJob(id, "idInUse", http.StatusConflict, arrived, err)
		http.Error(w, "another account has a job with this ID", http.StatusConflict)
	case so == outcome.NotDone:
		h.refuseJob(r.Context(), s, "notWritten", http.StatusServiceUnavailable, downRetryAfter, err)
	default:
		h.leaveJobInDoubt(s, "outcomeUnknown", err)
	}
}

// submitted is one call that submits a job.
type submitted struct {
	w       http.ResponseWriter
	job     batch.Job
	attempt submission.Attempt
	arrived time.Time
}

func (h *Handler) acceptJob(s submitted) {
	h.opts.Home.NotifyStored(s.job.ID)
	h.logJob(s.job.ID, "accepted", http.StatusAccepted, s.arrived, nil)
	s.w.WriteHeader(http.StatusAccepted)
}

// refuseJob refuses a job that this attempt has not written. The refusal promises that no part of the job runs, which also
// depends on earlier attempts, at any node: without the home's word the caller is told that the outcome isn't known.
func (h *Handler) refuseJob(ctx context.Context, s submitted, reason string, status int, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	switch h.opts.Home.Withdraw(ctx, s.attempt, s.job) {
	case home.Stored:
		h.acceptJob(s)
	case home.Settled:
		h.logJob(s.job.ID, reason, status, s.arrived, err)
		setRetryAfter(s.w, retryAfter)
		http.Error(s.w, "the job was not accepted and does not run", status)
	default:
		h.leaveJobInDoubt(s, reason+":earlierAttempt", err)
	}
}

// leaveJobInDoubt answers a call whose job may exist or not.
func (h *Handler) leaveJobInDoubt(s submitted, reason string, err error) {
	h.logJob(s.job.ID, reason, http.StatusGatewayTimeout, s.arrived, err)
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
func (h *Handler) writeJob(ctx context.Context, job batch.Job) (outcome.Outcome, error) {
	results := make(chan error, 2)
	pending := 0
	start := func(write func(context.Context, batch.Job) error) {
		pending++
		go func() { results <- write(ctx, job) }()
	}
	first, second := h.createJob, h.opts.Home.Submit
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
		case err := <-results:
			pending--
			if so = so.With(store.OutcomeOf(err)); so == outcome.Done {
				return so, nil
			}
			failures = append(failures, err)
		case <-hedge.C:
		}
		if !hedged && ctx.Err() == nil {
			hedged = true
			start(second)
		}
	}
	return so, errors.Join(failures...)
}

// createJob writes a job from this node.
func (h *Handler) createJob(ctx context.Context, job batch.Job) error {
	return home.CreateJob(home.WithJobLog(ctx, h.opts.Log, "entry", job.ID), h.opts.Objects, job)
}

// hasRoom asks the home whether a job fits the route's token cap. Without an answer of the home, jobs
// are accepted until noHomeShare of the cap is reached, counted from the home's last answer.
func (h *Handler) hasRoom(ctx context.Context, route site.Route, job batch.Job, attempt submission.Attempt) bool {
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := h.opts.Home.Reserve(reserveCtx, job, attempt)
	key := roomKey{route: route.Name, account: job.Account}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.open[key] = reservation.Open
		return reservation.OK
	}
	open := h.open[key] + job.Tokens()
	fits := route.TokenCap == 0 || float64(open) <= noHomeShare*float64(route.TokenCap)
	if fits {
		h.open[key] = open
	}
	h.opts.Log.Warn().Str("job", job.ID).Int64("open", open).Int64("cap", route.TokenCap).Bool("fits", fits).Err(err).Msg("roomWithoutHome")
	return fits
}

func (h *Handler) logJob(id, outcome string, status int, arrived time.Time, err error) {
	h.opts.Log.Info().Str("job", id).Str("outcome", outcome).Int("status", status).
		Dur("tookMillis", h.opts.Now().Sub(arrived)).AnErr("error", err).Msg("jobSubmitted")
}
