package home

import (
	"mothcart/core/site"
)

// upstreamKey names one run of an upstream.
type upstreamKey struct {
	ID          string `msgpack:"id"`
	Incarnation int64  `msgpack:"inc"`
}

// leavingNotice names upstreams whose answers said that they are leaving. Nodes send it to the home, and the
// home to all nodes.
type leavingNotice struct {
	Upstreams []upstreamKey `msgpack:"ups"`
}

func upstreamKeys(keys []site.Key) []upstreamKey {
	out := make([]upstreamKey, 0, len(keys))
	for _, k := range keys {
		out = append(out, upstreamKey{ID: k.ID, Incarnation: k.Incarnation})
	}
	return out
}

func siteKeys(keys []upstreamKey) []site.Key {
	out := make([]site.Key, 0, len(keys))
	for _, k := range keys {
		out = append(out, site.Key{ID: k.ID, Incarnation: k.Incarnation})
	}
	return out
}

// NotifyLeaving notifies the home of upstreams that are leaving.
func (c *Client) NotifyLeaving(keys []site.Key) {
	c.notify(methodLeaving, leavingNotice{Upstreams: upstreamKeys(keys)})
}

// PushLeaving notifies all connected nodes of upstreams that are leaving, if a home runs here.
func (s *Server) PushLeaving(keys []site.Key) {
	if s.hasHome() {
		s.notifyAll(methodLeaving, leavingNotice{Upstreams: upstreamKeys(keys)})
	}
}
