package node

import (
	"mothcart/core/site"
)

// answeredLeaving records that an upstream's answer to a request or item said that the upstream is leaving, and
// notifies the home.
func (b *base) answeredLeaving(u site.Upstream, request string) {
	fresh := b.addLeaving([]site.Key{u.Key()})
	if len(fresh) == 0 {
		return
	}
	b.opts.Log.Info().Str("upstream", u.ID).Int64("incarnation", u.Incarnation).Str("request", request).Msg("upstreamLeaving")
	if b.isHome() {
		b.onLeaving(fresh)
		return
	}
	b.client.NotifyLeaving(fresh)
}

// markLeaving records upstreams that another node knows to be leaving. The home notifies all nodes.
func (b *base) markLeaving(from string, keys []site.Key) {
	fresh := b.addLeaving(keys)
	for _, k := range fresh {
		b.opts.Log.Info().Str("upstream", k.ID).Int64("incarnation", k.Incarnation).Str("from", from).Msg("upstreamLeaving")
	}
	if len(fresh) > 0 && b.isHome() {
		b.onLeaving(fresh)
	}
}

// addLeaving adds upstreams that are leaving to the directory and returns those that are new.
func (b *base) addLeaving(keys []site.Key) []site.Key {
	b.mu.Lock()
	directory, fresh := b.directory.WithLeaving(b.opts.Now(), keys)
	b.directory = directory
	b.mu.Unlock()
	if len(fresh) > 0 {
		b.publishUpstreams()
		b.siteStateChanged()
	}
	return fresh
}

// leavingUpstreams returns the upstreams that this node knows to be leaving.
func (b *base) leavingUpstreams() []site.Key {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.directory.Leaving()
}
