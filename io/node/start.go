package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mothcart/io/clock"
	"mothcart/io/home"
	"mothcart/io/object"
)

const (
	// startGrace is how long a starting node waits for the object service before it gets the site state
	// elsewhere: the time of a listing by a slow object service.
	startGrace = 300 * time.Millisecond
	// minFetchPause and maxFetchPause bound the pause between two rounds of fetches from home nodes.
	minFetchPause = 100 * time.Millisecond
	maxFetchPause = time.Second
)

// homeWait is how long a starting node waits for the home that it expects to send it the site state. A site that
// starts as a whole has a home within a few hundred milliseconds.
const homeWait = time.Second

// connectGrace is how long a starting node waits for a connection to the announced home, which takes some round
// trips: the VM of that home may be down as well.
const connectGrace = 20 * time.Millisecond

// startWait is the time after the start in which a node doesn't follow the configuration and the upstreams at
// the object service, since a home may be about to send them: hundreds of nodes may start together. It ends when
// the home can't be reached, when the object service fails, and when the node becomes the home.
type startWait struct {
	// answered reports that the object service has told which home is announced, if any; hadHome that one was
	// announced already, so that the site doesn't start as a whole for the first time.
	answered, hadHome atomic.Bool
	once              sync.Once
	ended             chan struct{}
}

func newStartWait() *startWait { return &startWait{ended: make(chan struct{})} }

func (s *startWait) end() { s.once.Do(func() { close(s.ended) }) }

// awaitStart waits for the end of startWait: for homeWait if the site has no home yet, for startGrace if the object
// service doesn't answer, and for connectGrace if the announced home doesn't.
func (b *base) awaitStart(ctx context.Context) {
	startedAt := b.opts.Now()
	t := time.NewTicker(connectGrace)
	defer t.Stop()
	for wasAnswered := false; ; {
		select {
		case <-b.startWait.ended:
			return
		case <-ctx.Done():
			return
		case <-t.C:
		}
		age, answered := b.opts.Now().Sub(startedAt), b.startWait.answered.Load()
		dark := wasAnswered && b.startWait.hadHome.Load() && !b.client.Connected()
		if age >= homeWait || dark || (!answered && age >= startGrace) {
			return
		}
		wasAnswered = answered
	}
}

// followAfterStart starts to follow the configuration and the upstreams once the node's startWait is over. Until the
// object service or a home provides them, the node then loads the site state from its own disk and from home
// nodes. The loaded state may be stale; newer state replaces it.
func (b *base) followAfterStart(follow func()) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancelStart = cancel
	b.startFetch.Go(func() {
		b.awaitStart(ctx)
		follow()
		if clock.Sleep(ctx, startGrace) != nil || b.receivesChanges() {
			return
		}
		b.applyState("disk", load[home.SiteState](b.opts.Settings.DataDir, siteStateFile, b.opts.Log))
		for pause := minFetchPause; !b.receivesChanges(); pause = min(2*pause, maxFetchPause) {
			for _, address := range b.opts.homeNodes() {
				b.fetchFrom(ctx, address)
			}
			if clock.Sleep(ctx, pause) != nil {
				return
			}
		}
	})
}

// receivesChanges reports that this node gets the site state from the object service or a connected home.
func (b *base) receivesChanges() bool { return b.objectsReceived.Load() || b.client.Connected() }

// fetchFrom fetches the site state from the home node at an address.
func (b *base) fetchFrom(ctx context.Context, address string) {
	if address == b.peerAddress() || b.receivesChanges() {
		return
	}
	state, err := home.FetchSiteState(ctx, b.opts.Connect(connectTimeout), address)
	if err != nil {
		b.opts.Log.Info().Str("peer", address).Err(err).Msg("nothingLearned")
		return
	}
	b.applyState(address, state)
}

// applyState applies the site state from a home node or the disk.
func (b *base) applyState(source string, state home.SiteState) {
	for kind, c := range state.Views {
		if n := b.receive(kind, c); n > 0 {
			b.opts.Log.Info().Str("source", source).Str("kind", kind).Int64("revision", int64(c.At)).Int("news", n).Msg("learnedAtStart")
		}
	}
	b.client.Announce(state.Home)
}

// siteState returns this node's view of the site.
func (b *base) siteState() home.SiteState {
	state := home.SiteState{Views: b.snapshots(), Home: b.client.Home(), Serves: b.isHome()}
	for kind, c := range state.Views {
		if !c.Listed {
			delete(state.Views, kind)
		}
	}
	return state
}

// snapshots returns the objects of the kinds that the home relays to the other nodes, by kind.
func (b *base) snapshots() map[string]object.Change {
	out := make(map[string]object.Change, len(b.mirrors))
	for kind, m := range b.mirrors {
		out[kind] = m.Snapshot()
	}
	return out
}
