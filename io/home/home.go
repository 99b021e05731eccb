// Package home is where the nodes of a site act together: one of them, the home, decides who uses
// which slot of an upstream and runs the items of batch jobs.
//
// The home is chosen by a conditional write to the object service, renewed in short intervals. It
// keeps nothing that must last: jobs and results lie in the object service, and the slots in use are
// told by the nodes that use them when they connect. A node that reaches no home decides about slots
// itself, and reads jobs from the object service.
//
// A home answers reads of jobs only while its lease is valid, so that a home that was replaced
// without noticing shows nothing old. It runs items on all the same: results have their position
// from the object service, and an item that ran twice is listed once.
//
// Usage:
//
//	c := home.NewClient(home.ClientOptions{VMID: "e1", Connect: connect, Now: clock.Now})
//	c.Announce(home.Announcement{Term: 3, VM: "s1", Address: "10.0.0.7:7660"})
//	lease, refusal, err := c.Acquire(ctx, request)
//
//	e := home.NewElector(home.ElectorOptions{Objects: client, Client: c, Start: start})
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

// Options are the parts that a Home works with; all are required.
type Options struct {
	VMID             string
	AvailabilityZone string
	// Address is where nodes reach this one.
	Address string
	Term    int64
	Objects object.Client
	Runner  *Runner
	// OwnRuns is the number of items that the home runs itself at the same time before it gives some
	// to other nodes.
	OwnRuns int
	// Config returns the configuration in force.
	Config func() site.Config
	// SlotsOnly makes a home that only grants slots: it stands in while the object service is away.
	SlotsOnly bool
	// Valid reports that the lease of the home is valid and that no earlier one can be.
	Valid func(now time.Time) bool
	// Snapshots returns the kinds of objects that nodes learn from the home when they connect.
	Snapshots func() map[string]object.Change
	// ObjectsDown reports that the home doesn't reach the object service.
	ObjectsDown func() bool
	// Announce tells the nodes of the home that has taken over.
	Announce func(a Announcement)
	// Before is the home before this one, if it ran on another VM; Dial opens connections to it.
	Before Announcement
	Dial   Dial
	// Kept is what this node keeps of the progress of items: of the home before this one, then its own.
	Kept *Checkpoints
	// Retirements tells of VMs that are to be emptied, and StepDown makes another node the home.
	Retirements Retirements
	StepDown    func()
	// ResultsKept is how long results stay after the acceptance of a job.
	ResultsKept time.Duration
	Now         func() time.Time
	// TimeOfDay is the clock that all VMs share roughly.
	TimeOfDay func() time.Time
	Log       zerolog.Logger
	Registry  metrics.Registry
}

// Home decides for all nodes. It is safe for concurrent use.
type Home struct {
	opts    Options
	desk    *Desk
	metrics homeMetrics
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	follow  *object.Follower
	retire  *object.Follower
	nextID  atomic.Uint64
	// progressTaken is closed when the home before this one has been asked for progress.
	progressTaken chan struct{}
	// given is closed when a later home has taken over.
	given     chan struct{}
	givenOnce sync.Once

	mu       sync.Mutex
	jobs     map[string]*job
	reserved map[string]reservation
	// awaited holds since when the watch owes a job that the object service holds.
	awaited map[string]time.Time
	// loaded reports that the jobs of the object service are known.
	loaded bool
	// replaced reports that a later home has taken the items.
	replaced bool
	// progress holds what the home before this one had done of items.
	progress map[[2]string]ItemProgress
	// nodes are the connections of all nodes but the home's own, by owner.
	nodes map[string]*link.Conn
	// deserted is since when no node is connected; zero while one is and before the first.
	deserted time.Time
	// runners are the nodes that run items for the home, ownRunning the items that it runs itself.
	runners    map[string]*runnerNode
	ownRunning int
}

type homeMetrics struct {
	asks, refused, cuts, runs, results, chunks metrics.Counter
}

// New returns a home that loads the jobs and runs them.
func New(opts Options) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("home."+name, opts.Registry) }
	h := &Home{
		opts: opts, desk: NewDesk(slot.NewOptions(), opts.Now), ctx: ctx, cancel: cancel,
		metrics: homeMetrics{
			asks: counter("asks"), refused: counter("refused"), cuts: counter("cuts"),
			runs: counter("runs"), results: counter("results"), chunks: counter("chunks"),
		},
		progressTaken: make(chan struct{}), given: make(chan struct{}), progress: make(map[[2]string]ItemProgress),
		jobs: make(map[string]*job), reserved: make(map[string]reservation),
		awaited: make(map[string]time.Time), runners: make(map[string]*runnerNode),
		nodes: make(map[string]*link.Conn),
	}
	if opts.SlotsOnly {
		return h
	}
	h.done.Go(h.takeProgress)
	h.follow = object.NewFollower(object.FollowerOptions{
		Client: opts.Objects, Kind: KindJobs, Apply: h.applyJobs, Verify: h.verifyJobs, Log: opts.Log,
	})
	h.retire = object.NewFollower(object.FollowerOptions{
		Client: opts.Objects, Kind: opts.Retirements.Kind, Apply: h.applyRetirements,
		Verify: func() time.Duration { return verifyRetirements }, Log: opts.Log,
	})
	h.done.Go(h.sweep)
	h.done.Go(h.checkpoint)
	return h
}

// Close ends the home: items are cut, nodes are left to themselves.
func (h *Home) Close() {
	h.cancel()
	for _, f := range []*object.Follower{h.follow, h.retire} {
		if f != nil {
			f.Close()
		}
	}
	h.desk.Close()
	h.done.Wait()
}

// SetUpstreams tells the home of the upstreams.
func (h *Home) SetUpstreams(list []site.Upstream) { h.desk.SetUpstreams(list) }

// AwaitHandover waits until a later home has taken over, for a while.
func (h *Home) AwaitHandover() {
	t := time.NewTimer(handoverWait)
	defer t.Stop()
	select {
	case <-h.given:
	case <-t.C:
	}
}

func (h *Home) handedOver() { h.givenOnce.Do(func() { close(h.given) }) }

// owner names one connection of a node's process, so that the late end of one connection takes
// nothing from the next one.
func (h *Home) owner(vm string, incarnation int64) string {
	return fmt.Sprintf("%s/%d/%d", vm, incarnation, h.nextID.Add(1))
}

// session is one node's connection.
type session struct {
	owner string
	// relay is where the node passes connections on; empty if it doesn't.
	relay string
}

// Handle answers a message of a node; s is nil until the node has introduced itself.
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
		h.desk.Release(slot.Key{Owner: s.owner, ID: m.ID}, m.Result)
		return nil
	case methodReport:
		var m reportNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.desk.Report(m.Upstream, m.Running, m.Waiting)
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
	case methodKept:
		var m keptNotice
		if err := in.Decode(&m); err != nil {
			return err
		}
		h.awaitJob(m.Job)
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

// write makes a write for a node and answers its outcome.
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
		h.deserted = time.Time{}
		if m.Runs {
			h.runners[s.owner] = &runnerNode{conn: in.Conn(), name: m.VM, left: make(chan struct{})}
		}
		h.mu.Unlock()
	}
	for _, o := range m.Open {
		h.desk.Adopt(slot.Request{Key: slot.Key{Owner: s.owner, ID: o.ID}, Service: o.Service}, o.Upstream)
	}
	h.opts.Log.Info().Str("peer", s.owner).Int("open", len(m.Open)).Int64("term", h.opts.Term).Msg("nodeConnected")
	in.Answer(helloAnswer{Home: Announcement{Term: h.opts.Term, VM: h.opts.VMID, Address: h.opts.Address}})
	in.Conn().Notify(methodDown, downNotice{Down: h.opts.ObjectsDown()})
	for kind, c := range h.opts.Snapshots() {
		in.Conn().Notify(methodView, viewNotice{Kind: kind, Change: c})
	}
	return s
}

func (h *Home) ask(s *session, in link.Incoming) error {
	var m askRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	h.metrics.asks.Inc(1)
	h.desk.Ask(m.request(h.opts.Now(), s.owner), asker{
		granted: func(g slot.Grant) { in.Answer(askAnswer{Upstream: &g.Upstream}) },
		refused: func(r slot.Refusal) {
			h.metrics.refused.Inc(1)
			l := h.desk.Load(r.Request.Service)
			h.opts.Log.Info().Str("peer", s.owner).Uint64("ask", r.Request.Key.ID).Str("service", r.Request.Service).
				Str("reason", string(r.Reason)).Dur("retryAfterMillis", r.RetryAfter).Int("slots", l.Slots).Int("online", l.Online).
				Int("batch", l.Batch).Int("waiting", l.WaitingOnline).Int("paused", l.PausedUpstreams).Msg("slotRefused")
			in.Answer(askAnswer{Reason: r.Reason, RetryAfter: r.RetryAfter})
		},
	})
	return nil
}

// leave forgets a node whose connection has ended.
func (h *Home) leave(s *session) {
	if s == nil {
		return
	}
	h.opts.Log.Info().Str("peer", s.owner).Msg("nodeDisconnected")
	h.mu.Lock()
	delete(h.runners, s.owner)
	if _, ok := h.nodes[s.owner]; ok && len(h.nodes) == 1 {
		h.deserted = h.opts.Now()
	}
	delete(h.nodes, s.owner)
	h.mu.Unlock()
	h.desk.DropOwner(s.owner)
}

// sweepInterval is the time between looks at jobs that are to be given up or removed.
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
		}
	}
}

// pickService returns the service that runs a job's items now.
func (h *Home) pickService(host, path string) (site.Route, string, bool) {
	route, ok := h.opts.Config().Match(host, path)
	if !ok || route.Kind != site.Batch {
		return site.Route{}, "", false
	}
	return route, route.Service(rand.Uint64()), true
}

// errCut ends a run whose slot was given to an online request.
var errCut = errors.New("slot given to an online request")
