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
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/budget"
	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/core/submission"
	"mothcart/core/tombstone"
	"mothcart/core/zone"
	"mothcart/io/link"
	"mothcart/io/object"
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
	// Zones are the costs of requests that leave their availability zone; the zero value means those of slot.Options.
	Zones zone.Costs
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
	// Origins remembers at which software versions streams began; SoleVersion returns the only one that a service has
	// had for long enough, if this node can tell.
	Origins     *Origins
	SoleVersion func(now time.Time, service string) (string, bool)
	// Confirm reports that this node has just got the list of all upstreams from the object service.
	Confirm func(ctx context.Context) bool
	// Suspects is what this node knows against parts of prompts and against requests; PushSuspects notifies all nodes of
	// such that were quarantined or cleared.
	Suspects     []poison.Record
	PushSuspects func(records []poison.Record)
	// Checkpoints holds this node's checkpoints: of the previous home's items, then of its own.
	Checkpoints *Checkpoints
	// AskingNodes is the number of nodes with requests of accounts at the previous home; 0 if this node doesn't know it.
	AskingNodes int
	// Retirements describes the objects that ask for a VM to be drained. StepDown is called when this VM is
	// to be drained, and makes another node the home.
	Retirements Retirements
	StepDown    func()
	// TextBytes bounds the progress of all unfinished items together, in bytes; 0 means no bound.
	TextBytes int64
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

	startedAt time.Time

	mu       sync.Mutex
	jobs     map[string]*job
	reserved map[string]reservation
	// texts sums up the progress of the jobs' runs.
	texts budget.Texts
	// unloaded holds the jobs that need no more runs and that the home has not loaded; loading holds the others that it
	// has not loaded yet, and loadQueue those of them that no goroutine reads.
	unloaded  map[string]settledJob
	loading   map[string]*loading
	loadQueue []*loading
	// nextLoadAt is the earliest start of the next load.
	nextLoadAt time.Time
	// loaders is the number of goroutines that load jobs, initialLoads that of the jobs for which the home counts as loading.
	loaders, initialLoads int
	// tombstones are ends and removals of jobs that the home doesn't have.
	tombstones *tombstone.Table
	// submissions are the nodes' attempts to submit jobs that the home doesn't have.
	submissions *submission.Table
	// undelivered holds the jobs that the object service has stored and the watch has not delivered yet,
	// with the time at which this home was notified of them.
	undelivered map[string]time.Time
	// listedOnce reports that the home knows all jobs that existed at its start, hintRead that it also knows which of them
	// have all results, loaded that it has loaded the others.
	listedOnce, hintRead, loaded bool
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
	// remoteRuns holds the attempts that other nodes make, by itemCall.Run.
	remoteRuns map[uint64]*remoteRun
	// retiring reports that this VM is to be drained, draining that others are.
	retiring atomic.Bool
	draining map[string]bool
}

type homeMetrics struct {
	asks, refused, preemptions, runs, results metrics.Counter
	chunks                                    chunkMetrics
	// textsDropped counts the items that begin again since there was no room for their text.
	textsDropped metrics.Counter
	// restarts counts items whose progress was dropped, since no upstream could go on with it.
	restarts metrics.Counter
	// overShare counts the requests that were refused since their account used more than its share of the slots.
	overShare metrics.Counter
	// corrected counts the requests of nodes that had ended without the home's knowledge.
	corrected metrics.Counter
	// silentRuns counts attempts whose runner fell silent, keptRuns those of them with which it came back.
	silentRuns, keptRuns metrics.Counter
	// parts counts what is found about parts of prompts, requests what is found about requests.
	parts, requests findingMetrics
	// limitedUpstreams is the number of upstreams that name a rate.
	limitedUpstreams metrics.Gauge
	limits           *limitMetrics
	// bodyBytes is the size of the bodies of open items.
	bodyBytes metrics.Gauge
	ends      endMetrics
	loads     loadMetrics
	// refusedJobs counts jobs that were stored after a caller had been promised that they don't run, refusedJobsRan those of
	// them of which an item began to run.
	refusedJobs, refusedJobsRan metrics.Counter
	// openSubmissions is the number of attempts to submit jobs that may still store them.
	openSubmissions metrics.Gauge
	// retirementWaits is 1 while this VM is to be drained and no other home node can take over.
	retirementWaits metrics.Gauge
}

// New returns a home that loads jobs from the object service and runs their items.
func New(opts Options) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("home."+name, opts.Registry) }
	h := &Home{
		opts: opts, ctx: ctx, cancel: cancel, startedAt: opts.Now(), submissions: submission.NewTable(),
		metrics: homeMetrics{
			asks: counter("asks"), refused: counter("refused"), preemptions: counter("cuts"), restarts: counter("restarts"), textsDropped: counter("textsDropped"),
			runs: counter("runs"), results: counter("results"), chunks: newChunkMetrics(opts.Registry), corrected: counter("slotsCorrected"),
			overShare: counter("overShare"), refusedJobs: counter("refusedJobsStored"), refusedJobsRan: counter("refusedJobsRan"),
			openSubmissions: metrics.GetOrRegisterGauge("home.openSubmissions", opts.Registry),
			silentRuns:      counter("runsSilent"), keptRuns: counter("runsKept"),
			parts:            findingMetrics{counter("partSuspicions"), counter("partQuarantines"), counter("partsCleared")},
			requests:         findingMetrics{counter("requestSuspicions"), counter("requestQuarantines"), counter("requestsCleared")},
			limitedUpstreams: metrics.GetOrRegisterGauge("home.limitedUpstreams", opts.Registry),
			limits:           newLimitMetrics("home", opts.Registry),
			bodyBytes:        metrics.GetOrRegisterGauge("home.bodyBytes", opts.Registry),
			retirementWaits:  metrics.GetOrRegisterGauge("home.retirementWaits", opts.Registry),
			ends:             newEndMetrics(opts.Registry),
			loads:            newLoadMetrics(opts.Registry),
		},
		progressLoaded: make(chan struct{}), handoverDone: make(chan struct{}), progress: make(map[[2]string]ItemProgress),
		jobs: make(map[string]*job), reserved: make(map[string]reservation), unloaded: make(map[string]settledJob),
		loading: make(map[string]*loading), tombstones: tombstone.NewTable(),
		undelivered: make(map[string]time.Time), runners: make(map[string]*runnerNode), draining: make(map[string]bool), remoteRuns: make(map[uint64]*remoteRun),
		nodes: make(map[string]*link.Conn), listed: newListedJobs(),
	}
	h.pool = NewSlotPool(opts.Origins.poolOptions(withConfig(slot.NewOptions().WithZones(opts.Zones), opts.Config), opts.SoleVersion), opts.Now, h.foundSuspects, h.limitsChanged)
	h.pool.outliers = func(changes []slot.OutlierChange) { logOutliers(opts.Log, "home", changes) }
	h.pool.ImportSuspects(opts.Suspects)
	if opts.AskingNodes > 0 {
		h.pool.ExpectNodes(opts.AskingNodes)
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

// limitsChanged records changes of the rates that upstreams name.
func (h *Home) limitsChanged(changes []slot.LimitChange) {
	logLimits(h.opts.Log, "home", changes)
	h.metrics.limitedUpstreams.Update(int64(h.pool.limitedUpstreams()))
}

// foundSuspects tells all nodes of parts of prompts and of requests that were quarantined or cleared.
func (h *Home) foundSuspects(findings []poison.Finding) {
	logFindings(h.opts.Log, "home", findings)
	for _, f := range findings {
		if f.IsRequest() {
			h.metrics.requests.count(f.Kind)
		} else {
			h.metrics.parts.count(f.Kind)
		}
	}
	if records := decided(findings); len(records) > 0 {
		h.opts.PushSuspects(records)
	}
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
			h.sweepLoads(h.opts.Now())
			h.writeListed(h.opts.Now())
			tracked, refused := h.pool.limitUse()
			h.metrics.limits.record(h.opts.Now(), h.opts.Log, tracked, refused)
			h.metrics.bodyBytes.Update(int64(h.BodyBytes()))
			h.updateOpenSubmissions(h.opts.Now())
			h.updateRoom()
			h.updatePaceMetrics()
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
