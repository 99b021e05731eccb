package published

import (
	"context"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/publication"
)

// cacheFile is the name of the copy in the data folder.
const cacheFile = "configuration"

// cached is the content of the copy.
type cached struct {
	Root   []byte   `msgpack:"r"`
	Blocks [][]byte `msgpack:"b"`
}

// loadCache installs the copy of the data folder. A copy that can't be read is left aside.
func (f *Follower) loadCache() {
	if f.opts.DataDir == "" {
		return
	}
	data, err := os.ReadFile(filepath.Join(f.opts.DataDir, cacheFile))
	if os.IsNotExist(err) {
		return
	}
	if err == nil {
		err = f.installCached(data)
	}
	if err != nil {
		f.log.Warn().Err(err).Msg("configurationCopyUnreadable")
	}
}

func (f *Follower) installCached(data []byte) error {
	body, err := publication.Unseal(data)
	if err != nil {
		return merry.Errorf("copy: %w", err)
	}
	var c cached
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return merry.Errorf("decode copy: %w", err)
	}
	fromCopy := func(_ context.Context, refs []publication.BlockRef) ([][]byte, error) {
		return c.Blocks[:min(len(c.Blocks), len(refs))], nil
	}
	return f.adopt(f.ctx, c.Root, fromCopy)
}

// saveLoop writes the copy after each change, and at the end if one is due.
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
	if err := f.writeCache(); err != nil {
		f.log.Warn().Err(err).Msg("configurationCopyNotWritten")
	}
}

func (f *Follower) writeCache() error {
	data, err := msgpack.Marshal(f.copyForCache())
	if err != nil {
		return merry.Errorf("encode copy: %w", err)
	}
	temporary, err := os.CreateTemp(f.opts.DataDir, cacheFile+"-*")
	if err != nil {
		return merry.Errorf("create copy: %w", err)
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(publication.Seal(data))
	if err == nil {
		err = temporary.Sync()
	}
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return merry.Errorf("write copy: %w", err)
	}
	if err := os.Rename(temporary.Name(), filepath.Join(f.opts.DataDir, cacheFile)); err != nil {
		return merry.Errorf("replace copy: %w", err)
	}
	return nil
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
