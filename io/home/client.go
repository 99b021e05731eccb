package home

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"mothcart/core/site"
	"mothcart/core/slot"
	"mothcart/io/forward"
	"mothcart/io/link"
	"mothcart/io/object"
)

// ErrNoHome means that no home can be reached or that it can't be sure of its state.
var ErrNoHome = merry.Sentinel("no home")

const (
	// helloTimeout bounds the introduction to a home.
	helloTimeout = 600 * time.Millisecond
	// callTimeout bounds a call that needs no waiting at the home.
	callTimeout = 500 * time.Millisecond
	// askSlack is added to a request's wait before the home is taken to be silent.
	askSlack = 60 * time.Millisecond
	// firstReconnect and lastReconnect bound the pause between attempts to reach the home.
	firstReconnect = 50 * time.Millisecond
	lastReconnect  = 400 * time.Millisecond
)

// Announcement names the home.
type Announcement struct {
	// Term grows with each home.
	Term int64  `json:"term"`
	VM   string `json:"vm"`
	// Address is host:port for connections of nodes.
	Address string `json:"address"`
}

// ClientOptions are the parts that a Client works with; all are required.
type ClientOptions struct {
	VMID        string
	Incarnation int64
	// Relay is where this node passes connections of others on to the home; empty if it doesn't.
	Relay string
	// HomeNodes returns addresses of nodes that may stand in for the home.
	HomeNodes func() []string
	Connect   Dial
	Now       func() time.Time
	// Runner runs items for the home; nil on nodes that don't.
	Runner *Runner
	// Kept holds the progress of items for the home; nil on nodes that run none.
	Kept *Checkpoints
	// Announced is told of each new home, and Informed when the result of Client.Informed may have changed.
	Announced, Informed func()
	// View is told what the home knows of a kind of objects.
	View func(kind string, c object.Change)
	// Down is told whether the home reaches the object service.
	Down func(down bool)
	Log  zerolog.Logger
}

// Client is a node's side of the home: it asks the home for slots and jobs, and decides about slots
// itself while there is no home. It is safe for concurrent use.
type Client struct {
	opts ClientOptions
	// own decides while there is no home, and knows all slots in use by this node.
	own    *Desk
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu   sync.Mutex
	home Announcement
	conn *link.Conn
	// relayed reports that conn goes through another node.
	relayed bool
	// unsure reports that the home can't renew its lease.
	unsure bool
	// relays lists the nodes that pass connections on.
	relays    []string
	upstreams map[string]site.Upstream
	// gone holds the upstreams that this node knows to be gone.
	gone map[site.Key]bool
}

// NewClient returns a client that waits for an announcement.
func NewClient(opts ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opts: opts, cancel: cancel, wake: make(chan struct{}, 1), gone: make(map[site.Key]bool),
		own: NewDesk(slot.NewOptions().WithReports(true), opts.Now),
	}
	c.done.Go(func() { c.run(ctx) })
	return c
}

// Close ends the client.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
	c.own.Close()
}

// SetUpstreams tells the client of the upstreams.
func (c *Client) SetUpstreams(list []site.Upstream) {
	byID := make(map[string]site.Upstream, len(list))
	for _, u := range list {
		byID[u.ID] = u
	}
	c.mu.Lock()
	for id, u := range c.upstreams {
		if now, ok := byID[id]; !ok || now.Incarnation != u.Incarnation {
			c.gone[u.Key()] = true
		}
	}
	for _, u := range list {
		delete(c.gone, u.Key())
	}
	c.upstreams = byID
	c.mu.Unlock()
	c.own.SetUpstreams(list)
}

// Announce tells the client of the home; one of an earlier term is ignored.
func (c *Client) Announce(a Announcement) {
	c.mu.Lock()
	if a.Term <= c.home.Term {
		c.mu.Unlock()
		return
	}
	c.home = a
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
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

// Connected reports that the home answers.
func (c *Client) Connected() bool { return c.connection() != nil }

// quietLimit is the time without a heartbeat of the home after which a node looks at its lease.
const quietLimit = 400 * time.Millisecond

// Sound reports that the home answers and can renew its lease.
func (c *Client) Sound() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.unsure && c.conn.Quiet() < quietLimit
}

// Informed reports that a home that reaches the object service tells this node what it learns there.
func (c *Client) Informed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.unsure
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

// Acquire waits for a slot: at the home, or by the node's own decision while no home answers.
func (c *Client) Acquire(ctx context.Context, r slot.Request) (forward.Lease, *slot.Refusal, error) {
	for conn := c.connection(); conn != nil; {
		lease, refusal, err := c.askHome(ctx, conn, r)
		if err == nil || ctx.Err() != nil {
			if refusal == nil && err == nil && c.leaving(lease.Upstream) {
				lease.Release(c.opts.Now(), slot.Moved)
				r.Exclude = append(r.Exclude, lease.Upstream.ID)
				continue
			}
			return lease, refusal, err
		}
		c.opts.Log.Warn().Uint64("ask", r.Key.ID).Str("service", r.Service).Err(err).Msg("askWithoutHome")
		break
	}
	return c.decideAlone(ctx, r)
}

// leaving reports that the node itself knows that the upstream is leaving or gone; the home may know
// later, when it is cut off from the object service.
func (c *Client) leaving(u site.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.upstreams[u.ID]
	return c.gone[u.Key()] || (ok && known.Incarnation == u.Incarnation && known.Draining)
}

func (c *Client) askHome(ctx context.Context, conn *link.Conn, r slot.Request) (forward.Lease, *slot.Refusal, error) {
	now := c.opts.Now()
	wait := max(r.Deadline.Sub(now), 0)
	asked, cancel := context.WithTimeout(ctx, wait+askSlack)
	defer cancel()
	var answer askAnswer
	err := conn.Call(asked, methodAsk, askRequest{
		ID: r.Key.ID, Service: r.Service, Priority: r.Priority, Left: r.Order.Sub(now), Wait: wait,
		Exclude: r.Exclude, Zone: r.AvailabilityZone, Objective: objectiveLeft(now, r),
	}, &answer)
	if err != nil {
		conn.Notify(methodRelease, releaseNotice{ID: r.Key.ID, Result: slot.Abandoned})
		return forward.Lease{}, nil, err
	}
	if answer.Upstream == nil {
		return forward.Lease{}, &slot.Refusal{Request: r, Reason: answer.Reason, RetryAfter: answer.RetryAfter}, nil
	}
	u := *answer.Upstream
	c.own.Adopt(r, u.ID)
	return forward.Lease{
		Upstream: u, Basis: "home",
		Release: func(_ time.Time, result slot.Result) {
			c.own.Release(r.Key, result)
			c.notify(methodRelease, releaseNotice{ID: r.Key.ID, Result: result})
		},
		Report: func(_ time.Time, running, waiting int) { c.report(u.ID, running, waiting) },
	}, nil, nil
}

// report counts what an upstream says of its load. Requests that wait inside an upstream show that
// slots are in use that the home doesn't know of.
func (c *Client) report(upstream string, running, waiting int) {
	c.own.Report(upstream, running, waiting)
	if waiting > 0 {
		c.notify(methodReport, reportNotice{Upstream: upstream, Running: running, Waiting: waiting})
	}
}

// notify tells the home that is connected now, which may be another one than the one that granted.
func (c *Client) notify(method string, msg any) {
	if conn := c.connection(); conn != nil {
		conn.Notify(method, msg)
	}
}

// objectiveLeft is what is left of a request's latency objective, nil if it has none.
func objectiveLeft(now time.Time, r slot.Request) *time.Duration {
	if r.Objective.IsZero() {
		return nil
	}
	left := r.Objective.Sub(now)
	return &left
}

type decision struct {
	grant   slot.Grant
	refusal *slot.Refusal
}

func (c *Client) decideAlone(ctx context.Context, r slot.Request) (forward.Lease, *slot.Refusal, error) {
	decided := make(chan decision, 1)
	c.own.Ask(r, asker{
		granted: func(g slot.Grant) { decided <- decision{grant: g} },
		refused: func(refusal slot.Refusal) { decided <- decision{refusal: &refusal} },
	})
	select {
	case d := <-decided:
		if d.refusal != nil {
			return forward.Lease{}, d.refusal, nil
		}
		return c.ownLease(r, d.grant.Upstream), nil, nil
	case <-ctx.Done():
		c.own.Release(r.Key, slot.Abandoned)
		return forward.Lease{}, nil, merry.Errorf("wait for a slot: %w", ctx.Err())
	}
}

func (c *Client) ownLease(r slot.Request, u site.Upstream) forward.Lease {
	return forward.Lease{
		Upstream: u, Basis: "alone",
		Release: func(_ time.Time, result slot.Result) {
			c.own.Release(r.Key, result)
			c.notify(methodRelease, releaseNotice{ID: r.Key.ID, Result: result})
		},
		Report: func(_ time.Time, running, waiting int) { c.report(u.ID, running, waiting) },
	}
}
