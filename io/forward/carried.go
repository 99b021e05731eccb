package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/carrier"
)

// HeaderCarriedResumes holds, between two entries, the ID of the request that brought the first event of a stream.
const HeaderCarriedResumes = "Carried-Resumes"

// HeaderCarriedCharged is set, between two entries, on a request of which an earlier attempt counts against the limit of
// its account.
const HeaderCarriedCharged = "Carried-Charged"

// basisCarried is the basis of leases of other entries.
const basisCarried = "carried"

// linksRetryAfter is the Retry-After while no entry is known that could send a request; links are probed more often.
const linksRetryAfter = 500 * time.Millisecond

// lease returns a slot, or another entry while this node has lost its links to upstreams.
func (x *exchange) lease(ctx context.Context, r slot.Request) (Lease, *slot.Refusal, error) {
	links := x.f.opts.Links
	if x.req.Carried || !links.Lost() {
		return x.f.opts.Acquire(ctx, r)
	}
	address, ok := links.Carrier(r.Exclude)
	if !ok {
		return Lease{}, &slot.Refusal{Request: r, Reason: slot.ReasonLinksLost, RetryAfter: linksRetryAfter}, nil
	}
	return Lease{
		Upstream: site.Upstream{ID: address, Address: address, Version: r.Version}, Basis: basisCarried, Carried: true,
		Release: func(_ time.Time, result slot.Result) { links.CarrierEnded(address, result) },
		Report:  func(time.Time, int, int) {}, Limit: func(float64, bool) {}, Began: func(string) {}, Wrote: func() {},
		Silence: func(bool) {}, Leaving: func(string) {},
	}, nil, nil
}

// carriedHeader returns the headers of an attempt through another entry. What that one takes from an entry is not left
// to the caller.
func (x *exchange) carriedHeader(lastID string) http.Header {
	resumes, charged := "", ""
	if x.isStream() && (lastID != "" || x.req.LastEventID != "") {
		resumes = x.origin()
	}
	if x.req.Account != "" && x.attempts > 1 {
		charged = "1"
	}
	header := x.req.Header
	if header.Get(HeaderCarriedResumes) == resumes && header.Get(HeaderCarriedCharged) == charged {
		return header
	}
	header = header.Clone()
	header.Del(HeaderCarriedResumes)
	header.Del(HeaderCarriedCharged)
	if resumes != "" {
		header.Set(HeaderCarriedResumes, resumes)
	}
	if charged != "" {
		header.Set(HeaderCarriedCharged, charged)
	}
	return header
}

// carrierRefusal returns the refusal of another entry that could have sent the request, and false for other outcomes.
func carrierRefusal(lease Lease, a Answer) (slot.Refusal, bool) {
	if !lease.Carried || !a.refused() || a.Header.Get(carrier.HeaderUnable) != "" {
		return slot.Refusal{}, false
	}
	reason := slot.ReasonByCarrier
	switch a.Status {
	case http.StatusTooManyRequests:
		reason = slot.ReasonOverLimit
	case http.StatusServiceUnavailable:
	default:
		return slot.Refusal{}, false
	}
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64) // 0, which means soon, if it names none
	return slot.Refusal{Reason: reason, RetryAfter: time.Duration(seconds * float64(time.Second))}, true
}
