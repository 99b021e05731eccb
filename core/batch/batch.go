// Package batch holds the state of a batch job: the accepted items and their results.
//
// A Log is a job with its results in order. Results are only appended, in chunks that each name the
// position of their first result. The store accepts a single chunk for each position, so that all VMs see
// the same results at the same positions, whichever VM ran the items.
//
// Usage:
//
//	log := batch.NewLog(job)
//	log, err := log.WithChunk(batch.Chunk{From: 0, Results: results})
//	results, next := log.Page(0, 1<<20)
package batch

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"mothcart/core/plainjson"
)

// Item is one request of a job.
type Item struct {
	ID string `json:"id"`
	// Path holds the escaped path and the query.
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body"`
	// Tokens is the size of the prompt plus that of the longest output.
	Tokens int64 `json:"tokens"`
}

// Job is a job as it was accepted. Values are immutable.
type Job struct {
	ID string `json:"-"`
	// Host and Path select the route of the job.
	Host string `json:"host"`
	Path string `json:"path"`
	// Account is the client account that submitted the job; empty if the deployment had none.
	Account string `json:"account,omitempty"`
	Items   []Item `json:"items"`
	// Parts is the number of objects that hold the items of a job that is too large for one object.
	Parts int `json:"parts,omitempty"`
	// PartTokens is the sum of the tokens of the items in these objects; 0 if a node of an earlier release wrote the job.
	PartTokens int64 `json:"partTokens,omitempty"`
	// AcceptedAt is the wall-clock time of the acceptance. It orders jobs and determines when results may
	// be removed; no lease or fence depends on it.
	AcceptedAt time.Time `json:"acceptedAt"`
}

// OwnedBy reports whether an account may read and end the job. A job without an account, which was accepted before the
// deployment had any, belongs to all.
func (j Job) OwnedBy(account string) bool { return j.Account == "" || j.Account == account }

// WithItems returns the job with other items, all in one part.
func (j Job) WithItems(items []Item) Job {
	j.Items, j.Parts, j.PartTokens = items, 0, 0
	return j
}

// Split returns the items in groups of about maxBytes (see Item.size) at most, with at least one item each.
func (j Job) Split(maxBytes int) [][]Item {
	var groups [][]Item
	size := 0
	for _, i := range j.Items {
		n := i.size()
		if len(groups) == 0 || size+n > maxBytes {
			groups = append(groups, nil)
			size = 0
		}
		size += n
		groups[len(groups)-1] = append(groups[len(groups)-1], i)
	}
	return groups
}

// itemOverhead is the size of an item in an object without its texts, in bytes.
const itemOverhead = 100

// size estimates the item's size in an object, in bytes; the body is stored as base64.
func (i Item) size() int {
	n := itemOverhead + len(i.ID) + len(i.Path) + len(i.Body)*4/3
	for name, value := range i.Header {
		n += len(name) + len(value)
	}
	return n
}

// Tokens returns the sum of the items' tokens.
func (j Job) Tokens() int64 {
	var n int64
	for _, i := range j.Items {
		n += i.Tokens
	}
	return n
}

// Item returns the item with an ID.
func (j Job) Item(id string) (Item, bool) {
	i := slices.IndexFunc(j.Items, func(i Item) bool { return i.ID == id })
	if i < 0 {
		return Item{}, false
	}
	return j.Items[i], true
}

// State is how an item ended.
type State string

const (
	// Completed items have their complete output as text.
	Completed State = "completed"
	// Failed items can't be run or were abandoned.
	Failed State = "failed"
)

// Result is how one item ended.
type Result struct {
	Item  string `json:"item" msgpack:"i"`
	State State  `json:"state" msgpack:"s"`
	// Text is the data of all events of the output, joined by line feeds.
	Text string `json:"text" msgpack:"t"`
}

// Chunk is a group of results that is written at once. A chunk without results is a seal: it uses up the
// position at which an earlier writer would append.
type Chunk struct {
	// From is the position of the first result, counted from 0.
	From int `json:"from"`
	// Term is the term of the home that wrote the chunk.
	Term    int64    `json:"term"`
	Results []Result `json:"results,omitempty"`
}

var (
	// ErrPosition means that a chunk doesn't follow the results before it.
	ErrPosition = errors.New("chunk is not at the end of the results")
	// ErrItem means that a result names an item that the job doesn't have or that has a result already.
	ErrItem = errors.New("result of an item that is not open")
)

// Log is a job with its results. Values are immutable.
type Log struct {
	job     Job
	results []Result
	// sizes are those of the results, see Result.size.
	sizes  []int
	listed map[string]struct{}
	chunks int
	// term is the greatest term of the chunks.
	term  int64
	ended bool
}

// NewLog returns the log of a job without results.
func NewLog(job Job) Log { return Log{job: job, listed: map[string]struct{}{}} }

// Job returns the job.
func (l Log) Job() Job { return l.job }

// Len returns the number of results.
func (l Log) Len() int { return len(l.results) }

// Chunks returns the number of chunks; the next one is written under this number.
func (l Log) Chunks() int { return l.chunks }

// Term returns the greatest term of the homes that wrote the chunks.
func (l Log) Term() int64 { return l.term }

// Ended reports whether the job was ended by its owner.
func (l Log) Ended() bool { return l.ended }

// Done reports whether no item of the job remains to be run.
func (l Log) Done() bool { return l.ended || len(l.results) == len(l.job.Items) }

// Listed reports whether an item has a result.
func (l Log) Listed(item string) bool {
	_, ok := l.listed[item]
	return ok
}

// WithChunk returns the log with a chunk appended. The error is ErrPosition or ErrItem.
func (l Log) WithChunk(c Chunk) (Log, error) {
	if c.From != len(l.results) {
		return l, fmt.Errorf("job %s: chunk at %d of %d: %w", l.job.ID, c.From, len(l.results), ErrPosition)
	}
	listed := maps.Clone(l.listed)
	for _, r := range c.Results {
		_, exists := l.job.Item(r.Item)
		if _, duplicate := listed[r.Item]; duplicate || !exists {
			return l, fmt.Errorf("job %s: item %s: %w", l.job.ID, r.Item, ErrItem)
		}
		listed[r.Item] = struct{}{}
	}
	l.results, l.sizes = append(slices.Clip(l.results), c.Results...), slices.Clip(l.sizes)
	for _, r := range c.Results {
		l.sizes = append(l.sizes, r.size())
	}
	l.listed = listed
	l.chunks++
	l.term = max(l.term, c.Term)
	return l, nil
}

// WithoutListedBodies returns the log without the bodies and headers of the items that have results, which need
// no further run.
func (l Log) WithoutListedBodies() Log {
	items := slices.Clone(l.job.Items)
	for i := range items {
		if l.Listed(items[i].ID) {
			items[i].Body, items[i].Header = nil, nil
		}
	}
	l.job.Items = items
	return l
}

// WithEnded returns the log of a job that its owner has ended; the results so far remain.
func (l Log) WithEnded() Log {
	l.ended = true
	return l
}

// Open returns the items without a result, in the order of the job; none once the job has ended.
func (l Log) Open() []Item {
	if l.ended {
		return nil
	}
	var out []Item
	for _, i := range l.job.Items {
		if !l.Listed(i.ID) {
			out = append(out, i)
		}
	}
	return out
}

// OpenTokens returns the sum of the open items' tokens.
func (l Log) OpenTokens() int64 {
	var n int64
	for _, i := range l.Open() {
		n += i.Tokens
	}
	return n
}

// resultOverhead is the size of a result in an answer without its text, in bytes.
const resultOverhead = 100

// size returns the size of a result in an answer in JSON, in bytes.
func (r Result) size() int { return plainjson.Size(r.Text) + resultOverhead }

// Page returns the results from position after on, up to maxBytes of JSON but at least one if there are any, and
// the position that follows them.
func (l Log) Page(after, maxBytes int) ([]Result, int) {
	after = min(max(after, 0), len(l.results))
	next, size := after, 0
	for next < len(l.results) {
		size += l.sizes[next]
		if next > after && size > maxBytes {
			break
		}
		next++
	}
	return slices.Clip(l.results[after:next]), next
}
