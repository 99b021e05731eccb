package slot

import (
	"slices"
	"time"

	"mothcart/core/site"
)

// upstream is the live state of one run of an upstream.
type upstream struct {
	site.Upstream
	// used counts the pool's own grants.
	used int
	// others counts the requests of others, as the upstream reported it.
	others   int
	reported time.Time
	// failures counts failures in a row.
	failures int
	// pausedUntil is when the upstream may be tried again.
	pausedUntil time.Time
}

func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }

// suits reports that the request may go to the upstream if there is room.
func (u *upstream) suits(now time.Time, r Request) bool {
	return !u.Draining && !u.paused(now) && !slices.Contains(r.Exclude, u.ID)
}

// takes reports that the upstream has a free slot for the request. An upstream that has failed
// several times in a row gets one request at a time until one is served.
func (u *upstream) takes(now time.Time, r Request, opts Options) bool {
	return u.suits(now, r) && u.free(now, opts) > 0
}

// free returns the number of slots that requests can get now.
func (u *upstream) free(now time.Time, opts Options) int {
	switch {
	case u.Draining || u.paused(now):
		return 0
	case u.onTrial():
		return max(1-u.used, 0)
	default:
		return max(u.Slots-u.load(now, opts), 0)
	}
}

// onTrial reports that the last requests failed.
func (u *upstream) onTrial() bool { return u.failures >= trialFailures }

// trialFailures is the number of failures in a row after which an upstream is on trial; single lost
// answers are common.
const trialFailures = 2

func (u *upstream) load(now time.Time, opts Options) int {
	if now.Sub(u.reported) < opts.ReportAge {
		return u.used + u.others
	}
	return u.used
}

// better reports that u suits the request better than v: sound before on trial for online requests
// and the other way round for batch, then those with an entry, then the requester's availability zone, then the lower load.
func (u *upstream) better(v *upstream, now time.Time, r Request, opts Options) bool {
	if a, b := u.onTrial(), v.onTrial(); a != b {
		return a == r.Batch
	}
	if u.Doubtful != v.Doubtful {
		return v.Doubtful
	}
	a, b := u.load(now, opts)*v.Slots, v.load(now, opts)*u.Slots
	near, farther := u.Zone == r.AvailabilityZone, v.Zone == r.AvailabilityZone
	if near != farther {
		return near
	}
	return a < b
}

// note learns from the end of a request.
func (u *upstream) note(now time.Time, result Result, opts Options) {
	switch result {
	case Served:
		u.failures = 0
		u.pausedUntil = time.Time{}
	case Full:
		u.pausedUntil = now.Add(opts.FullPause)
	case Moved:
		u.pausedUntil = now.Add(opts.MaxFailPause)
	case Unreachable, Broken:
		u.failures++
		if result == Unreachable || u.onTrial() {
			pause := opts.FailPause << min(max(u.failures-trialFailures, 0), 8)
			u.pausedUntil = now.Add(min(pause, opts.MaxFailPause))
		}
	case Abandoned:
	}
}
