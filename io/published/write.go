package published

import (
	"context"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"mothcart/core/outcome"
	"mothcart/core/publication"
	"mothcart/io/clock"
	"mothcart/io/store"
)

// blockWriter writes the blocks of one apply, over all its attempts.
type blockWriter struct {
	f           *Follower
	publication uint64
	written     map[publication.BlockRef]bool
	// parts holds the encoded blocks of the set that is about to be published, by digest.
	parts map[publication.Digest][]byte
}

func (f *Follower) newBlockWriter(id publication.EntryID) *blockWriter {
	key := fmt.Sprintf("%s %d", id.Writer, id.Sequence)
	return &blockWriter{f: f, publication: xxhash.Sum64String(key), written: map[publication.BlockRef]bool{}}
}

// fromParts is a source of the blocks that this VM has just published. It reads the object service only if one
// of the blocks is missing here, so that this VM can serve the set to peers even if the service fails right
// after the publication.
func (w *blockWriter) fromParts(ctx context.Context, refs []publication.BlockRef) ([][]byte, error) {
	var blocks [][]byte
	for _, ref := range refs {
		data, ok := w.parts[ref.Digest]
		if !ok {
			return w.f.fromStore(ctx, refs)
		}
		blocks = append(blocks, data)
	}
	return blocks, nil
}

// writeMissing writes the blocks that root does not refer to, and the extra blocks.
func (w *blockWriter) writeMissing(
	ctx context.Context, root publication.Root, parts publication.Parts, extra []publication.Part,
) error {
	present := map[publication.Digest]bool{}
	for _, ref := range root.Refs() {
		present[ref.Digest] = true
	}
	missing := extra
	w.parts = map[publication.Digest][]byte{}
	for _, p := range append([]publication.Part{parts.Objects}, parts.Accounts...) {
		w.parts[p.Digest] = p.Data
		if !present[p.Digest] {
			present[p.Digest] = true
			missing = append(missing, p)
		}
	}
	for _, p := range missing {
		if err := w.write(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// write creates a block. The key is unique to the apply, so a block that exists under it is this apply's own.
func (w *blockWriter) write(ctx context.Context, p publication.Part) error {
	ref := publication.BlockRef{Digest: p.Digest, Publication: w.publication}
	if w.written[ref] {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	w.written[ref] = true // until it is known that it isn't, so that it is discarded
	so := outcome.NotDone
	for pause := minResolvePause; ; pause = min(2*pause, maxResolvePause) {
		_, err := w.f.opts.Store.Put(ctx, ref.Key(), p.Data, store.Absent)
		attempt := store.OutcomeOf(err)
		if attempt == outcome.Done || store.Changed(err) {
			return nil
		}
		so = so.With(attempt)
		if so == outcome.NotDone {
			delete(w.written, ref)
		}
		if attempt == outcome.NotDone || clock.Sleep(ctx, pause) != nil {
			return merry.Errorf("write block: %w: %w", ErrUnavailable, err) // a block alone publishes nothing
		}
	}
}
