package published

import (
	"context"
	"time"

	"mothcart/core/publication"
)

const (
	// maxRefusals bounds the refusals that are not yet recorded; the oldest are dropped and counted.
	maxRefusals = 64
	// refusalInterval is the minimum time between two updates of the root that only record refusals.
	refusalInterval = time.Second
	// refusalTimeout bounds one such update.
	refusalTimeout = 5 * time.Second
)

// recordRefusal adds an audit entry for an apply that was refused or had a conflict. The entry is written by
// a conditional update of its own, at most one per refusalInterval; else it waits for the next update.
func (f *Follower) recordRefusal(ctx context.Context, req *request, result Result) {
	entry := publication.Entry{
		ID: req.id, Operator: req.operator, At: req.now, Outcome: result.Outcome,
		From: result.From, Generation: result.Generation,
	}
	var reasons []string
	for _, p := range result.Problems {
		reasons = append(reasons, p.String())
	}
	for _, c := range result.Conflicts {
		reasons = append(reasons, c.String())
	}
	f.refusalsMu.Lock()
	f.refusals = append(f.refusals, entry.WithReasons(reasons))
	if extra := len(f.refusals) - maxRefusals; extra > 0 {
		f.refusals = f.refusals[extra:]
		f.dropped += extra
	}
	f.refusalsMu.Unlock()
	f.flushLocked(ctx)
}

// pendingRefusals returns the entries that are not yet recorded; the first one carries the number of dropped
// entries.
func (f *Follower) pendingRefusals() []publication.Entry {
	f.refusalsMu.Lock()
	defer f.refusalsMu.Unlock()
	waiting := append([]publication.Entry{}, f.refusals...)
	if len(waiting) > 0 {
		waiting[0].Dropped = f.dropped
	}
	return waiting
}

// removeRecorded removes the entries, which the trail now holds, from the pending ones.
func (f *Follower) removeRecorded(entries []publication.Entry) {
	recorded := map[publication.EntryID]bool{}
	for _, e := range entries {
		recorded[e.ID] = true
	}
	f.refusalsMu.Lock()
	defer f.refusalsMu.Unlock()
	var waiting []publication.Entry
	for _, e := range f.refusals {
		if !recorded[e.ID] {
			waiting = append(waiting, e)
		}
	}
	if len(entries) > 0 {
		f.dropped -= entries[0].Dropped
	}
	f.refusals = waiting
}

// flushRefusals writes the pending refusals, unless an apply is in progress.
func (f *Follower) flushRefusals(ctx context.Context) {
	if len(f.pendingRefusals()) == 0 || !f.applying.tryLock() {
		return
	}
	defer f.applying.unlock()
	f.flushLocked(ctx)
}

// flushLocked writes the pending refusals; the caller holds applying.
func (f *Follower) flushLocked(ctx context.Context) {
	waiting := f.pendingRefusals()
	if len(waiting) == 0 || time.Since(f.flushedAt) < refusalInterval {
		return
	}
	f.flushedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	for range maxAttempts {
		done, err := f.flushOnce(ctx, waiting)
		if err != nil {
			f.log.Warn().Err(err).Int("waiting", len(waiting)).Msg("refusalsNotRecorded")
			return
		}
		if done {
			return
		}
	}
}

// withEntries returns the root with those entries added that it lacks.
func withEntries(root publication.Root, entries []publication.Entry) publication.Root {
	next := root
	for _, e := range entries {
		if _, ok := root.Find(e.ID); !ok {
			next = next.WithEntry(e)
		}
	}
	return next
}

// flushOnce adds the entries to the root; it reports false if another update of the root came first.
func (f *Follower) flushOnce(ctx context.Context, waiting []publication.Entry) (bool, error) {
	root, version, err := f.freshRoot(ctx)
	if err != nil {
		return false, err
	}
	next := withEntries(root, waiting)
	last := waiting[len(waiting)-1].ID
	w := f.newBlockWriter(last)
	next, old, overflowed, err := next.Overflow(w.publication)
	if err != nil {
		return false, err
	}
	if overflowed {
		if err := w.write(ctx, old); err != nil {
			return false, err
		}
	}
	committed, err := f.commit(ctx, update{id: last, base: root, next: next, version: version})
	if err != nil || !committed {
		return false, err
	}
	f.removeRecorded(waiting)
	f.installOwn(ctx, next, w)
	return true, nil
}
