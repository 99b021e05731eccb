package ledger

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/io/store"
)

// openStaleness is the time for which an open request is reported without reading from the object
// service whether another VM has become home of the shard.
const openStaleness = time.Second

// lookup returns the request with the ID. A final outcome never changes, so it needs no check of the
// head. ErrNotFound for a missing request is returned only after the head was read and found unchanged.
func (s *shard) lookup(ctx context.Context, id core.ID, team string) (Reply, error) {
	if err := s.waitLoaded(ctx); err != nil {
		return Reply{}, merry.Errorf("shard %d: %w: %w", s.number, ErrUnavailable, err)
	}
	s.mu.Lock()
	if !s.state.Held() {
		s.mu.Unlock()
		return Reply{}, merry.Errorf("shard %d: %w", s.number, errReroute)
	}
	r, ok := s.state.Record(id)
	blocks := s.candidates(id)
	version, confirmed := s.version, s.confirmedAt
	s.mu.Unlock()
	if !ok && len(blocks) > 0 {
		found, _, err := s.search(ctx, id, blocks)
		if err != nil {
			return Reply{}, merry.Errorf("search shard %d: %w: %w", s.number, ErrUnavailable, err)
		}
		if found != nil {
			r, ok = *found, true
		}
	}
	if !ok {
		if err := s.confirm(ctx, version); err != nil {
			return Reply{}, err
		}
		return Reply{}, merry.Errorf("shard %d: %w", s.number, ErrNotFound)
	}
	if r.Team != team {
		return Reply{}, merry.Errorf("shard %d: %w", s.number, ErrNotFound)
	}
	if r.State.Final() {
		return s.recorded(ctx, r)
	}
	if time.Since(confirmed) > openStaleness {
		if err := s.confirm(ctx, version); err != nil {
			return Reply{}, err
		}
	}
	return reply(r, false), nil
}

// confirm reads the head and fails with errReroute unless the head still has the given version.
func (s *shard) confirm(ctx context.Context, version store.Version) error {
	_, current, err := s.readHead(ctx)
	if err != nil {
		return merry.Errorf("shard %d: %w: %w", s.number, ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case current == version:
		s.confirmedAt = time.Now()
		return nil
	case s.version == version && s.state.Held() && !s.state.Writing():
		s.dropState(core.NotApplied)
	}
	return merry.Errorf("shard %d: %w", s.number, errReroute)
}

// recorded returns the reply of a durable outcome, with the answer's body read from its parts.
func (s *shard) recorded(ctx context.Context, r core.Record) (Reply, error) {
	body, err := s.readParts(ctx, r.Answer.Body, r.Answer.Parts)
	if err != nil {
		return Reply{}, merry.Errorf("read answer: %w", requests.Lost(err))
	}
	r.Answer.Body, r.Answer.Parts = body, nil
	return reply(r, true), nil
}
