package ledger

import (
	"context"
	"errors"
	"time"

	core "mothcart/core/ledger"
	"mothcart/core/outcome"
	"mothcart/io/clock"
	"mothcart/io/store"
)

// resolvePause is the time between two attempts to resolve the outcome of a write.
const resolvePause = 50 * time.Millisecond

// writeOutcome is the outcome of a conditional update.
type writeOutcome uint8

const (
	committed writeOutcome = iota + 1
	// refusedByStore means that the update had no effect and the version is unchanged.
	refusedByStore
	// fenced means that another home has updated the head.
	fenced
	// stopped means that the ledger is being closed.
	stopped
)

// writeResult is the outcome of a write of the head and, depending on it, the head's new version or
// whether the update had effect before another home's update.
type writeResult struct {
	outcome writeOutcome
	version store.Version
	applied core.Applied
}

// write updates the head on the condition that its version is expect. If the answer is lost or the update
// conflicts, write reads the head back until the outcome is known or the context ends.
func (s *shard) write(ctx context.Context, head core.Head, expect store.Version) writeResult {
	value, err := core.EncodeHead(head)
	if err != nil || len(value) > store.MaxValueBytes {
		s.l.opts.Log.Error().Err(err).Int("shard", s.number).Int("bytes", len(value)).Msg("ledgerHeadNotWritten")
		return writeResult{outcome: refusedByStore}
	}
	uncertain := false
	for ctx.Err() == nil {
		s.l.counts.writes.Inc(1)
		version, err := s.l.opts.Store.Put(ctx, s.headKey(), value, expect)
		switch store.OutcomeOf(err) {
		case outcome.Done:
			return writeResult{outcome: committed, version: version}
		case outcome.NotDone:
			if !uncertain && !store.Changed(err) && !errors.Is(err, store.ErrNotFound) { // else read what is there
				return writeResult{outcome: refusedByStore}
			}
		case outcome.Unknown:
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
	return writeResult{outcome: stopped}
}

// readBack reads the head to find out whether the update had effect. It reports false if the same update
// has to be sent again, which is safe: at most one of the two can take effect.
func (s *shard) readBack(ctx context.Context, update core.Written, expect store.Version, uncertain bool) (writeResult, bool) {
	s.l.counts.reads.Inc(1)
	o, err := s.l.opts.Store.Get(ctx, s.headKey())
	if errors.Is(err, store.ErrNotFound) && expect != store.Absent {
		return writeResult{outcome: fenced, applied: core.MaybeApplied}, true
	}
	if err != nil || o.Version == expect {
		return writeResult{outcome: refusedByStore}, err == nil && !uncertain
	}
	current, err := core.DecodeHead(o.Value)
	if err != nil {
		return writeResult{outcome: fenced, applied: core.MaybeApplied}, true
	}
	if current.Last == update {
		return writeResult{outcome: committed, version: o.Version}, true
	}
	return writeResult{outcome: fenced, applied: current.Applied(update.Writer, update.Sequence)}, true
}
