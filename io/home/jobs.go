package home

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/batch"
	"mothcart/core/site"
	"mothcart/core/submission"
	"mothcart/core/tombstone"
	"mothcart/io/link"
	"mothcart/io/object"
	"mothcart/io/store"
)

const (
	// pageBytes bounds one page of results in bytes of JSON; an answer to a caller holds at most 1 MB.
	pageBytes = 900 << 10
	// reservationAge is how long room is reserved for a job that is being written.
	reservationAge = 5 * time.Second
	// noRouteGrace is how long a job waits for its route, since the home may receive the configuration
	// with the route later than the node that accepted the job.
	noRouteGrace = 6 * time.Second
	// loadTimeout bounds one attempt to read a job with all its results, or to remove them.
	loadTimeout = 10 * time.Second
)

// job is the home's state of a job that it has loaded.
type job struct {
	log batch.Log
	// revision is that of the newest copy of the job's object, created the one at which it was created.
	revision, created object.Revision
	// changed is closed and replaced at each change of the log.
	changed chan struct{}
	// acceptedAt is when the job was accepted, by the clock of this VM.
	acceptedAt time.Time
	// parted reports that the items are stored in objects of their own.
	parted bool
	// dueAt is when all results are due; zero if no route matched when the job was loaded.
	dueAt time.Time
	// removeAt is the time after which the job and its results are removed, once the job is done.
	removeAt time.Time
	// noRouteSince is when the job was first found to have no route; zero if a route matches.
	noRouteSince time.Time
	maxRuns      int
	runs         map[string]*run
	// itemStarted reports that an item has begun to run at this home, refused that a caller had been promised that none does.
	itemStarted, refused bool
	// finished holds results that are not listed yet and therefore have no position; unstorable are the items of those that no
	// object of the object service holds.
	finished   []batch.Result
	unstorable map[string]bool
	// writing reports that a write of finished results is scheduled or in progress.
	writing bool
	// gathering starts the scheduled write.
	gathering *time.Timer
	// chunkStartedAt is when the write of the chunk with an unknown outcome started; zero if there is none.
	chunkStartedAt time.Time
}

// unresolvedLimit is how long the write of a chunk may be in flight before the home can't confirm the state
// of the job: the object service may already return the chunk to readers.
const unresolvedLimit = 400 * time.Millisecond

// unresolved reports that the object service may hold results of the job that the home has not listed.
func (j *job) unresolved(now time.Time) bool {
	return !j.chunkStartedAt.IsZero() && now.Sub(j.chunkStartedAt) > unresolvedLimit
}

type reservation struct {
	host, path, account string
	tokens              int64
	until               time.Time
}

// setLog replaces the log and wakes the readers; the home's mutex is held.
func (j *job) setLog(log batch.Log) {
	j.log = log.WithoutListedBodies()
	close(j.changed)
	j.changed = make(chan struct{})
	j.finished = slices.DeleteFunc(j.finished, func(r batch.Result) bool { return log.Listed(r.Item) })
}

// BodyBytes returns the size of the bodies of all items that the home holds, in bytes.
func (h *Home) BodyBytes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, j := range h.jobs {
		for _, i := range j.log.Job().Items {
			n += len(i.Body)
		}
	}
	return n
}

// reserve answers whether there is room for a job's tokens on its route, and reserves the room if there is.
func (h *Home) reserve(in link.Incoming) error {
	return handleMessage(in, func(m reserveRequest) { in.Answer(h.room(m)) })
}

// room is the answer to a request for room. The attempt is recorded whatever the answer: the node writes the job also if the
// home is undecided.
func (h *Home) room(m reserveRequest) reserveAnswer {
	now := h.opts.Now()
	route, ok := h.opts.Config().Match(m.Host, m.Path)
	h.mu.Lock()
	defer h.mu.Unlock()
	exists := h.exists(m.Job)
	if !exists {
		h.submissions.Begin(now, submission.Attempt{Job: m.Job, ID: m.Attempt})
	}
	if !ok || !h.hintRead {
		return reserveAnswer{Undecided: true}
	}
	open := h.openTokens(now, route, m.Account)
	if exists {
		return reserveAnswer{OK: true, Open: open}
	}
	if r, held := h.reserved[m.Job]; held {
		open -= r.tokens
	}
	fits := route.TokenCap == 0 || open+m.Tokens <= route.TokenCap
	if fits {
		h.reserved[m.Job] = reservation{host: m.Host, path: m.Path, account: m.Account, tokens: m.Tokens, until: now.Add(reservationAge)}
		return reserveAnswer{OK: true, Open: open}
	}
	h.opts.Log.Info().Str("job", m.Job).Str("attempt", m.Attempt).Str("account", m.Account).Int64("tokens", m.Tokens).Int64("open", open).Int64("cap", route.TokenCap).Msg("jobDoesNotFit")
	return reserveAnswer{Open: open, Standing: h.endAttempt(submission.Attempt{Job: m.Job, ID: m.Attempt}, m.Account)}
}

// openTokens returns the number of tokens of an account's open items and reservations on a route; the mutex is held.
func (h *Home) openTokens(now time.Time, route site.Route, account string) int64 {
	var n int64
	h.eachOpen(now, func(of, host, path string, tokens int64) {
		if of == account && host == route.Host && strings.HasPrefix(path, route.Prefix) {
			n += tokens
		}
	})
	return n
}

// eachOpen calls f with the account, host, path and open tokens of each job and reservation. All items of a job that is not
// loaded yet count as open. The mutex is held.
func (h *Home) eachOpen(now time.Time, f func(account, host, path string, tokens int64)) {
	for _, j := range h.jobs {
		job := j.log.Job()
		tokens := j.log.OpenTokens()
		for _, r := range j.finished {
			item, _ := job.Item(r.Item)
			tokens -= item.Tokens
		}
		f(job.Account, job.Host, job.Path, tokens)
	}
	for _, l := range h.loading {
		f(l.job.Account, l.job.Host, l.job.Path, l.tokens)
	}
	for id, r := range h.reserved {
		if now.After(r.until) {
			delete(h.reserved, id)
			continue
		}
		f(r.account, r.host, r.path, r.tokens)
	}
}

// ownJob returns a job that an account may read, or nil; the mutex is held.
func (h *Home) ownJob(id, account string) *job {
	if j := h.jobs[id]; j != nil && j.log.Job().OwnedBy(account) {
		return j
	}
	return nil
}

// existsFor reports that an account has a job, whether or not the home has loaded it; the mutex is held.
func (h *Home) existsFor(id, account string) bool {
	unloaded, ok := h.unloaded[id]
	l := h.loading[id]
	return h.ownJob(id, account) != nil || (ok && unloaded.OwnedBy(account)) || (l != nil && !l.broken && l.job.OwnedBy(account))
}

// exists reports that there is a job with this ID, whoever's it is; the mutex is held.
func (h *Home) exists(id string) bool {
	_, ok := h.unloaded[id]
	return ok || h.jobs[id] != nil || h.loading[id] != nil
}

// read answers with results; a goroutine waits for the first one.
func (h *Home) read(in link.Incoming) error {
	var m readRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	if h.answerRead(in, m, m.Wait <= 0) {
		return nil
	}
	go func() {
		deadline := time.NewTimer(m.Wait)
		defer deadline.Stop()
		for {
			h.mu.Lock()
			j := h.ownJob(m.Job, m.Account)
			var changed chan struct{}
			if j != nil {
				changed = j.changed
			}
			h.mu.Unlock()
			if h.answerRead(in, m, j == nil) {
				return
			}
			select {
			case <-changed:
			case <-deadline.C:
				h.answerRead(in, m, true)
				return
			case <-h.ctx.Done():
				in.Answer(readAnswer{})
				return
			}
		}
	}()
	return nil
}

// answerRead answers if there is a result, the job is done or final is set; it reports whether it did. While
// the outcome of a chunk write is unresolved, it answers only if final is set.
func (h *Home) answerRead(in link.Incoming, m readRequest, final bool) bool {
	now := h.opts.Now()
	h.mu.Lock()
	j := h.ownJob(m.Job, m.Account)
	unconfirmed := j == nil || !h.opts.Valid(now)
	unresolved := !unconfirmed && j.unresolved(now)
	if unresolved && !final {
		h.mu.Unlock()
		return false
	}
	if unconfirmed || unresolved {
		unknown := j == nil && h.listedOnce && h.loading[m.Job] == nil && h.opts.Valid(now)
		h.mu.Unlock()
		in.Answer(readAnswer{Unknown: unknown})
		return true
	}
	log := j.log
	h.mu.Unlock()
	results, next := log.Page(m.After, pageBytes)
	if len(results) == 0 && !final && !log.Done() {
		return false
	}
	in.Answer(readAnswer{Valid: true, Total: len(log.Job().Items), Next: next, Results: results})
	return true
}

func (h *Home) item(in link.Incoming) error {
	var m itemRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.ownJob(m.Job, m.Account)
	if j == nil || !h.opts.Valid(h.opts.Now()) {
		in.Answer(itemAnswer{})
		return nil
	}
	item, ok := j.log.Job().Item(m.Item)
	in.Answer(itemAnswer{Valid: true, Ended: j.log.Ended(), Found: ok && !j.log.Listed(m.Item), Body: item.Body})
	return nil
}

// sweepJobs fails the open items of jobs that have exceeded their maximum wait or have no route, and removes
// jobs whose retention has ended.
func (h *Home) sweepJobs(now time.Time) {
	h.mu.Lock()
	var remove []string
	for id, j := range h.jobs {
		if j.log.Done() {
			// Without its results and the hint the next home would run the items of the job again.
			if now.After(j.removeAt) && (j.log.Ended() || h.listed.isStored(id)) {
				remove = append(remove, id)
			}
			continue
		}
		route, ok := h.opts.Config().Match(j.log.Job().Host, j.log.Job().Path)
		switch {
		case ok:
			j.noRouteSince = time.Time{}
			j.maxRuns = route.MaxAttempts
		case j.noRouteSince.IsZero():
			j.noRouteSince = now
		}
		reason := ""
		switch {
		case ok && route.MaxWait > 0 && now.Sub(j.acceptedAt) > route.MaxWait:
			reason = "maxWait"
		case !j.noRouteSince.IsZero() && now.Sub(j.noRouteSince) > noRouteGrace:
			reason = "noRoute"
		default:
			continue
		}
		for _, item := range j.log.Open() {
			h.failItem(id, j, item.ID, reason)
		}
	}
	h.mu.Unlock()
	for _, id := range remove {
		if !h.remove(id) {
			return // the object service fails; the others would take as long
		}
	}
}

// removePause is the time between two attempts to remove a job.
const removePause = 10 * time.Second

// remove deletes a job and its results, the results first, so that no results remain without a job. It reports false if
// the job may still be stored. The home then keeps it: a job that it doesn't have would be loaded with the results that are
// left, and the items without a result would run again.
func (h *Home) remove(id string) bool {
	h.mu.Lock()
	j := h.jobs[id]
	h.mu.Unlock()
	if j == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
	defer cancel()
	err := h.removeAll(ctx, resultsKind(id))
	if err == nil && j.parted {
		err = h.removeAll(ctx, partsPrefix+id)
	}
	if err == nil {
		err = h.opts.Objects.Delete(ctx, KindJobs, id)
		if errors.Is(err, store.ErrNotFound) {
			err = nil // an attempt that was not answered
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		j.removeAt = h.opts.Now().Add(removePause)
		h.opts.Log.Warn().Str("job", id).Err(err).Msg("jobNotRemoved")
		return false
	}
	if h.jobs[id] == j { // else the watch has delivered the deletion, and maybe a new job
		j.cancelRuns()
		delete(h.jobs, id)
		h.tombstones.Add(h.opts.Now(), id, tombstone.Tombstone{Kind: tombstone.Removed})
	}
	h.listed.remove(id)
	h.opts.Log.Info().Str("job", id).Msg("jobRemoved")
	return true
}

// removeAll deletes all objects of a kind.
func (h *Home) removeAll(ctx context.Context, kind string) error {
	objects, _, err := object.ListAll(ctx, h.opts.Objects, kind)
	if err != nil {
		return merry.Errorf("list %s to remove it: %w", kind, err)
	}
	for _, o := range objects {
		if err := h.opts.Objects.Delete(ctx, kind, o.Name); err != nil && !errors.Is(err, store.ErrNotFound) {
			return merry.Errorf("remove %s/%s: %w", kind, o.Name, err)
		}
	}
	return nil
}
