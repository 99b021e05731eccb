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
	// network is the one-way time between VMs and engines.
	network = 1500 * time.Microsecond
	// digestEvery is the time between two digests of an engine.
	digestEvery = 250 * time.Millisecond
	// detect is the time after which a VM sees that an engine's connection is cut.
	detect = 2 * network
	// maxMicros is the longest time that the histograms hold.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
)

// site is one run of one policy.
type site struct {
	opts    Options
	policy  policy
	lag     time.Duration
	clock   *clock.Clock
	rng     *rand.Rand
	engines []*node
	routers []*router
	first   *hdrhistogram.Histogram
	inter   *hdrhistogram.Histogram
	// seconds holds the first-token times by the second of arrival.
	seconds []*hdrhistogram.Histogram
	open    int
}

// node is one engine.
type node struct {
	index  int
	model  *engine.Model
	stepAt time.Duration
	calls  map[string]*call
	// byVM counts the requests in flight as the engine's home knows them.
	byVM []int32
	lost bool
}

// router is one entry VM.
type router struct {
	index int
	table route.Table
	turn  int
	dead  []bool
}

// call is one request in flight.
type call struct {
	id      string
	arrival arrival
	router  *router
	node    *node
	last    time.Duration
	got     int
}

func newSite(opts Options, p policy, lag time.Duration) *site {
	s := &site{
		opts: opts, policy: p, lag: lag, clock: clock.New(), rng: rand.New(rand.NewPCG(opts.Seed, 5)),
		first: hdrhistogram.New(1, maxMicros, 3), inter: hdrhistogram.New(1, maxMicros, 3),
	}
	var vms []vm.VM
	for i := range opts.Engines {
		vms = append(vms, vm.VM{ID: fmt.Sprintf("e%d", i)})
		s.engines = append(s.engines, &node{index: i, model: engine.NewModel(engineOptions(opts.Seed, i)), stepAt: -1, calls: map[string]*call{}, byVM: make([]int32, opts.VMs)})
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
		s.seconds = append(s.seconds, hdrhistogram.New(1, maxMicros, 3))
	}
	return s
}

// alive returns the first engine from i on that the VM doesn't know to be lost.
func (v *router) alive(i int) (int, bool) {
	for k := range len(v.dead) {
		if j := (i + k) % len(v.dead); !v.dead[j] {
			return j, true
		}
	}
	return 0, false
}

func (s *site) now() time.Time { return time.Unix(0, 0).Add(s.clock.Now()) }

// play runs the trace and returns what was measured.
func (s *site) play(trace []arrival) Row {
	for i, a := range trace {
		s.clock.After(a.at, func() {
			s.open++
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
		Inter99: quantile(s.inter, 99), Unfinished: s.open,
	}
	computed, whole := 0, 0
	for _, n := range s.engines {
		computed += n.model.Computed
		whole += n.model.Dispatches() * promptTokens
	}
	row.CacheHits = float64(whole-computed) / (float64(whole) * prefixTokens / promptTokens)
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
	n := s.engines[i]
	c.node = n
	c.router.table.Entry(i).Own.Add(1)
	s.clock.After(network, func() {
		if n.lost {
			s.clock.After(detect, func() { s.cut(c) })
			return
		}
		n.byVM[c.router.index]++
		n.calls[c.id] = c
		n.model.Submit(s.clock.Now(), engine.Request{
			ID: c.id, PromptTokens: promptTokens, Prefix: c.arrival.prefix, PrefixTokens: prefixTokens, MaxTokens: c.arrival.answer, ResumeFrom: c.got, Resume: c.got > 0,
		})
		s.schedule(n)
	})
}

// cut is a request whose engine is gone: the VM ejects the engine and sends the request elsewhere.
func (s *site) cut(c *call) {
	v, i := c.router, c.node.index
	v.table.Entry(i).Own.Add(-1)
	v.dead[i] = true
	health := v.table.Entry(i).Health.WithResult(s.now(), false)
	v.table = v.table.WithHealth(fmt.Sprintf("e%d", i), health)
	s.send(c)
}

func (s *site) loseEngine() {
	n := s.engines[0]
	n.lost = true
	var ids []string
	for id := range n.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := n.calls[id]
		s.clock.After(detect, func() { s.cut(c) })
	}
	n.calls = map[string]*call{}
	n.byVM = make([]int32, s.opts.VMs)
	n.model.Crash()
}

// digest publishes the counts of every engine again and again, late by the lag.
func (s *site) digest() {
	for _, n := range s.engines {
		if n.lost {
			continue
		}
		counts := slices.Clone(n.byVM)
		total := int32(0)
		for _, c := range counts {
			total += c
		}
		s.clock.After(network+s.lag, func() {
			for _, v := range s.routers {
				v.table = v.table.WithDigest(fmt.Sprintf("e%d", n.index), route.Digest{InFlight: total, Yours: counts[v.index], Capacity: maxRunning, At: s.now()})
			}
		})
	}
	s.clock.After(digestEvery, s.digest)
}

func (s *site) schedule(n *node) {
	end, busy := n.model.Next()
	if !busy || end == n.stepAt {
		return
	}
	n.stepAt = end
	s.clock.After(end-s.clock.Now(), func() { s.step(n, end) })
}

func (s *site) step(n *node, end time.Duration) {
	if next, busy := n.model.Next(); n.lost || !busy || next != end {
		return
	}
	n.stepAt = -1
	n.model.Step(s.clock.Now())
	for _, e := range n.model.Events() {
		if c := n.calls[e.ID]; c != nil {
			s.event(n, c, e)
		}
	}
	s.schedule(n)
}

func (s *site) event(n *node, c *call, e engine.Event) {
	at := s.clock.Now() + network
	switch e.Kind {
	case engine.Token:
		if c.last == 0 {
			took := (at - c.arrival.at).Microseconds()
			_ = s.first.RecordValue(took)
			_ = s.seconds[int(c.arrival.at/time.Second)].RecordValue(took)
		} else {
			_ = s.inter.RecordValue((at - c.last).Microseconds())
		}
		c.last = at
		c.got++
	case engine.Finished:
		delete(n.calls, e.ID)
		n.byVM[c.router.index]--
		s.clock.After(network, func() { c.router.table.Entry(n.index).Own.Add(-1) })
		s.open--
	}
}

// recovery returns how many seconds after the loss the first token's p99 is back.
func (s *site) recovery() int {
	half := int(s.opts.Duration / 2 / time.Second)
	before := hdrhistogram.New(1, maxMicros, 3)
	for _, h := range s.seconds[:half] {
		before.Merge(h)
	}
	for i, h := range s.seconds[half:] {
		if h.TotalCount() > 0 && quantile(h, 99) <= 2*quantile(before, 99) {
			return i
		}
	}
	return len(s.seconds) - half
}
