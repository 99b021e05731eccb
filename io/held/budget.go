// Package held bounds the bytes that a process holds for callers and upstreams, and ends the connections of callers that
// don't read.
//
// A Budget counts the bytes. A Listener's connections let a caller read at its own speed: a write ends with an error only
// if the caller has taken nothing worth mentioning for stallTime, or if the process needs the memory and this caller has
// not read for the longest time. The handler finds its connection by FromContext, and may ask to be told when the caller
// has fallen behind, so as to read on from the upstream meanwhile.
//
// Usage:
//
//	b := held.NewBudget(held.Options{Bytes: 40 << 20, Now: time.Now, Log: log, Registry: registry})
//	srv := &http.Server{ConnContext: held.ConnContext}
//	srv.Serve(held.NewListener(l, b))
package held

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/budget"
)

// Options are the dependencies of a Budget; all are required.
type Options struct {
	// Bytes is the limit.
	Bytes    int64
	Now      func() time.Time
	Log      zerolog.Logger
	Registry metrics.Registry
}

// Budget counts the bytes that a process holds. It is safe for concurrent use. A nil budget has no limit.
type Budget struct {
	opts             Options
	refused          metrics.Counter
	stalled, evicted metrics.Counter

	mu     sync.Mutex
	budget budget.Budget
	// behind are the connections with a write that waits for its caller.
	behind map[*Conn]struct{}
}

// NewBudget returns the budget of a process that holds nothing.
func NewBudget(opts Options) *Budget {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("held."+name, opts.Registry) }
	b := &Budget{
		opts: opts, budget: budget.New(opts.Bytes), behind: make(map[*Conn]struct{}),
		refused: counter("refused"), stalled: counter("stalledCallers"), evicted: counter("evictedCallers"),
	}
	gauge := func(name string, value func() int64) {
		opts.Registry.GetOrRegister("held."+name, func() metrics.Gauge { return metrics.NewFunctionalGauge(value) })
	}
	gauge("bytes", func() int64 { return b.current().Held() })
	gauge("limitBytes", func() int64 { return b.current().Limit() })
	gauge("callersBehind", func() int64 { b.mu.Lock(); defer b.mu.Unlock(); return int64(len(b.behind)) })
	return b
}

func (b *Budget) current() budget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget
}

// Take counts n more bytes, or reports false if they don't fit; then the caller that has not read for the longest time
// loses its connection.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.budget
	next, ok := before.Take(n)
	b.budget = next
	b.logFull(before)
	if !ok {
		b.refused.Inc(1)
		b.evict()
	}
	return ok
}

// TakeSpare is Take for bytes that can wait where they are; it makes no caller lose its connection.
func (b *Budget) TakeSpare(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next, ok := b.budget.TakeSpare(n)
	b.budget = next
	return ok
}

// Add counts n more bytes that are held already. If they don't fit, a caller loses its connection as with Take.
func (b *Budget) Add(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.budget
	b.budget = before.Add(n)
	b.logFull(before)
	if b.budget.Held() > b.budget.Limit() {
		b.evict()
	}
}

// Free ends the count of n bytes.
func (b *Budget) Free(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.budget
	b.budget = before.Free(n)
	b.logFull(before)
}

// Full reports that the process should get no more requests.
func (b *Budget) Full() bool { return b != nil && b.current().Full() }

// logFull logs that the process has become full, or that it no longer is; the mutex is held.
func (b *Budget) logFull(before budget.Budget) {
	if before.Full() == b.budget.Full() {
		return
	}
	b.opts.Log.Info().Bool("full", b.budget.Full()).Int64("heldBytes", b.budget.Held()).Int64("limitBytes", b.budget.Limit()).
		Int("callersBehind", len(b.behind)).Msg("memoryFull")
}

// evict ends the connection of the caller that has not read for the longest time, if that is evictAfter or more; the
// mutex is held.
func (b *Budget) evict() {
	now := b.opts.Now()
	var longest *Conn
	for c := range b.behind {
		if longest == nil || c.movedAt.Before(longest.movedAt) {
			longest = c
		}
	}
	if longest == nil || now.Sub(longest.movedAt) < evictAfter {
		return
	}
	delete(b.behind, longest)
	b.evicted.Inc(1)
	b.opts.Log.Info().Str("caller", longest.RemoteAddr().String()).Dur("unreadMillis", now.Sub(longest.movedAt)).
		Int64("heldBytes", b.budget.Held()).Int64("limitBytes", b.budget.Limit()).Msg("callerEvicted")
	longest.evict()
}
