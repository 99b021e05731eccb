package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	core "mothcart/core/ledger"
	"mothcart/io/store"
)

const (
	// historyReads bounds the concurrent reads of one shard's history.
	historyReads = 8
	// garbageBatch is the number of unreferenced objects that are deleted after one upkeep.
	garbageBatch = 2
	// garbagePause is the time between two deletions of a shard that has nothing to write.
	garbagePause = time.Second
)

// Kinds of objects other than the head.
const (
	blockKind = "block"
	indexKind = "index"
	partKind  = "part"
)

// newKey returns the key of an object that no other incarnation and no other call writes. It
// starts with the wall time in Unix seconds.
func (s *shard) newKey(kind string) string {
	return fmt.Sprintf("%s%s/%d-%s%d", s.prefix, kind, time.Now().Unix(), incarnationName(s.l.writer), s.l.objects.Add(1))
}

// candidates returns the sealed blocks that may hold the request; the caller holds mu.
func (s *shard) candidates(id core.ID) []string {
	var keys []string
	for _, f := range s.filters {
		if f.MayHold(id) {
			keys = append(keys, f.Ref.Key)
		}
	}
	return keys
}

// search reads the blocks and looks for the request in them. It returns the record, or the keys of the
// blocks if none has it.
func (s *shard) search(ctx context.Context, id core.ID, blocks []string) (*core.Record, []string, error) {
	for _, key := range blocks {
		records, err := s.readBlock(ctx, key)
		if err != nil {
			return nil, nil, merry.Errorf("search block: %w", err)
		}
		i := slices.IndexFunc(records, func(r core.Record) bool { return r.ID == id })
		if i >= 0 {
			return &records[i], nil, nil
		}
	}
	return nil, blocks, nil
}

func (s *shard) readObject(ctx context.Context, key string) ([]byte, error) {
	s.l.counts.reads.Inc(1)
	o, err := s.l.opts.Store.Get(ctx, key)
	if err != nil {
		return nil, merry.Errorf("read %s: %w", key, err)
	}
	return o.Value, nil
}

func (s *shard) readBlock(ctx context.Context, key string) ([]core.Record, error) {
	value, err := s.readObject(ctx, key)
	if err != nil {
		return nil, err
	}
	return core.DecodeBlock(value)
}

// readFilters returns the filters of all sealed blocks of the head.
func (s *shard) readFilters(ctx context.Context, head core.Head) ([]core.Filter, error) {
	var mu sync.Mutex
	var filters []core.Filter
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(historyReads)
	add := func(more ...core.Filter) {
		mu.Lock()
		defer mu.Unlock()
		filters = append(filters, more...)
	}
	for _, x := range head.Indexes {
		g.Go(func() error {
			more, err := s.readIndex(ctx, x.Key)
			add(more...)
			return err
		})
	}
	for _, b := range head.Blocks {
		g.Go(func() error {
			records, err := s.readBlock(ctx, b.Key)
			if err == nil {
				add(core.NewFilter(b, records))
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, merry.Errorf("read history: %w", err)
	}
	return filters, nil
}

func (s *shard) readIndex(ctx context.Context, key string) ([]core.Filter, error) {
	value, err := s.readObject(ctx, key)
	if err != nil {
		return nil, err
	}
	return core.DecodeIndex(value)
}

// maintain writes the objects of the upkeep that is due; the next head references them.
func (s *shard) maintain(ctx context.Context) error {
	s.mu.Lock()
	plan := s.state.Plan(time.Now())
	h := s.state.References().After(plan)
	u := &upkeep{s: s, history: h, filters: slices.Clone(s.filters)}
	unavailable := time.Now().Before(s.refuseUntil)
	s.mu.Unlock()
	if unavailable {
		return nil
	}
	if plan.Empty() {
		s.collectWhenIdle(ctx)
		return s.sweepIfDue(ctx)
	}
	if err := u.carryOut(ctx, plan); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startBackoff()
		return merry.Errorf("upkeep of shard %d: %w", s.number, err)
	}
	s.collectGarbage(ctx, garbageBatch)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = s.state.WithHistory(u.history)
	s.nextFilters, s.nextGarbage = u.filters, u.garbage
	return nil
}

// adoptHistory applies the filters and garbage of the last upkeep once its head is durable; the caller
// holds mu.
func (s *shard) adoptHistory() {
	if s.nextFilters == nil {
		return
	}
	s.filters, s.nextFilters = s.nextFilters, nil
	s.garbage = append(s.garbage, s.nextGarbage...)
	s.nextGarbage = nil
}

// collectWhenIdle deletes one unreferenced object when no write is due and nearly all of the shard's
// write burst is available.
func (s *shard) collectWhenIdle(ctx context.Context) {
	s.mu.Lock()
	idle := !s.state.Dirty()
	s.mu.Unlock()
	if idle && s.pacer.Tokens() >= float64(s.l.opts.WriteBurst-1) {
		s.collectGarbage(ctx, 1)
	}
}

// collectGarbage deletes at most the given number of the objects that the head no longer references. Objects
// left over by a crash are found by sweepIfDue.
func (s *shard) collectGarbage(ctx context.Context, most int) {
	s.mu.Lock()
	n := min(most, len(s.garbage))
	keys := s.garbage[:n]
	s.garbage = slices.Clone(s.garbage[n:])
	s.mu.Unlock()
	for _, key := range keys {
		s.deleteObject(ctx, key)
	}
}

func (s *shard) deleteObject(ctx context.Context, key string) {
	s.l.counts.reads.Inc(1)
	o, err := s.l.opts.Store.Get(ctx, key)
	if err != nil {
		return
	}
	s.countWrite()
	_ = s.l.opts.Store.Delete(ctx, key, o.Version)
}

// countWrite counts a write of an object other than the head against the shard's rate.
func (s *shard) countWrite() {
	s.l.counts.writes.Inc(1)
	s.pacer.Reserve()
}

// putObject writes a new object under a unique key.
func (s *shard) putObject(ctx context.Context, key string, value []byte) error {
	s.countWrite()
	if _, err := store.PutConfirmed(ctx, s.l.opts.Store, key, value, store.Absent); err != nil {
		return merry.Errorf("write %s: %w", key, err)
	}
	return nil
}
