package home

import (
	"time"

	"mothcart/core/batch"
	"mothcart/core/tombstone"
	"mothcart/io/clock"
	"mothcart/io/object"
)

// applyJobs applies changes of jobs from the object service. It reads nothing, so that no job holds up what is known of
// another one. A listing may be older than events that were applied before it.
func (h *Home) applyJobs(c object.Change) {
	h.mu.Lock()
	missed := len(h.undelivered)
	for _, o := range c.Objects {
		delete(h.undelivered, o.Name)
	}
	missed -= len(h.undelivered)
	for _, e := range c.Events {
		delete(h.undelivered, e.Object.Name)
	}
	h.mu.Unlock()
	if missed > 0 {
		h.opts.Log.Warn().Int("jobs", missed).Int64("revision", int64(c.At)).Msg("watchOwesJobs")
	}
	if c.Listed {
		h.applyListing(c)
		return
	}
	for _, e := range c.Events {
		if e.Deleted {
			h.dropJob(e.Object.Name, e.Object.Revision)
			continue
		}
		h.applyJob(e.Object, byWatch)
	}
}

func (h *Home) applyListing(c object.Change) {
	h.mu.Lock()
	first := !h.listedOnce
	h.mu.Unlock()
	if first {
		h.opts.Log.Info().Int("jobs", len(c.Objects)).Int64("term", h.opts.Term).Int64("revision", int64(c.At)).Msg("jobsLoading")
	}
	names := make(map[string]bool, len(c.Objects))
	for _, o := range c.Objects {
		names[o.Name] = true
		h.applyJob(o, byListing)
	}
	if first {
		h.mu.Lock()
		h.listedOnce = true
		h.mu.Unlock()
		h.done.Go(h.readListed)
		return
	}
	for _, id := range h.absent(names, c.At) {
		h.dropJob(id, c.At)
	}
}

// absent returns the jobs that a listing as of a revision shows to be removed.
func (h *Home) absent(names map[string]bool, at object.Revision) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, j := range h.jobs {
		if !names[id] && j.revision <= at {
			out = append(out, id)
		}
	}
	for id, l := range h.loading {
		if !names[id] && l.o.Revision <= at {
			out = append(out, id)
		}
	}
	for id, u := range h.unloaded {
		if !names[id] && u.revision <= at {
			out = append(out, id)
		}
	}
	return out
}

// readListed reads which of the jobs that exist have all their results, and then loads the others. Without that, the items of
// a job whose removal was interrupted would run again.
func (h *Home) readListed() {
	for pause := retryPause; ; pause = min(2*pause, lastLoadPause) {
		err := h.loadListed()
		if h.ctx.Err() != nil {
			return
		}
		if err == nil {
			break
		}
		h.opts.Log.Warn().Err(err).Msg("listedJobsNotRead")
		_ = clock.Sleep(h.ctx, pause) // ends early only with the context
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hintRead = true
	h.listed.keep(h.exists) // others were removed while the hint was read
	for id, l := range h.loading {
		if h.listed.has(id) {
			h.settleLoading(l)
		}
	}
	h.startLoaders()
	h.noteLoaded()
}

// applyJob applies a copy of a job's object.
func (h *Home) applyJob(o object.Object, way endWay) {
	status := decodeStatus(o)
	if h.applyKnown(o, status, way) {
		return
	}
	isNew := way == byWatch
	decode := decodeHead
	if isNew {
		decode = decodeWhole
	}
	job, tokens, err := decode(o)
	if err != nil {
		h.opts.Log.Error().Str("job", o.Name).Int64("revision", int64(o.Revision)).Err(err).Msg("jobSkipped")
	}
	items := job.Items
	job.Items = nil
	h.mu.Lock()
	if h.exists(o.Name) {
		h.mu.Unlock()
		h.applyKnown(o, status, way) // another listing or event was applied meanwhile
		return
	}
	verdict := h.judge(o)
	held := false
	switch {
	case verdict == tombstone.IsRemoved:
	case verdict == tombstone.IsEnded, status.Ended, status.Listed, err == nil && h.listed.has(o.Name):
		h.settle(o, job)
	case isNew && err == nil && job.Parts == 0 && verdict == tombstone.Current:
		h.hold(o, batch.NewLog(job.WithItems(items)), false)
		held = true
	default:
		h.queueLoad(&loading{o: o, job: job, tokens: tokens, isNew: isNew, stale: verdict == tombstone.Doubtful, broken: err != nil})
	}
	h.mu.Unlock()
	if verdict != tombstone.Current {
		h.metrics.loads.obsolete.Inc(1)
		h.opts.Log.Info().Str("job", o.Name).Int64("revision", int64(o.Revision)).Str("way", string(way)).Int("verdict", int(verdict)).Msg("jobCopyObsolete")
	}
	if held {
		h.startItems(o.Name)
	}
}

// applyKnown applies a copy of a job that the home knows. It reports false if the home doesn't know the job.
func (h *Home) applyKnown(o object.Object, status jobStatus, way endWay) bool {
	h.mu.Lock()
	if created, ok := h.createdAt(o.Name); ok && created > 0 && o.Created > created {
		h.forget(o.Name) // the job was removed, and another one has its ID
	} else if ok && o.Created > 0 && o.Created < created {
		h.mu.Unlock()
		return true
	}
	l := h.loading[o.Name]
	if l != nil && o.Revision > l.o.Revision {
		l.o = o
		if l.broken {
			h.endLoading(l) // the newer copy may be readable
		}
	}
	known := h.exists(o.Name)
	if j := h.jobs[o.Name]; j != nil {
		j.revision = max(j.revision, o.Revision)
	}
	if l != nil && known && status.Listed {
		h.endLoading(l)
		h.settle(o, l.job)
	}
	h.mu.Unlock()
	if known && status.Ended {
		h.endJob(o.Name, status.End, way)
	}
	return known
}

// settledJob is a job that needs no more runs and is not loaded, without its items.
type settledJob struct {
	batch.Job
	revision, created object.Revision
}

// settle records a job that needs no more runs, so that it is not refused when its caller sends it again; the mutex is held.
func (h *Home) settle(o object.Object, job batch.Job) {
	h.unloaded[o.Name] = settledJob{job, o.Revision, o.Created}
	h.noteSubmission(o.Name)
}

// settleLoading records that a job needs no more runs, whose load is not over; the mutex is held.
func (h *Home) settleLoading(l *loading) {
	h.endLoading(l)
	h.settle(l.o, l.job)
}

// hold adds a job, whose items are stored in objects of their own if it is parted; the mutex is held.
func (h *Home) hold(o object.Object, log batch.Log, parted bool) {
	now := h.opts.Now()
	age := max(h.opts.TimeOfDay().Sub(log.Job().AcceptedAt), 0)
	j := &job{
		log: log.WithoutListedBodies(), parted: parted, changed: make(chan struct{}), runs: make(map[string]*run),
		revision: o.Revision, created: o.Created, acceptedAt: now.Add(-age), removeAt: now.Add(h.opts.ResultRetention - age),
	}
	route, ok := h.opts.Config().Match(log.Job().Host, log.Job().Path)
	if ok {
		j.maxRuns = route.MaxAttempts
		j.dueAt = j.acceptedAt.Add(route.Completion)
	}
	h.jobs[o.Name] = j
	delete(h.reserved, o.Name)
	j.refused = h.noteSubmission(o.Name)
	h.opts.Log.Info().Str("job", o.Name).Str("route", route.Name).Int("items", len(log.Job().Items)).Int("listed", log.Len()).
		Int64("revision", int64(o.Revision)).Dur("ageMillis", age).Dur("dueInMillis", route.Completion-age).Msg("jobTaken")
}

// dropJob forgets a job that was removed at a revision, unless the home has a newer copy.
func (h *Home) dropJob(id string, at object.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j, l := h.jobs[id], h.loading[id]
	if (j != nil && j.revision > at) || (l != nil && l.o.Revision > at) || h.unloaded[id].revision > at {
		return
	}
	h.tombstones.Add(h.opts.Now(), id, tombstone.Tombstone{Kind: tombstone.Removed, Revision: int64(at)})
	h.forget(id)
}

// forget forgets a job and cancels its runs; the mutex is held.
func (h *Home) forget(id string) {
	delete(h.unloaded, id)
	h.dropProgress(id)
	h.listed.remove(id)
	if l := h.loading[id]; l != nil {
		h.endLoading(l)
	}
	if j := h.jobs[id]; j != nil {
		j.cancelRuns()
		delete(h.jobs, id)
	}
}

const (
	// jobsWatchGap gathers the jobs of a large site, which come many a second; they are due many seconds later.
	jobsWatchGap = 200 * time.Millisecond
	// watchLag is how long the watch may take to deliver a stored job before the kind is listed; an object
	// service without load reports a change within a few milliseconds.
	watchLag = 300*time.Millisecond + jobsWatchGap
	// undeliveredLimit is how long the kind is listed for a job that neither the watch nor the listings
	// deliver.
	undeliveredLimit = 5 * time.Second
)

// noteStored records that the object service has stored a job that this home may not have received yet.
func (h *Home) noteStored(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, noted := h.undelivered[id]; !noted && !h.exists(id) {
		h.undelivered[id] = h.opts.Now()
	}
}

// verifyJobs returns watchLag as the listing interval while the watch is late with a stored job, and 0
// otherwise.
func (h *Home) verifyJobs() time.Duration {
	now := h.opts.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	late := false
	for id, since := range h.undelivered {
		age := now.Sub(since)
		if age > undeliveredLimit || h.exists(id) {
			delete(h.undelivered, id)
			continue
		}
		late = late || age >= watchLag
	}
	if !late {
		return 0
	}
	return watchLag
}

// hasJob reports that a job has been loaded.
func (h *Home) hasJob(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.jobs[id] != nil
}
