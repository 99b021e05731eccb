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

// copyHeader sets the headers of an upstream's answer on the answer to the caller, without what an entry says about itself.
func (x *exchange) copyHeader(h http.Header) {
	out := x.w.Header()
	for name, values := range h {
		switch name {
		case carrier.HeaderZone, carrier.HeaderUnable, carrier.HeaderNotSent:
		default:
			out[name] = values
		}
	}
}
