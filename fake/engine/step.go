package engine

import "time"

// Step ends the step that ends at or before now and starts the next one. It reports whether a
// step ended; call it until it reports false.
func (m *Model) Step(now time.Duration) bool {
	if !m.busy || m.stepEnd > now {
		return false
	}
	end := m.stepEnd
	m.endStep(end)
	m.startStep(end)
	return true
}

// startStep admits the requests that fit, divides the prompt tokens of the step among the sequences and
// sets the end of the step.
func (m *Model) startStep(now time.Duration) {
	m.memory.expire(now)
	m.admit(now)
	m.recordLoad(now)
	if len(m.running) == 0 {
		m.busy = false
		return
	}
	prefill, decoding := m.planStep()
	m.busy = true
	step := m.opts.StepBase +
		time.Duration(decoding)*m.opts.StepPerSequence +
		time.Duration(prefill)*m.opts.StepPerPrefill
	m.stepEnd = now + step
	m.Busy += step
}

// planStep assigns the step's prompt tokens to the sequences, the oldest first, and returns how many tokens
// it assigned and how many sequences decode.
func (m *Model) planStep() (prefill, decoding int) {
	remaining := m.opts.PrefillChunk
	for _, s := range m.running {
		s.prefillStep = min(remaining, s.prefillRemaining)
		remaining -= s.prefillStep
		prefill += s.prefillStep
		if s.prefillRemaining == 0 {
			decoding++
		}
	}
	return prefill, decoding
}

// admit moves requests from the queue to the running ones in order of arrival.
func (m *Model) admit(now time.Duration) {
	for m.waiting.Len() > 0 && len(m.running) < m.opts.MaxRunning {
		s := m.waiting.Front().Value.(*sequence)
		if !s.req.Fails && !m.allocate(now, s) {
			return
		}
		m.waiting.Remove(s.element)
		s.element = nil
		if !s.admitted && !s.req.Resume {
			m.ran[s.req.ID]++
			m.dispatched++
		}
		if s.req.Fails {
			delete(m.byID, s.req.ID)
			m.emit(s, Failed, 0)
			continue
		}
		if !s.admitted {
			m.emit(s, Admitted, 0)
		}
		s.admitted = true
		m.running = append(m.running, s)
	}
}

// allocate reserves the memory of a sequence and sets how much of its prompt must be computed. It reports
// false if the memory doesn't suffice.
func (m *Model) allocate(now time.Duration, s *sequence) bool {
	tokens := s.req.PromptTokens + s.next
	if b := m.memory.blocks[stateKey(s.req.ID)]; b != nil {
		m.memory.drop(b.key)
		tokens = b.tokens
		if !m.memory.reserve(tokens) {
			return false
		}
		s.kv, s.prefillRemaining = tokens, 0
		return true
	}
	own := tokens
	b := m.memory.blocks[prefixKey(s.req.Prefix)]
	if s.req.Prefix != 0 {
		own -= s.req.PrefixTokens
	}
	cached := b != nil
	if cached {
		m.memory.pin(b)
	}
	if !m.memory.reserve(own) {
		if cached {
			m.memory.unpin(b)
		}
		return false
	}
	s.kv, s.prefillRemaining, s.prefix = own, max(own, 1), b
	if s.req.Prefix != 0 && !cached {
		m.cachePrefix(now, s)
		s.prefillRemaining = tokens
	}
	if s.req.Resume {
		m.Recomputed += s.prefillRemaining
	}
	return true
}

// cachePrefix stores the prefix of a sequence that computes it; without free memory for it, the prefix is
// not cached.
func (m *Model) cachePrefix(now time.Duration, s *sequence) {
	b := m.memory.store(prefixKey(s.req.Prefix), s.req.PrefixTokens, 0)
	if b == nil {
		return
	}
	b.prefix = s.req.Prefix
	m.memory.pin(b)
	s.prefix = b
	m.recordCache(now, Stored, s.req.Prefix)
}

// endStep applies the progress of the step to each sequence and removes the finished ones.
func (m *Model) endStep(now time.Duration) {
	running := m.running
	unfinished := make([]*sequence, 0, len(running))
	for _, s := range running {
		if m.byID[s.req.ID] != s {
			continue
		}
		if m.advance(s) {
			unfinished = append(unfinished, s)
			continue
		}
		delete(m.byID, s.req.ID)
		m.release(now, s, false)
		m.emit(s, Finished, s.next)
	}
	m.running = unfinished
	m.growSequences(now)
	m.recordEvictions(now)
}

// advance computes the prompt part or the next token of s; it reports whether s continues.
func (m *Model) advance(s *sequence) bool {
	if s.prefillRemaining > 0 {
		s.prefillRemaining -= s.prefillStep
		m.Computed += s.prefillStep
		if s.prefillRemaining > 0 || s.prefillStep == 0 {
			return true
		}
	}
	if s.next < s.req.MaxTokens {
		m.emit(s, Token, s.next)
		s.next++
		m.Decoded++
	}
	return s.next < s.req.MaxTokens
}

// growSequences reserves one more KV token for each decoding sequence. While the memory doesn't suffice,
// it preempts the newest sequence.
func (m *Model) growSequences(now time.Duration) {
	for i := 0; i < len(m.running); i++ {
		s := m.running[i]
		if s.prefillRemaining > 0 {
			continue
		}
		for !m.memory.reserve(1) {
			newest := m.running[len(m.running)-1]
			m.running = m.running[:len(m.running)-1]
			m.release(now, newest, false)
			newest.element = m.waiting.PushFront(newest)
			m.Preempted++
			if newest == s {
				return
			}
		}
		s.kv++
	}
}
