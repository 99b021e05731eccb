// Package job decides the steps of batch jobs: their records, chunks and leases, and which work to offer.
//
// A job is a list of items in chunks of up to ChunkItems. A chunk is claimed by a conditional
// update of its record; the object's version is the fence, and the record carries the owner, a
// fencing number and the state of each item. An item is marked Intended, and its attempt counted,
// by a durable write before it is dispatched. A claim that lapses leaves Intended items open: they
// are tried again in smaller and smaller groups, or end as Unknown when they are not idempotent.
//
// All values are immutable. Functions take the current time as now and do no I/O.
//
// Usage:
//
//	head := job.NewHead(spec, now)
//	chunk, decided, err := job.Claim(job.NewChunk(ref.Items), owner, head.Terms)
//	held := job.NewHeldChunk(chunk, head.Terms, job.DefaultLease, started)
//	held, indexes := held.Take(now, 16)
//	held, ok := held.Done(indexes[0], job.Succeeded)
//	write, due := held.NextWrite(now)
package job

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Limits of a job.
const (
	// ChunkItems is the largest number of items in a chunk.
	ChunkItems = 256
	// MaxItems is the largest number of items in a job.
	MaxItems = 51_000
	// MinAttempts is the smallest effective MaxAttempts: the last attempt of an item runs alone in its
	// chunk, so that it is never blamed for another item.
	MinAttempts = 2
)

var (
	// ErrTerminal means that the job has ended or is being cancelled.
	ErrTerminal = merry.Sentinel("the job's state is final")
	// ErrNotAccepted means that the job's input is not complete yet.
	ErrNotAccepted = merry.Sentinel("the job is not accepted yet")
)

// State is the state of a job.
type State uint8

// States of a job. Uploading precedes acceptance; Completed, Cancelled and Aborted are terminal.
const (
	Uploading State = iota + 1
	Running
	Cancelling
	Cancelled
	Completed
	// Aborted is an upload that was abandoned; the job was never accepted.
	Aborted
)

// String returns the state as OpenAI's batch status.
func (s State) String() string {
	names := [...]string{"", "validating", "in_progress", "cancelling", "cancelled", "completed", "failed"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Terminal reports whether the state never changes again.
func (s State) Terminal() bool { return s == Cancelled || s == Completed || s == Aborted }

// Terms are the conditions that a job's items run under.
type Terms struct {
	// MaxAttempts bounds the dispatches of one item.
	MaxAttempts int `msgpack:"m"`
	// Idempotent reports that items may be dispatched again.
	Idempotent bool `msgpack:"i"`
}

// Counts are numbers of items by outcome.
type Counts struct {
	Succeeded int `msgpack:"s"`
	Failed    int `msgpack:"f"`
	Unknown   int `msgpack:"u"`
	Cancelled int `msgpack:"c"`
}

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	c.Succeeded += o.Succeeded
	c.Failed += o.Failed
	c.Unknown += o.Unknown
	c.Cancelled += o.Cancelled
	return c
}

// Total returns the number of items with an outcome.
func (c Counts) Total() int { return c.Succeeded + c.Failed + c.Unknown + c.Cancelled }

// ChunkRef locates the input of one chunk.
type ChunkRef struct {
	// Items is the number of items in the chunk.
	Items int `msgpack:"n"`
	// Block is the index of the input block, and At the chunk's position in it.
	Block int `msgpack:"b"`
	At    int `msgpack:"a"`
}

// Head is the record of a job. Wall times are used only for display, deadlines and retention.
type Head struct {
	ID       string            `msgpack:"id"`
	Team     string            `msgpack:"t"`
	Account  string            `msgpack:"ac"`
	Class    string            `msgpack:"cl"`
	Model    string            `msgpack:"mo"`
	Endpoint string            `msgpack:"ep"`
	Metadata map[string]string `msgpack:"me"`
	Window   string            `msgpack:"wi"`
	// InputFile names the uploaded file that the items came from.
	InputFile string `msgpack:"if"`
	// Content is the hash of all items.
	Content   string        `msgpack:"co"`
	Created   time.Time     `msgpack:"cr"`
	Deadline  time.Time     `msgpack:"de"`
	Retention time.Duration `msgpack:"re"`
	Weight    int           `msgpack:"we"`
	Terms     Terms         `msgpack:"te"`
	Items     int           `msgpack:"n"`
	Chunks    []ChunkRef    `msgpack:"ch"`
	// Blocks are the keys of the input blocks.
	Blocks []string `msgpack:"bl"`
	State  State    `msgpack:"st"`
	// Writer and Seq make every written value unique.
	Writer string `msgpack:"w"`
	Seq    uint64 `msgpack:"q"`
	// CancelledAt and Ended are zero until the event.
	CancelledAt time.Time `msgpack:"ca"`
	Ended       time.Time `msgpack:"en"`
	// Counts is final once the job has ended.
	Counts Counts `msgpack:"cn"`
	// Unclaimed lists the chunks of a cancelled job that nobody had claimed. All their items are
	// cancelled, whatever a late claim may have written since.
	Unclaimed []int `msgpack:"un"`
}

// WithWriter returns a copy that is marked as the next write of writer.
func (h Head) WithWriter(writer string) Head {
	h.Writer = writer
	h.Seq++
	return h
}

// Accept returns the head of an uploaded job as accepted at now.
func (h Head) Accept(now time.Time) (Head, error) {
	if h.State != Uploading {
		return h, merry.Errorf("accept job %s in state %s: %w", h.ID, h.State, ErrTerminal)
	}
	h.State = Running
	h.Deadline = now.Add(h.Deadline.Sub(h.Created))
	return h, nil
}

// Abort returns the head of an upload that is abandoned.
func (h Head) Abort(now time.Time) (Head, error) {
	if h.State != Uploading {
		return h, merry.Errorf("abort job %s in state %s: %w", h.ID, h.State, ErrTerminal)
	}
	h.State = Aborted
	h.Ended = now
	return h, nil
}

// Cancel returns the head with cancellation accepted at now. A job that is being cancelled stays
// as it is, without an error.
func (h Head) Cancel(now time.Time) (Head, error) {
	switch h.State {
	case Running:
		h.State = Cancelling
		h.CancelledAt = now
		return h, nil
	case Cancelling, Cancelled:
		return h, nil
	case Uploading:
		return h, merry.Errorf("cancel job %s: %w", h.ID, ErrNotAccepted)
	default:
		return h, merry.Errorf("cancel job %s in state %s: %w", h.ID, h.State, ErrTerminal)
	}
}

// Finish returns the head with its final state: Completed from Running, Cancelled from Cancelling.
// It reports false while items lack an outcome.
func (h Head) Finish(now time.Time, counts Counts, unclaimed []int) (Head, bool) {
	if counts.Total() != h.Items {
		return h, false
	}
	switch h.State {
	case Running:
		h.State = Completed
	case Cancelling:
		h.State = Cancelled
	default:
		return h, false
	}
	h.Counts = counts
	h.Unclaimed = unclaimed
	h.Ended = now
	return h, true
}
