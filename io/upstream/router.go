// Package upstream routes requests to upstreams: it keeps the tables of core/route, the queues of
// core/admit and the retry budgets for each service, and carries their decisions out.
//
// A request goes on at once when an upstream has room; otherwise it waits in its team's queue on
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

// tickInterval is the time between two looks at the queues and the upstreams.
const tickInterval = 25 * time.Millisecond

// minRetryAfter is the advice to a request whose deadline passed while it waited.
const minRetryAfter = time.Second

// lentReserve is the share of an upstream's capacity that is not lent to teams over their share, so
// that a team within its share finds a place at once.
const lentReserve = 0.08

// defaultConcurrency is an upstream's capacity until the settings or a report tell.
const defaultConcurrency = 16

// Router routes requests of this VM. It is safe for concurrent use.
type Router struct {
	opts     Options
	mu       sync.Mutex
	services map[string]*service
	counters map[string]*route.Counter
	// seen is the configuration and list of upstreams that the services were built from.
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
	// waiting holds the channels of the requests in the queues.
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

// Close stops the router's goroutine; requests in progress go on.
func (r *Router) Close() {
	close(r.stop)
	r.done.Wait()
}

// tick refreshes the tables, refuses requests that are too late and lets others go on.
func (r *Router) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh(now)
	for _, s := range r.services {
		r.expire(now, s)
		r.dispatch(now, s)
	}
}

// TakeDigest takes in a digest from an upstream's home. A digest without names leaves those that
// are known.
func (r *Router) TakeDigest(now time.Time, service, id string, d route.Digest) {
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

// Waiting returns the number of requests that wait in the queues of this VM.
func (r *Router) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.services {
		n += len(s.waiting)
	}
	return n
}

// Want says what a request needs.
type Want struct {
	Service string
	// Name is the model, adapter or plain service.
	Name string
	Team string
	// Prefix is the hash of the prompt's first part; 0 means none.
	Prefix   uint64
	Deadline time.Time
	// Exclude is the ID of an upstream that failed the request, or empty.
	Exclude string
	// Tokens is the estimated length of the prompt.
	Tokens int
}

// Lease is one place at an upstream; Done gives it back.
type Lease struct {
	Upstream vm.VM
	// LoadAge is the age of what was known of the upstream's load when it was chosen; negative if
	// nothing was.
	LoadAge time.Duration
	router  *Router
	service string
	name    string
	team    string
	number  uint64
	once    sync.Once
}

// Acquire waits for a place at an upstream. Errors are of type *Refusal; a refused request did not
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
		if lease, ok := r.place(now, s, w, s.reserve(q, w.Team)); ok {
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

// place picks an upstream with room beyond reserve and counts the request there; mu is held.
func (r *Router) place(now time.Time, s *service, w Want, reserve float64) (*Lease, bool) {
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

// loadAge is the age of an upstream's load; negative if it is not known.
func loadAge(now time.Time, e route.Entry) time.Duration {
	if e.Digest.At.IsZero() {
		return -1
	}
	return now.Sub(e.Digest.At)
}

// Done gives the place back; ok is false when the upstream failed by its own fault.
func (l *Lease) Done(now time.Time, ok bool) {
	l.once.Do(func() {
		r := l.router
		r.mu.Lock()
		defer r.mu.Unlock()
		left := r.counter(l.Upstream.ID).Add(-1)
		r.opts.Counted(Count{Upstream: l.Upstream, Number: l.number, InFlight: int(left)})
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

// dispatch lets waiting requests go on while upstreams have room; mu is held.
func (r *Router) dispatch(now time.Time, s *service) {
	for name, q := range s.queues {
		for q.Len() > 0 {
			next, request, _ := q.Next(now)
			wait := s.waiting[request.ID]
			lease, ok := r.place(now, s, wait.want, s.reserve(q, request.Team))
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

// expire refuses at once the requests whose deadline has passed; mu is held.
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

// reserve returns the share of each upstream's capacity that a request of the team leaves free for
// teams within their shares; those leave none.
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
