// Package upstream routes requests to upstreams: it keeps the tables of core/route, the queues of
// core/admit and the retry budgets for each service, and executes their decisions.
//
// A request is dispatched at once if an upstream has room; otherwise it waits in its team's queue on
// this VM, or is refused early. Exchange runs one request at a model engine with safe retries and
// resumed streams.
//
// Usage:
//
//	r := upstream.New(opts)
//	defer r.Close()
//	summary, err := r.Exchange(ctx, upstream.Request{ID: id, Service: service, Name: "scribe", …}, sink)
package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"mothcart/core/admit"
	"mothcart/core/config"
	"mothcart/core/retry"
	"mothcart/core/route"
	"mothcart/core/vm"
)

// tickInterval is the interval at which the tables are refreshed and the queues are checked.
const tickInterval = 25 * time.Millisecond

// minRetryAfter is the advised time until a retry of a request whose deadline passed while it waited.
const minRetryAfter = time.Second

// lentReserve is the fraction of an upstream's capacity that is not lent to teams above their share, so
// that a team within its share gets a slot at once.
const lentReserve = 0.08

// defaultConcurrency is an upstream's capacity, in requests, if neither the settings nor a report give one.
const defaultConcurrency = 16

// Router routes requests of this VM. It is safe for concurrent use.
type Router struct {
	opts     Options
	mu       sync.Mutex
	services map[string]*service
	counters map[string]*route.Counter
	// seenConfig, seenRevision and seenVMs identify the configuration, the list of upstreams and the number
	// of entry VMs that the services were built from.
	seenConfig   *config.Snapshot
	seenRevision uint64
	seenVMs      int
	nextID       uint64
	stop         chan struct{}
	done         sync.WaitGroup
}

// service is the routing state of one service; the router's mu guards it.
type service struct {
	cfg    config.Service
	table  route.Table
	queues map[string]admit.Queue
	shares []admit.Share
	budget retry.Budget
	// waiting holds the waiters of the requests in the queues, by request ID.
	waiting map[uint64]*waiter
}

type waiter struct {
	want   Want
	grants chan grant
}

type grant struct {
	lease   *Lease
	refusal *Refusal
}

// New starts a router.
func New(opts Options) *Router {
	r := &Router{
		opts:     opts,
		services: map[string]*service{},
		counters: map[string]*route.Counter{},
		stop:     make(chan struct{}),
	}
	r.done.Go(func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-ticker.C:
				r.tick(time.Now())
			}
		}
	})
	return r
}

// Close stops the router's goroutine; requests in progress continue.
func (r *Router) Close() {
	close(r.stop)
	r.done.Wait()
}

// tick refreshes the tables, refuses queued requests whose deadline has passed and dispatches others.
func (r *Router) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	for _, s := range r.services {
		r.expire(now, s)
		r.dispatch(now, s)
	}
}

// ApplyDigest applies a digest from an upstream's home. A digest without names leaves the current names
// unchanged.
func (r *Router) ApplyDigest(now time.Time, service, id string, d route.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	if !ok {
		return
	}
	d.At = now
	if i, found := s.table.Find(id); found && d.Names == nil {
		d.Names = s.table.Entry(i).Digest.Names
	}
	s.table = s.table.WithDigest(id, d)
	r.dispatch(now, s)
}

// Own returns this VM's own requests in flight at each upstream that has any.
func (r *Router) Own() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := map[string]int{}
	for id, c := range r.counters {
		if n := c.Load(); n > 0 {
			own[id] = int(n)
		}
	}
	return own
}

// Waiting returns the number of requests in the queues of this VM.
func (r *Router) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.services {
		n += len(s.waiting)
	}
	return n
}

// Want describes a request that needs a slot at an upstream.
type Want struct {
	Service string
	// Name is the name of the model, adapter or plain service.
	Name string
	Team string
	// Prefix is the hash of the prompt's first part; 0 means none.
	Prefix   uint64
	Deadline time.Time
	// Exclude is the ID of an upstream at which the request has failed, or empty.
	Exclude string
	// Tokens is the estimated length of the prompt.
	Tokens int
}

// Lease is one slot at an upstream; Done releases it.
type Lease struct {
	Upstream vm.VM
	// LoadAge is the age of the upstream's load digest when the request was assigned to the upstream; negative
	// if there was none.
	LoadAge time.Duration
	router  *Router
	service string
	name    string
	team    string
	number  uint64
	once    sync.Once
}

// Acquire waits for a slot at an upstream. Errors are of type *Refusal; a refused request did not
// run.
func (r *Router) Acquire(ctx context.Context, w Want) (*Lease, error) {
	now := time.Now()
	r.mu.Lock()
	r.refresh(now)
	s, ok := r.services[w.Service]
	if !ok {
		r.mu.Unlock()
		return nil, &Refusal{Code: CodeUnknownModel}
	}
	q := s.queue(w.Name)
	if q.Len() == 0 {
		if lease, ok := r.tryAcquire(now, s, w, s.reserve(q, w.Team)); ok {
			s.queues[w.Name] = q.Start(w.Team)
			r.mu.Unlock()
			return lease, nil
		}
	}
	r.nextID++
	request := admit.Request{ID: r.nextID, Team: w.Team, Deadline: w.Deadline}
	q, verdict := q.Offer(now, request)
	s.queues[w.Name] = q
	if !verdict.Accepted {
		r.mu.Unlock()
		return nil, &Refusal{Code: codeOf(verdict.Reason), RetryAfter: verdict.RetryAfter}
	}
	wait := &waiter{want: w, grants: make(chan grant, 1)}
	s.waiting[request.ID] = wait
	r.mu.Unlock()
	return r.await(ctx, s, request, wait)
}

func (r *Router) await(ctx context.Context, s *service, request admit.Request, wait *waiter) (*Lease, error) {
	select {
	case g := <-wait.grants:
		return g.result()
	case <-ctx.Done():
	}
	r.mu.Lock()
	q, waited := s.queues[wait.want.Name].Remove(request)
	if waited {
		s.queues[wait.want.Name] = q
		delete(s.waiting, request.ID)
	}
	r.mu.Unlock()
	switch {
	case !waited:
		return (<-wait.grants).result()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, &Refusal{Code: CodeDeadline, RetryAfter: minRetryAfter}
	default:
		return nil, &Refusal{Code: CodeCancelled}
	}
}

func (g grant) result() (*Lease, error) {
	if g.refusal != nil {
		return nil, g.refusal
	}
	return g.lease, nil
}

// tryAcquire picks an upstream that has room beyond reserve and counts the request there; mu is held.
func (r *Router) tryAcquire(now time.Time, s *service, w Want, reserve float64) (*Lease, bool) {
	want := route.Want{Bit: s.table.Bit(w.Name), Prefix: w.Prefix, Random: rand.Uint64(), NeedsRoom: true, Reserve: reserve}
	if i, ok := s.table.Find(w.Exclude); ok && s.table.Len() > 1 {
		want.Exclude = i + 1
	}
	i, ok := s.table.Pick(now, want)
	if !ok {
		return nil, false
	}
	e := s.table.Entry(i)
	r.nextID++
	lease := &Lease{Upstream: e.Upstream, LoadAge: loadAge(now, e), router: r, service: s.cfg.Name, name: w.Name, team: w.Team, number: r.nextID}
	r.opts.Counted(Count{Upstream: e.Upstream, Number: lease.number, Started: true, InFlight: int(e.Own.Add(1)), Tokens: w.Tokens})
	return lease, true
}

// loadAge returns the age of an upstream's load digest; it is negative if there is none.
func loadAge(now time.Time, e route.Entry) time.Duration {
	if e.Digest.At.IsZero() {
		return -1
	}
	return now.Sub(e.Digest.At)
}

// Done releases the slot; ok is false if the request failed through the upstream's fault.
func (l *Lease) Done(now time.Time, ok bool) {
	l.once.Do(func() {
		r := l.router
		r.mu.Lock()
		defer r.mu.Unlock()
		remaining := r.counter(l.Upstream.ID).Add(-1)
		r.opts.Counted(Count{Upstream: l.Upstream, Number: l.number, InFlight: int(remaining)})
		s, known := r.services[l.service]
		if !known {
			return
		}
		s.queues[l.name] = s.queue(l.name).End(now, l.team)
		if i, found := s.table.Find(l.Upstream.ID); found {
			health := s.table.Entry(i).Health
			if next := health.WithResult(now, ok); next != health {
				s.table = s.table.WithHealth(l.Upstream.ID, next)
			}
		}
		r.dispatch(now, s)
	})
}

// dispatch dispatches queued requests while upstreams have room; mu is held.
func (r *Router) dispatch(now time.Time, s *service) {
	for name, q := range s.queues {
		for q.Len() > 0 {
			next, request, _ := q.Next(now)
			wait := s.waiting[request.ID]
			lease, ok := r.tryAcquire(now, s, wait.want, s.reserve(q, request.Team))
			if !ok {
				break
			}
			q = next
			delete(s.waiting, request.ID)
			wait.grants <- grant{lease: lease}
		}
		s.queues[name] = q
	}
}

// expire refuses queued requests whose deadline has passed; mu is held.
func (r *Router) expire(now time.Time, s *service) {
	for name, q := range s.queues {
		q, expired := q.Expire(now)
		s.queues[name] = q
		for _, request := range expired {
			s.waiting[request.ID].grants <- grant{refusal: &Refusal{Code: CodeDeadline, RetryAfter: minRetryAfter}}
			delete(s.waiting, request.ID)
		}
	}
}

// reserve returns the fraction of each upstream's capacity that a request of the team has to leave free for
// teams within their shares. It is 0 for a team within its own share.
func (s *service) reserve(q admit.Queue, team string) float64 {
	if len(s.shares) == 0 || q.WithinShare(team, s.table.Capacity()) {
		return 0
	}
	return lentReserve
}

func (s *service) queue(name string) admit.Queue {
	q, ok := s.queues[name]
	if !ok {
		q = admit.NewQueue(max(1, s.cfg.QueueLimit)).WithShares(s.shares)
		s.queues[name] = q
	}
	return q
}

func (s *service) refuseAll(refusal Refusal) {
	for id, w := range s.waiting {
		w.grants <- grant{refusal: &refusal}
		delete(s.waiting, id)
	}
}
