package entry

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"mothcart/core/site"
)

// authenticate returns the client account of a request and removes its key from the headers, so that it goes no further.
// It is empty if the configuration has no accounts or the request needs none. Without a valid key it answers the request
// and returns false.
func (h *Handler) authenticate(w http.ResponseWriter, r *http.Request, cfg site.Config, public bool, from carriage) (string, bool) {
	if !cfg.Keyed() {
		return "", true
	}
	if name, ok := h.opts.Codec.CarriedAccount(r.Header); ok && from.carried {
		h.opts.Codec.TakeKey(r.Header)
		return name, true
	}
	key, readable := h.opts.Codec.TakeKey(r.Header)
	if public {
		return "", true
	}
	reason := "unreadableKey"
	if readable {
		account, ok := cfg.Accounts.ByKey(site.DigestKey(key))
		if ok {
			return account.Name, true
		}
		reason = "unknownKey"
	}
	metrics.GetOrRegisterCounter("online."+reason, h.opts.Registry).Inc(1)
	h.opts.Log.Info().Str("request", h.opts.Codec.RequestID(r.Header)).Str("host", r.Host).Int64("config", cfg.Version).
		Str("outcome", "refused:"+reason).Int("status", http.StatusUnauthorized).Msg("requestDone")
	from.markNotSent(w)
	w.Header().Set("WWW-Authenticate", "Bearer")
	http.Error(w, "no account has this key", http.StatusUnauthorized)
	return "", false
}
