package published

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
	"mothcart/core/outcome"
	"mothcart/core/publication"
	"mothcart/io/clock"
	"mothcart/io/store"
)

const (
	// resolveTimeout bounds the time to find out the outcome of an update whose answer was lost.
	resolveTimeout = 10 * time.Second
	// minResolvePause and maxResolvePause bound the pause between two attempts to do so.
	minResolvePause = 20 * time.Millisecond
	maxResolvePause = time.Second
)

// update is one conditional update of the root.
type update struct {
	// id is the audit entry whose presence in the trail shows that the update took effect.
	id publication.EntryID
	// base is the root that was read, with its version; next replaces it.
	base, next publication.Root
	version    store.Version
}

// prepare writes the blocks of the candidate and returns the root that publishes it.
func (f *Follower) prepare(
	ctx context.Context, req *request, w *blockWriter, root publication.Root, candidate config.Set, result Result,
) (publication.Root, error) {
	parts, err := publication.Split(candidate, f.shards(root))
	if err != nil {
		return root, err
	}
	entry := publication.Entry{
		ID: req.id, Operator: req.operator, At: req.now, Outcome: publication.OutcomeAccepted,
		From: req.from, Rebased: result.Rebased,
	}
	entry, details, err := entry.WithChanges(result.Changes, w.publication)
	if err != nil {
		return root, err
	}
	next := root.WithPublished(parts, w.publication, entry)
	next, old, overflowed, err := next.Overflow(w.publication)
	if err != nil {
		return root, err
	}
	if overflowed {
		details = append(details, old)
	}
	if err := w.writeMissing(ctx, root, parts, details); err != nil {
		return root, err
	}
	return next, nil
}

// commit updates the root. It reports false if another update came first. If the answer is lost, it finds
// out the outcome by looking for the update's entry.
func (f *Follower) commit(ctx context.Context, u update) (bool, error) {
	data, err := u.next.Encode()
	if err != nil {
		return false, err
	}
	_, err = f.opts.Store.Put(ctx, publication.RootKey, data, u.version)
	switch store.OutcomeOf(err) {
	case outcome.Done:
		return true, nil
	case outcome.NotDone:
		if store.Changed(err) {
			return false, nil
		}
		return false, merry.Errorf("update root: %w: %w", ErrUnavailable, err)
	default:
		return f.resolve(ctx, u, data)
	}
}

// resolve finds out whether an update whose answer was lost took effect. While the root still has the version
// of the base, the same update is sent again: at most one of the two can take effect.
func (f *Follower) resolve(ctx context.Context, u update, data []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for pause := minResolvePause; ; pause = min(2*pause, maxResolvePause) {
		root, _, at, err := f.readRoot(ctx)
		switch {
		case err != nil || at < u.version:
		case at == u.version:
			if _, err := f.opts.Store.Put(ctx, publication.RootKey, data, u.version); err == nil {
				return true, nil
			}
		default:
			found, err := f.findEntry(ctx, root, u)
			if err == nil {
				return found, nil
			}
		}
		if clock.Sleep(ctx, pause) != nil {
			return false, merry.Errorf("entry %s %d: %w", u.id.Writer, u.id.Sequence, ErrOutcomeUnknown)
		}
	}
}

// findEntry looks for the update's entry in the trail of root, back to the latest entry of its base.
func (f *Follower) findEntry(ctx context.Context, root publication.Root, u update) (bool, error) {
	var last publication.EntryID
	if n := len(u.base.Entries); n > 0 {
		last = u.base.Entries[n-1].ID
	}
	entries, older := root.Entries, root.Older
	for {
		for i := len(entries) - 1; i >= 0; i-- {
			if entries[i].ID == u.id {
				return true, nil
			}
			if entries[i].ID == last {
				return false, nil
			}
		}
		if older.IsZero() {
			return false, nil
		}
		block, err := f.readOldEntries(ctx, older)
		if err != nil {
			return false, err
		}
		entries, older = block.Entries, block.Older
	}
}

// installOwn installs the root that this VM has published, without reading it back.
func (f *Follower) installOwn(ctx context.Context, next publication.Root, w *blockWriter) {
	data, err := next.Encode()
	if err != nil {
		return
	}
	if err := f.adopt(ctx, data, w.fromParts); err != nil && !errors.Is(err, ErrStale) {
		f.log.Warn().Err(err).Uint64("generation", next.Generation).Msg("configurationNotYetInForce")
	}
}
