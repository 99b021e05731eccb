package node

import (
	"context"
	"time"

	"mothcart/io/clock"
	"mothcart/io/home"
	"mothcart/io/object"
)

const (
	// startGrace is how long a node that starts waits for the object service before it learns of the
	// site elsewhere: a listing by a slow service.
	startGrace = 300 * time.Millisecond
	// firstLearn and lastLearn bound the pause between two rounds of questions to home nodes.
	firstLearn = 100 * time.Millisecond
	lastLearn  = time.Second
)

// learnAtStart begins to learn of the site from home nodes and the own disk, until the object service
// or a home tells this node. What is learned may be old; it is replaced by what is newer.
func (b *base) learnAtStart() {
	ctx, cancel := context.WithCancel(context.Background())
	b.endStart = cancel
	b.started.Go(func() {
		if clock.Sleep(ctx, startGrace) != nil || b.informed() {
			return
		}
		b.learn("disk", load[home.Knowledge](b.opts.Settings.DataDir, knowledgeFile, b.opts.Log))
		for pause := firstLearn; !b.informed(); pause = min(2*pause, lastLearn) {
			for _, address := range b.opts.homeNodes() {
				b.ask(ctx, address)
			}
			if clock.Sleep(ctx, pause) != nil {
				return
			}
		}
	})
}

// informed reports that the object service or a home tells this node of changes.
func (b *base) informed() bool { return b.heardObjects.Load() || b.client.Connected() }

// ask learns from the home node at an address.
func (b *base) ask(ctx context.Context, address string) {
	if address == b.peerAddress() || b.informed() {
		return
	}
	k, err := home.FetchKnowledge(ctx, b.opts.Connect(connectTimeout), address)
	if err != nil {
		b.opts.Log.Info().Str("peer", address).Err(err).Msg("nothingLearned")
		return
	}
	b.learn(address, k)
}

// learn takes up what a home node knew.
func (b *base) learn(source string, k home.Knowledge) {
	for kind, c := range k.Views {
		if n := b.receive(kind, c); n > 0 {
			b.opts.Log.Info().Str("source", source).Str("kind", kind).Int64("revision", int64(c.At)).Int("news", n).Msg("learnedAtStart")
		}
	}
	b.client.Announce(k.Home)
}

// knowledge returns what this node knows of the site.
func (b *base) knowledge() home.Knowledge {
	k := home.Knowledge{Views: b.snapshots(), Home: b.client.Home(), Serves: b.isHome()}
	for kind, c := range k.Views {
		if !c.Listed {
			delete(k.Views, kind)
		}
	}
	return k
}

// snapshots returns the kinds that nodes learn from the home.
func (b *base) snapshots() map[string]object.Change {
	out := make(map[string]object.Change, len(b.mirrors))
	for kind, m := range b.mirrors {
		out[kind] = m.Snapshot()
	}
	return out
}
