package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// answer waits for admission, then sends the complete answer or streams it.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *stream) {
	for p := e.progress(s); !p.admitted; p = e.progress(s) {
		if p.ending != endNone {
			writeFailure(w, s, p.ending)
			return
		}
		if !s.wait(r) {
			return
		}
	}
	w.Header().Set(HeaderRequestID, s.shownID)
	if s.streaming {
		e.answerStream(w, r, s)
		return
	}
	e.answerComplete(w, r, s)
}

// wait waits for a change of the stream; it reports false when the client has disconnected.
func (s *stream) wait(r *http.Request) bool {
	select {
	case <-s.changed:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeFailure answers a request that ended without a result. If it was aborted or replaced, its connection is
// closed instead.
func writeFailure(w http.ResponseWriter, s *stream, end ending) {
	switch end {
	case endFailed:
		writeError(w, s.id, http.StatusInternalServerError, "computation_failed", "the request cannot be computed")
	case endCancelled:
		writeError(w, s.id, http.StatusConflict, "request_cancelled", "the request was cancelled")
	default:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) answerComplete(w http.ResponseWriter, r *http.Request, s *stream) {
	p := e.progress(s)
	for ; p.ending == endNone; p = e.progress(s) {
		if !s.wait(r) {
			return
		}
	}
	if p.ending != endFinished {
		writeFailure(w, s, p.ending)
		return
	}
	if s.isStalled {
		<-r.Context().Done()
		return
	}
	text := Answer(s.model, s.prompt, s.limit)
	reason := "length"
	c := choice{FinishReason: &reason}
	object := objectCompletion
	if s.chat {
		object = objectChat
		c.Message = &delta{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	writeJSON(w, http.StatusOK, completion{
		ID: s.shownID, Object: object, Created: unixNow(), Model: s.model,
		Choices: []choice{c}, Usage: s.usage(),
	})
}

func (s *stream) usage() *usage {
	prompt := tokens(s.prompt)
	return &usage{PromptTokens: prompt, CompletionTokens: s.limit, TotalTokens: prompt + s.limit}
}

func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, s *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	created := unixNow()
	next := s.from
	stallAt := s.limit
	if s.isStalled {
		stallAt = (s.from + s.limit) / 2
	}
	for {
		p := e.progress(s)
		if p.available > next && next < stallAt {
			to := min(p.available, stallAt)
			s.writeTokens(w, created, next, to)
			next = to
			if flusher.Flush() != nil {
				return
			}
		}
		if s.isStalled && next >= stallAt {
			<-r.Context().Done()
			return
		}
		if next >= s.limit {
			s.writeEnd(w, created)
			_ = flusher.Flush()
			return
		}
		if p.ending != endNone && p.ending != endFinished {
			panic(http.ErrAbortHandler)
		}
		if !s.wait(r) {
			return
		}
	}
}

// writeTokens sends the tokens from index from up to index to, exclusive; the SSE id of a chunk is its
// token index.
func (s *stream) writeTokens(w http.ResponseWriter, created int64, from, to int) {
	for i := from; i < to; i++ {
		at := i
		if s.isShuffled && i/2*2+1 < s.limit && s.from == 0 {
			at = i ^ 1
		}
		token := tokenAt(s.hash, at)
		c := choice{}
		object := objectCompletion
		if s.chat {
			object = objectChat + ".chunk"
			c.Delta = &delta{Content: token}
		} else {
			c.Text = &token
		}
		s.writeChunk(w, strconv.Itoa(at), completion{
			ID: s.shownID, Object: object, Created: created, Model: s.model, Choices: []choice{c},
		})
	}
}

// writeEnd sends the chunk with the usage and then the [DONE] marker.
func (s *stream) writeEnd(w http.ResponseWriter, created int64) {
	reason := "length"
	c := choice{FinishReason: &reason}
	object := objectCompletion
	if s.chat {
		object = objectChat + ".chunk"
		c.Delta = &delta{}
	} else {
		c.Text = new(string)
	}
	s.writeChunk(w, "", completion{
		ID: s.shownID, Object: object, Created: created, Model: s.model, Choices: []choice{c}, Usage: s.usage(),
	})
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func (s *stream) writeChunk(w http.ResponseWriter, id string, c completion) {
	data, _ := json.Marshal(c)
	b := strings.Builder{}
	if id != "" {
		b.WriteString("id: " + id + "\n")
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	_, _ = w.Write([]byte(b.String()))
}
