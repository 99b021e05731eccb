package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
	"mothcart/io/store"
)

// requestLoad asks the writer goroutine to read the head; the caller holds mu. The channel is
// closed after the attempt, whether or not it succeeded.
func (s *shard) requestLoad() <-chan struct{} {
	s.wantLoad = true
	s.signal()
	return s.loaded
}

// loadIfWanted reads the head if a load was requested. It returns the time until the next attempt may be
// made, or 0.
func (s *shard) loadIfWanted(ctx context.Context) time.Duration {
	s.mu.Lock()
	wanted := s.wantLoad && !s.state.Held()
	wait := time.Until(s.refuseUntil)
	if s.wantLoad && s.state.Held() {
		s.finishLoad(nil)
	}
	s.mu.Unlock()
	if !wanted {
		return 0
	}
	if wait > 0 {
		return wait
	}
	head, version, err := s.readHead(ctx)
	var filters []core.Filter
	if err == nil {
		filters, err = s.readFilters(ctx, head)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.startBackoff()
		s.finishLoad(err)
		return 0
	}
	s.backoff = 0
	s.version, s.confirmedAt = version, time.Now()
	s.filters = filters
	s.sweepAt = time.Now().Add(sweepDelay)
	s.headRead = true
	s.countTakeover(head)
	s.apply(s.state.Load(time.Now(), head, s.l.isLivePeer(head.Last.Writer)))
	s.finishLoad(nil)
	return 0
}

func (s *shard) readHead(ctx context.Context) (core.Head, store.Version, error) {
	s.l.counts.reads.Inc(1)
	o, err := s.l.opts.Store.Get(ctx, s.headKey())
	if errors.Is(err, store.ErrNotFound) {
		return core.Head{}, store.Absent, nil
	}
	if err != nil {
		return core.Head{}, 0, merry.Errorf("read head: %w", err)
	}
	head, err := core.DecodeHead(o.Value)
	if err != nil {
		return core.Head{}, 0, merry.Errorf("read head: %w", err)
	}
	return head, o.Version, nil
}

// isLivePeer reports whether the writer is on another VM that is considered live.
func (l *Ledger) isLivePeer(w core.Writer) bool {
	return w.VM != l.opts.Self && l.isLive(w.VM)
}

func (s *shard) countTakeover(head core.Head) {
	if head.Last.Writer == s.l.writer || head.Last.Writer == (core.Writer{}) {
		return
	}
	s.l.counts.takeovers.Inc(1)
	s.l.opts.Log.Info().Int("shard", s.number).Str("from", head.Last.Writer.VM).Int("tail", len(head.Tail)).Msg("ledgerShardRead")
}

// finishLoad records the result of a load and wakes the calls that wait for it; the caller holds mu.
func (s *shard) finishLoad(err error) {
	s.wantLoad = false
	s.loadErr = err
	close(s.loaded)
	s.loaded = make(chan struct{})
}

// waitLoaded waits until the head has been read, for at most Options.IntentWait.
func (s *shard) waitLoaded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.l.opts.IntentWait)
	defer cancel()
	for {
		s.mu.Lock()
		if s.state.Held() {
			s.mu.Unlock()
			return nil
		}
		if err := s.loadErr; err != nil && time.Now().Before(s.refuseUntil) {
			s.mu.Unlock()
			return err
		}
		loaded := s.requestLoad()
		s.mu.Unlock()
		select {
		case <-loaded:
		case <-ctx.Done():
			return merry.Errorf("wait for head: %w", ctx.Err())
		case <-s.l.ctx.Done():
			return merry.Errorf("wait for head: %w", s.l.ctx.Err())
		}
	}
}
