package home

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/plainjson"
	"mothcart/io/object"
	"mothcart/io/store"
)

// listedInterval is the least time between two writes of the listed jobs. What the last home did not write costs
// the next one a read of results for each job.
const listedInterval = 2 * time.Second

// listedJobs names the jobs all of whose items have results, so that the next home need not read these. They share
// one object: a mark on each job would cost a call and an event each. The object is a hint: a job that it lacks is
// read, and a job that it names has all its results in the object service.
type listedJobs struct {
	mu  sync.Mutex
	ids map[string]listedJob
	// inFlight are the jobs that the last write names.
	inFlight []string
	// changed reports that ids has jobs that are not written; writing that a write is in progress.
	changed, writing bool
	writtenAt        time.Time
}

// listedJob is a job all of whose items have results.
type listedJob struct {
	// created is the revision at which the job was created, stored reports that the object names the job.
	created object.Revision
	stored  bool
}

// listedRecord is the content of the object.
type listedRecord struct {
	Jobs []string `json:"jobs"`
	// Created holds the revisions at which the jobs were created, in their order; empty if a home of an earlier release wrote it.
	Created []object.Revision `json:"created,omitempty"`
}

func newListedJobs() *listedJobs { return &listedJobs{ids: make(map[string]listedJob)} }

func (l *listedJobs) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.ids[id]
	return ok
}

func (l *listedJobs) add(id string, created object.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, ok := l.ids[id]; !ok || current.created != created {
		l.ids[id], l.changed = listedJob{created: created}, true
	}
}

// isStored reports that the object names a job.
func (l *listedJobs) isStored(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ids[id].stored
}

// remove forgets a job; the object must not name a later one with its ID.
func (l *listedJobs) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.ids[id]; ok {
		delete(l.ids, id)
		l.changed = true
	}
}

// keep forgets the jobs that no longer exist.
func (l *listedJobs) keep(exists func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := len(l.ids)
	maps.DeleteFunc(l.ids, func(id string, _ listedJob) bool { return !exists(id) })
	l.changed = l.changed || len(l.ids) < before
}

// load reads the object and keeps the jobs that exist, whose creations are created.
func (l *listedJobs) load(ctx context.Context, c object.Client, created map[string]object.Revision) error {
	o, err := c.Get(ctx, KindListed, mainName)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return merry.Errorf("read listed jobs: %w", err)
	}
	var r listedRecord
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return merry.Errorf("decode listed jobs: %w: %w", errUnreadable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, id := range r.Jobs {
		job := listedJob{stored: true}
		if i < len(r.Created) {
			job.created = r.Created[i]
		}
		if of, exists := created[id]; exists && of == job.created {
			l.ids[id] = job
		}
	}
	return nil
}

// due returns the content to write, of at most limit bytes of JSON, how many jobs it has no room for, and true, if there is news and
// the last write is long enough ago. The oldest jobs go first: these are removed next, which makes room for the others.
func (l *listedJobs) due(now time.Time, limit int) (r listedRecord, leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.changed || l.writing || now.Sub(l.writtenAt) < listedInterval {
		return listedRecord{}, 0, false
	}
	l.changed, l.writing, l.writtenAt = false, true, now
	all := listedRecord{Jobs: slices.SortedFunc(maps.Keys(l.ids), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.ids[a].created, l.ids[b].created), cmp.Compare(a, b))
	})}
	for _, id := range all.Jobs {
		all.Created = append(all.Created, l.ids[id].created)
	}
	r = all.within(limit)
	l.inFlight = r.Jobs
	return r, len(all.Jobs) - len(r.Jobs), true
}

// within returns the record with as many of its first jobs as fit into limit bytes of JSON.
func (r listedRecord) within(limit int) listedRecord {
	first := func(n int) listedRecord { return listedRecord{Jobs: r.Jobs[:n], Created: r.Created[:n]} }
	if plainjson.Size(r) <= limit {
		return r
	}
	n := sort.Search(len(r.Jobs), func(n int) bool { return plainjson.Size(first(n+1)) > limit })
	return first(n)
}

// written records the end of a write; after a failure the jobs are written again.
func (l *listedJobs) written(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = false
	l.changed = l.changed || err != nil
	for _, id := range l.inFlight {
		if job, ok := l.ids[id]; ok && err == nil {
			job.stored = true
			l.ids[id] = job
		}
	}
}

// writeListed writes the listed jobs if that is due.
func (h *Home) writeListed(now time.Time) {
	limit := h.opts.Objects.SpecBytes()
	r, leftOut, ok := h.listed.due(now, limit)
	if !ok {
		return
	}
	if leftOut > 0 {
		h.opts.Log.Warn().Int("jobs", len(r.Jobs)).Int("leftOut", leftOut).Int("limit", limit).Msg("listedJobsLeftOut")
	}
	h.done.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, writeTimeout)
		defer cancel()
		_, err := h.opts.Objects.Put(ctx, KindListed, mainName, r, 0)
		if errors.Is(err, store.ErrNotFound) {
			_, err = h.opts.Objects.Create(ctx, KindListed, mainName, r)
		}
		if err != nil {
			h.opts.Log.Warn().Int("jobs", len(r.Jobs)).Err(err).Msg("listedJobsNotWritten")
		}
		h.listed.written(err)
	})
}

// loadListed reads which of the jobs that exist have all their results. An object that can't be read counts as empty.
func (h *Home) loadListed() error {
	ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
	defer cancel()
	h.mu.Lock()
	created := make(map[string]object.Revision, len(h.loading)+len(h.jobs))
	for id, l := range h.loading {
		created[id] = l.o.Created
	}
	for id, j := range h.jobs {
		created[id] = j.created
	}
	h.mu.Unlock()
	err := h.listed.load(ctx, h.opts.Objects, created)
	if errors.Is(err, errUnreadable) {
		h.opts.Log.Error().Err(err).Msg("listedJobsNotRead") // the results of these jobs are read instead
		return nil
	}
	return err
}
