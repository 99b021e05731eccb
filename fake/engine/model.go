package engine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// Request is one generation. It has no priority, since the engine knows none.
type Request struct {
	ID string
	// PromptTokens is the length of the complete prompt, the prefix included.
	PromptTokens int
	// Prefix identifies the shared start of the prompt; 0 means that the prompt has none.
	Prefix uint64
	// PrefixTokens is the length of the shared start.
	PrefixTokens int
	// MaxTokens is the length of the answer.
	MaxTokens int
	// Resume continues the stream of the same ID at token ResumeFrom.
	Resume     bool
	ResumeFrom int
	// Resumable reports that the client may resume the stream; the model doesn't use it.
	Resumable bool
	// Fails makes the request fail when it is admitted.
	Fails bool
}

// EventKind says what happened to a request.
type EventKind uint8

// Kinds of events.
const (
	// Admitted reports that the request runs.
	Admitted EventKind = iota
	// Token reports that the token with index Event.Index was generated.
	Token
	// Finished reports that the last token was generated.
	Finished
	// Failed reports a request that cannot be computed.
	Failed
)

// Event is one thing that happened to a request.
type Event struct {
	ID    string
	Kind  EventKind
	Index int
}

// sequence is a request with its state in the engine.
type sequence struct {
	req              Request
	element          *list.Element
	prefix           *block
	admitted         bool
	prefillRemaining int
	prefillStep      int
	// next is the index of the next token.
	next int
	// kv counts the KV tokens that the sequence holds, without those of its shared prefix block.
	kv int
}

// Model is an engine with continuous batching in virtual time. It is not safe for concurrent use.
//
// A step advances all running sequences; each decoding sequence and each prompt token makes it longer.
// Requests are admitted in order of arrival while there are free sequences and KV memory. When decoding
// finds no free memory, the newest sequence is preempted: it returns to the queue and is computed again.
type Model struct {
	opts       Options
	rng        *rand.Rand
	waiting    *list.List
	running    []*sequence
	byID       map[string]*sequence
	memory     memory
	stepEnd    time.Duration
	busy       bool
	events     []Event
	ran        map[string]int
	dispatched int
	loads      []Load
	cache      []CacheEvent
	// cacheSequence counts the cache events, the lost ones included.
	cacheSequence uint64
	// Computed counts prompt tokens, Decoded answer tokens, Preempted sequences returned to the queue.
	Computed, Decoded, Preempted int
	// Recomputed counts the tokens computed again for resumes whose state was no longer saved.
	Recomputed int
	// Busy is the time spent in steps.
	Busy time.Duration
}

// NewModel returns an idle engine.
func NewModel(opts Options) *Model {
	return &Model{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		waiting: list.New(),
		byID:    map[string]*sequence{},
		memory:  newMemory(opts.KVTokens),
		ran:     map[string]int{},
	}
}

// Submit queues a request; an idle engine starts a step at once. A resume of a request that is still
// present continues that one; any other request with the ID of a present one replaces it and runs anew.
func (m *Model) Submit(now time.Duration, r Request) {
	if old := m.byID[r.ID]; old != nil {
		if r.Resume {
			m.announce(old)
			return
		}
		m.remove(now, old, false)
	}
	s := &sequence{req: r, next: r.ResumeFrom}
	m.byID[r.ID] = s
	s.element = m.waiting.PushBack(s)
	if !m.busy {
		m.startStep(now)
	}
}

// announce reports the admission of a sequence again, to the stream that resumes it.
func (m *Model) announce(s *sequence) {
	if s.admitted {
		m.emit(s, Admitted, 0)
	}
}

// Cancel ends a request and drops its state. It reports whether the request was present.
func (m *Model) Cancel(now time.Duration, id string) bool {
	s := m.byID[id]
	if s == nil {
		m.memory.drop(stateKey(id))
		return false
	}
	m.remove(now, s, false)
	return true
}

// Pause ends a request and saves its state for a resume during Options.KeepState; the state may be evicted
// before.
func (m *Model) Pause(now time.Duration, id string) bool {
	s := m.byID[id]
	if s == nil {
		return false
	}
	m.remove(now, s, true)
	return true
}

// Crash drops all requests, the cache and the saved states. Counters of requests remain.
func (m *Model) Crash() {
	m.waiting.Init()
	m.running = nil
	m.byID = map[string]*sequence{}
	m.memory = newMemory(m.opts.KVTokens)
	m.busy = false
	m.events = nil
	m.loads = nil
}

// Ran returns how often the request was admitted anew; a resume is not counted.
func (m *Model) Ran(id string) int { return m.ran[id] }

// Dispatches returns how many requests were admitted anew.
func (m *Model) Dispatches() int { return m.dispatched }

// Progress returns the next token index of a present request, and whether it is present.
func (m *Model) Progress(id string) (int, bool) {
	s := m.byID[id]
	if s == nil {
		return 0, false
	}
	return s.next, true
}

// Next returns the end of the current step; an idle engine has none.
func (m *Model) Next() (time.Duration, bool) { return m.stepEnd, m.busy }

// Events returns the events since the last call. The model doesn't reuse the slice.
func (m *Model) Events() []Event {
	events := m.events
	m.events = m.events[:0:0]
	return events
}

func (m *Model) emit(s *sequence, kind EventKind, index int) {
	m.events = append(m.events, Event{ID: s.req.ID, Kind: kind, Index: index})
}

// remove removes a sequence from the engine and frees its memory, or saves its state if keep is set.
func (m *Model) remove(now time.Duration, s *sequence, keep bool) {
	delete(m.byID, s.req.ID)
	if s.element != nil {
		m.waiting.Remove(s.element)
		s.element = nil
		return
	}
	for i, other := range m.running {
		if other == s {
			m.running = append(m.running[:i], m.running[i+1:]...)
			break
		}
	}
	m.release(now, s, keep)
}

// release frees the memory of a running sequence, and saves its state if keep is set and its prompt is
// computed.
func (m *Model) release(now time.Duration, s *sequence, keep bool) {
	m.memory.free(s.kv)
	if s.prefix != nil {
		m.memory.unpin(s.prefix)
		s.prefix = nil
	}
	if keep && s.prefillRemaining == 0 && s.kv > 0 {
		m.memory.store(stateKey(s.req.ID), s.kv, now+m.opts.KeepState)
	}
	s.kv = 0
}
