package engine

import (
	"net/http"
	"strconv"

	"github.com/google/uuid"
)

// ending says how a stream ended.
type ending uint8

const (
	endNone ending = iota
	endFinished
	endFailed
	endCancelled
	// endAborted ends a stream and its connection, without an error answer.
	endAborted
	// endReplaced ends a stream when another call with its request ID, such as a resume, replaces it.
	endReplaced
)

// stream is one open answer. The fields declared after changed are guarded by Engine.mu.
type stream struct {
	id, model, prompt string
	hash              uint64
	limit, from       int
	chat, streaming   bool
	resumable         bool
	crashes           bool
	isStalled         bool
	isShuffled        bool
	// shownID is the ID in the answer; a mismatched answer carries another request's ID.
	shownID string
	changed chan struct{}

	admitted bool
	// available is the index after the last token generated.
	available int
	ending    ending
}

func (s *stream) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *stream) fail(end ending) {
	s.ending = end
	s.notify()
}

func (s *stream) apply(e Event) {
	switch e.Kind {
	case Admitted:
		s.admitted = true
	case Token:
		s.available = max(s.available, e.Index+1)
	case Finished:
		s.available = s.limit
		s.ending = endFinished
	case Failed:
		s.ending = endFailed
	}
	s.notify()
}

// progress is the state of a stream that its handler reads.
type progress struct {
	admitted  bool
	available int
	ending    ending
}

func (e *Engine) progress(s *stream) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{admitted: s.admitted, available: s.available, ending: s.ending}
}

// open registers a stream and submits its request.
func (e *Engine) open(r *http.Request, g generation, s *stream, prefix string) {
	resumeFrom, err := strconv.Atoi(r.Header.Get(HeaderResumeFrom))
	resume := err == nil
	s.from = max(0, resumeFrom)
	s.available = s.from
	s.limit = limitOf(g, e.opts.DefaultTokens)
	s.resumable = r.Header.Get(HeaderResumable) == "1"
	req := Request{
		ID:           s.id,
		PromptTokens: tokens(s.prompt),
		MaxTokens:    s.limit,
		Resume:       resume,
		ResumeFrom:   min(s.from, s.limit-1),
		Resumable:    s.resumable,
		Fails:        containsMark(s.prompt, failMark),
	}
	if prefix != "" {
		req.Prefix = promptHash(s.model, prefix)
		req.PrefixTokens = tokens(prefix)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setFaults(s)
	if old := e.streams[s.id]; old != nil {
		old.fail(endReplaced)
		s.admitted = old.admitted
	}
	e.streams[s.id] = s
	if next, present := e.model.Progress(s.id); present && resume {
		s.available = max(s.available, next)
	}
	e.model.Submit(e.now(), req)
	e.wakeLoop()
}

// setFaults selects the faults of a stream at random.
func (e *Engine) setFaults(s *stream) {
	s.shownID = s.id
	s.isStalled = e.rng.Float64() < e.stalledShare
	s.isShuffled = e.rng.Float64() < e.shuffledShare
	if e.rng.Float64() >= e.mismatchedShare {
		return
	}
	s.shownID = uuid.NewString()
	for id := range e.streams {
		s.shownID = id
		break
	}
}

// close removes a stream whose handler ends; a request that is still running is paused or cancelled.
func (e *Engine) close(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] != s {
		return
	}
	delete(e.streams, s.id)
	if s.ending != endNone {
		return
	}
	if s.resumable {
		e.model.Pause(e.now(), s.id)
		return
	}
	e.model.Cancel(e.now(), s.id)
}

// cancel ends a request by ID.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := e.model.Cancel(e.now(), id)
	if s := e.streams[id]; s != nil && s.ending == endNone {
		s.fail(endCancelled)
		delete(e.streams, id)
		found = true
	}
	return found
}
