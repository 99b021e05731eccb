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
	// Alone reports that this is the last attempt of an item that may have killed workers. It
	// should run on an engine without other batch items.
	Alone bool

	ctx   context.Context
	held  *held
	place int
}

// Context ends when the item must stop: its job was cancelled, or this VM lost the claim. An item
// that is not idempotent goes on when a lease lapses, since stopping it would not undo it.
func (i Item) Context() context.Context { return i.ctx }

// ID names this attempt of the item. An item that was given back keeps it, so that the upstream can
// resume the attempt.
func (i Item) ID() string { return fmt.Sprintf("%s-%d-%d", i.Job, i.Index, i.Attempt) }

// Result is what became of a dispatched item.
type Result struct {
	// Status and Body are the upstream's whole answer; any status is a final outcome unless Retry
	// is set. A status of 400 or above counts as failed.
	Status int
	Body   []byte
	// Retry reports a failed attempt that another one may mend. It counts as an attempt; the last
	// one makes the outcome. An item that is not idempotent becomes unknown.
	Retry bool
	// Lost reports that the upstream died or went silent with the item, which may be the cause.
	// It implies Retry.
	Lost bool
	// Error says what went wrong.
	Error string
}

// maxAnswerBytes is the largest answer that is kept.
const maxAnswerBytes = 900 << 10

func (r Result) failed() bool { return r.Error != "" || r.Status >= 400 || r.Status == 0 }

// bounded replaces an answer that is too large to keep by an error.
func (r Result) bounded() Result {
	if len(r.Body) <= maxAnswerBytes {
		return r
	}
	r.Body = nil
	r.Error = "the answer is over the largest size that is kept"
	return r
}

// held is a chunk that this VM holds. Its fields are guarded by Jobs.mu, but for the immutable
// first group.
type held struct {
	head   job.Head
	chunk  int
	first  int
	fence  uint64
	inputs []input
	// inputBytes is the size of the items' bodies.
	inputBytes int

	hold    job.HeldChunk
	version store.Version
	// bodies are the outcomes that are not durable yet, by place in the chunk.
	bodies    map[int]Outcome
	handBytes int
	ctx       context.Context
	cancel    context.CancelFunc
	lastTake  time.Time
	retryAt   time.Time
	// pause is the time between the last two tries of a write that failed.
	pause time.Duration
	// unresolvedSince is the start of the earliest write whose outcome is unknown; zero without.
	unresolvedSince time.Time
	queued          bool
	// failing reports that the last write did not come through.
	failing bool
	// stopping reports that the job is cancelled, releasing that the chunk is being given up, gone
	// that it is not held any more.
	stopping, releasing, gone bool
}

// holdSet is the chunks that a VM holds, in order of their claims.
type holdSet struct{ byModel map[string][]*held }

func newHoldSet() holdSet { return holdSet{byModel: map[string][]*held{}} }

func (s holdSet) all() []*held {
	var all []*held
	for _, list := range s.byModel {
		all = append(all, list...)
	}
	return all
}

func (s holdSet) count() int {
	n := 0
	for _, list := range s.byModel {
		n += len(list)
	}
	return n
}

// inputBytes returns the size of all items held.
func (s holdSet) inputBytes() int {
	n := 0
	for _, list := range s.byModel {
		for _, h := range list {
			n += h.inputBytes
		}
	}
	return n
}

func (s holdSet) add(h *held) {
	model := h.head.Model
	s.byModel[model] = append(s.byModel[model], h)
}

func (s holdSet) remove(h *held) {
	model := h.head.Model
	var kept []*held
	for _, o := range s.byModel[model] {
		if o != h {
			kept = append(kept, o)
		}
	}
	s.byModel[model] = kept
	if len(kept) == 0 {
		delete(s.byModel, model)
	}
}

func (s holdSet) ready(model string) int {
	n := 0
	for _, h := range s.byModel[model] {
		if !h.stopping && !h.releasing {
			n += h.hold.Ready()
		}
	}
	return n
}
