package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothcart/core/route"
	"mothcart/core/vm"
	"mothcart/experiment/clock"
	"mothcart/fake/engine"
)

const (
	// networkDelay is the one-way latency between VMs and engines.
	networkDelay = 1500 * time.Microsecond
	// digestEvery is the interval of an engine's digests.
	digestEvery = 250 * time.Millisecond
	// detectDelay is the time after which a VM detects that its connection to an engine broke.
	detectDelay = 2 * networkDelay
	// maxMicros is the longest time that the histograms can record, in microseconds.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
)

// site simulates a site for one run of one policy.
type site struct {
	opts    Options
	policy  policy
	lag     time.Duration
	clock   *clock.Clock
	rng     *rand.Rand
	engines []*upstream
	routers []*router
	first   *hdrhistogram.Histogram
	inter   *hdrhistogram.Histogram
	// firstBySecond holds the first-token times by the second of arrival.
	firstBySecond []*hdrhistogram.Histogram
	// inFlight counts the requests without a complete answer.
	inFlight int
}

// upstream is one engine.
type upstream struct {
	index  int
	model  *engine.Model
	stepAt time.Duration
	calls  map[string]*call
	// byVM counts the requests in flight by entry VM, as the engine's home does.
	byVM []int32
	lost bool
}

// router is one entry VM.
type router struct {
	index     int
	table     route.Table
	nextIndex int
	dead      []bool
}

// call is one request in flight.
type call struct {
	id          string
	arrival     arrival
	router      *router
	upstream    *upstream
	lastTokenAt time.Duration
	tokens      int
}

func newSite(opts Options, p policy, lag time.Duration) *site {
	s := &site{
		opts: opts, policy: p, lag: lag, clock: clock.New(), rng: rand.New(rand.NewPCG(opts.Seed, 5)),
		first: hdrhistogram.New(1, maxMicros, 3), inter: hdrhistogram.New(1, maxMicros, 3),
	}
	var vms []vm.VM
	for i := range opts.Engines {
		vms = append(vms, vm.VM{ID: fmt.Sprintf("e%d", i)})
		s.engines = append(s.engines, &upstream{index: i, model: engine.NewModel(engineOptions(opts.Seed, i)), stepAt: -1, calls: map[string]*call{}, byVM: make([]int32, opts.VMs)})
	}
	for i := range opts.VMs {
		counters := map[string]*route.Counter{}
		table := route.NewTable(vm.VM{ID: fmt.Sprintf("v%d", i)}, opts.VMs, vms, maxRunning, nil, func(id string) *route.Counter {
			counters[id] = &route.Counter{}
			return counters[id]
		})
		s.routers = append(s.routers, &router{index: i, table: table, dead: make([]bool, opts.Engines)})
	}
	for range int(opts.Duration/time.Second) + 1 {
		s.firstBySecond = append(s.firstBySecond, hdrhistogram.New(1, maxMicros, 3))
	}
	return s
}

// alive returns the first engine from index i on that the VM doesn't know to be lost; false if all are lost.
func (v *router) alive(i int) (int, bool) {
	for k := range len(v.dead) {
		if j := (i + k) % len(v.dead); !v.dead[j] {
			return j, true
		}
	}
	return 0, false
}

func (s *site) now() time.Time { return time.Unix(0, 0).Add(s.clock.Now()) }

// play replays the trace and returns the measurements.
func (s *site) play(trace []arrival) Row {
	for i, a := range trace {
		s.clock.After(a.at, func() {
			s.inFlight++
			s.send(&call{id: fmt.Sprintf("r%d", i), arrival: a, router: s.routers[a.vm]})
		})
	}
	s.digest()
	if s.opts.LoseEngine {
		s.clock.After(s.opts.Duration/2, s.loseEngine)
	}
	s.clock.Run(s.opts.Duration)
	row := Row{
		Policy: s.policy.name, LagMillis: s.lag.Milliseconds(), Requests: len(trace),
		First50: quantile(s.first, 50), First95: quantile(s.first, 95), First99: quantile(s.first, 99),
		Inter99: quantile(s.inter, 99), Unfinished: s.inFlight,
	}
	computed, total := 0, 0
	for _, u := range s.engines {
		computed += u.model.Computed
		total += u.model.Dispatches() * promptTokens
	}
	row.CacheHits = float64(total-computed) / (float64(total) * prefixTokens / promptTokens)
	if s.opts.LoseEngine {
		row.RecoverySeconds = s.recovery()
	}
	return row
}

// send picks an engine and sends the request there.
func (s *site) send(c *call) {
	i, ok := s.policy.pick(c.router, s.rng, s.now(), c.arrival)
	if !ok {
		s.clock.After(digestEvery, func() { s.send(c) })
		return
	}
	u := s.engines[i]
	c.upstream = u
	c.router.table.Entry(i).Own.Add(1)
	s.clock.After(networkDelay, func() {
		if u.lost {
			s.clock.After(detectDelay, func() { s.resend(c) })
			return
		}
		u.byVM[c.router.index]++
		u.calls[c.id] = c
		u.model.Submit(s.clock.Now(), engine.Request{
			ID: c.id, PromptTokens: promptTokens, Prefix: c.arrival.prefix, PrefixTokens: prefixTokens, MaxTokens: c.arrival.answer, ResumeFrom: c.tokens, Resume: c.tokens > 0,
		})
		s.schedule(u)
	})
}

// resend handles a request whose engine was lost: the VM ejects the engine and sends the request to another.
func (s *site) resend(c *call) {
	v, i := c.router, c.upstream.index
	v.table.Entry(i).Own.Add(-1)
	v.dead[i] = true
	health := v.table.Entry(i).Health.WithResult(s.now(), false)
	v.table = v.table.WithHealth(fmt.Sprintf("e%d", i), health)
	s.send(c)
}

func (s *site) loseEngine() {
	u := s.engines[0]
	u.lost = true
	var ids []string
	for id := range u.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := u.calls[id]
		s.clock.After(detectDelay, func() { s.resend(c) })
	}
	u.calls = map[string]*call{}
	u.byVM = make([]int32, s.opts.VMs)
	u.model.Crash()
}

// digest publishes the counts of every engine each digestEvery; they arrive late by the lag.
func (s *site) digest() {
	for _, u := range s.engines {
		if u.lost {
			continue
		}
		counts := slices.Clone(u.byVM)
		total := int32(0)
		for _, c := range counts {
			total += c
		}
		s.clock.After(networkDelay+s.lag, func() {
			for _, v := range s.routers {
				v.table = v.table.WithDigest(fmt.Sprintf("e%d", u.index), route.Digest{InFlight: total, Yours: counts[v.index], Capacity: maxRunning, At: s.now()})
			}
		})
	}
	s.clock.After(digestEvery, s.digest)
}

func (s *site) schedule(u *upstream) {
	end, busy := u.model.Next()
	if !busy || end == u.stepAt {
		return
	}
	u.stepAt = end
	s.clock.After(end-s.clock.Now(), func() { s.step(u, end) })
}

func (s *site) step(u *upstream, end time.Duration) {
	if next, busy := u.model.Next(); u.lost || !busy || next != end {
		return
	}
	u.stepAt = -1
	u.model.Step(s.clock.Now())
	for _, e := range u.model.Events() {
		if c := u.calls[e.ID]; c != nil {
			s.event(u, c, e)
		}
	}
	s.schedule(u)
}

func (s *site) event(u *upstream, c *call, e engine.Event) {
	at := s.clock.Now() + networkDelay
	switch e.Kind {
	case engine.Token:
		if c.lastTokenAt == 0 {
			took := (at - c.arrival.at).Microseconds()
			_ = s.first.RecordValue(took)
			_ = s.firstBySecond[int(c.arrival.at/time.Second)].RecordValue(took)
		} else {
			_ = s.inter.RecordValue((at - c.lastTokenAt).Microseconds())
		}
		c.lastTokenAt = at
		c.tokens++
	case engine.Finished:
		delete(u.calls, e.ID)
		u.byVM[c.router.index]--
		s.clock.After(networkDelay, func() { c.router.table.Entry(u.index).Own.Add(-1) })
		s.inFlight--
	}
}

// recovery returns Row.RecoverySeconds of a run in which an engine was lost. If the p99 did not recover, that is
// the rest of the run.
func (s *site) recovery() int {
	half := int(s.opts.Duration / 2 / time.Second)
	before := hdrhistogram.New(1, maxMicros, 3)
	for _, h := range s.firstBySecond[:half] {
		before.Merge(h)
	}
	for i, h := range s.firstBySecond[half:] {
		if h.TotalCount() > 0 && quantile(h, 99) <= 2*quantile(before, 99) {
			return i
		}
	}
	return len(s.firstBySecond) - half
}
