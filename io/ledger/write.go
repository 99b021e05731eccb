package ledger

import (
	"context"
	"errors"
	"time"

	core "mothcart/core/ledger"
	"mothcart/io/clock"
	"mothcart/io/store"
)

// resolvePause is the time between two tries to learn what became of a write.
const resolvePause = 50 * time.Millisecond

// writeEnd is what became of a conditional update.
type writeEnd uint8

const (
	committed writeEnd = iota + 1
	// refusedByStore means that the update had no effect and the version is as it was.
	refusedByStore
	// fenced means that another home has updated the head.
	fenced
	// stopped means that the ledger is being closed.
	stopped
)

// written is the end of a write.
type written struct {
	end     writeEnd
	version store.Version
	applied core.Applied
}

// write updates the head on the condition that its version is expect. A lost answer is resolved
// by reading back, however long that takes.
func (s *shard) write(ctx context.Context, head core.Head, expect store.Version) written {
	value, err := core.EncodeHead(head)
	if err != nil || len(value) > store.MaxValueBytes {
		s.l.opts.Log.Error().Err(err).Int("shard", s.number).Int("bytes", len(value)).Msg("ledgerHeadNotWritten")
		return written{end: refusedByStore}
	}
	uncertain := false
	for ctx.Err() == nil {
		s.l.counts.writes.Inc(1)
		version, err := s.l.opts.Store.Put(ctx, s.headKey(), value, expect)
		switch {
		case err == nil:
			return written{end: committed, version: version}
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return written{end: refusedByStore}
		case errors.Is(err, store.ErrUnknown):
			s.l.counts.lostAnswers.Inc(1)
			uncertain = true
		}
		if w, ok := s.readBack(ctx, head.Last, expect, uncertain); ok {
			return w
		}
		if clock.Sleep(ctx, resolvePause) != nil {
			break
		}
	}
	return written{end: stopped}
}

// readBack learns from the head whether the update had effect; it reports false when the same
// update has to be tried again, which is safe: at most one of the two can take effect.
func (s *shard) readBack(ctx context.Context, update core.Written, expect store.Version, uncertain bool) (written, bool) {
	s.l.counts.reads.Inc(1)
	o, err := s.l.opts.Store.Get(ctx, s.headKey())
	if errors.Is(err, store.ErrNotFound) && expect != store.Absent {
		return written{end: fenced, applied: core.MaybeApplied}, true
	}
	if err != nil || o.Version == expect {
		return written{end: refusedByStore}, err == nil && !uncertain
	}
	current, err := core.DecodeHead(o.Value)
	if err != nil {
		return written{end: fenced, applied: core.MaybeApplied}, true
	}
	if current.Last == update {
		return written{end: committed, version: o.Version}, true
	}
	return written{end: fenced, applied: current.Applied(update.Writer, update.Sequence)}, true
}
