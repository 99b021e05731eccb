package home

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"mothcart/core/poison"
	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/core/submission"
	"mothcart/io/forward"
	"mothcart/io/link"
	"mothcart/io/object"
)

// ErrNoHome means that no home can be reached or that the home can't confirm its state.
var ErrNoHome = merry.Sentinel("no home")

const (
	// helloTimeout bounds connecting to a home, including the hello call.
	helloTimeout = 600 * time.Millisecond
	// callTimeout bounds a call that the home answers at once.
	callTimeout = 500 * time.Millisecond
	// askSlack is added to a request's wait before the home is considered unresponsive.
	askSlack = 60 * time.Millisecond
	// firstReconnect and lastReconnect bound the pause between attempts to reach the home.
	firstReconnect = 50 * time.Millisecond
	lastReconnect  = 400 * time.Millisecond
)

// Announcement names the home.
type Announcement struct {
	// Term is the term of the home; each home has a greater one than the last.
	Term int64  `json:"term"`
	VM   string `json:"vm"`
	// Address is host:port for connections of nodes.
	Address string `json:"address"`
}

// ClientOptions are the dependencies and settings of a Client; all are required.
type ClientOptions struct {
	VMID        string
	Incarnation int64
	// Relay is the address at which this node relays connections of others to the home; empty if it
	// doesn't.
	Relay string
	// HomeNodes returns addresses of nodes that may act as fallback home.
	HomeNodes func() []string
	Connect   Dial
	Now       func() time.Time
	// Runner runs items for the home; nil on nodes that run none.
	Runner *Runner
	// Checkpoints holds checkpoints of items for the home; nil on nodes that run none.
	Checkpoints *Checkpoints
	// Unreached is called when the home can't be reached directly.
	Unreached func()
	// Announced is called for each new home. OnReceivesChanges is called when the result of
	// Client.ReceivesChanges may have changed.
	Announced, OnReceivesChanges func()
	// View is called with each change of a kind of objects that the home sends.
	View func(kind string, c object.Change)
	// Config returns the configuration in force.
	Config func() site.Config
	// Leaving is called when an upstream's answer to a request says that the upstream is leaving, and
	// MarkLeaving when the home says so. LeavingUpstreams returns all such upstreams.
	Leaving          func(u site.Upstream, request string)
	MarkLeaving      func(from string, keys []site.Key)
	LeavingUpstreams func() []site.Key
	// Origins, SoleVersion and Confirm are those of Options.
	Origins     *Origins
	SoleVersion func(now time.Time, service string) (string, bool)
	Confirm     func(ctx context.Context) bool
	// Suspects is what the node's last process knew against parts of prompts and against requests. SuspectsChanged is
	// called when one was quarantined or cleared.
	Suspects        []poison.Record
	SuspectsChanged func()
	// Down is called with true when the home reports that it can't reach the object service, and with
	// false when it can.
	Down func(down bool)
	Log  zerolog.Logger
}

// Client is a node's connection to the home: it asks the home for slots and jobs, and grants slots
// from a local pool while there is no home. It is safe for concurrent use.
type Client struct {
	opts ClientOptions
	// localPool grants slots while there is no home; it counts all slots in use by this node.
	localPool *SlotPool
	// homeAnswered reports that a home has answered since this node last decided alone.
	homeAnswered atomic.Bool
	// asks reports that this node has had requests of accounts, and unlimitedHome that the home doesn't limit these.
	asks, unlimitedHome atomic.Bool
	inventory           *inventory
	paces               paceOutbox
	cancel              context.CancelFunc
	done                sync.WaitGroup
	wake                chan struct{}

	mu   sync.Mutex
	home Announcement
	conn *link.Conn
	// connTerm is the term of the home at the other end of conn.
	connTerm int64
	// cancelAttempt ends the last attempt to reach a home.
	cancelAttempt context.CancelFunc
	// relayed reports that conn goes through another node.
	relayed bool
	// homeKnowsAccounts is helloAnswer.Accounts.
	homeKnowsAccounts bool
	// leaseUnconfirmed reports that the home has said that it can't renew its lease.
	leaseUnconfirmed bool
	// unconfirmedSince is when it first said so.
	unconfirmedSince time.Time
	// relays lists the addresses of relays.
	relays []string
	// nodes is the number of nodes, as a home has last told it.
	nodes int
	// asking is the number of nodes with requests of accounts.
	asking    int
	upstreams map[string]site.Upstream
	// gone holds the upstreams, by ID and incarnation, that are no longer in this node's list.
	gone map[site.Key]bool
	// submissions are this node's attempts to submit jobs.
	submissions submissions
	ends        recentEnds
	rooms       rooms
}

// NewClient returns a client that waits for an announcement.
func NewClient(opts ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opts: opts, cancel: cancel, wake: make(chan struct{}, 1), gone: make(map[site.Key]bool),
		inventory: newInventory(), cancelAttempt: func() {}, submissions: submissions{table: submission.NewTable()},
	}
	c.localPool = NewSlotPool(opts.Origins.poolOptions(withConfig(slot.NewOptions().WithReports(true), opts.Config), opts.SoleVersion), opts.Now, c.foundSuspects,
		func(changes []slot.LimitChange) { logLimits(opts.Log, "node", changes) })
	c.localPool.outliers = func(changes []slot.OutlierChange) { logOutliers(opts.Log, "node", changes) }
	c.localPool.ImportSuspects(opts.Suspects)
	c.homeAnswered.Store(true) // the first decision without a home begins a share of rates
	c.done.Go(func() { c.run(ctx) })
	return c
}

// Close ends the client.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
	c.localPool.Close()
}

// SetUpstreams replaces the upstreams.
func (c *Client) SetUpstreams(list []site.Upstream) {
	byID := make(map[string]site.Upstream, len(list))
	for _, u := range list {
		byID[u.ID] = u
	}
	c.mu.Lock()
	for id, u := range c.upstreams {
		if current, ok := byID[id]; !ok || current.Incarnation != u.Incarnation {
			c.gone[u.Key()] = true
		}
	}
	for _, u := range list {
		delete(c.gone, u.Key())
	}
	c.upstreams = byID
	c.mu.Unlock()
	c.localPool.SetUpstreams(list)
}

// Announce sets the home; it ignores an announcement whose term is not later than that of the last one.
func (c *Client) Announce(a Announcement) {
	c.mu.Lock()
	if a.Term <= c.home.Term {
		c.mu.Unlock()
		return
	}
	c.home = a
	conn, cancelAttempt := c.conn, c.cancelAttempt
	c.conn = nil
	c.mu.Unlock()
	cancelAttempt() // the last home's VM may not answer for as long as a connection may take
	c.opts.Log.Info().Str("home", a.VM).Str("address", a.Address).Int64("term", a.Term).Msg("homeAnnounced")
	c.opts.Announced()
	if conn != nil {
		conn.Close()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Connected reports that there is a connection to the home.
func (c *Client) Connected() bool { return c.connection() != nil }

// heartbeatLimit is the time without a frame from the home after which a home node reads the home's lease.
const heartbeatLimit = 400 * time.Millisecond

// Healthy reports that there is a connection to the home that has received a frame within heartbeatLimit, and
// that the home can renew its lease.
func (c *Client) Healthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.leaseUnconfirmed && c.conn.Idle() < heartbeatLimit
}

// ReceivesChanges reports that this node is connected to a home that can renew its lease, so that it receives
// the object changes that the home gets from the object service.
func (c *Client) ReceivesChanges() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.leaseUnconfirmed
}

// ReceivedChanges reports that this node receives changes, or did so at most ago: the connection to the home
// continues, but the home can't renew its lease.
func (c *Client) ReceivedChanges(ago time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && (!c.leaseUnconfirmed || c.opts.Now().Sub(c.unconfirmedSince) < ago)
}

// Relays returns the addresses of some entry nodes, as the home has last named them.
func (c *Client) Relays() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays
}

// Home returns the home that was announced last.
func (c *Client) Home() Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home
}

func (c *Client) connection() *link.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// Acquire waits for a slot: from the home, or from the local pool while no home answers.
func (c *Client) Acquire(ctx context.Context, r slot.Request) (forward.Lease, *slot.Refusal, error) {
	if version, ok := c.opts.Origins.Version(r.Resumes); ok && r.Continues && r.Version == "" {
		r.Version, r.BoundBy = version, slot.BoundByNode
	}
	if refusal, ok := c.localPool.RefuseQuarantined(r); ok {
		return forward.Lease{}, &refusal, nil
	}
	r, overLimit := c.charge(r)
	if overLimit != nil {
		return forward.Lease{}, overLimit, nil
	}
	for conn := c.connection(); conn != nil; {
		lease, refusal, err := c.askHome(ctx, conn, r)
		if err == nil || ctx.Err() != nil {
			if refusal == nil && err == nil && c.DrainingOrGone(lease.Upstream) {
				lease.Release(c.opts.Now(), slot.Moved)
				r.Exclude, r.Charged = append(r.Exclude, lease.Upstream.ID), true
				continue
			}
			return lease, refusal, err
		}
		c.opts.Log.Warn().Uint64("ask", r.Key.ID).Str("service", r.Service).Err(err).Msg("askWithoutHome")
		break
	}
	return c.decideLocally(ctx, r)
}

// DrainingOrGone reports that, in this node's own list, the upstream is draining or gone. The home may
// learn of that later, when it can't reach the object service.
func (c *Client) DrainingOrGone(u site.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, ok := c.upstreams[u.ID]
	return c.gone[u.Key()] || (ok && current.Incarnation == u.Incarnation && current.Draining)
}

func (c *Client) askHome(ctx context.Context, conn *link.Conn, r slot.Request) (forward.Lease, *slot.Refusal, error) {
	now := c.opts.Now()
	wait := max(r.Deadline.Sub(now), 0)
	askCtx, cancel := context.WithTimeout(ctx, wait+askSlack)
	defer cancel()
	c.inventory.ask(r)
	var answer askAnswer
	err := conn.Call(askCtx, methodAsk, askRequest{
		ID: r.Key.ID, Service: r.Service, Priority: r.Priority, Remaining: r.Order.Sub(now), Wait: wait,
		Exclude: r.Exclude, Zone: r.AvailabilityZone, Objective: remainingObjective(now, r),
		Version: r.Version, Stream: r.Stream, Continues: r.Continues, Resumes: r.Resumes, Repeatable: r.Repeatable, Parts: r.Parts, Identity: r.Identity,
		Account: r.Account, Charged: r.Charged, Prompt: r.PromptTokens, Output: r.OutputTokens, Expected: r.ExpectedTokens,
		Paces: c.paces.take(now),
	}, &answer)
	if err != nil {
		c.inventory.end(conn, releaseNotice{ID: r.Key.ID, Result: slot.Abandoned})
		return forward.Lease{}, nil, err
	}
	c.homeAnswered.Store(true)
	c.learn(r, answer.Standing, answer.Upstream != nil)
	if answer.Upstream == nil {
		if r.Account != "" {
			c.localPool.refund(r)
		}
		c.inventory.end(nil, releaseNotice{ID: r.Key.ID})
		return forward.Lease{}, &slot.Refusal{Request: r, Reason: answer.Reason, RetryAfter: answer.RetryAfter}, nil
	}
	u := *answer.Upstream
	r.BoundBy = cmp.Or(r.BoundBy, answer.BoundBy)
	if r.Stream != "" {
		c.opts.Origins.Record(r.Stream, u.Version) // the local pool may not know the upstream yet
	}
	c.inventory.hold(r.Key.ID, u.ID, conn)
	c.localPool.Adopt(r, u.ID)
	return c.lease(slot.Grant{Request: r, Upstream: u, Choice: answer.choice(), Trial: answer.Trial}, "home"), nil, nil
}

// lease returns the lease of a granted slot.
func (c *Client) lease(g slot.Grant, basis string) forward.Lease {
	r, u := g.Request, g.Upstream
	return forward.Lease{
		Upstream: u, Basis: basis, BoundBy: r.BoundBy, Choice: g.Choice,
		Release: func(_ time.Time, result slot.Result) {
			c.localPool.Release(r.Key, result)
			// The home that is connected now may not be the one that granted the slot.
			c.inventory.end(c.connection(), c.released(r.Key.ID, result))
		},
		Report: func(_ time.Time, running, waiting int) { c.report(u.ID, running, waiting) },
		Pace:   func(pace float64) { c.paces.add(c.opts.Now(), r.Key.ID, pace) },
		Began: func(stream string) {
			c.opts.Origins.Record(stream, u.Version)
			c.notify(methodBegan, beganNotice{Stream: stream, Version: u.Version})
		},
		Limit: func(rate float64, named bool) {
			if !named && !c.localPool.IsLimited(u.ID) {
				return
			}
			c.localPool.Limit(r.Key, rate, named)
			c.notify(methodLimit, limitNotice{ID: r.Key.ID, Rate: rate, Named: named})
		},
		Wrote: func() {
			if g.Trial {
				c.localPool.Wrote(r.Key)
				c.notify(methodWrote, wroteNotice{ID: r.Key.ID})
			}
		},
		Silence: func(silent bool) {
			c.localPool.Silence(r.Key, silent)
			c.notify(methodSilence, silenceNotice{ID: r.Key.ID, Silent: silent})
		},
		Leaving: func(request string) { c.opts.Leaving(u, request) },
	}
}

// report records the load that an upstream reports. Requests that wait inside an upstream show that
// slots are in use that the home has not counted.
func (c *Client) report(upstream string, running, waiting int) {
	c.localPool.Report(upstream, running, waiting)
	if waiting > 0 {
		c.notify(methodReport, reportNotice{Upstream: upstream, Running: running, Waiting: waiting})
	}
}

type decision struct {
	grant   slot.Grant
	refusal *slot.Refusal
}

func (c *Client) decideLocally(ctx context.Context, r slot.Request) (forward.Lease, *slot.Refusal, error) {
	if c.homeAnswered.Swap(false) {
		c.localPool.DecideAlone(c.Nodes())
		c.localPool.limitAlone(c.sharingNodes())
	}
	r.Unconfirmed = c.opts.Origins.mustConfirm(r, c.opts.SoleVersion) && !c.opts.Confirm(ctx)
	decided := make(chan decision, 1)
	c.localPool.Ask(r, asker{
		granted: func(g slot.Grant) { decided <- decision{grant: g} },
		refused: func(refusal slot.Refusal) { decided <- decision{refusal: &refusal} },
	})
	select {
	case d := <-decided:
		if d.refusal != nil {
			return forward.Lease{}, d.refusal, nil
		}
		c.inventory.ask(r)
		c.inventory.hold(r.Key.ID, d.grant.Upstream.ID, nil)
		return c.lease(d.grant, "alone"), nil, nil
	case <-ctx.Done():
		c.localPool.Release(r.Key, slot.Abandoned)
		return forward.Lease{}, nil, merry.Errorf("wait for a slot: %w", ctx.Err())
	}
}
