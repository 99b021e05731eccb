package slot

import (
	"slices"
	"time"

	"mothcart/core/site"
	"mothcart/core/throttle"
)

// upstream is the mutable state of one incarnation of an upstream.
type upstream struct {
	site.Upstream
	// listed reports that the upstream is one of its service; others have grants that have not ended.
	listed bool
	// used counts the pool's own grants.
	used int
	// otherRequests is the number of requests that are not the pool's own, by the upstream's report.
	otherRequests int
	reportedAt    time.Time
	// failures counts failures in a row.
	failures int
	// refuses reports that the upstream has refused the last request for lack of capacity.
	refuses bool
	// pausedUntil is when the upstream may get requests again.
	pausedUntil time.Time
	// limit is the rate that the upstream names.
	limit  throttle.Limit
	errors errorShare
	// capacity is the number of tokens that requests may hold here, 0 if it isn't known; held is what the pool's grants
	// hold.
	capacity, held int
	// othersLarge reports that nodes that decide alone may send requests whose sizes aren't known here.
	othersLarge bool
	// pace is how long work takes there.
	pace pace
	// place is the position in the index of the service, unless the upstream is draining.
	place place
}

// sameRun reports whether an entry describes the same run of the process with the same software.
func (u *upstream) sameRun(entry site.Upstream) bool {
	return u.Incarnation == entry.Incarnation && u.Address == entry.Address && u.Version == entry.Version
}

func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }

// eligible reports whether the request may go to the upstream once that has a free slot.
func (u *upstream) eligible(now time.Time, r *Request) bool {
	return !u.Draining && !u.paused(now) && r.accepts(u.Version) && !slices.Contains(r.Exclude, u.ID)
}

// hasFreeSlot reports whether the upstream has a free slot for the request. An upstream that has failed
// several times in a row gets one request at a time until a request is served.
func (u *upstream) hasFreeSlot(now time.Time, r *Request, opts Options) bool {
	return u.eligible(now, r) && u.free(now, opts) > 0 && u.allows(now, r) && u.fits(r, u.load(now, opts)-u.used)
}

// allows reports whether the rate that the upstream names allows the request now. Batch items get what online requests
// can't use later.
func (u *upstream) allows(now time.Time, r *Request) bool {
	if r.Batch {
		return u.limit.IsSpare(now)
	}
	return u.limit.Allows(now)
}

// free returns the number of slots that requests can get now.
func (u *upstream) free(now time.Time, opts Options) int {
	switch {
	case u.Draining || u.paused(now):
		return 0
	case u.failures >= trialFailures:
		return max(1-u.used, 0)
	case u.errors.outlier:
		return max(u.outlierSlots()-u.load(now, opts), 0)
	case u.limit.Active():
		return max(min(u.Slots-u.load(now, opts), int(u.limit.Level(now))), 0)
	default:
		return max(u.Slots-u.load(now, opts), 0)
	}
}

// onTrial reports whether the last requests failed, or failed more often than at other upstreams.
func (u *upstream) onTrial() bool { return u.failures >= trialFailures || u.errors.outlier }

// trialFailures is the number of failures in a row after which an upstream is on trial; single lost
// answers are common.
const trialFailures = 2

func (u *upstream) load(now time.Time, opts Options) int {
	if now.Sub(u.reportedAt) < opts.ReportAge {
		return u.used + u.otherRequests
	}
	return u.used
}

// better reports whether u is better than v, of the same software version, for the request: by its state, then in
// the availability zone of the VM that asked, then with the lower load.
func (u *upstream) better(v *upstream, now time.Time, r *Request, opts Options) bool {
	if c := u.compareState(v, now, r); c != 0 {
		return c < 0
	}
	if r.weighed {
		return u.rank(u.load(now, opts), r) < v.rank(v.load(now, opts), r)
	}
	a, b := u.load(now, opts)*v.Slots, v.load(now, opts)*u.Slots
	uNear, vNear := u.Zone == r.AvailabilityZone, v.Zone == r.AvailabilityZone
	if uNear != vNear {
		return uNear
	}
	return a < b
}

// betterOfVersions is better for upstreams of two software versions, of which uFree and vFree slots are free.
func (u *upstream) betterOfVersions(v *upstream, uFree, vFree int, now time.Time, r *Request, opts Options) bool {
	if c := u.compareState(v, now, r); c != 0 {
		return c < 0
	}
	if uFree != vFree {
		return uFree > vFree
	}
	return u.better(v, now, r, opts)
}

// compareState orders upstreams by their state, the better one first. Online requests prefer an upstream that is
// not on trial, unless that is due for them, batch items one that is, unless for its errors, since an item may fail only a
// few times, or while it refuses. Then come upstreams whose entry exists.
func (u *upstream) compareState(v *upstream, now time.Time, r *Request) int {
	if a, b := u.isDue(now, r), v.isDue(now, r); a != b {
		if a {
			return -1
		}
		return 1
	}
	switch a, b := u.standing(r), v.standing(r); {
	case a != b:
		return a - b
	case u.Doubtful == v.Doubtful:
		return 0
	case v.Doubtful:
		return -1
	default:
		return 1
	}
}

// standing is the place of an upstream among those of its service for a request, by its last answers; lower is better.
func (u *upstream) standing(r *Request) int {
	switch {
	case !u.onTrial():
		return 1
	case r.Batch && !u.errors.outlier && !u.refuses:
		return 0
	default:
		return 2
	}
}

// recordResult updates failures and pause after a request has ended.
func (u *upstream) recordResult(now time.Time, result Result, opts Options) {
	if result != Abandoned {
		u.refuses = result == Full
	}
	switch result {
	case Served, Failed:
		u.failures = 0
		u.pausedUntil = time.Time{}
	case Errored:
		u.recordError(now, opts)
	case Full:
		u.pausedUntil = now.Add(opts.FullPause)
	case Moved:
		u.pausedUntil = now.Add(opts.MaxFailPause)
	case Unreachable, Broken, Ended:
		u.failures++
		if result != Broken || u.onTrial() {
			u.pause(now, opts)
		}
	case Abandoned:
	}
}

// pause pauses the upstream for the longer the more often it has failed in a row.
func (u *upstream) pause(now time.Time, opts Options) {
	pause := opts.FailPause << min(max(u.failures-trialFailures, 0), 8)
	u.pausedUntil = now.Add(min(pause, opts.MaxFailPause))
}

// recordError updates failures and pause after the upstream has answered with an error. Only one that does nothing else
// is paused.
func (u *upstream) recordError(now time.Time, opts Options) {
	if !u.errors.outlier || u.errors.share < brokenShare {
		u.failures, u.pausedUntil = 0, time.Time{}
		return
	}
	u.failures++
	u.pause(now, opts)
}
