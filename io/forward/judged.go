package forward

import (
	"net/http"

	"mothcart/core/slot"
	"mothcart/io/carrier"
)

// releaseJudged releases a slot whose upstream failed once it is known whether the upstream is to blame. Meanwhile the
// request goes on elsewhere.
func (f *Forwarder) releaseJudged(lease Lease, result slot.Result) {
	f.opts.Links.Judge(func(failed bool) {
		if !failed {
			result = slot.Abandoned
		}
		lease.Release(f.opts.Now(), result)
	})
}

// dropCarrierHeaders removes what an entry says about itself from an answer to a caller.
func dropCarrierHeaders(h http.Header) {
	h.Del(carrier.HeaderZone)
	h.Del(carrier.HeaderUnable)
	h.Del(carrier.HeaderRefused)
}
