package slot

import (
	"math"
	"time"
)

// service holds the upstreams, grants and waiting requests of a service.
type service struct {
	name string
	// upstreams are all upstreams, with allSlots slots; draining are those of them that drain.
	upstreams, draining []*upstream
	allSlots            int
	// index holds the upstreams that are not draining; slots is the number of their slots.
	index  index
	slots  int
	online waitList
	batch  waitList
	shares shares
	// limited is the number of upstreams that name a rate.
	limited int
	// outliers is the number of upstreams that are outliers.
	outliers int
	// onlineGrants are the slots that online requests use, oldest first; batchGrants are those of batch
	// items in the order of compare, so that the last one is preempted first.
	onlineGrants, batchGrants []*grant
	// batchByVersion is the number of slots that batch items use, by the software version of the upstreams.
	batchByVersion map[string]int
	// meanHold is the moving mean of the time that online requests hold a slot.
	meanHold time.Duration
	// meanBatchHold is the same for batch items, over all attempts of each; 0 until one was served.
	meanBatchHold time.Duration
	// paces is what is known of how long work takes at the upstreams; weighed counts online requests by Pool.weigh.
	paces   paceModel
	weighed int
	// refuseLateUntil is the time until which requests that missed their objective are refused at once.
	refuseLateUntil time.Time
	// lastRetryAt is the latest retry time that was reserved for a refused caller.
	lastRetryAt time.Time
	// rate is the moving mean of online requests per second, as of rateAt.
	rate   float64
	rateAt time.Time
	// onlineMean is the moving mean of the number of slots held by online requests, as of observedAt;
	// onlineCount is that number since then.
	onlineMean  float64
	onlineCount int
	observedAt  time.Time
	// tokenCapacity is the number of tokens that requests may hold at one upstream, share the least that is left for one slot;
	// large counts the grants that hold more, and reserved is the upstream that one that waits will get.
	tokenCapacity, share, large int
	reserved                    *reservation
	// held is the number of tokens that requests hold at all upstreams, and allTokens that of those that they may.
	held, allTokens int
	// reservations counts them.
	reservations int
	// plannedAt is when the last plan of the batch items was made.
	plannedAt time.Time
}

// isScarce reports whether an online request may use the slots of one of several versions only. Batch items wait until
// they are the most urgent ones, so that they need no precedence.
func (s *service) isScarce(r Request) bool {
	return !r.Batch && r.Version != "" && len(s.index.versions) > 1
}

// rateWindow is the time over which the rate of online requests is averaged.
const rateWindow = time.Second

// countArrival adds an online request to the rate.
func (s *service) countArrival(now time.Time) {
	s.rate = s.rateNow(now) + 1/rateWindow.Seconds()
	s.rateAt = now
}

// rateNow returns the rate, which decays while nothing arrives.
func (s *service) rateNow(now time.Time) float64 {
	return s.rate * math.Exp(-now.Sub(s.rateAt).Seconds()/rateWindow.Seconds())
}

// updateMeanHold adds the hold time of a served request to the mean. For a batch item the time of all
// attempts counts, since few items run without preemption when callers come in waves. An online request
// counts only if it ran in a single attempt.
func (s *service) updateMeanHold(r Request, held time.Duration) {
	switch {
	case r.Batch && s.meanBatchHold == 0:
		s.meanBatchHold = held + r.Ran
		s.plannedAt = time.Time{} // the first hold time makes a plan possible
	case r.Batch:
		s.meanBatchHold += (held + r.Ran - s.meanBatchHold) / holdWeight
	case r.Ran == 0:
		s.meanHold += (held - s.meanHold) / holdWeight
	}
}

// holdWeight is the number of requests over which the mean hold times are averaged.
const holdWeight = 32
