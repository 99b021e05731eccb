package published

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/publication"
	"mothcart/io/clock"
)

const (
	// maxFetchBytes bounds the total size of the blocks in one answer to a peer, unless one block is larger.
	maxFetchBytes = 256 << 10
	// maxFetchDigests bounds the digests of one call that are answered; the rest are ignored.
	maxFetchDigests = 512
	// startPeers is the number of peers that a starting VM asks for their root.
	startPeers = 3
	// askAfterIntervals is the number of gossip intervals without confirmation after which a VM
	// asks a peer.
	askAfterIntervals = 2
)

func (f *Follower) handlers() Handlers {
	return Handlers{Announce: f.onAnnounce, Query: f.announcement, FetchRoot: f.onFetchRoot, FetchBlocks: f.onFetchBlocks}
}

// onAnnounce handles a peer's announcement: a higher revision is fetched, a lower one is answered with this
// VM's announcement.
func (f *Follower) onAnnounce(from string, a Announcement) {
	own := f.announcement()
	switch {
	case a.Revision > own.Revision:
		f.hint(hint{from: from, revision: a.Revision})
	case a.Revision < own.Revision:
		f.confirmByPeer()
		_ = f.opts.Peers.Announce(from, own)
	default:
		f.confirmByPeer()
	}
}

// hint passes a hint to the fetch loop; of several unread hints the one with the highest revision is kept.
func (f *Follower) hint(h hint) {
	for {
		select {
		case f.hints <- h:
			return
		default:
		}
		select {
		case waiting := <-f.hints:
			if waiting.revision > h.revision {
				h = waiting
			}
		default:
		}
	}
}

func (f *Follower) onFetchRoot() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rootData
}

func (f *Follower) onFetchBlocks(digests []publication.Digest) [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var blocks [][]byte
	size := 0
	for _, digest := range digests[:min(len(digests), maxFetchDigests)] {
		var data []byte
		if b := f.blocks[digest]; b != nil {
			data = b.data
		}
		size += len(data)
		if len(blocks) > 0 && size > maxFetchBytes {
			break
		}
		blocks = append(blocks, data)
	}
	return blocks
}

// fetchLoop fetches the roots that peers announced. A random delay spreads the load when all VMs
// learn of a new generation at the same time.
func (f *Follower) fetchLoop(ctx context.Context) {
	f.askAtStart(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.hints:
			if h.revision <= f.announcement().Revision {
				continue
			}
			_ = clock.Sleep(ctx, f.random.duration(f.opts.FetchJitter))
			if err := f.fetchFrom(ctx, h.from); err != nil {
				f.log.Debug().Err(err).Str("peer", h.from).Msg("configurationNotFetched")
			}
		}
	}
}

// askAtStart fetches the root of a few peers when the VM starts.
func (f *Follower) askAtStart(ctx context.Context) {
	for _, id := range f.others(startPeers) {
		if err := f.fetchFrom(ctx, id); err != nil {
			f.log.Debug().Err(err).Str("peer", id).Msg("peerConfigurationMissing")
		}
	}
}

func (f *Follower) fetchFrom(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	data, err := f.opts.Peers.FetchRoot(ctx, id)
	if err != nil {
		return merry.Errorf("fetch root from %s: %w", id, err)
	}
	if len(data) == 0 {
		return nil
	}
	if err := f.adopt(ctx, data, f.fromPeerFirst(id)); err != nil {
		return err
	}
	f.confirmByPeer()
	return nil
}

// push announces the root in force to several peers, which push it to others in turn.
func (f *Follower) push() {
	if f.opts.Peers.Announce == nil {
		return
	}
	a := f.announcement()
	for _, id := range f.others(f.opts.Fanout) {
		_ = f.opts.Peers.Announce(id, a)
	}
}

// gossipLoop announces the root to a random peer at intervals, which makes up for lost pushes, and
// writes the refusals that could not be recorded at once.
func (f *Follower) gossipLoop(ctx context.Context) {
	for {
		jitter := f.random.duration(f.opts.GossipInterval / 2)
		if clock.Sleep(ctx, f.opts.GossipInterval*3/4+jitter) != nil {
			return
		}
		for _, id := range f.others(1) {
			f.exchange(ctx, id)
		}
		f.flushRefusals(ctx)
	}
}

// exchange announces the root to the peer. A VM whose generation was not confirmed for askAfterIntervals
// queries the peer instead.
func (f *Follower) exchange(ctx context.Context, id string) {
	own := f.announcement()
	if f.Confirmed(time.Now()) < askAfterIntervals*f.opts.GossipInterval {
		_ = f.opts.Peers.Announce(id, own)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	a, err := f.opts.Peers.Query(ctx, id)
	switch {
	case err != nil:
	case a.Revision > own.Revision:
		f.hint(hint{from: id, revision: a.Revision})
	default:
		f.confirmByPeer()
	}
}
