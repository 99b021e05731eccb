// Package store is a fake of the platform's object service.
//
// It keeps objects in memory with versions, conditional updates and watches. Injected faults are latency,
// outages, refusals above a rate, and answers lost after the write took effect; the seed selects the lost
// answers.
//
// Usage:
//
//	s := store.New(store.NewOptions().WithSeed(1))
//	c := s.Client()                      // in process
//	go http.ListenAndServe(addr, s.Handler()) // over HTTP
//	s.SetOutage(true)
package store

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"

	"mothcart/io/store"
)

// Calls counts the calls that reached the service, by kind.
type Calls struct {
	Reads, Writes, Lists, Watches uint64
}

// Store is the fake object service. Its methods are safe for concurrent use.
type Store struct {
	opts    Options
	writes  *rate.Limiter
	reads   *rate.Limiter
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]store.Object
	// version is shared by all keys, so that a key written again after a deletion gets a new one.
	version         store.Version
	outage          bool
	lostAnswerShare float64
	calls           Calls
	changed         chan struct{}
}

// New returns an empty store.
func New(opts Options) *Store {
	s := &Store{
		opts:            opts,
		writes:          rate.NewLimiter(rate.Limit(opts.WritesPerSecond), max(1, int(opts.WritesPerSecond))),
		reads:           rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), max(1, int(opts.ReadsPerSecond))),
		rng:             rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		objects:         map[string]store.Object{},
		lostAnswerShare: opts.LostAnswerShare,
		changed:         make(chan struct{}),
	}
	return s
}

// SetOutage starts or ends an outage. While it lasts, calls fail after Options.Latency; watches in progress
// fail at once.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.wake()
}

// SetLostAnswerShare sets the share of writes, from 0 to 1, that take effect but whose answer is lost.
func (s *Store) SetLostAnswerShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswerShare = share
}

// Calls returns the numbers of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Client returns a client of the store for use in the same process.
func (s *Store) Client() store.Client {
	return store.Client{Get: s.get, Put: s.put, Delete: s.remove, List: s.list, Watch: s.watch}
}

// wake makes every watch check its object again; the caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit waits for the latency, then refuses the call during an outage or above the rate limit.
func (s *Store) admit(ctx context.Context, limiter *rate.Limiter) error {
	if s.opts.Latency > 0 {
		t := time.NewTimer(s.opts.Latency)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return merry.Errorf("wait: %w: %w", store.ErrUnavailable, ctx.Err())
		case <-t.C:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return merry.Errorf("outage: %w", store.ErrUnavailable)
	}
	if !limiter.Allow() {
		return merry.Errorf("over the rate: %w", store.ErrUnavailable)
	}
	return nil
}

func (s *Store) get(ctx context.Context, key string) (store.Object, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return store.Object{}, merry.Errorf("get %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, merry.Errorf("get %s: %w", key, store.ErrNotFound)
	}
	return o, nil
}

func (s *Store) put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return 0, merry.Errorf("put %s: value of %d bytes is over %d: %w", key, len(value), store.MaxValueBytes, store.ErrUnavailable)
	}
	if err := s.admit(ctx, s.writes); err != nil {
		return 0, merry.Errorf("put %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	if s.objects[key].Version != expect {
		return 0, merry.Errorf("put %s: %w", key, store.ErrConflict)
	}
	s.version++
	s.objects[key] = store.Object{Key: key, Version: s.version, Value: append([]byte{}, value...)}
	s.wake()
	if s.rng.Float64() < s.lostAnswerShare {
		return 0, merry.Errorf("put %s: %w", key, store.ErrUnknown)
	}
	return s.version, nil
}

func (s *Store) remove(ctx context.Context, key string, expect store.Version) error {
	if err := s.admit(ctx, s.writes); err != nil {
		return merry.Errorf("delete %s: %w", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Writes++
	o, ok := s.objects[key]
	if !ok {
		return merry.Errorf("delete %s: %w", key, store.ErrNotFound)
	}
	if o.Version != expect {
		return merry.Errorf("delete %s: %w", key, store.ErrConflict)
	}
	delete(s.objects, key)
	s.wake()
	if s.rng.Float64() < s.lostAnswerShare {
		return merry.Errorf("delete %s: %w", key, store.ErrUnknown)
	}
	return nil
}

func (s *Store) list(ctx context.Context, prefix, after string, limit int) ([]store.Object, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return nil, merry.Errorf("list %s: %w", prefix, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Lists++
	var found []store.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, store.Object{Key: key, Version: o.Version})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

func (s *Store) watch(ctx context.Context, key string, after store.Version, wait time.Duration) (store.Object, error) {
	if err := s.admit(ctx, s.reads); err != nil {
		return store.Object{}, merry.Errorf("watch %s: %w", key, err)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		if first {
			s.calls.Watches++
		}
		o, ok := s.objects[key]
		changed, outage := s.changed, s.outage
		s.mu.Unlock()
		if outage {
			return store.Object{}, merry.Errorf("watch %s: %w", key, store.ErrUnavailable)
		}
		if ok && o.Version > after {
			return o, nil
		}
		select {
		case <-ctx.Done():
			return store.Object{}, merry.Errorf("watch %s: %w: %w", key, store.ErrUnavailable, ctx.Err())
		case <-t.C:
			if !ok {
				return store.Object{}, merry.Errorf("watch %s: %w", key, store.ErrNotFound)
			}
			return o, nil
		case <-changed:
		}
	}
}
