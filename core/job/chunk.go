package job

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// ErrChunkClosed means that every item of the chunk has its final outcome.
var ErrChunkClosed = merry.Sentinel("the chunk is closed")

// ItemState is the durable state of one item.
type ItemState uint8

// States of an item. Succeeded, Failed, Unknown and CancelledItem are final.
const (
	// Open items have not been dispatched since their attempts were last counted.
	Open ItemState = iota
	// Intended items may have been dispatched by the owner of the claim.
	Intended
	// Succeeded items have an answer.
	Succeeded
	// Failed items have a final error.
	Failed
	// Unknown items are not idempotent and may have run; they are never dispatched again.
	Unknown
	// CancelledItem items were not finished when their job was cancelled.
	CancelledItem
)

// Final reports whether the state is an outcome.
func (s ItemState) Final() bool { return s >= Succeeded && s <= CancelledItem }

// Segment is a block of encoded outcomes, in the record or in an object of its own.
type Segment struct {
	// Data is empty when Key names the object that holds the outcomes.
	Data []byte `msgpack:"d"`
	Key  string `msgpack:"k"`
}

// Chunk is the durable record of a chunk.
type Chunk struct {
	// Owner is the VM and process that holds the claim; empty when it was released.
	Owner string `msgpack:"o"`
	// Fence grows with every claim.
	Fence uint64 `msgpack:"f"`
	// Renewals grows with every write under one claim.
	Renewals uint64 `msgpack:"r"`
	// Items and Attempts hold the state and the counted dispatches of each item.
	Items    []ItemState `msgpack:"i"`
	Attempts []byte      `msgpack:"a"`
	// Losses holds the dispatches of each item that ended with the loss of a worker.
	Losses []byte `msgpack:"l"`
	// Segments hold the outcomes in the order of their writing.
	Segments []Segment `msgpack:"s"`
	// Closed reports that every item has its final outcome.
	Closed bool `msgpack:"c"`
}

// NewChunk returns the record of a chunk that nobody has claimed.
func NewChunk(items int) Chunk {
	return Chunk{
		Items:    make([]ItemState, items),
		Attempts: make([]byte, items),
		Losses:   make([]byte, items),
	}
}

// Valid reports whether a decoded record is consistent for a chunk of n items.
func (c Chunk) Valid(n int) bool {
	if len(c.Items) != n || len(c.Attempts) != n || len(c.Losses) != n || n > ChunkItems {
		return false
	}
	for _, s := range c.Items {
		if s > CancelledItem || (c.Closed && !s.Final()) {
			return false
		}
	}
	return true
}

// Counts returns the number of items by outcome.
func (c Chunk) Counts() Counts {
	var n Counts
	for _, s := range c.Items {
		n = n.Plus(countOf(s))
	}
	return n
}

func countOf(s ItemState) Counts {
	switch s {
	case Succeeded:
		return Counts{Succeeded: 1}
	case Failed:
		return Counts{Failed: 1}
	case Unknown:
		return Counts{Unknown: 1}
	case CancelledItem:
		return Counts{Cancelled: 1}
	default:
		return Counts{}
	}
}

// WithSegment returns a copy with segment appended.
func (c Chunk) WithSegment(segment Segment) Chunk {
	c.Segments = append(slices.Clip(c.Segments), segment)
	return c
}

func (c Chunk) clone() Chunk {
	c.Items = slices.Clone(c.Items)
	c.Attempts = slices.Clone(c.Attempts)
	c.Losses = slices.Clone(c.Losses)
	return c
}

// Claim returns the record as claimed by owner, with the first intents, and the indexes of items
// that become final because the former claim ended. The former claim must have been released or
// have lapsed, and the write must be conditional on the record's version at that check.
func Claim(c Chunk, owner string, terms Terms) (Chunk, []int, error) {
	if c.Closed {
		return c, nil, merry.Errorf("claim chunk: %w", ErrChunkClosed)
	}
	c = c.clone()
	var decided []int
	for i, s := range c.Items {
		if s != Intended {
			continue
		}
		c.Losses[i]++
		c.Items[i] = afterFailure(c.Attempts[i], terms)
		if c.Items[i].Final() {
			decided = append(decided, i)
		}
	}
	c.Owner = owner
	c.Fence++
	c.Renewals = 0
	c = c.intendMore(terms)
	c.Closed = c.allFinal()
	return c, decided, nil
}

// afterFailure returns the state of an item whose attempt failed or was lost.
func afterFailure(attempts byte, terms Terms) ItemState {
	switch {
	case !terms.Idempotent:
		return Unknown
	case int(attempts) >= terms.attempts():
		return Failed
	default:
		return Open
	}
}

// Cancel returns the record with every unfinished item cancelled, or unknown where a
// non-idempotent item may have run, and the indexes of the items that became final by it.
func (c Chunk) Cancel(owner string, terms Terms) (Chunk, []int) {
	c = c.clone()
	var decided []int
	for i, s := range c.Items {
		if s.Final() {
			continue
		}
		c.Items[i] = CancelledItem
		if s == Intended && !terms.Idempotent {
			c.Items[i] = Unknown
		}
		decided = append(decided, i)
	}
	c.Owner = owner
	c.Fence++
	c.Renewals = 0
	c.Closed = true
	return c, decided
}

func (c Chunk) allFinal() bool {
	for _, s := range c.Items {
		if !s.Final() {
			return false
		}
	}
	return true
}

func (t Terms) attempts() int { return max(t.MaxAttempts, MinAttempts) }

// groupLimit is the largest number of items that may be in flight together with an item that has
// had this many losses. It falls by equal ratios from ChunkItems without a loss to 1 for the last
// attempt, so that an item that crashes workers is isolated and other items are not blamed.
func (t Terms) groupLimit(losses byte) int {
	limit := 1
	for remaining := t.attempts() - 1 - int(losses); remaining > 0 && limit < ChunkItems; remaining-- {
		limit *= t.groupRatio()
	}
	return min(limit, ChunkItems)
}

// groupRatio is the smallest integer ratio by which 1 grows to ChunkItems in attempts-1 steps.
func (t Terms) groupRatio() int {
	for ratio := 2; ; ratio++ {
		reach := 1
		for range t.attempts() - 1 {
			reach = min(reach*ratio, ChunkItems)
		}
		if reach >= ChunkItems {
			return ratio
		}
	}
}

// intentGroup is the number of non-idempotent items that one write marks as intended.
const intentGroup = 64

// intendMore marks further open items as intended. It changes c, which the caller must have cloned.
func (c Chunk) intendMore(terms Terms) Chunk {
	if !terms.Idempotent {
		return c.intendGroup()
	}
	inFlight, limit := 0, ChunkItems
	for i, s := range c.Items {
		if s == Intended {
			inFlight++
			limit = min(limit, terms.groupLimit(c.Losses[i]))
		}
	}
	for losses := range terms.attempts() {
		group := min(limit, terms.groupLimit(byte(losses)))
		for i, s := range c.Items {
			if s != Open || int(c.Losses[i]) != losses || inFlight >= group {
				continue
			}
			c.Items[i] = Intended
			c.Attempts[i]++
			inFlight++
			limit = group
		}
	}
	return c
}

// intendGroup marks the next non-idempotent items as intended.
func (c Chunk) intendGroup() Chunk {
	remaining := intentGroup
	for i, s := range c.Items {
		if s == Open && remaining > 0 {
			c.Items[i] = Intended
			c.Attempts[i]++
			remaining--
		}
	}
	return c
}
