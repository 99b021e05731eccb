package ledger

import (
	"context"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/io/store"
)

// lookup returns the request with the ID. That there is none is said only after the head was
// found to be unchanged, since another home may have taken the shard.
func (s *shard) lookup(ctx context.Context, id core.ID, team string) (Reply, error) {
	if err := s.hold(ctx); err != nil {
		return Reply{}, merry.Errorf("shard %d: %w: %w", s.number, ErrUnavailable, err)
	}
	s.mu.Lock()
	r, ok := s.state.Record(id)
	blocks := s.candidates(id)
	version := s.version
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
		return Reply{}, s.confirmAbsence(ctx, version)
	}
	if r.Team != team {
		return Reply{}, merry.Errorf("shard %d: %w", s.number, ErrNotFound)
	}
	if r.State.Final() {
		return s.recorded(ctx, r)
	}
	return reply(r, false), nil
}

// confirmAbsence returns ErrNotFound if the head has the version, and errReroute otherwise.
func (s *shard) confirmAbsence(ctx context.Context, version store.Version) error {
	_, current, err := s.readHead(ctx)
	switch {
	case err != nil:
		return merry.Errorf("shard %d: %w: %w", s.number, ErrUnavailable, err)
	case current == version:
		return merry.Errorf("shard %d: %w", s.number, ErrNotFound)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == version && !s.state.Writing() {
		s.lose(core.NotApplied)
	}
	return merry.Errorf("shard %d: %w", s.number, errReroute)
}

// recorded answers with a durable outcome.
func (s *shard) recorded(ctx context.Context, r core.Record) (Reply, error) {
	body, err := s.readParts(ctx, r.Answer.Body, r.Answer.Parts)
	if err != nil {
		return Reply{}, merry.Errorf("read answer: %w: %w", ErrMayHaveRun, err)
	}
	r.Answer.Body, r.Answer.Parts = body, nil
	return reply(r, true), nil
}
