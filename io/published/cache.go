package published

import (
	"context"

	"mothcart/core/publication"
	"mothcart/io/disk"
)

// cacheFile is the name of the copy in the data folder.
const cacheFile = "configuration"

// cached is the content of the copy of the published set in the data folder.
type cached struct {
	Root   []byte   `msgpack:"r"`
	Blocks [][]byte `msgpack:"b"`
}

// loadCache installs the copy in the data folder. A copy that can't be read is ignored and logged.
func (f *Follower) loadCache() {
	var c cached
	found, err := disk.Load(f.opts.DataDir, cacheFile, &c)
	if found {
		fromCopy := func(_ context.Context, refs []publication.BlockRef) ([][]byte, error) {
			return c.Blocks[:min(len(c.Blocks), len(refs))], nil
		}
		err = f.adopt(f.ctx, c.Root, fromCopy)
	}
	if err != nil {
		f.log.Warn().Err(err).Msg("configurationCopyUnreadable")
	}
}

// saveLoop writes the copy after each change, and when ctx ends, if a change is not yet written.
func (f *Follower) saveLoop(ctx context.Context) {
	for {
		select {
		case <-f.save:
			f.saveCache()
		case <-ctx.Done():
			select {
			case <-f.save:
				f.saveCache()
			default:
			}
			return
		}
	}
}

func (f *Follower) saveCache() {
	if f.opts.DataDir == "" {
		return
	}
	if err := disk.Save(f.opts.DataDir, cacheFile, f.copyForCache()); err != nil {
		f.log.Warn().Err(err).Msg("configurationCopyNotWritten")
	}
}

// copyForCache returns the root with its blocks in the order of its references.
func (f *Follower) copyForCache() cached {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := cached{Root: f.rootData}
	for _, ref := range f.root.Refs() {
		if b := f.blocks[ref.Digest]; b != nil {
			c.Blocks = append(c.Blocks, b.data)
		}
	}
	return c
}
