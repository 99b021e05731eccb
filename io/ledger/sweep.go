package ledger

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
)

const (
	// sweepDelay is the time between loading a shard and the first sweep, and sweepPause the time
	// between two sweeps.
	sweepDelay = 10 * time.Minute
	sweepPause = 24 * time.Hour
	// sweepPage is the page size of a listing, in keys.
	sweepPage = 1000
)

// sweepIfDue queues for deletion the objects that a crash has left without a reference. Only the writer
// of the head may do so, since then no earlier home can make the head reference an object any more.
func (s *shard) sweepIfDue(ctx context.Context) error {
	s.mu.Lock()
	due := s.state.Leads() && !s.sweepAt.IsZero() && time.Now().After(s.sweepAt)
	if due {
		s.sweepAt = time.Now().Add(sweepPause)
	}
	used := s.referenced()
	s.mu.Unlock()
	if !due {
		return nil
	}
	var orphans []string
	after := ""
	for {
		s.l.counts.reads.Inc(1)
		page, err := s.l.opts.Store.List(ctx, s.prefix, after, sweepPage)
		if err != nil {
			return merry.Errorf("list objects: %w", err)
		}
		for _, o := range page {
			if s.isOrphan(o.Key, used, time.Now()) {
				orphans = append(orphans, o.Key)
			}
			after = o.Key
		}
		if len(page) < sweepPage {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbage = append(s.garbage, orphans...)
	return nil
}

// referenced returns the keys of the blocks and indexes that the head references; the caller holds mu.
func (s *shard) referenced() map[string]bool {
	used := map[string]bool{}
	for _, f := range s.filters {
		used[f.Ref.Key] = true
	}
	for _, x := range s.state.References().Indexes {
		used[x.Key] = true
	}
	return used
}

// isOrphan reports whether the object may be deleted: a block or index of another incarnation that the
// head doesn't reference, or a part that is older than twice the retention of records, whose record is
// gone by then.
func (s *shard) isOrphan(key string, used map[string]bool, wall time.Time) bool {
	kind, name, ok := strings.Cut(strings.TrimPrefix(key, s.prefix), "/")
	if !ok || used[key] {
		return false
	}
	seconds, rest, _ := strings.Cut(name, "-")
	written, err := strconv.ParseInt(seconds, 10, 64)
	if err != nil {
		return false
	}
	if kind == partKind {
		return wall.Sub(time.Unix(written, 0)) > 2*s.l.opts.Limits.Retention
	}
	return !strings.HasPrefix(rest, incarnationName(s.l.writer))
}

func incarnationName(w core.Writer) string { return fmt.Sprintf("%016x-", w.Incarnation) }
