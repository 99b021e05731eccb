package job

import (
	"context"
	"fmt"
	"time"

	"mothcart/core/job"
	"mothcart/io/store"
)

// Item is one claimed item, to be dispatched now.
type Item struct {
	// Job and Index identify the item; CustomID is the caller's name of it.
	Job      string
	Index    int
	CustomID string
	Team     string
	Model    string
	Endpoint string
	// Body is the request body for the upstream.
	Body []byte
	// Idempotent reports that the item may be sent again.
	Idempotent bool
	// Deadline is the job's, by the wall clock.
	Deadline time.Time
	// Attempt counts the dispatches of the item from 1.
	Attempt int
	// Alone reports that this is the last attempt of an item that may have crashed workers. It
	// should run on an engine without other batch items.
	Alone bool

	ctx      context.Context
	chunk    *heldChunk
	position int
}

// Context ends when the item must stop: its job was cancelled, or this VM lost the claim. An item
// that is not idempotent keeps running when the lease lapses, since stopping it would not undo it.
func (i Item) Context() context.Context { return i.ctx }

// ID identifies this attempt of the item. An item that was returned keeps its ID, so that the upstream
// can resume the attempt.
func (i Item) ID() string { return fmt.Sprintf("%s-%d-%d", i.Job, i.Index, i.Attempt) }

// Result is the outcome of one attempt of a dispatched item.
type Result struct {
	// Status and Body are the upstream's complete answer; any status is a final outcome unless Retry
	// is set. A status of 400 or above counts as failed.
	Status int
	Body   []byte
	// Retry reports a failed attempt after which another one may succeed. It counts as an attempt; the
	// last attempt decides the outcome. An item that is not idempotent becomes unknown.
	Retry bool
	// Lost reports that the upstream crashed or stopped responding while it ran the item, and that the
	// item may be the cause. Lost implies Retry.
	Lost bool
	// Error describes the failure.
	Error string
}

// maxAnswerBytes is the largest answer body that is stored.
const maxAnswerBytes = 900 << 10

func (r Result) failed() bool { return r.Error != "" || r.Status >= 400 || r.Status == 0 }

// bounded replaces an answer that is too large to be stored by an error.
func (r Result) bounded() Result {
	if len(r.Body) <= maxAnswerBytes {
		return r
	}
	r.Body = nil
	r.Error = "the answer is over the largest size that is kept"
	return r
}

// heldChunk is a chunk that this VM holds. Its fields are guarded by Jobs.mu, but for the immutable
// first group.
type heldChunk struct {
	head job.Head
	// index is the chunk's index in the job, first the index of its first item in the job.
	index  int
	first  int
	fence  uint64
	inputs []input
	// inputBytes is the total size of the items' bodies.
	inputBytes int

	state   job.HeldChunk
	version store.Version
	// pending are the outcomes that are not durable yet, by position in the chunk.
	pending      map[int]Outcome
	pendingBytes int
	ctx          context.Context
	cancel       context.CancelFunc
	lastTake     time.Time
	retryAt      time.Time
	// backoff is the pause after the last write if it failed, else 0.
	backoff time.Duration
	// unresolvedSince is the start of the earliest write whose outcome is unknown; zero if there is none.
	unresolvedSince time.Time
	queued          bool
	// failing reports that the last write failed.
	failing bool
	// stopping reports that the job is cancelled, releasing that the chunk is being released, dropped
	// that it is not held any more.
	stopping, releasing, dropped bool
}

// heldSet is the chunks that a VM holds, in order of their claims.
type heldSet struct{ byModel map[string][]*heldChunk }

func newHeldSet() heldSet { return heldSet{byModel: map[string][]*heldChunk{}} }

func (s heldSet) all() []*heldChunk {
	var all []*heldChunk
	for _, list := range s.byModel {
		all = append(all, list...)
	}
	return all
}

func (s heldSet) count() int {
	n := 0
	for _, list := range s.byModel {
		n += len(list)
	}
	return n
}

// inputBytes returns the size of all items held.
func (s heldSet) inputBytes() int {
	n := 0
	for _, list := range s.byModel {
		for _, h := range list {
			n += h.inputBytes
		}
	}
	return n
}

func (s heldSet) add(h *heldChunk) {
	model := h.head.Model
	s.byModel[model] = append(s.byModel[model], h)
}

func (s heldSet) remove(h *heldChunk) {
	model := h.head.Model
	var remaining []*heldChunk
	for _, o := range s.byModel[model] {
		if o != h {
			remaining = append(remaining, o)
		}
	}
	s.byModel[model] = remaining
	if len(remaining) == 0 {
		delete(s.byModel, model)
	}
}

func (s heldSet) ready(model string) int {
	n := 0
	for _, h := range s.byModel[model] {
		if !h.stopping && !h.releasing {
			n += h.state.Ready()
		}
	}
	return n
}
