package home

import (
	"github.com/rs/zerolog"

	"mothcart/core/slot"
)

// logShare adds to a log line which account's share led to a refusal, and counts it. Level and slots are those of
// slot.Refusal.
func (h *Home) logShare(r slot.Refusal) func(e *zerolog.Event) {
	if r.Reason == slot.ReasonOverShare {
		h.metrics.overShare.Inc(1)
	}
	return func(e *zerolog.Event) {
		if r.Request.Account != "" {
			e.Str("account", r.Request.Account)
		}
		if r.Reason == slot.ReasonOverShare {
			e.Int("accountLevel", r.AccountLevel).Float64("accountSlots", r.AccountSlots)
		}
	}
}
