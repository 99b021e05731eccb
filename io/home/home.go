// Package home coordinates the nodes of a site: one of them, the home, grants the slots of upstreams to
// nodes and runs the items of batch jobs.
//
// The home is elected by a lease in the object service, which is acquired by a conditional write and
// renewed in short intervals. The home has no durable state of its own: jobs and results are stored in the
// object service, and nodes report the slots that they use when they connect. A node that reaches no home
// grants slots from a local pool, and reads jobs from the object service.
//
// A home answers reads of jobs only while its lease is valid, so that a home that was replaced without
// noticing returns no stale results. It continues to run items without a valid lease: the object service
// decides the positions of results, and an item that ran twice is listed once.
//
// Usage:
//
//	c := home.NewClient(home.ClientOptions{VMID: "e1", Connect: connect, Now: clock.Now})
//	c.Announce(home.Announcement{Term: 3, VM: "s1", Address: "10.0.0.7:7660"})
//	lease, refusal, err := c.Acquire(ctx, request)
//
//	e := home.NewElector(home.ElectorOptions{Objects: client, Start: start})
//	defer e.Close()
package home

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/link"
	"mothcart/io/object"
	"mothcart/io/store"
)

// Options are the dependencies and settings of a Home; all are required.
type Options struct {
	VMID             string
	AvailabilityZone string
	// Address is the host:port at which other nodes reach this one.
	Address string
	Term    int64
	Objects object.Client
	Runner  *Runner
	// OwnRuns is the number of items that the home runs itself at the same time before it dispatches
	// further ones to other nodes.
	OwnRuns int
	// Config returns the configuration in force.
	Config func() site.Config
	// SlotsOnly makes this a fallback home, which only grants slots. Such a home runs while the object service
	// is unreachable.
	SlotsOnly bool
	// Valid reports that the home's lease is valid and that no earlier home's lease can be.
	Valid func(now time.Time) bool
	// Views are the objects that the home sends to a node when it connects.
	Views *Views
	// ObjectsDown reports that the home can't reach the object service.
	ObjectsDown func() bool
	// Announce notifies the nodes of the home that has taken over.
	Announce func(a Announcement)
	// MarkLeaving records upstreams that a node knows to be leaving; Leaving returns all such upstreams.
	MarkLeaving func(from string, keys []site.Key)
	Leaving     func() []site.Key
	// Before is the previous home, if it ran on another VM; Dial opens connections to it.
	Before Announcement
	Dial   Dial
	// Checkpoints holds this node's checkpoints: of the previous home's items, then of its own.
	Checkpoints *Checkpoints
	// Retirements describes the objects that ask for a VM to be drained. StepDown is called when this VM is
	// to be drained, and makes another node the home.
	Retirements Retirements
	StepDown    func()
	// ResultRetention is the retention of results, counted from the acceptance of a job.
	ResultRetention time.Duration
	Now             func() time.Time
	// TimeOfDay is the wall clock, which agrees roughly between VMs.
	TimeOfDay func() time.Time
	Log       zerolog.Logger
	Registry  metrics.Registry
}

// Home grants slots to all nodes and runs items. It is safe for concurrent use.
type Home struct {
	opts               Options
	pool               *SlotPool
	metrics            homeMetrics
	ctx                context.Context
	cancel             context.CancelFunc
	done               sync.WaitGroup
	jobFollower        *object.Follower
	retirementFollower *object.Follower
	nextID             atomic.Uint64
	// progressLoaded is closed when the attempts to load the previous home's progress have ended.
	progressLoaded chan struct{}
	// handoverDone is closed when a later home has taken over.
	handoverDone chan struct{}
	handoverOnce sync.Once

	mu       sync.Mutex
	jobs     map[string]*job
	reserved map[string]reservation
	// undelivered holds the jobs that the object service has stored and the watch has not delivered yet,
	// with the time at which this home was notified of them.
	undelivered map[string]time.Time
	// loaded reports that the jobs of the object service have been loaded.
	loaded bool
	// replaced reports that a later home has taken over; no item starts any more.
	replaced bool
	listed   *listedJobs
	// progress holds the progress of items at the previous home, by job and item.
	progress map[[2]string]ItemProgress
	// nodes are the connections of all nodes but the home's own, by owner.
	nodes map[string]*link.Conn
	// noNodesSince is when the last other node disconnected; zero while one is connected and before the
	// first one connects.
	noNodesSince time.Time
	// runners are the nodes that run items for the home, by owner; ownRunning is the number of items that
	// the home runs itself.
	runners    map[string]*runnerNode
	ownRunning int
}

type homeMetrics struct {
	asks, refused, preemptions, runs, results, chunks metrics.Counter
	// corrected counts the requests of nodes that had ended without the home's knowledge.
	corrected metrics.Counter
	// bodyBytes is the size of the bodies of open items.
	bodyBytes metrics.Gauge
}

// New returns a home that loads jobs from the object service and runs their items.
func New(opts Options) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("home."+name, opts.Registry) }
	h := &Home{
		opts: opts, pool: NewSlotPool(slot.NewOptions(), opts.Now), ctx: ctx, cancel: cancel,
		metrics: homeMetrics{
			asks: counter("asks"), refused: counter("refused"), preemptions: counter("cuts"),
			runs: counter("runs"), results: counter("results"), chunks: counter("chunks"), corrected: counter("slotsCorrected"),
			bodyBytes: metrics.GetOrRegisterGauge("home.bodyBytes", opts.Registry),
		},
		progressLoaded: make(chan struct{}), handoverDone: make(chan struct{}), progress: make(map[[2]string]ItemProgress),
		jobs: make(map[string]*job), reserved: make(map[string]reservation),
		undelivered: make(map[string]time.Time), runners: make(map[string]*runnerNode),
		nodes: make(map[string]*link.Conn), listed: newListedJobs(),
	}
	if opts.SlotsOnly {
		return h
	}
	h.done.Go(h.loadProgress)
	h.jobFollower = object.NewFollower(object.FollowerOptions{
		Client: opts.Objects, Kind: KindJobs, Apply: h.applyJobs, Verify: h.verifyJobs,
		Gap: func() time.Duration { return jobsWatchGap }, Log: opts.Log,
	})
	h.retirementFollower = object.NewFollower(object.FollowerOptions{
		Client: opts.Objects, Kind: opts.Retirements.Kind, Apply: h.applyRetirements,
		Verify: func() time.Duration { return verifyRetirements }, Log: opts.Log,
	})
	h.done.Go(h.sweep)
	h.done.Go(h.checkpoint)
	return h
}

// Close ends the home and cancels the runs of its items. Requests that wait for a slot get no answer.
func (h *Home) Close() {
	h.cancel()
	for _, f := range []*object.Follower{h.jobFollower, h.retirementFollower} {
		if f != nil {
			f.Close()
		}
	}
	h.pool.Close()
	h.done.Wait()
}

// SetUpstreams replaces the upstreams.
func (h *Home) SetUpstreams(list []site.Upstream) { h.pool.SetUpstreams(list) }

// AwaitHandover waits until a later home has taken over, at most for handoverWait.
func (h *Home) AwaitHandover() {
	t := time.NewTimer(handoverWait)
	defer t.Stop()
	select {
	case <-h.handoverDone:
	case <-t.C:
	}
}

func (h *Home) markHandedOver() { h.handoverOnce.Do(func() { close(h.handoverDone) }) }

// owner returns a name for one connection of a node's process, so that the late end of a connection does
// not release slots of the next one.
func (h *Home) owner(vm string, incarnation int64) string {
	return fmt.Sprintf("%s/%d/%d", vm, incarnation, h.nextID.Add(1))
}

// session is one node's connection.
type session struct {
	owner string
	// relay is the address at which the node relays connections; empty if it doesn't.
	relay string
}

// handle processes a message of a node; s is nil until the node has sent its hello.
func (h *Home) handle(s *session, in link.Incoming) *session {
	switch in.Method {
	case methodHello:
		return h.hello(in)
	case methodHandover:
		if err := h.handOver(in); err != nil {
			in.Fail(err)
		}
		return s
	}
	if s == nil {
		in.Fail(merry.Errorf("%s before hello", in.Method))
		return nil
	}
	if err := h.dispatch(s, in); err != nil {
		h.opts.Log.Warn().Str("peer", s.owner).Str("method", in.Method).Err(err).Msg("badMessage")
		in.Fail(err)
	}
	return s
}

func (h *Home) dispatch(s *session, in link.Incoming) error {
	switch in.Method {
	case methodAsk:
		return h.ask(s, in)
	case methodRelease:
		var m releaseNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.pool.Release(slot.Key{Owner: s.owner, ID: m.ID}, m.Result)
		return nil
	case methodAccount:
		var m accountNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.reconcile(s, m)
		return nil
	case methodReport:
		var m reportNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.pool.Report(m.Upstream, m.Running, m.Waiting)
		return nil
	case methodLeaving:
		var m leavingNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.opts.MarkLeaving(s.owner, siteKeys(m.Upstreams))
		return nil
	case methodReserve:
		return h.reserve(in)
	case methodRead:
		return h.read(in)
	case methodItem:
		return h.item(in)
	case methodEnded:
		var m endedNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.endJob(m.Job)
		return nil
	case methodStored:
		var m storedNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.noteStored(m.Job)
		return nil
	case methodSubmit:
		var m submitRequest
		if err := in.Decode(&m); err != nil {
			return err
		}
		m.Job.ID = m.ID
		go h.write(in, func(ctx context.Context) error { return CreateJob(ctx, h.opts.Objects, m.Job) })
		return nil
	case methodEnd:
		var m endRequest
		if err := in.Decode(&m); err != nil {
			return err
		}
		go h.write(in, func(ctx context.Context) error { return EndJob(ctx, h.opts.Objects, m.Job) })
		return nil
	default:
		return merry.Errorf("unknown method %s", in.Method)
	}
}

// write runs a write on behalf of a node and answers with its outcome.
func (h *Home) write(in link.Incoming, write func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(h.ctx, writeCallTimeout)
	defer cancel()
	err := write(ctx)
	outcome := writeUnknown
	switch {
	case err == nil:
		outcome = writeDone
	case errors.Is(err, store.ErrNotFound):
		outcome = writeNotFound
	case errors.Is(err, store.ErrUnavailable):
		outcome = writeNotDone
	}
	h.opts.Log.Info().Str("method", in.Method).Int("outcome", int(outcome)).AnErr("error", err).Msg("writtenForNode")
	in.Answer(writeAnswer{Outcome: outcome})
}

func (h *Home) hello(in link.Incoming) *session {
	h.mu.Lock()
	replaced := h.replaced
	h.mu.Unlock()
	if replaced {
		in.Fail(ErrNoHome)
		return nil
	}
	var m helloRequest
	if err := in.Decode(&m); err != nil {
		in.Fail(err)
		return nil
	}
	s := &session{owner: h.owner(m.VM, m.Incarnation), relay: m.Relay}
	if m.VM != h.opts.VMID {
		h.mu.Lock()
		h.nodes[s.owner] = in.Conn()
		h.noNodesSince = time.Time{}
		if m.Runs {
			h.runners[s.owner] = &runnerNode{conn: in.Conn(), name: m.VM, stopped: make(chan struct{})}
		}
		h.mu.Unlock()
	}
	h.opts.MarkLeaving(s.owner, siteKeys(m.Leaving))
	for _, o := range m.Open {
		h.adopt(s, o)
	}
	h.opts.Log.Info().Str("peer", s.owner).Int("open", len(m.Open)).Int64("term", h.opts.Term).Msg("nodeConnected")
	in.Answer(helloAnswer{Home: Announcement{Term: h.opts.Term, VM: h.opts.VMID, Address: h.opts.Address}})
	in.Conn().Notify(methodObjectsDown, objectsDownNotice{Down: h.opts.ObjectsDown()})
	if keys := h.opts.Leaving(); len(keys) > 0 {
		in.Conn().Notify(methodLeaving, leavingNotice{Upstreams: upstreamKeys(keys)})
	}
	h.opts.Views.sendTo(in.Conn())
	return s
}

func (h *Home) ask(s *session, in link.Incoming) error {
	var m askRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	h.metrics.asks.Inc(1)
	h.pool.Ask(m.request(h.opts.Now(), s.owner), asker{
		granted: func(g slot.Grant) { in.Answer(askAnswer{Upstream: &g.Upstream}) },
		refused: func(r slot.Refusal) {
			h.metrics.refused.Inc(1)
			l := h.pool.Load(r.Request.Service)
			h.opts.Log.Info().Str("peer", s.owner).Uint64("ask", r.Request.Key.ID).Str("service", r.Request.Service).
				Str("reason", string(r.Reason)).Dur("retryAfterMillis", r.RetryAfter).Int("slots", l.Slots).Int("online", l.Online).
				Int("batch", l.Batch).Int("waiting", l.WaitingOnline).Int("paused", l.PausedUpstreams).Msg("slotRefused")
			in.Answer(askAnswer{Reason: r.Reason, RetryAfter: r.RetryAfter})
		},
	})
	return nil
}

// dropNode removes a node whose connection has ended and releases its slots.
func (h *Home) dropNode(s *session) {
	if s == nil {
		return
	}
	h.opts.Log.Info().Str("peer", s.owner).Msg("nodeDisconnected")
	h.mu.Lock()
	delete(h.runners, s.owner)
	if _, ok := h.nodes[s.owner]; ok && len(h.nodes) == 1 {
		h.noNodesSince = h.opts.Now()
	}
	delete(h.nodes, s.owner)
	h.mu.Unlock()
	h.pool.DropOwner(s.owner)
}

// sweepInterval is the time between two sweeps for jobs whose items are to be failed or that are to be
// removed.
const sweepInterval = time.Second

func (h *Home) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-t.C:
			h.sweepJobs(h.opts.Now())
			h.writeListed(h.opts.Now())
			h.metrics.bodyBytes.Update(int64(h.BodyBytes()))
		}
	}
}

// pickService returns a batch route and one of its services for a job; false if no batch route matches.
func (h *Home) pickService(host, path string) (site.Route, string, bool) {
	route, ok := h.opts.Config().Match(host, path)
	if !ok || route.Kind != site.Batch {
		return site.Route{}, "", false
	}
	return route, route.Service(rand.Uint64()), true
}

// errCancelled is the cause with which the home cancels an attempt: its slot went to an online request, its
// item or job has ended, or a later home has taken over.
var errCancelled = errors.New("attempt cancelled by the home")
