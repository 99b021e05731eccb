package filling

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothcart/experiment/clock"
	"mothcart/fake/engine"
)

// sim is one run in virtual time.
type sim struct {
	opts    Options
	dep     deployment
	policy  policy
	rng     *rand.Rand
	clock   *clock.Clock
	engines []*upstream
	chunks  uint64
	items   int
	result  result
}

// result holds the measurements of a run.
type result struct {
	firstToken, interToken *hdrhistogram.Histogram
	yield, ramp            *hdrhistogram.Histogram
	itemsDone, onlineDone  int
	batchTokens            int
	// slots is the integral over time of the slots that online requests use, idle the time without a step.
	slots, idle time.Duration
	// recomputed counts the prompt tokens computed again, discarded the answer tokens to be generated again.
	recomputed, discarded int
	paused                int
}

const (
	// maxMicros is the greatest latency that a histogram can record, in microseconds.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

func newResult() result {
	return result{
		firstToken: hdrhistogram.New(1, maxMicros, digits),
		interToken: hdrhistogram.New(1, maxMicros, digits),
		yield:      hdrhistogram.New(1, maxMicros, digits),
		ramp:       hdrhistogram.New(1, maxMicros, digits),
	}
}

// upstream is one engine with its homes.
type upstream struct {
	sim    *sim
	index  int
	model  *engine.Model
	stepAt time.Duration
	// lastStep is the end time of the last step.
	lastStep time.Duration
	homes    []*home
	online   map[string]*onlineCall
	owners   map[string]*home
	yield    yieldWatch
}

// onlineCall is an online request in progress.
type onlineCall struct {
	id      string
	arrival arrival
	first   time.Duration
	last    time.Duration
}

func newSim(opts Options, dep deployment, p policy) *sim {
	s := &sim{clock: clock.New(), opts: opts, dep: dep, policy: p, rng: rand.New(rand.NewPCG(opts.Seed, 7)), result: newResult()}
	eopts := opts.Engine.WithReportLag(opts.ReportLag)
	for i := range opts.Engines {
		u := &upstream{
			sim: s, index: i, model: engine.NewModel(eopts.WithSeed(opts.Seed + uint64(i))),
			stepAt: -1, online: map[string]*onlineCall{}, owners: map[string]*home{},
		}
		s.engines = append(s.engines, u)
		if p.start != nil {
			u.addHomes()
		}
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.clock.After(d, do)
}

// run replays the arrivals over the whole duration and returns the measurements.
func (s *sim) run(arrivals []arrival) result {
	for i, a := range arrivals {
		s.after(a.at, func() { s.engines[a.engine].arrive("o"+strconv.Itoa(i), a) })
	}
	s.clock.Run(s.opts.Duration)
	for _, u := range s.engines {
		s.result.idle += s.opts.Duration - u.model.Busy
		s.result.recomputed += u.model.Recomputed
	}
	return s.result
}

// arrive sends an online request from its entry VM to the engine and a notice to the home.
func (u *upstream) arrive(id string, a arrival) {
	u.sim.after(a.delay, func() {
		u.online[id] = &onlineCall{id: id, arrival: a}
		u.model.Submit(u.sim.clock.Now(), engine.Request{
			ID: id, PromptTokens: a.prompt, Prefix: a.prefix, PrefixTokens: a.prefixTokens, MaxTokens: a.answer,
		})
		u.schedule()
	})
	u.yield.arrived(u)
	u.notify(id, a.delay, func(h *home) { h.onlineStart(id, a.prompt) })
}

// notify sends a notice about a request to the home that its entry VM considers current.
func (u *upstream) notify(id string, delay time.Duration, do func(*home)) {
	if len(u.homes) == 0 || u.sim.rng.Float64() < u.sim.opts.faults.LostNotices {
		return
	}
	entry := int(id[len(id)-1])
	h := u.homes[entry%len(u.homes)]
	jitter := time.Duration(u.sim.rng.Int64N(int64(localLatency)))
	u.sim.after(delay+jitter, func() { do(h) })
}

// schedule schedules the end of the engine's next step.
func (u *upstream) schedule() {
	end, busy := u.model.Next()
	if !busy || end == u.stepAt {
		return
	}
	u.stepAt = end
	u.sim.after(end-u.sim.clock.Now(), func() { u.step(end) })
}

func (u *upstream) step(end time.Duration) {
	if next, busy := u.model.Next(); !busy || next != end {
		return
	}
	u.stepAt = -1
	u.sim.result.slots += time.Duration(len(u.online)) * (end - u.lastStep)
	u.lastStep = end
	u.model.Step(u.sim.clock.Now())
	for _, e := range u.model.Events() {
		if c := u.online[e.ID]; c != nil {
			u.onlineEvent(c, e)
			continue
		}
		if h := u.owners[e.ID]; h != nil {
			h.engineEvent(e)
		}
	}
	u.yield.stepped(u)
	u.schedule()
}

func (u *upstream) onlineEvent(c *onlineCall, e engine.Event) {
	s := u.sim
	network := clientLatency + c.arrival.delay
	switch e.Kind {
	case engine.Token:
		if e.Index == 0 {
			c.first = s.clock.Now() + network - c.arrival.at + clientLatency
			_ = s.result.firstToken.RecordValue(c.first.Microseconds())
		} else {
			_ = s.result.interToken.RecordValue((s.clock.Now() - c.last).Microseconds())
		}
		c.last = s.clock.Now()
	case engine.Finished:
		s.result.onlineDone++
		delete(u.online, c.id)
		u.finishOnline(c)
	}
}

// finishOnline sends the home the notice of the end, with the latencies that the entry VM measured.
func (u *upstream) finishOnline(c *onlineCall) {
	var inter time.Duration
	if n := c.arrival.answer - 1; n > 0 {
		engineFirst := c.arrival.at + c.first - 2*clientLatency - c.arrival.delay
		inter = (u.sim.clock.Now() - engineFirst) / time.Duration(n)
	}
	first := c.first - 2*clientLatency
	u.notify(c.id, 2*c.arrival.delay, func(h *home) { h.onlineEnd(c.id, first, inter) })
}
