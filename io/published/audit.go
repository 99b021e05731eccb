package published

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
	"mothcart/core/publication"
)

// Audit returns up to limit entries of the trail, newest first. It reads the object service; while that
// is unreachable it returns the entries of the root in force on this VM, with ErrUnavailable.
func (f *Follower) Audit(ctx context.Context, limit int) ([]publication.Entry, error) {
	root, _, _, err := f.readRoot(ctx)
	if err != nil {
		f.mu.Lock()
		root = f.root
		f.mu.Unlock()
		return newest(nil, root.Entries, limit), merry.Errorf("%w: %w", ErrUnavailable, err)
	}
	trail := newest(nil, root.Entries, limit)
	for older := root.Older; len(trail) < limit && !older.IsZero(); {
		block, err := f.readOldEntries(ctx, older)
		if err != nil {
			return trail, merry.Errorf("%w: %w", ErrUnavailable, err)
		}
		trail = newest(trail, block.Entries, limit)
		older = block.Older
	}
	return trail, nil
}

// newest appends entries to the trail, newest first and each once, up to the limit. A refusal may have been
// recorded twice, if the first write of its entry was not answered.
func newest(trail, entries []publication.Entry, limit int) []publication.Entry {
	for _, e := range slices.Backward(entries) {
		present := slices.ContainsFunc(trail, func(t publication.Entry) bool { return t.ID == e.ID })
		if !present && len(trail) < limit {
			trail = append(trail, e)
		}
	}
	return trail
}

// Changes returns all changes of an audit entry.
func (f *Follower) Changes(ctx context.Context, e publication.Entry) ([]config.Change, error) {
	if e.Details.IsZero() {
		return e.Changes, nil
	}
	o, err := f.opts.Store.Get(ctx, e.Details.Key())
	if err != nil {
		return e.Changes, merry.Errorf("read changes: %w: %w", ErrUnavailable, err)
	}
	return publication.DecodeChanges(e.Details.Digest, o.Value)
}

func (f *Follower) readOldEntries(ctx context.Context, ref publication.BlockRef) (publication.OldEntries, error) {
	o, err := f.opts.Store.Get(ctx, ref.Key())
	if err != nil {
		return publication.OldEntries{}, merry.Errorf("read audit entries: %w", err)
	}
	return publication.DecodeOldEntries(ref.Digest, o.Value)
}
