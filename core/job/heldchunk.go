package job

import (
	"slices"
	"time"
)

// Lease durations. A holder renews well before it stops, and stops well before another VM may claim
// the chunk.
const (
	// DefaultLease is the time after which an unchanged claim counts as lapsed.
	DefaultLease = 2 * time.Minute
	// stopShare is the part of the lease after which the holder stops.
	stopShare = 0.8
	// renewShare is the part of the lease after which the holder renews.
	renewShare = 0.34
)

// StopAfter returns how long a holder may dispatch after the start of its last successful write.
func StopAfter(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * stopShare)
}

// RenewAfter returns the time between two writes of a holder that has nothing urgent.
func RenewAfter(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * renewShare)
}

// liveState is the state of an item at the holder.
type liveState uint8

const (
	// liveWaiting items have no durable intent.
	liveWaiting liveState = iota
	// liveReady items have a durable intent and may be dispatched.
	liveReady
	// liveDispatched items were handed to a dispatcher.
	liveDispatched
	// liveStarted items may have been sent.
	liveStarted
	// liveRetry items failed an attempt and need a new durable intent; so do liveLost items, whose
	// worker was lost in the attempt.
	liveRetry
	liveLost
	// liveDecided items have an outcome, perhaps not durable yet.
	liveDecided
)

// HeldChunk is the holder's state of one claimed chunk.
type HeldChunk struct {
	// Durable is the record as last written.
	Durable Chunk
	terms   Terms
	lease   time.Duration
	// since is the time at which the last successful write started.
	since    time.Time
	live     [ChunkItems]liveState
	outcomes [ChunkItems]ItemState
	// ready, dispatched and open count the items that may be dispatched now, that a dispatcher has,
	// and that have no outcome.
	ready, dispatched, open int
}

// NewHeldChunk returns the holder's state of a chunk whose claim was written by a call that started at
// since.
func NewHeldChunk(claimed Chunk, terms Terms, lease time.Duration, since time.Time) HeldChunk {
	h := HeldChunk{terms: terms, lease: lease}
	for i, s := range claimed.Items {
		if s.Final() {
			h.live[i] = liveDecided
			h.outcomes[i] = s
			continue
		}
		h.live[i] = liveWaiting
		h.open++
	}
	h.Durable = NewChunk(len(claimed.Items))
	return h.Wrote(claimed, since)
}

// Lapsed reports whether the holder must have stopped by its own clock.
func (h HeldChunk) Lapsed(now time.Time) bool { return now.Sub(h.since) >= StopAfter(h.lease) }

// Ready returns the number of items that Take can return.
func (h HeldChunk) Ready() int { return h.ready }

// Undecided returns the number of items without an outcome.
func (h HeldChunk) Undecided() int { return h.open }

// Attempt returns the number of the present attempt of item i, from 1, and whether it must run by
// itself because the item may have crashed workers.
func (h HeldChunk) Attempt(i int) (n int, alone bool) { return int(h.Durable.Attempts[i]), h.alone(i) }

// DispatchedCount returns the number of items that a dispatcher has.
func (h HeldChunk) DispatchedCount() int { return h.dispatched }

// ReadyAlone reports whether the next item to dispatch is one that must run alone.
func (h HeldChunk) ReadyAlone() bool {
	for i := range h.Durable.Items {
		if h.live[i] == liveReady {
			return h.alone(i)
		}
	}
	return false
}

// alone reports whether item i may have lost so many workers that it must run by itself.
func (h HeldChunk) alone(i int) bool {
	return h.terms.Idempotent && h.terms.groupLimit(h.Durable.Losses[i]) == 1
}

// Take returns up to n items that may be dispatched now, and records them as dispatched.
func (h HeldChunk) Take(now time.Time, n int) (HeldChunk, []int) {
	if h.ready == 0 || n <= 0 || h.Lapsed(now) {
		return h, nil
	}
	taken := make([]int, 0, min(n, h.ready))
	for i := range h.Durable.Items {
		if len(taken) == n {
			break
		}
		if h.live[i] == liveReady {
			h.live[i] = liveDispatched
			taken = append(taken, i)
		}
	}
	h.ready -= len(taken)
	h.dispatched += len(taken)
	return h, taken
}

// Start records that item i is about to be sent. It reports false when it must not be: the item was
// not dispatched, or the lease has lapsed, in which case the item is withdrawn.
func (h HeldChunk) Start(now time.Time, i int) (HeldChunk, bool) {
	if !h.isDispatched(i) || h.live[i] != liveDispatched {
		return h, false
	}
	if h.Lapsed(now) {
		return h.Withdraw(i), false
	}
	h.live[i] = liveStarted
	return h, true
}

// Withdraw makes item i ready again if it was dispatched and its sending has not started.
func (h HeldChunk) Withdraw(i int) HeldChunk {
	if h.isDispatched(i) && h.live[i] == liveDispatched {
		h, _ = h.Return(i)
	}
	return h
}

// Done records the outcome of item i. It reports false when no dispatcher has the item.
func (h HeldChunk) Done(i int, outcome ItemState) (HeldChunk, bool) {
	if !h.isDispatched(i) || !outcome.Final() {
		return h, false
	}
	h.live[i] = liveDecided
	h.outcomes[i] = outcome
	h.dispatched--
	h.open--
	return h, true
}

// Fail records a failed attempt of item i and returns the outcome that it leads to: Open when the
// item will be tried again after its next attempt is counted. lost reports that the worker was lost
// and that the item may be the cause.
func (h HeldChunk) Fail(i int, lost bool) (HeldChunk, ItemState) {
	if !h.isDispatched(i) {
		return h, Open
	}
	outcome := afterFailure(h.Durable.Attempts[i], h.terms)
	if outcome != Open {
		h, _ = h.Done(i, outcome)
		return h, outcome
	}
	h.live[i] = liveRetry
	if lost {
		h.live[i] = liveLost
	}
	h.dispatched--
	return h, Open
}

// Return makes item i ready again after it was not run or was preempted. It returns Unknown when the
// item is not idempotent and may have been sent: that is its outcome then.
func (h HeldChunk) Return(i int) (HeldChunk, ItemState) {
	if !h.isDispatched(i) {
		return h, Open
	}
	if h.live[i] == liveStarted && !h.terms.Idempotent {
		h, _ = h.Done(i, Unknown)
		return h, Unknown
	}
	h.live[i] = liveReady
	h.ready++
	h.dispatched--
	return h, Open
}

func (h HeldChunk) isDispatched(i int) bool {
	return i >= 0 && i < len(h.Durable.Items) && (h.live[i] == liveDispatched || h.live[i] == liveStarted)
}

// Write is the next durable record of a held chunk.
type Write struct {
	Chunk Chunk
	// Decided lists the items whose outcomes the write makes durable.
	Decided []int
}

// NextWrite returns the write that is due at now, if one is: the chunk is finished, the lease needs
// renewal, or items wait for a durable intent and the holder has nothing else to dispatch.
func (h HeldChunk) NextWrite(now time.Time) (Write, bool) {
	if h.Durable.Closed {
		return Write{}, false
	}
	if h.open == 0 || now.Sub(h.since) >= RenewAfter(h.lease) {
		return h.write(), true
	}
	if !h.wantsIntents() {
		return Write{}, false
	}
	w := h.write()
	return w, h.newIntents(w.Chunk)
}

// Checkpoint returns a write of all outcomes that are not durable yet, whether it is due or not.
func (h HeldChunk) Checkpoint() Write { return h.write() }

// lowWater is the number of non-idempotent items ready for dispatch at which more are marked as intended.
const lowWater = 16

// wantsIntents reports whether further intents are worth a write. Failed attempts are gathered
// until nothing is in flight, so that one write counts all of them.
func (h HeldChunk) wantsIntents() bool {
	if h.terms.Idempotent {
		return h.ready == 0 && h.dispatched == 0
	}
	return h.ready <= lowWater
}

func (h HeldChunk) newIntents(next Chunk) bool {
	for i, s := range next.Items {
		if s == Intended && next.Attempts[i] != h.Durable.Attempts[i] {
			return true
		}
	}
	return false
}

// write builds the record with all outcomes that are not durable yet and further intents.
func (h HeldChunk) write() Write {
	c := h.Durable.clone()
	var decided []int
	for i := range c.Items {
		switch {
		case h.live[i] == liveDecided && !c.Items[i].Final():
			c.Items[i] = h.outcomes[i]
			decided = append(decided, i)
		case h.failed(i):
			c.Items[i] = Open
			if h.live[i] == liveLost && h.Durable.Items[i] == Intended {
				c.Losses[i]++
			}
		}
	}
	c.Renewals++
	if h.wantsIntents() || h.terms.Idempotent {
		c = c.intendMore(h.terms)
	}
	c.Closed = c.allFinal()
	return Write{Chunk: c, Decided: decided}
}

// Release builds the record that releases the chunk. Items that were not sent lose their intent
// and its attempt; items that may have been sent keep it.
func (h HeldChunk) Release() Write {
	w := h.write()
	w.Chunk = h.Durable.clone()
	for _, i := range w.Decided {
		w.Chunk.Items[i] = h.outcomes[i]
	}
	for i, s := range w.Chunk.Items {
		if s != Intended {
			continue
		}
		switch h.live[i] {
		case liveReady:
			w.Chunk.Items[i] = Open
			w.Chunk.Attempts[i]--
		case liveLost:
			w.Chunk.Items[i] = Open
			w.Chunk.Losses[i]++
		case liveRetry:
			w.Chunk.Items[i] = Open
		}
	}
	w.Chunk.Renewals++
	w.Chunk.Owner = ""
	w.Chunk.Closed = w.Chunk.allFinal()
	return w
}

// Cancel builds the record that closes the chunk of a cancelled job, with the outcomes that are not
// durable yet. Items that are not idempotent and may have been sent are unknown.
func (h HeldChunk) Cancel() Write {
	w := h.write()
	c := h.Durable.clone()
	for i, s := range c.Items {
		switch {
		case s.Final():
		case h.live[i] == liveDecided:
			c.Items[i] = h.outcomes[i]
		case h.live[i] == liveStarted && !h.terms.Idempotent:
			c.Items[i] = Unknown
		default:
			c.Items[i] = CancelledItem
		}
	}
	c.Renewals++
	c.Closed = true
	return Write{Chunk: c, Decided: w.Decided}
}

// Wrote returns the holder's state after written became durable by a call that started at since.
func (h HeldChunk) Wrote(written Chunk, since time.Time) HeldChunk {
	before := h.Durable
	h.Durable = written
	h.since = since
	for i, s := range written.Items {
		if s == Intended && (before.Items[i] != Intended || before.Attempts[i] != written.Attempts[i]) {
			h.live[i] = liveReady
			h.ready++
		}
	}
	return h
}

func (h HeldChunk) failed(i int) bool { return h.live[i] == liveRetry || h.live[i] == liveLost }

// Dispatched returns the items that a dispatcher has.
func (h HeldChunk) Dispatched() []int {
	var out []int
	for i := range h.Durable.Items {
		if h.isDispatched(i) {
			out = append(out, i)
		}
	}
	return slices.Clip(out)
}
