package route

import (
	"math"
	"math/bits"
	"time"

	"mothcart/core/rendezvous"
)

// randomChoices is the number of upstreams drawn at random for a pick.
const randomChoices = 4

// similarity is the share of this VM's change in requests since the digest that each other VM is assumed
// to have made too, as all saw the same digest. Without it all VMs would choose the upstream that looked
// idle.
const similarity = 0.5

// spillScore is the score from which online requests also use the upstreams that are for batch first: if
// the best of the other upstreams scores this much or more.
const spillScore = 0.25

// drawMultiplier is the multiplier of the generator that computes the next random number from the last;
// the high bits choose the upstream.
const drawMultiplier = 6364136223846793005

// Want holds what a request requires of an upstream.
type Want struct {
	// Bit is the mask from Table.Bit.
	Bit uint64
	// Prefix is the hash of the prompt's first part; 0 means none.
	Prefix uint64
	// Random is a fresh random number.
	Random uint64
	// Exclude is the index of an upstream that failed the request before, plus 1; 0 means none.
	Exclude int
	// NeedsRoom restricts the pick to upstreams with fewer requests than their capacity.
	NeedsRoom bool
	// Reserve is the share of an upstream's capacity, from 0 to 1, that the request must leave free.
	Reserve float64

	// onlineOnly leaves out the upstreams that are for batch first.
	onlineOnly bool
}

// Pick returns the index of the upstream for a request, or false if none qualifies. It does not allocate.
func (t Table) Pick(now time.Time, w Want) (int, bool) {
	if t.split {
		w.onlineOnly = true
		if i, ok := t.pick(now, w); ok && t.score(now, i) < spillScore {
			return i, true
		}
		w.onlineOnly = false
	}
	return t.pick(now, w)
}

// pick chooses among all upstreams that qualify.
func (t *Table) pick(now time.Time, w Want) (int, bool) {
	n := len(t.entries)
	if n == 0 {
		return 0, false
	}
	best, bestScore := -1, 0.0
	if w.Prefix != 0 {
		if i := t.preferred(now, w); i >= 0 {
			best, bestScore = i, t.score(now, i)-prefixBonus
		}
	}
	random := w.Random
	for range randomChoices {
		var start int
		start, random = draw(random, n)
		i := t.nextQualified(now, start, w)
		if i < 0 {
			break
		}
		if s := t.score(now, i); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 && w.NeedsRoom && !t.hasRoom(now, best, w.Reserve) {
		return t.anyWithRoom(now, w)
	}
	return best, best >= 0
}

// draw returns a number from 0 to n-1 and the next random number.
func draw(random uint64, n int) (int, uint64) {
	i, _ := bits.Mul64(random, uint64(n))
	return int(i), random*drawMultiplier + 1
}

// fraction maps a random number to the range from 0 up to, but without, 1.
func fraction(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// preferred returns the index of the upstream that is most likely to have the prefix cached, or -1. It is
// the owner of the prefix by rendezvous hashing, which every VM computes alike without messages.
func (t *Table) preferred(now time.Time, w Want) int {
	best := -1
	var bestWeight uint64
	for i, hash := range t.hashes {
		weight := rendezvous.Combine(w.Prefix, hash)
		if (best < 0 || weight > bestWeight) && t.qualifies(now, i, w) {
			best, bestWeight = i, weight
		}
	}
	return best
}

// nextQualified returns the index of the first upstream that qualifies, from start on with wrap-around, or
// -1.
func (t *Table) nextQualified(now time.Time, start int, w Want) int {
	n := len(t.entries)
	for k := range n {
		i := start + k
		if i >= n {
			i -= n
		}
		if t.qualifies(now, i, w) {
			return i
		}
	}
	return -1
}

func (t *Table) anyWithRoom(now time.Time, w Want) (int, bool) {
	best, bestScore := -1, 0.0
	for i := range t.entries {
		if !t.qualifies(now, i, w) || !t.hasRoom(now, i, w.Reserve) {
			continue
		}
		if s := t.score(now, i); best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best, best >= 0
}

func (t *Table) qualifies(now time.Time, i int, w Want) bool {
	e := t.entries[i]
	return i != w.Exclude-1 && !(w.onlineOnly && e.BatchFirst) && !e.Upstream.Leaving && e.serves&w.Bit != 0 && !e.Health.Ejected(now)
}

// hasRoom reports whether this VM may send one more request to the upstream. All VMs see the same free
// capacity and may fill it at once, so after a digest each VM uses an even share of it. The remainder of
// the division goes to some of the VMs, drawn again with each digest. A VM may always reuse the slots that
// its own requests have freed, unless the upstream exceeds its capacity.
func (t *Table) hasRoom(now time.Time, i int, reserve float64) bool {
	e := t.entries[i]
	limit := float64(e.Digest.Capacity) * (1 - reserve) / e.Health.Slowdown(now)
	own := e.Own.Load()
	if e.stale(now) {
		return float64(own*t.vms) < limit
	}
	share := (limit - float64(max(e.Digest.InFlight, e.Digest.PeakInFlight))) / float64(t.vms)
	return float64(own-e.Digest.Yours) < math.Floor(share+e.remainder)
}

func (t *Table) score(now time.Time, i int) float64 {
	e := t.entries[i]
	load := t.load(now, e) + waitingWeight*float64(e.Digest.Waiting)
	return (load+1)*e.Health.Slowdown(now)/float64(e.Digest.Capacity) + e.distance
}

// load estimates the requests in flight at the upstream: the VM's own, which are exact, and those of
// other VMs, from the digest and this VM's change since then. Without a fresh digest the other VMs are
// assumed to have as many requests as this one.
func (t *Table) load(now time.Time, e *Entry) float64 {
	own := e.Own.Load()
	if e.stale(now) {
		return float64(own * t.vms)
	}
	others := float64(max(0, e.Digest.InFlight-e.Digest.Yours))
	since := float64(own - e.Digest.Yours)
	return float64(own) + max(0, others+similarity*float64(t.vms-1)*since)
}

func (e *Entry) stale(now time.Time) bool {
	return e.Digest.At.IsZero() || now.Sub(e.Digest.At) > StaleAfter
}
