package home

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/quota"
	"mothcart/core/slot"
)

// standing is the wire form of quota.Standing.
type standing struct {
	Used  float64  `msgpack:"used"`
	Level float64  `msgpack:"left"`
	Low   []string `msgpack:"low,omitempty"`
}

// Joined records that a node has connected; asks reports that it has had requests of accounts.
func (p *SlotPool) Joined(owner string, asks bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Joined(p.now(), owner, asks)
}

// ExpectNodes sets the number of nodes with requests of accounts at the previous home.
func (p *SlotPool) ExpectNodes(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.ExpectNodes(p.now(), nodes)
}

// AskingNodes returns the number of nodes with requests of accounts.
func (p *SlotPool) AskingNodes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.AskingNodes(p.now())
}

// standing returns what the node that asked for r should know of its account; nil if that has no limit.
func (p *SlotPool) standing(r slot.Request) *standing {
	if r.Account == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.pool.Standing(p.now(), r.Account, r.Key.Owner)
	if !ok {
		return nil
	}
	return &standing{Used: s.Used, Level: s.Level, Low: s.Low}
}

// learnStanding records what the home says of an account; granted reports that its request got a slot.
func (p *SlotPool) learnStanding(account string, s standing, granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.LearnStanding(p.now(), account, quota.Standing{Used: s.Used, Level: s.Level, Low: s.Low}, granted)
}

// limitAlone begins a phase in which this node limits accounts alone.
func (p *SlotPool) limitAlone(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.LimitAlone(p.now(), nodes)
}

// chargeAlone is slot.Pool.ChargeAlone.
func (p *SlotPool) chargeAlone(r slot.Request) (slot.Request, slot.Refusal, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.ChargeAlone(p.now(), r)
}

func (p *SlotPool) refund(r slot.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Refund(p.now(), r)
}

// limitUse returns the number of accounts of which there is a state, and the refusals by account since the last call.
func (p *SlotPool) limitUse() (tracked int, refused map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.TrackedAccounts(), p.pool.LimitRefusals()
}

// charge takes the token of a request that the home doesn't limit, since it is of an earlier release. It reports true with
// the refusal if there is none.
func (c *Client) charge(r slot.Request) (slot.Request, *slot.Refusal) {
	if r.Account == "" || !c.unlimitedHome.Load() {
		return r, nil
	}
	r, refusal, refused := c.localPool.chargeAlone(r)
	if refused {
		return r, &refusal
	}
	return r, nil
}

// learn records what the answer of the home says of the request's account.
func (c *Client) learn(r slot.Request, s *standing, granted bool) {
	if r.Account == "" {
		return
	}
	if s != nil {
		c.asks.Store(true)
		c.unlimitedHome.Store(false)
		c.localPool.learnStanding(r.Account, *s, granted && !r.Charged)
		return
	}
	if a, ok := c.opts.Config().Accounts.ByName(r.Account); ok && a.Limited() && !c.unlimitedHome.Swap(true) {
		c.localPool.limitAlone(c.sharingNodes())
		c.opts.Log.Warn().Str("account", r.Account).Int("nodes", c.sharingNodes()).Msg("homeWithoutLimits")
	}
}

// AskingNodes returns the number of nodes with requests of accounts, as the home has last told it; 0 if it has not.
func (c *Client) AskingNodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asking
}

// sharingNodes returns the number of nodes that share the limits of accounts if each decides alone: those with requests of
// accounts, or all that an earlier release's home knows; 0 if no home has told either.
func (c *Client) sharingNodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.asking, c.nodes)
}

const (
	// loggedAccounts is the number of accounts over their limit that are logged, those with the most refusals first.
	loggedAccounts = 5
	// logLimitsInterval is the time between two such lines.
	logLimitsInterval = 10 * time.Second
)

// limitMetrics count what limits of accounts decide.
type limitMetrics struct {
	refused metrics.Counter
	// accounts is the number of accounts of which there is a state.
	accounts metrics.Gauge
	pending  map[string]int
	loggedAt time.Time
}

func newLimitMetrics(by string, r metrics.Registry) *limitMetrics {
	return &limitMetrics{
		refused:  metrics.GetOrRegisterCounter(by+".limitRefusals", r),
		accounts: metrics.GetOrRegisterGauge(by+".accountsTracked", r), pending: make(map[string]int),
	}
}

// record adds the refusals since the last call and logs the accounts that had most of them.
func (m *limitMetrics) record(now time.Time, log zerolog.Logger, tracked int, refused map[string]int) {
	m.accounts.Update(int64(tracked))
	for name, n := range refused {
		m.refused.Inc(int64(n))
		m.pending[name] += n
	}
	if len(m.pending) == 0 || now.Sub(m.loggedAt) < logLimitsInterval {
		return
	}
	m.loggedAt = now
	names := slices.SortedFunc(maps.Keys(m.pending), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.pending[b], m.pending[a]), cmp.Compare(a, b))
	})
	counts := zerolog.Dict()
	for _, name := range names[:min(len(names), loggedAccounts)] {
		counts = counts.Int(name, m.pending[name])
	}
	log.Info().Int("accounts", len(names)).Int("tracked", tracked).Dict("refused", counts).Msg("accountsOverLimit")
	clear(m.pending)
}
