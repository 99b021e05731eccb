package home

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/tombstone"
	"mothcart/io/clock"
	"mothcart/io/object"
	"mothcart/io/scrape"
	"mothcart/io/store"
)

// End says which node acknowledged the end of a job, and when.
type End struct {
	// At is when the node began to write the end, by its wall clock; zero if a node of an earlier release wrote it.
	At time.Time `json:"endedAt,omitzero" msgpack:"at,omitempty"`
	// By is the ID of the node's VM.
	By string `json:"endedBy,omitempty" msgpack:"by,omitempty"`
	// Revision is that of the job's object with the end, Created the one at which it was created; 0 if the node doesn't know
	// them.
	Revision object.Revision `json:"-" msgpack:"rev,omitempty"`
	Created  object.Revision `json:"-" msgpack:"born,omitempty"`
}

// endWay is how a home learns of the end of a job.
type endWay string

const (
	byNotice  endWay = "notice"
	byWrite   endWay = "write"
	byWatch   endWay = "watch"
	byListing endWay = "listing"
)

type endMetrics struct {
	// learnt is the time from the write of an end until the home learns of it, lastItem that until the last item of the job
	// begins.
	learnt, lastItem *scrape.Histogram
	// itemsAfter counts items that began at this home after the end of their job was written.
	itemsAfter metrics.Counter
}

func newEndMetrics(r metrics.Registry) endMetrics {
	return endMetrics{
		learnt: scrape.GetOrRegisterHistogram("home.endLearnt", r), lastItem: scrape.GetOrRegisterHistogram("home.lastItemAfterEnd", r),
		itemsAfter: metrics.GetOrRegisterCounter("home.itemsAfterEnd", r),
	}
}

// endJob records that a job was ended and cancels its runs. An end that comes before the job is kept for it; one that may be
// that of another job with the same ID makes the home read the object.
func (h *Home) endJob(id string, end End, way endWay) {
	h.mu.Lock()
	j, l := h.jobs[id], h.loading[id]
	created, known := h.createdAt(id)
	var open, running, after int
	var last time.Duration
	event := "jobEnded"
	later := end.Created > created && created > 0
	switch {
	case j != nil && j.log.Ended() && !later:
		h.mu.Unlock()
		return
	case !known, later:
		event = "endOfJobNotHeld"
		h.tombstones.Add(h.opts.Now(), id, tombstone.Tombstone{Kind: tombstone.Ended, Revision: int64(end.Revision)})
	case j == nil && l == nil && way != byNotice:
		h.mu.Unlock()
		return // each listing shows the end again
	case j == nil && l == nil, end.Created < created && end.Created > 0:
		event = "endOfJobNotHeld"
	case end.Revision == 0 && way == byNotice && (j == nil || h.opts.Now().Sub(j.acceptedAt) < lateNotice):
		event = "endToConfirm"
		h.done.Go(func() { h.confirmEnd(id) })
	case j != nil:
		open = len(j.log.Open())
		after, last = j.itemsAfter(end)
		j.setLog(j.log.WithEnded())
		j.finished = nil
		running = j.cancelRuns()
	default:
		h.settleLoading(l)
	}
	h.mu.Unlock()
	if event == "jobEnded" {
		h.countEnd(end, after, last)
	}
	h.opts.Log.Info().Str("job", id).Int64("term", h.opts.Term).Str("way", string(way)).Str("endedBy", end.By).Time("endedAt", end.At).Int64("revision", int64(end.Revision)).
		Bool("loaded", j != nil).Int("open", open).Int("running", running).Int("itemsAfter", after).Dur("lastItemMillis", last).Msg(event)
}

// createdAt returns the revision at which the job was created that the home knows; false if it knows none. The mutex is held.
func (h *Home) createdAt(id string) (object.Revision, bool) {
	if j := h.jobs[id]; j != nil {
		return j.created, true
	}
	if l := h.loading[id]; l != nil {
		return l.o.Created, true
	}
	u, ok := h.unloaded[id]
	return u.created, ok
}

// confirmEnd reads a job of which a node of an earlier release says that it was ended. The watch tells of it as well, so
// that no attempt is made after confirmTries.
func (h *Home) confirmEnd(id string) {
	for range confirmTries {
		ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
		o, err := h.opts.Objects.Get(ctx, KindJobs, id)
		cancel()
		if err == nil {
			h.applyJob(o, byNotice)
		}
		if err == nil || errors.Is(err, store.ErrNotFound) || clock.Sleep(h.ctx, retryPause) != nil {
			return
		}
	}
}

// lateNotice is how long after a job was accepted a notice may be that of an earlier job with its ID.
const lateNotice = 5 * time.Second

// confirmTries is the number of attempts to read a job of which a node says that it was ended.
const confirmTries = 10

// countEnd counts an end that the home has learnt of.
func (h *Home) countEnd(end End, after int, last time.Duration) {
	if end.At.IsZero() {
		return
	}
	h.metrics.ends.learnt.Observe(max(h.opts.TimeOfDay().Sub(end.At), 0))
	h.metrics.ends.lastItem.Observe(last)
	h.metrics.ends.itemsAfter.Inc(int64(after))
}

// itemsAfter returns the number of items whose last attempt began after an end was written, and how long after it the last
// one did; the home's mutex is held.
func (j *job) itemsAfter(end End) (int, time.Duration) {
	if end.At.IsZero() {
		return 0, 0
	}
	n, last := 0, time.Duration(0)
	for _, r := range j.runs {
		if d := r.startedAt.Sub(end.At); d > 0 {
			n, last = n+1, max(last, d)
		}
	}
	return n, last
}
