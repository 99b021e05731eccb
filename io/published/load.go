package published

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"mothcart/core/config"
	"mothcart/core/publication"
	"mothcart/io/clock"
	"mothcart/io/store"
)

const (
	// storeReaders bounds the concurrent reads of blocks from the object service.
	storeReaders = 4
	// maxStoreBlocks is the number of blocks above which peers are asked before the object service,
	// so that a restart of many VMs does not exhaust the service's read rate.
	maxStoreBlocks = 8
	// peerWait bounds the time that a starting VM waits until it sees a peer.
	peerWait = 500 * time.Millisecond
	// peerPollInterval is the polling interval of that wait.
	peerPollInterval = 25 * time.Millisecond
	// sourcePeers is the number of peers that are asked before the object service.
	sourcePeers = 8
)

// ErrStale means that a read returned a root older than the one in force.
var ErrStale = merry.Sentinel("stale read of the configuration")

// source returns the blocks of refs, in their order. It may return fewer blocks than refs; a nil element is a
// block that the source lacks.
type source func(ctx context.Context, refs []publication.BlockRef) ([][]byte, error)

// readRoot reads the root from the object service; if there is none, it returns the zero root.
func (f *Follower) readRoot(ctx context.Context) (publication.Root, []byte, store.Version, error) {
	o, err := f.opts.Store.Get(ctx, publication.RootKey)
	if errors.Is(err, store.ErrNotFound) {
		return publication.Root{}, nil, store.Absent, nil
	}
	if err != nil {
		return publication.Root{}, nil, 0, merry.Errorf("read root: %w", err)
	}
	root, err := publication.DecodeRoot(o.Value)
	return root, o.Value, o.Version, err
}

// adopt installs the root in data with its blocks, if it is newer than the one in force. It
// returns ErrStale for an older one.
func (f *Follower) adopt(ctx context.Context, data []byte, from source) error {
	root, err := publication.DecodeRoot(data)
	if err != nil {
		return err
	}
	if err := f.loading.lock(ctx); err != nil {
		return merry.Errorf("wait for another load: %w", err)
	}
	defer f.loading.unlock()
	at := f.announcement()
	switch {
	case root.Revision < at.Revision:
		return merry.Errorf("revision %d is before %d: %w", root.Revision, at.Revision, ErrStale)
	case root.Revision == at.Revision:
		return nil
	}
	var snapshot *config.Snapshot
	if root.Generation > at.Generation {
		set, err := f.load(ctx, root, from)
		if err != nil {
			return merry.Errorf("load generation %d: %w", root.Generation, err)
		}
		snapshot = config.NewSnapshot(root.Generation, set)
	}
	if f.install(root, data, snapshot) {
		f.push()
	}
	return nil
}

// loadExclusive calls load while it holds loading, which excludes other loads.
func (f *Follower) loadExclusive(ctx context.Context, root publication.Root) (config.Set, error) {
	if err := f.loading.lock(ctx); err != nil {
		return config.Set{}, merry.Errorf("wait for another load: %w", err)
	}
	defer f.loading.unlock()
	return f.load(ctx, root, f.fromAnywhere)
}

// load returns the set of the root; blocks that this VM lacks come from the source.
func (f *Follower) load(ctx context.Context, root publication.Root, from source) (config.Set, error) {
	if root.Generation == 0 {
		return config.Set{}, nil
	}
	var wanted []publication.BlockRef
	f.mu.Lock()
	for _, ref := range root.Refs() {
		if f.blocks[ref.Digest] == nil {
			wanted = append(wanted, ref)
		}
	}
	f.mu.Unlock()
	for len(wanted) > 0 {
		got, err := from(ctx, wanted)
		if err != nil {
			return config.Set{}, err
		}
		if len(got) == 0 || len(got) > len(wanted) {
			return config.Set{}, merry.Errorf("%d blocks for %d: %w", len(got), len(wanted), publication.ErrCorrupt)
		}
		for i, data := range got {
			if err := f.cacheBlock(root, wanted[i].Digest, data); err != nil {
				return config.Set{}, err
			}
		}
		wanted = wanted[len(got):]
	}
	return f.join(root)
}

// cacheBlock decodes a block and stores it in memory.
func (f *Follower) cacheBlock(root publication.Root, digest publication.Digest, data []byte) error {
	if data == nil {
		return merry.Errorf("block %s: %w", digest, store.ErrNotFound)
	}
	b := &block{data: data}
	var err error
	if digest == root.Objects.Digest {
		b.objects, err = publication.DecodeObjects(digest, data)
	} else {
		b.accounts, err = publication.DecodeAccounts(digest, data)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocks[digest] = b
	return nil
}

// join builds the set of the root from the blocks in memory.
func (f *Follower) join(root publication.Root) (config.Set, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	objects := f.blocks[root.Objects.Digest]
	if objects == nil {
		return config.Set{}, merry.Errorf("objects of generation %d: %w", root.Generation, store.ErrNotFound)
	}
	shards := make([][]config.Account, 0, len(root.Accounts))
	for _, ref := range root.Accounts {
		b := f.blocks[ref.Digest]
		if b == nil {
			return config.Set{}, merry.Errorf("accounts of generation %d: %w", root.Generation, store.ErrNotFound)
		}
		shards = append(shards, b.accounts)
	}
	return publication.Join(objects.objects, shards), nil
}

// shards returns the account blocks of the root, or nil if one is not in memory.
func (f *Follower) shards(root publication.Root) []publication.Shard {
	f.mu.Lock()
	defer f.mu.Unlock()
	var shards []publication.Shard
	for _, ref := range root.Accounts {
		b := f.blocks[ref.Digest]
		if b == nil {
			return nil
		}
		part := publication.Part{Digest: ref.Digest, Data: b.data}
		shards = append(shards, publication.Shard{Part: part, Accounts: b.accounts})
	}
	return shards
}

// fromStore reads blocks from the object service.
func (f *Follower) fromStore(ctx context.Context, refs []publication.BlockRef) ([][]byte, error) {
	blocks := make([][]byte, len(refs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(storeReaders)
	for i, ref := range refs {
		g.Go(func() error {
			o, err := f.opts.Store.Get(ctx, ref.Key())
			if err != nil {
				return merry.Errorf("read block: %w", err)
			}
			blocks[i] = o.Value
			return nil
		})
	}
	return blocks, g.Wait()
}

// fromPeer returns a source that asks the VM for blocks.
func (f *Follower) fromPeer(id string) source {
	return func(ctx context.Context, refs []publication.BlockRef) ([][]byte, error) {
		digests := make([]publication.Digest, 0, len(refs))
		for _, ref := range refs {
			digests = append(digests, ref.Digest)
		}
		blocks, err := f.opts.Peers.FetchBlocks(ctx, id, digests)
		if err != nil {
			return nil, merry.Errorf("fetch blocks from %s: %w", id, err)
		}
		return blocks, nil
	}
}

// fromPeerFirst returns a source that asks the VM id first, and other sources for blocks that it lacks.
func (f *Follower) fromPeerFirst(id string) source {
	peer := f.fromPeer(id)
	return func(ctx context.Context, refs []publication.BlockRef) ([][]byte, error) {
		blocks, err := peer(ctx, refs)
		if err == nil && len(blocks) > 0 && blocks[0] != nil {
			return blocks[:prefixLength(blocks)], nil
		}
		return f.fromAnywhere(ctx, refs)
	}
}

// fromAnywhere reads up to maxStoreBlocks blocks from the object service. It asks peers first if there are
// more, or if this VM has no set yet.
func (f *Follower) fromAnywhere(ctx context.Context, refs []publication.BlockRef) ([][]byte, error) {
	var peers []string
	switch {
	case len(refs) > maxStoreBlocks:
		peers = f.awaitPeers(ctx)
	case f.announcement().Generation == 0:
		peers = f.others(sourcePeers)
	}
	for _, id := range peers {
		blocks, err := f.fromPeer(id)(ctx, refs)
		if n := prefixLength(blocks); err == nil && n > 0 {
			return blocks[:n], nil
		}
	}
	return f.fromStore(ctx, refs)
}

// awaitPeers returns a few peers; a VM that has just started waits up to peerWait until it sees one.
func (f *Follower) awaitPeers(ctx context.Context) []string {
	for f.opts.Peers.IDs != nil && time.Since(f.start) < peerWait {
		if len(f.ids()) > 1 || clock.Sleep(ctx, peerPollInterval) != nil {
			break
		}
	}
	return f.others(sourcePeers)
}

// prefixLength returns the number of blocks before the first missing block.
func prefixLength(blocks [][]byte) int {
	for i, b := range blocks {
		if b == nil {
			return i
		}
	}
	return len(blocks)
}
