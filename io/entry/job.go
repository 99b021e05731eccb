package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/core/outcome"
	"mothcart/core/site"
	"mothcart/io/clock"
	"mothcart/io/forward"
	"mothcart/io/home"
	"mothcart/io/store"
)

const (
	// submitTimeout bounds the write of a submitted job.
	submitTimeout = 1800 * time.Millisecond
	// reserveTimeout bounds the call that asks whether a job fits, which the home answers from memory.
	reserveTimeout = 100 * time.Millisecond
	// directTimeout bounds this node's own calls to the object service that read or end a job.
	directTimeout = 1500 * time.Millisecond
	// directPollInterval is the polling interval of the object service within one long poll.
	directPollInterval = 800 * time.Millisecond
	// maxPoll bounds a long poll.
	maxPoll = time.Second
	// pageBytes bounds the total size of the texts in one page of results.
	pageBytes = 900 << 10
	// noHomeShare is the fraction of a route's token cap up to which jobs are accepted while no home
	// counts them.
	noHomeShare = 0.5
	// fullRetryAfter is the Retry-After for a job that exceeds the route's token cap.
	fullRetryAfter = time.Second
	// downRetryAfter is the Retry-After for a call that failed because the object service and the home
	// could not serve it.
	downRetryAfter = 500 * time.Millisecond
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
	if !h.hasRoom(ctx, route, job) {
		h.logJob(id, "noRoom", http.StatusTooManyRequests, arrived, nil)
		w.Header().Set("Retry-After", strconv.FormatFloat(fullRetryAfter.Seconds(), 'f', 1, 64))
		http.Error(w, "too many tokens wait on this route", http.StatusTooManyRequests)
		return
	}
	so, err := h.writeJob(ctx, job)
	switch {
	case so == outcome.Done:
		h.opts.Home.NotifyStored(id)
		h.logJob(id, "accepted", http.StatusAccepted, arrived, nil)
		w.WriteHeader(http.StatusAccepted)
	case so == outcome.NotDone && errors.Is(err, store.ErrConflict):
		h.logJob(id, "idInUse", http.StatusConflict, arrived, err)
		http.Error(w, "another account has a job with this ID", http.StatusConflict)
	case so == outcome.NotDone:
		h.logJob(id, "notWritten", http.StatusServiceUnavailable, arrived, err)
		forward.Refuse(w, downRetryAfter)
	default:
		h.logJob(id, "outcomeUnknown", http.StatusGatewayTimeout, arrived, err)
		http.Error(w, "not known whether the job was accepted; send it again", http.StatusGatewayTimeout)
	}
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
func (h *Handler) hasRoom(ctx context.Context, route site.Route, job batch.Job) bool {
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := h.opts.Home.Reserve(reserveCtx, job)
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

func (h *Handler) serveJobCall(w http.ResponseWriter, r *http.Request, c Call) {
	switch c.Kind {
	case ReadResults:
		h.readResults(w, r, c)
	case ReadItem:
		h.readItem(w, r, c)
	default:
		h.endJob(w, r, c)
	}
}

func (h *Handler) readResults(w http.ResponseWriter, r *http.Request, c Call) {
	wait := min(c.Wait, maxPoll)
	began := h.opts.Now()
	page, homeErr := h.readFromHome(r.Context(), c, began.Add(wait))
	err := homeErr
	if homeErr != nil {
		page, err = h.readDirect(r.Context(), c, began.Add(wait))
		h.opts.Log.Info().Str("job", c.Job).Int("after", c.After).Int("next", page.Next).Int("total", page.Total).
			AnErr("home", homeErr).AnErr("error", err).Dur("tookMillis", h.opts.Now().Sub(began)).Msg("resultsReadDirect")
	}
	if err != nil {
		h.failJobCall(w, c, "resultsRead", err)
		return
	}
	b, err := h.opts.Codec.EncodeResults(page.Total, page.Next, page.Results)
	if err != nil {
		h.failJobCall(w, c, "resultsRead", err)
		return
	}
	h.opts.Log.Debug().Str("job", c.Job).Int("after", c.After).Int("next", page.Next).Int("total", page.Total).Msg("resultsRead")
	h.writeJSON(w, b)
}

// homePollInterval is the time between two attempts of a reader to reach a home.
const homePollInterval = 100 * time.Millisecond

// readFromHome reads a job from the home. Without one it waits for the next home for as long as the reader waits for
// results: all readers of a site would otherwise turn to the object service together.
func (h *Handler) readFromHome(ctx context.Context, c Call, until time.Time) (home.Page, error) {
	for {
		remaining := until.Sub(h.opts.Now())
		page, err := h.opts.Home.Read(ctx, c.Job, c.Account, c.After, max(remaining, 0))
		remaining = until.Sub(h.opts.Now())
		if err == nil || errors.Is(err, home.ErrUnknownJob) || remaining <= homePollInterval || clock.Sleep(ctx, homePollInterval) != nil {
			return page, err
		}
	}
}

func (h *Handler) writeJSON(w http.ResponseWriter, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if _, err := w.Write(b); err != nil {
		h.opts.Log.Debug().Err(err).Msg("callerGone")
	}
}

// readDirect reads a job from the object service and polls it until there is a result or the wait ends.
// It notifies the home of a job that is not done, since the home may have missed it.
func (h *Handler) readDirect(ctx context.Context, c Call, until time.Time) (home.Page, error) {
	log, err := h.loadJob(ctx, c)
	if err != nil {
		return home.Page{}, err
	}
	if !log.Done() {
		h.opts.Home.NotifyStored(c.Job)
	}
	for {
		results, next := log.Page(c.After, pageBytes)
		if len(results) > 0 || log.Done() || !h.opts.Now().Add(directPollInterval).Before(until) {
			return home.Page{Total: len(log.Job().Items), Next: next, Results: results}, nil
		}
		t := time.NewTimer(directPollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return home.Page{}, ctx.Err()
		}
		if log, err = h.moreResults(ctx, log); err != nil {
			return home.Page{}, err
		}
	}
}

// loadJob reads a job of the calling account from the object service; it fails without a call while the object service
// is known to be unreachable.
func (h *Handler) loadJob(ctx context.Context, c Call) (batch.Log, error) {
	if h.opts.ObjectsDown() {
		return batch.Log{}, merry.Errorf("load job %s: %w", c.Job, store.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	log, err := home.LoadJob(ctx, h.opts.Objects, c.Job)
	if err == nil && !log.Job().OwnedBy(c.Account) {
		return batch.Log{}, merry.Errorf("job %s is another account's: %w", c.Job, store.ErrNotFound)
	}
	return log, err
}

func (h *Handler) moreResults(ctx context.Context, log batch.Log) (batch.Log, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return home.LoadChunks(ctx, h.opts.Objects, log)
}

func (h *Handler) readItem(w http.ResponseWriter, r *http.Request, c Call) {
	item, err := h.opts.Home.Item(r.Context(), c.Job, c.Account, c.Item)
	if err != nil {
		var log batch.Log
		if log, err = h.loadJob(r.Context(), c); err == nil {
			stored, found := log.Job().Item(c.Item)
			item = home.ItemBody{Found: found && !log.Ended(), Body: stored.Body}
		}
	}
	if err == nil && !item.Found {
		err = store.ErrNotFound
	}
	if err != nil {
		h.failJobCall(w, c, "itemRead", err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(item.Body)))
	if _, err := w.Write(item.Body); err != nil {
		h.opts.Log.Debug().Str("job", c.Job).Err(err).Msg("callerGone")
	}
}

func (h *Handler) endJob(w http.ResponseWriter, r *http.Request, c Call) {
	ctx, cancel := context.WithTimeout(r.Context(), directTimeout)
	defer cancel()
	err := home.EndJob(ctx, h.opts.Objects, c.Job, c.Account)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		err = h.opts.Home.EndJob(r.Context(), c.Job, c.Account)
	}
	if err != nil {
		h.failJobCall(w, c, "jobEnd", err)
		return
	}
	h.opts.Home.NotifyEnded(c.Job)
	h.opts.Log.Info().Str("job", c.Job).Str("outcome", "ended").Msg("jobEnd")
	w.WriteHeader(http.StatusOK)
}

// failJobCall answers 404 only if the object service or the home has found no such job or item, and
// otherwise 503.
func (h *Handler) failJobCall(w http.ResponseWriter, c Call, event string, err error) {
	if errors.Is(err, store.ErrNotFound) {
		h.opts.Log.Info().Str("job", c.Job).Str("item", c.Item).Int("status", http.StatusNotFound).Err(err).Msg(event)
		http.Error(w, "no such job or item", http.StatusNotFound)
		return
	}
	h.opts.Log.Warn().Str("job", c.Job).Str("item", c.Item).Int("status", http.StatusServiceUnavailable).Err(err).Msg(event)
	forward.Refuse(w, downRetryAfter)
}
