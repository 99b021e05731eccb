package node

import (
	"time"

	"mothcart/core/site"
	"mothcart/io/home"
	"mothcart/io/object"
	"mothcart/platform"
)

// verifyShare is the interval of listings that check a watch for missed changes, as a share of the time for which a
// draining upstream still serves. A change that the watch has missed must be in force within that time, including
// the grace period for missing upstreams.
const verifyShare = 0.35

// verifyInterval returns the interval of listings that check a watch.
func (b *base) verifyInterval() time.Duration {
	return time.Duration(float64(b.opts.Settings.Drain) * verifyShare)
}

// follow starts to follow the object service; it pauses while a home sends this node changes, and at the start
// while one may be about to. onConfig, onUpstreams and isHome must be set before.
func (b *base) follow() {
	start := func(kind string, down func(bool)) {
		b.followers = append(b.followers, object.NewFollower(object.FollowerOptions{
			Client: b.objects, Kind: kind, Down: down, Apply: func(c object.Change) {
				b.receive(kind, c)
				b.objectsReceived.Store(true)
			},
			Verify: b.verifyInterval, Paused: b.leavesFollowing, Gap: b.watchGap, Log: b.opts.Log,
		}))
	}
	b.followers = append(b.followers, object.NewFollower(object.FollowerOptions{
		Client: b.objects, Kind: home.KindHomes, Apply: func(c object.Change) {
			home.ApplyAnnouncements(b.client, c, b.opts.Log)
			if !b.startWait.answered.Swap(true) {
				b.startWait.hadHome.Store(b.client.Home().Term > 0)
			}
		},
		Down: func(down bool) {
			b.startWait.end()
			b.setOwnDown(&b.down.homes, down)
		},
		Paused: func() bool { return !b.isHome() && b.client.ReceivesChanges() },
		Verify: b.verifyWithoutHome, Log: b.opts.Log,
	}))
	b.followAfterStart(func() {
		start(platform.KindConfig, nil)
		start(platform.KindUpstreams, func(down bool) { b.setOwnDown(&b.down.upstreams, down) })
	})
}

// watchGapShare is the least time between two watch calls of a node that is not the home, as a share of the time for
// which a draining upstream still serves. After an outage hundreds of entries return within a second, and hundreds
// of nodes may watch them.
const watchGapShare = 0.15

// watchGap returns the least time between two watch calls.
func (b *base) watchGap() time.Duration {
	if b.isHome() {
		return object.DefaultWatchGap
	}
	return time.Duration(float64(b.opts.Settings.Drain) * watchGapShare)
}

// unconfirmedGrace is how long a node leaves the following to a connected home that can't renew its lease. By then
// another home is announced, unless the object service is down for all. What this node learns late by it must
// still be in force while a draining upstream serves, which leaves no time on sites with the shortest drain.
func (b *base) unconfirmedGrace() time.Duration { return (b.opts.Settings.Drain - shortDrain) / 2 }

// shortDrain is the shortest time for which draining upstreams of a site serve.
const shortDrain = 2 * time.Second

// leavesFollowing reports that this node need not follow the configuration and the upstreams: a home sends it
// changes, or the object service doesn't answer it. In an outage only the follower of the announced homes calls,
// so that hundreds of nodes don't try in vain three times as often.
func (b *base) leavesFollowing() bool {
	if b.isHome() || !b.synced() || !b.client.Connected() {
		return false
	}
	b.mu.Lock()
	down := b.down.homes
	b.mu.Unlock()
	return down || b.client.ReceivedChanges(b.unconfirmedGrace())
}

// verifyWithoutHome returns the verify interval of the watch for announced homes. The watch is verified
// only while no home answers, since it may have missed the announcement of the next home, and after an outage,
// whose end a watch without events doesn't show.
func (b *base) verifyWithoutHome() time.Duration {
	b.mu.Lock()
	down := b.down.homes
	b.mu.Unlock()
	if b.client.Connected() && !down {
		return 0
	}
	return b.verifyInterval()
}

// receive applies a change of a kind, from this node's watch or from another node, and returns the number
// of objects that were changed or deleted. Entries of upstreams that describe the same as before don't count.
func (b *base) receive(kind string, c object.Change) int {
	if kind == platform.KindConfig {
		c = platform.WithoutKeys(c)
	}
	m := b.mirrors[kind]
	if m == nil {
		b.opts.Log.Warn().Str("kind", kind).Msg("unknownKind")
		return 0
	}
	b.receiving.Lock() // an older change must not follow a newer one
	defer b.receiving.Unlock()
	wasListed := m.Listed()
	events := m.Apply(c)
	switch kind {
	case platform.KindConfig:
		b.applyConfig(events)
	case platform.KindUpstreams:
		events = b.applyUpstreams(events)
		if m.Listed() {
			b.noteComplete()
		}
	}
	if b.onEvents != nil && len(events) > 0 {
		b.onEvents(kind, events)
	}
	if b.onListed != nil && !wasListed && m.Listed() {
		b.onListed()
	}
	return len(events)
}

func (b *base) currentConfig() site.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config
}

// synced reports that the node has a configuration and the list of upstreams.
func (b *base) synced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config.Version > 0 && b.mirrors[platform.KindUpstreams].Listed()
}

// applyConfig applies a configuration whose version is higher than the one in force.
func (b *base) applyConfig(events []object.Event) {
	for _, e := range events {
		o := e.Object
		if e.Deleted || o.Name != platform.ConfigName {
			continue
		}
		cfg, skipped, err := platform.DecodeConfig(o, b.currentConfig().Accounts)
		if err != nil {
			b.opts.Log.Error().Int64("revision", int64(o.Revision)).Err(err).Msg("configurationSkipped")
			continue
		}
		b.mu.Lock()
		before := b.config.Version
		newer := cfg.Version > before
		if newer {
			b.config = cfg
			b.onConfig(cfg)
		}
		b.mu.Unlock()
		if newer {
			b.opts.Log.Info().Int64("version", cfg.Version).Int64("before", before).Int64("revision", int64(o.Revision)).Int("accounts", cfg.Accounts.Len()).Msg("configurationInForce")
			for _, err := range skipped {
				b.opts.Log.Error().Int64("version", cfg.Version).Err(err).Msg("accountSkipped")
			}
		}
	}
}

// applyUpstreams applies changes of the entries of upstreams and returns those that change the directory.
func (b *base) applyUpstreams(events []object.Event) []object.Event {
	if len(events) == 0 {
		return nil
	}
	entries := make([]site.Entry, 0, len(events))
	for _, e := range events {
		entries = append(entries, b.decodeEntry(e))
	}
	now := b.opts.Now()
	var changed []object.Event
	var applied []site.Entry
	b.mu.Lock()
	for _, i := range b.directory.Changes(entries) {
		b.logEntry(entries[i], events[i])
		changed = append(changed, events[i])
		applied = append(applied, entries[i])
	}
	if len(applied) > 0 {
		b.directory = b.directory.With(now, applied...)
	}
	b.mu.Unlock()
	if len(changed) > 0 {
		b.publishSoon()
	}
	return changed
}

// noteComplete records that the directory has received all entries.
func (b *base) noteComplete() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.directory = b.directory.WithComplete(b.opts.Now())
}

// soleVersion returns the only software version that a service has had for long enough, if this node can tell.
func (b *base) soleVersion(now time.Time, service string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.directory.SoleVersion(now, service)
}

func (b *base) logEntry(entry site.Entry, e object.Event) {
	if entry.Gone {
		b.opts.Log.Info().Str("upstream", entry.ID).Bool("deleted", e.Deleted).Int64("revision", int64(e.Object.Revision)).Msg("upstreamGone")
		return
	}
	u := entry.Upstream
	b.opts.Log.Info().Str("upstream", u.ID).Int64("incarnation", u.Incarnation).Str("service", u.Service).Str("version", u.Version).Str("address", u.Address).
		Bool("draining", u.Draining).Int64("revision", int64(e.Object.Revision)).Msg("upstreamChanged")
}

func (b *base) objectsDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down.effective
}

// decodeEntry decodes an upstream's entry; one that can't be read counts as gone.
func (b *base) decodeEntry(e object.Event) site.Entry {
	if e.Deleted {
		return site.Entry{ID: e.Object.Name, Gone: true}
	}
	u, err := platform.DecodeUpstream(e.Object)
	if err != nil {
		b.leftOut.skipUpstream(e.Object, err)
		return site.Entry{ID: e.Object.Name, Gone: true}
	}
	return site.Entry{ID: u.ID, Upstream: u}
}

// setOwnDown records whether the object service fails to answer a follower of this node.
func (b *base) setOwnDown(follower *bool, down bool) {
	b.mu.Lock()
	*follower = down
	b.mu.Unlock()
	b.updateDown()
}

// setHomeDown records whether the object service fails to answer the home's calls.
func (b *base) setHomeDown(down bool) {
	b.mu.Lock()
	b.down.home = down
	b.mu.Unlock()
	b.updateDown()
}

// updateDown determines again whether the source of this node's view can't reach the object service. The
// source is the home if it sends this node changes, and otherwise the node itself.
func (b *base) updateDown() {
	fromHome := !b.isHome() && b.client.ReceivesChanges()
	b.mu.Lock()
	down := b.down.homes || b.down.upstreams
	if fromHome {
		down = b.down.home
	}
	changed := down != b.down.effective
	b.down.effective = down
	if changed {
		b.directory = b.directory.WithDown(b.opts.Now(), down)
	}
	b.mu.Unlock()
	if !changed {
		return
	}
	if b.onDown != nil {
		b.onDown(down)
	}
	b.publishUpstreams()
}

// publishGap is the least time between two lists of upstreams after changes of entries. Each list takes time in
// proportion to the size of the site, and entries change in bursts.
const publishGap = 50 * time.Millisecond

// publishSoon calls publishUpstreams, at the earliest publishGap after the last list.
func (b *base) publishSoon() {
	b.mu.Lock()
	wait := publishGap - b.opts.Now().Sub(b.publishedAt)
	if wait > 0 {
		if !b.publishPending {
			b.publishPending = true
			time.AfterFunc(wait, b.publishUpstreams)
		}
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	b.publishUpstreams()
}

// publishUpstreams passes the upstreams to the client and onUpstreams, and does so again when the grace
// period of a missing upstream ends.
func (b *base) publishUpstreams() {
	b.publishing.Lock() // an older list must not follow a newer one
	defer b.publishing.Unlock()
	now := b.opts.Now()
	b.mu.Lock()
	b.publishedAt, b.publishPending = now, false
	list, next := b.directory.Upstreams(now)
	if b.expiry != nil {
		b.expiry.Stop()
		b.expiry = nil
	}
	if !next.IsZero() {
		b.expiry = time.AfterFunc(next.Sub(now), b.publishUpstreams)
	}
	b.mu.Unlock()
	b.client.SetUpstreams(list)
	b.onUpstreams(list)
}
