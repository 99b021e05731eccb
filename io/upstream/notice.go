package upstream

import (
	"context"
	"time"

	"mothcart/core/route"
	"mothcart/io/peer"
)

// countNotice reports a VM's requests at one upstream to the upstream's home. InFlight is absolute, so
// that the next notice corrects the effect of a lost one. Number identifies the request that started or ended;
// 0 means that the notice reports the count only.
type countNotice struct {
	Upstream string `msgpack:"u"`
	InFlight int    `msgpack:"n"`
	Number   uint64 `msgpack:"r,omitempty"`
	Started  bool   `msgpack:"s,omitempty"`
	Tokens   int    `msgpack:"t,omitempty"`
}

// countNotices is one message with the notices of a VM to a home.
type countNotices struct {
	List []countNotice `msgpack:"l"`
}

// digestNotice reports the state of one upstream to a VM that routes to it. Yours is the receiving VM's part of
// InFlight.
type digestNotice struct {
	Upstream     string   `msgpack:"u"`
	Service      string   `msgpack:"s"`
	InFlight     int32    `msgpack:"n"`
	Yours        int32    `msgpack:"y"`
	PeakInFlight int32    `msgpack:"h"`
	Waiting      int32    `msgpack:"w"`
	Capacity     int32    `msgpack:"c"`
	Names        []string `msgpack:"m,omitempty"`
	// All means that the upstream serves every name, or that the names are unchanged.
	All bool `msgpack:"a,omitempty"`
}

type digestNotices struct {
	List []digestNotice `msgpack:"l"`
}

// subscription lists the upstreams of a home that a VM routes to.
type subscription struct {
	Upstreams []string `msgpack:"u"`
}

type noAnswer struct{}

// subscribe sends each home the list of its upstreams that this VM routes to.
func (h *Home) subscribe(now time.Time) {
	self := h.opts.Peers.Self().ID
	byHome := map[string][]string{}
	h.mu.Lock()
	for _, id := range h.routed {
		byHome[h.homes[id]] = append(byHome[h.homes[id]], id)
	}
	h.mu.Unlock()
	for home, ids := range byHome {
		if home == self {
			h.applySubscription(now, self, ids)
		} else if home != "" {
			_ = peer.Notify(h.opts.Peers, home, subscribeMethod, peer.Control, subscription{Upstreams: ids})
		}
	}
}

func (h *Home) serveSubscribe(_ context.Context, from string, msg subscription) (noAnswer, error) {
	h.applySubscription(time.Now(), from, msg.Upstreams)
	return noAnswer{}, nil
}

func (h *Home) applySubscription(now time.Time, from string, ids []string) {
	for _, id := range ids {
		if e, ok := h.engine(id); ok {
			e.subscribe(now, from)
		}
	}
}

// Count queues a notice of a request's start or end at this VM for the upstream's home. A start is flushed
// at once. Count only appends to the queue, since the router calls it under its lock.
func (h *Home) Count(c Count) {
	n := countNotice{Upstream: c.Upstream.ID, InFlight: c.InFlight, Number: c.Number, Started: c.Started, Tokens: c.Tokens}
	h.mu.Lock()
	if home := h.homes[c.Upstream.ID]; home != "" {
		h.pending[home] = append(h.pending[home], n)
	}
	h.mu.Unlock()
	if c.Started {
		select {
		case h.urgent <- struct{}{}:
		default:
		}
	}
}

// flushLoop sends the pending notices: at once after a start, else after flushInterval.
func (h *Home) flushLoop(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.urgent:
		case <-ticker.C:
		}
		h.flush()
	}
}

func (h *Home) flush() {
	h.mu.Lock()
	if len(h.pending) == 0 {
		h.mu.Unlock()
		return
	}
	pending := h.pending
	h.pending = map[string][]countNotice{}
	h.mu.Unlock()
	self := h.opts.Peers.Self().ID
	for home, list := range pending {
		if home == self {
			h.applyCounts(time.Now(), self, list)
			continue
		}
		// If the notice can't be sent, a later resend corrects the count.
		_ = peer.Notify(h.opts.Peers, home, countMethod, peer.Control, countNotices{List: list})
	}
}

// resend queues notices with all counts that are not zero for the homes.
func (h *Home) resend(time.Time) {
	own := h.opts.Own()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, n := range own {
		if home := h.homes[id]; home != "" {
			h.pending[home] = append(h.pending[home], countNotice{Upstream: id, InFlight: n})
		}
	}
}

func (h *Home) serveCount(_ context.Context, from string, msg countNotices) (noAnswer, error) {
	h.applyCounts(time.Now(), from, msg.List)
	return noAnswer{}, nil
}

func (h *Home) applyCounts(now time.Time, from string, list []countNotice) {
	for _, n := range list {
		if e, ok := h.engine(n.Upstream); ok {
			e.applyCount(now, from, n)
		}
	}
}

// publish sends the digests of the upstreams that this VM is home of to the VMs that route to them,
// as often as digestBytesPerSecond allows.
func (h *Home) publish(now time.Time) {
	self := h.opts.Peers.Self().ID
	engines := h.homeEngines()
	receivers := 0
	for _, e := range engines {
		receivers += len(e.subscribers(now))
	}
	interval := max(digestInterval, time.Duration(receivers*digestBytes)*time.Second/digestBytesPerSecond)
	frames := map[string][]digestNotice{}
	for _, e := range engines {
		if !e.digestDue(now, interval) {
			continue
		}
		for _, v := range e.subscribers(now) {
			frames[v] = append(frames[v], e.digest(v))
		}
	}
	for v, list := range frames {
		if v == self {
			h.applyDigests(now, list)
			continue
		}
		_ = peer.Notify(h.opts.Peers, v, digestMethod, peer.Control, digestNotices{List: list})
	}
}

func (h *Home) serveDigest(_ context.Context, _ string, msg digestNotices) (noAnswer, error) {
	h.applyDigests(time.Now(), msg.List)
	return noAnswer{}, nil
}

func (h *Home) applyDigests(now time.Time, list []digestNotice) {
	for _, d := range list {
		names := d.Names
		if names == nil && !d.All {
			names = []string{}
		}
		h.opts.ApplyDigest(now, d.Service, d.Upstream, route.Digest{
			InFlight: d.InFlight, Yours: d.Yours, PeakInFlight: d.PeakInFlight, Waiting: d.Waiting, Capacity: d.Capacity, Names: names,
		})
	}
}
