package ledger

import (
	"context"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/io/clock"
)

const (
	// inlineBytes is the largest body that is stored in the record itself, in bytes.
	inlineBytes = 8 << 10
	// partBytes is the largest part of a body, in bytes; an object holds at most 1 MiB.
	partBytes = 1000 << 10
	// maxPayloadBytes is the largest payload that is made durable, in bytes.
	maxPayloadBytes = 8 << 20
)

// readParts returns the body with the contents of its parts appended.
func (s *shard) readParts(ctx context.Context, body []byte, parts []string) ([]byte, error) {
	for _, key := range parts {
		value, err := s.readObject(ctx, key)
		if err != nil {
			return nil, merry.Errorf("read part: %w", err)
		}
		body = append(body, value...)
	}
	return body, nil
}

// putParts writes a large body into separate objects and returns their keys.
func (s *shard) putParts(ctx context.Context, body []byte) ([]string, error) {
	var parts []string
	for len(body) > 0 {
		n := min(len(body), partBytes)
		key := s.newKey(partKind)
		if err := s.putObject(ctx, key, body[:n]); err != nil {
			return nil, merry.Errorf("write part: %w", err)
		}
		parts = append(parts, key)
		body = body[n:]
	}
	return parts, nil
}

// movePayload writes a large payload into separate objects if another home may need it.
func (s *shard) movePayload(ctx context.Context, q *core.Request) error {
	if len(q.Payload) <= inlineBytes || (!q.Idempotent && !q.Async) {
		return nil
	}
	if len(q.Payload) > maxPayloadBytes {
		return merry.Errorf("payload of %d bytes is over %d", len(q.Payload), maxPayloadBytes)
	}
	s.mu.Lock()
	r, exists := s.state.Record(q.ID)
	s.mu.Unlock()
	if exists && (r.Async || r.State.Final()) {
		return nil
	}
	parts, err := s.putParts(ctx, q.Payload)
	if err != nil {
		return merry.Errorf("keep payload: %w", err)
	}
	q.Payload, q.PayloadParts = nil, parts
	return nil
}

// moveAnswer writes a large answer into separate objects. It retries until that succeeds or ctx ends, however
// long the object service is unreachable. The waiters are notified at once that the outcome is pending.
func (s *shard) moveAnswer(ctx context.Context, r core.Record, a core.Answer) (core.Answer, error) {
	if len(a.Body) <= inlineBytes {
		return a, nil
	}
	s.l.heldBytes.Add(int64(len(a.Body)))
	defer s.l.heldBytes.Add(-int64(len(a.Body)))
	s.mu.Lock()
	s.publish(core.Effect{Kind: core.OutcomePending, Record: r.WithFinal(core.Done, a)})
	s.mu.Unlock()
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		parts, err := s.putParts(ctx, a.Body)
		if err == nil {
			a.Body, a.Parts = nil, parts
			return a, nil
		}
		if err := clock.Sleep(ctx, wait); err != nil {
			return core.Answer{}, merry.Errorf("keep answer: %w", err)
		}
	}
}
