package home

import (
	"github.com/rcrowley/go-metrics"

	"mothcart/core/slot"
)

// updateRoom sets the gauges of what the requests of each service hold in the memory of its upstreams, in tokens.
func (h *Home) updateRoom() {
	gauge := func(service, name string, n int) {
		metrics.GetOrRegisterGauge("home.tokens."+service+"."+name, h.opts.Registry).Update(int64(n))
	}
	for _, s := range h.opts.Config().Services {
		if s.TokenCapacity == 0 {
			continue
		}
		room := h.pool.Load(s.Name).Room
		gauge(s.Name, "held", room.Held)
		gauge(s.Name, "waiting", room.Waiting)
		gauge(s.Name, "capacity", room.Capacity)
		gauge(s.Name, "reservations", room.Reservations)
	}
}

// refusedForRoom counts and logs the refusal of a request that doesn't fit into the memory of an upstream. Those of other
// reasons are left out.
func (h *Home) refusedForRoom(r slot.Refusal) {
	if r.Reason != slot.ReasonTooLarge && r.Reason != slot.ReasonNoRoom {
		return
	}
	metrics.GetOrRegisterCounter("home.refused."+string(r.Reason), h.opts.Registry).Inc(1)
	room := h.pool.Load(r.Request.Service).Room
	h.opts.Log.Info().Str("peer", r.Request.Key.Owner).Uint64("ask", r.Request.Key.ID).Str("service", r.Request.Service).Str("reason", string(r.Reason)).
		Int("promptTokens", r.Request.PromptTokens).Int("outputTokens", r.Request.OutputTokens).Int("expectedTokens", r.Request.ExpectedTokens).
		Int("heldTokens", room.Held).Int("waitingTokens", room.Waiting).Int("capacityTokens", room.Capacity).Msg("refusedForRoom")
}
