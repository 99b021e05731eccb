package published

import (
	"context"
	"time"

	"mothcart/core/publication"
)

// cleanupTimeout bounds the deletions after one apply.
const cleanupTimeout = 30 * time.Second

// discard deletes the blocks of an apply that root doesn't refer to.
func (f *Follower) discard(w *blockWriter, root publication.Root) {
	referenced := map[publication.BlockRef]bool{root.Older: true}
	for _, ref := range root.Refs() {
		referenced[ref] = true
	}
	for _, e := range root.Entries {
		referenced[e.Details] = true
	}
	var refs []publication.BlockRef
	for ref := range w.written {
		if !referenced[ref] {
			refs = append(refs, ref)
		}
	}
	f.deleteBlocks(refs)
}

// deleteUnused deletes the blocks that root, the one just replaced, no longer referred to. Readers of the
// root before it have had the time of one generation to read them.
func (f *Follower) deleteUnused(root publication.Root) {
	f.deleteBlocks(root.Unused)
}

// deleteBlocks deletes blocks in the background, best effort. A block that remains costs only space.
func (f *Follower) deleteBlocks(refs []publication.BlockRef) {
	if len(refs) == 0 {
		return
	}
	f.run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		for _, ref := range refs {
			listed, err := f.opts.Store.List(ctx, ref.Key(), "", 1)
			if err != nil || len(listed) == 0 {
				continue
			}
			if err := f.opts.Store.Delete(ctx, ref.Key(), listed[0].Version); err != nil {
				f.log.Debug().Err(err).Msg("blockNotRemoved")
			}
		}
	})
}
