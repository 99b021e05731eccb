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
	"mothcart/io/clock"
	"mothcart/io/forward"
	"mothcart/io/home"
	"mothcart/io/store"
)

const (
	// directTimeout bounds this node's own calls to the object service that read or end a job.
	directTimeout = 1500 * time.Millisecond
	// directPollInterval is the polling interval of the object service within one long poll.
	directPollInterval = 800 * time.Millisecond
	// maxPoll bounds a long poll.
	maxPoll = time.Second
	// pageBytes bounds one page of results in bytes of JSON.
	pageBytes = 900 << 10
	// downRetryAfter is the Retry-After for a call that failed because the object service and the home
	// could not serve it.
	downRetryAfter = 500 * time.Millisecond
)

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
	began := h.opts.Now()
	end, err := home.EndJob(ctx, h.opts.Objects, c.Job, c.Account, home.End{At: h.opts.TimeOfDay(), By: h.opts.VMID})
	own := store.OutcomeOf(err)
	so, by := own, "entry"
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		end, err = h.opts.Home.EndJob(r.Context(), c.Job, c.Account, end)
		so, by = so.With(store.OutcomeOf(err)), "home"
	}
	switch {
	case so == outcome.Done:
		h.opts.Home.NotifyEnded(c.Job, end)
		h.opts.Log.Info().Str("job", c.Job).Str("outcome", "ended").Str("by", by).Stringer("entryWrite", own).Int64("revision", int64(end.Revision)).
			Bool("notified", h.opts.Home.Connected()).Dur("tookMillis", h.opts.Now().Sub(began)).Msg("jobEnd")
		w.WriteHeader(http.StatusOK)
	case so == outcome.NotDone:
		h.failJobCall(w, c, "jobEnd", err)
	default:
		h.opts.Log.Warn().Str("job", c.Job).Int("status", http.StatusGatewayTimeout).Stringer("entryWrite", own).Dur("tookMillis", h.opts.Now().Sub(began)).Err(err).Msg("jobEnd")
		setRetryAfter(w, downRetryAfter)
		http.Error(w, "not known whether the job was ended; end it again", http.StatusGatewayTimeout)
	}
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
