package slot

import (
	"time"

	"mothcart/core/site"
)

// An upstream that answers with errors at once always has free slots, so that the choice of the least loaded one would
// send it most requests of its service. An upstream whose answers are errors more often than those of the others is an
// outlier: it gets requests only if no other has a free slot, and fewer at a time the more it fails.
//
// If many upstreams look like outliers, the errors may be due to the requests, and no more than maxOutliers are.

const (
	// errorWindow is the number of answers over which the share of errors is averaged.
	errorWindow = 8
	// outlierShare is the share of errors from which an upstream is an outlier, about four errors in a row after answers
	// without any. It is one no longer below soundShare, so that it doesn't change with each answer.
	outlierShare = 0.4
	soundShare   = 0.2
	// maxOutliers is the largest share of a service's upstreams that can be outliers.
	maxOutliers = 0.3
	// brokenShare is the share of errors from which an outlier is paused after each error.
	brokenShare = 0.8
)

// errorShare is the share of an upstream's latest answers that were errors.
type errorShare struct {
	share   float64
	outlier bool
	// at is when the last of these answers came.
	at time.Time
}

// OutlierChange reports that an upstream has become an outlier, or that it no longer is one.
type OutlierChange struct {
	Upstream site.Upstream
	Outlier  bool
	// Share is the share of its latest answers that were errors.
	Share float64
}

// countError updates the share of errors of an upstream after a request has ended. An item's error doesn't count, since
// jobs may hold many items that can't be done.
func (p *Pool) countError(now time.Time, g *grant, result Result) Outcome {
	u := g.upstream
	sample := 0.0
	switch {
	case result == Errored && !g.request.Batch:
		sample = 1
	case result != Served && result != Failed:
		return Outcome{}
	case u.errors.share == 0:
		return Outcome{} // the usual case
	}
	was := u.errors.outlier
	share := u.errors.share + (sample-u.errors.share)/errorWindow
	s := p.service(u.Service)
	is := (was && share >= soundShare) || (share >= outlierShare && p.mayBeOutlier(s))
	if !is && share < 1.0/(16*errorWindow) {
		share = 0
	}
	p.update(now, u, func() { u.errors = errorShare{share: share, outlier: is, at: now} })
	if is == was {
		return Outcome{}
	}
	s.countOutliers()
	return Outcome{Outliers: []OutlierChange{{Upstream: u.Upstream, Outlier: is, Share: share}}}
}

// mayBeOutlier reports whether one more upstream of a service can be an outlier.
func (p *Pool) mayBeOutlier(s *service) bool {
	return float64(s.outliers+1) <= maxOutliers*float64(len(s.upstreams))
}

// countOutliers counts the outliers after the upstreams of a service have changed.
func (s *service) countOutliers() {
	s.outliers = 0
	for _, u := range s.upstreams {
		if u.errors.outlier {
			s.outliers++
		}
	}
}

// outlierSlots returns the number of slots that an outlier may use at a time.
func (u *upstream) outlierSlots() int {
	return max(int((1-u.errors.share)*float64(u.Slots)), 1)
}
