package home

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/link"
)

// run keeps a connection to the home open until ctx ends.
func (c *Client) run(ctx context.Context) {
	pause := firstReconnect
	for ctx.Err() == nil {
		attempt, cancel := context.WithCancel(ctx)
		a := c.beginAttempt(cancel)
		if a.Address == "" {
			cancel()
			c.sleep(ctx, time.Hour)
			continue
		}
		conn, err := c.connectAny(attempt, a)
		cancel()
		if err != nil && c.Home().Term != a.Term {
			continue
		}
		if err != nil {
			c.opts.Log.Debug().Str("home", a.VM).Int64("term", a.Term).Err(err).Msg("homeNotReached")
			c.sleep(ctx, pause)
			pause = min(2*pause, lastReconnect)
			continue
		}
		pause = firstReconnect
		c.done.Go(func() { c.sendInventories(ctx, conn) })
		c.awaitEnd(ctx, conn)
		c.lost(conn, a)
	}
}

// beginAttempt returns the home that was announced last; the announcement of a later one calls cancel.
func (c *Client) beginAttempt(cancel context.CancelFunc) Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelAttempt = cancel
	return c.home
}

// directInterval is the time between two attempts to replace a relayed connection by a direct one.
const directInterval = 5 * time.Second

// awaitEnd waits for the end of a connection. It closes a relayed connection as soon as the home's own
// address can be reached.
func (c *Client) awaitEnd(ctx context.Context, conn *link.Conn) {
	t := time.NewTicker(directInterval)
	defer t.Stop()
	for {
		select {
		case <-conn.Done():
			return
		case <-ctx.Done():
			conn.Close()
			return
		case <-t.C:
		}
		if !c.isRelayed() {
			continue
		}
		if probe, err := c.opts.Connect(ctx, "tcp", c.Home().Address); err == nil {
			_ = probe.Close() // the probe only shows that the address can be reached
			conn.Close()
			return
		}
	}
}

func (c *Client) isRelayed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed
}

// relayAttempts is the number of relays that are tried after the direct path.
const relayAttempts = 2

// connectAny opens a connection to the home: directly, through a relay, or to a fallback home.
func (c *Client) connectAny(ctx context.Context, a Announcement) (*link.Conn, error) {
	conn, err := c.connect(ctx, a, a.Address)
	if err == nil {
		return conn, nil
	}
	c.opts.Unreached()
	c.mu.Lock()
	relays := slices.Clone(c.relays)
	c.mu.Unlock()
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	tried := 0
	for _, relay := range relays {
		if relay == c.opts.Relay || tried == relayAttempts || ctx.Err() != nil {
			continue
		}
		tried++
		if conn, relayErr := c.connect(ctx, a, relay); relayErr == nil {
			c.opts.Log.Warn().Str("home", a.VM).Str("relay", relay).AnErr("direct", err).Msg("homeReachedByRelay")
			return conn, nil
		}
	}
	for _, node := range c.opts.HomeNodes() {
		if node == a.Address || ctx.Err() != nil {
			continue
		}
		if conn, nodeErr := c.connect(ctx, a, node); nodeErr == nil {
			c.opts.Log.Warn().Str("home", c.Home().VM).Int64("term", a.Term).AnErr("direct", err).Msg("standInReached")
			return conn, nil
		}
	}
	return nil, err
}

func (c *Client) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-t.C:
	}
}

// connect opens a connection to the home at its own address or at that of a relay.
func (c *Client) connect(ctx context.Context, a Announcement, address string) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, c.opts.Connect, address, link.Options{Handle: c.handle})
	if err != nil {
		return nil, err
	}
	var answer helloAnswer
	if err := conn.Call(ctx, methodHello, c.hello(), &answer); err != nil {
		conn.Close()
		return nil, err
	}
	if !c.adopt(conn, a, answer, address) {
		conn.Close()
		return nil, merry.Errorf("node at %s has term %d, not %d: %w", address, answer.Home.Term, a.Term, ErrNoHome)
	}
	c.opts.OnReceivesChanges()
	if answer.Home.VM != c.opts.VMID {
		c.opts.Origins.sendAll(conn)
		if c.opts.Runner != nil {
			c.opts.Runner.attach(conn, answer.Home.Term)
		}
	}
	a = answer.Home
	c.opts.Log.Info().Str("home", a.VM).Int64("term", a.Term).Msg("homeRegained")
	return conn, nil
}

// adopt starts to use a connection if it leads to the home that was announced last or to a later one,
// which a relay may know before this node does.
func (c *Client) adopt(conn *link.Conn, announced Announcement, answer helloAnswer, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := answer.Home
	if c.home.Term != announced.Term || found.Term < announced.Term {
		return false
	}
	c.home, c.connTerm = found, found.Term
	c.conn, c.relayed, c.leaseUnconfirmed, c.homeKnowsAccounts = conn, address != found.Address, false, answer.Accounts
	if answer.Counted {
		c.rooms.setCounts(c.opts.Now(), answer.Open)
	}
	return true
}

// termOf returns the term of the home at the other end of the present connection, 0 for another one.
func (c *Client) termOf(conn *link.Conn) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn != c.conn {
		return 0
	}
	return c.connTerm
}

func (c *Client) hello() helloRequest {
	return helloRequest{
		VM: c.opts.VMID, Incarnation: c.opts.Incarnation, Relay: c.opts.Relay, Runs: c.opts.Runner != nil,
		Open: c.inventory.open(), Leaving: upstreamKeys(c.opts.LeavingUpstreams()), Suspects: c.Suspects(), Limits: encodeLimits(c.localPool.ExportLimits()),
		Asks: c.asks.Load(), Submissions: c.submissions.open(c.opts.Now()), Ended: c.ends.recent(c.opts.Now()),
	}
}

func (c *Client) lost(conn *link.Conn, a Announcement) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	c.opts.OnReceivesChanges()
	c.opts.Log.Warn().Str("home", a.VM).Int64("term", a.Term).Err(conn.Err()).Msg("homeLost")
}

// notify sends a message to the home that is connected now.
func (c *Client) notify(method string, msg any) {
	if conn := c.connection(); conn != nil {
		conn.Notify(method, msg)
	}
}
