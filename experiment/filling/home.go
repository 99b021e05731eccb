package filling

import (
	"math/rand/v2"
	"strconv"
	"time"

	"mothcart/core/fill"
	"mothcart/fake/engine"
)

const (
	// tick is the interval at which a home decides without an event.
	tick = 10 * time.Millisecond
)

// home runs a policy for one engine, in the role of the entry VM that is the engine's home.
type home struct {
	upstream  *upstream
	rng       *rand.Rand
	control   control
	running   map[string]*item
	paused    []*item
	chunk     uint64
	remaining int
	stopped   bool
}

func newHome(u *upstream, number int) *home {
	h := &home{
		upstream: u,
		rng:      rand.New(rand.NewPCG(u.sim.opts.Seed, uint64(u.index*100+number))),
		running:  map[string]*item{},
		control:  u.sim.policy.start(u.now(), u.sim.opts),
	}
	h.tick()
	h.poll()
	return h
}

func (u *upstream) addHomes() {
	u.homes = append(u.homes, newHome(u, 0))
	if u.sim.opts.faults.TwoHomes {
		u.homes = append(u.homes, newHome(u, 1))
	}
	u.scheduleFaults()
}

// now returns the virtual time as a time.Time.
func (u *upstream) now() time.Time { return time.Unix(0, 0).Add(u.sim.clock.Now()) }

func (h *home) tick() {
	if h.stopped {
		return
	}
	h.decide()
	h.upstream.sim.after(tick, h.tick)
}

// poll reads a load report and schedules the next poll.
func (h *home) poll() {
	if h.stopped {
		return
	}
	s := h.upstream.sim
	s.after(s.opts.ReportEvery, h.poll)
	if h.control.report == nil || s.rng.Float64() < s.opts.faults.LostReports {
		return
	}
	l := h.upstream.model.Report(s.clock.Now())
	s.after(localLatency, func() {
		h.control.report(h.upstream.now(), fill.Report{
			Running: l.Running, Waiting: l.Waiting, KVUsedTokens: l.KVUsedTokens,
		})
		h.decide()
	})
}

func (h *home) onlineStart(id string, tokens int) {
	if h.control.onlineStart != nil && !h.stopped {
		h.control.onlineStart(h.upstream.now(), id, tokens)
		h.decide()
	}
}

func (h *home) onlineEnd(id string, first, inter time.Duration) {
	if h.control.onlineEnd != nil && !h.stopped {
		h.control.onlineEnd(h.upstream.now(), id, first, inter)
		h.decide()
	}
}

// decide applies the policy's decision: it pauses and dispatches batch items.
func (h *home) decide() {
	if h.stopped {
		return
	}
	d := h.control.decide(h.upstream.now())
	for _, id := range d.Cancel {
		h.pause(id)
	}
	tokens := d.AdmitTokens
	for range d.Admit {
		if tokens <= 0 {
			return
		}
		it := h.next()
		tokens -= it.tokens()
		h.send(it)
	}
}

// next returns the last paused item or, without one, a new item of the current chunk.
func (h *home) next() *item {
	if n := len(h.paused); n > 0 {
		it := h.paused[n-1]
		h.paused = h.paused[:n-1]
		return it
	}
	s := h.upstream.sim
	if h.remaining == 0 {
		s.chunks++
		h.chunk = s.chunks
		h.remaining = chunkItems
	}
	h.remaining--
	s.items++
	it := s.dep.item(h.rng, h.chunk)
	it.id = "b" + strconv.Itoa(s.items)
	return &it
}

func (h *home) send(it *item) {
	u := h.upstream
	h.running[it.id] = it
	h.control.batchStart(u.now(), it.id, it.tokens())
	req := engine.Request{
		ID: it.id, PromptTokens: it.prompt, Prefix: it.prefix, PrefixTokens: it.prefixTokens,
		MaxTokens: it.answer, Resumable: true, Resume: it.started, ResumeFrom: it.progress,
	}
	it.started, it.firstTokenSeen, it.sentFrom = true, false, it.progress
	u.sim.after(localLatency, func() {
		u.owners[it.id] = h
		u.model.Submit(u.sim.clock.Now(), req)
		u.schedule()
	})
}

// pause closes the stream of an item, which is dispatched again later.
func (h *home) pause(id string) {
	u := h.upstream
	it := h.running[id]
	delete(h.running, id)
	h.paused = append(h.paused, it)
	h.control.batchPaused(u.now(), id, it.progress-it.sentFrom)
	u.sim.result.paused++
	u.sim.after(localLatency, func() {
		u.model.Pause(u.sim.clock.Now(), id)
		u.schedule()
	})
}

// engineEvent handles an event of one of this home's batch streams. Only the first token since the dispatch
// and the end reach the policy; other tokens are counted.
func (h *home) engineEvent(e engine.Event) {
	it := h.running[e.ID]
	if it == nil || h.stopped || e.Kind == engine.Admitted {
		return
	}
	if e.Kind == engine.Token {
		h.upstream.sim.result.batchTokens++
		it.progress = e.Index + 1
		if it.firstTokenSeen {
			return
		}
		it.firstTokenSeen = true
	}
	h.upstream.sim.after(localLatency, func() { h.notifyPolicy(e) })
}

// notifyPolicy reports the first token or the end of a batch stream to the policy.
func (h *home) notifyPolicy(e engine.Event) {
	u := h.upstream
	if h.stopped || h.running[e.ID] == nil {
		return
	}
	if e.Kind == engine.Token {
		h.control.batchToken(u.now(), e.ID)
		h.decide()
		return
	}
	it := h.running[e.ID]
	delete(h.running, e.ID)
	delete(u.owners, e.ID)
	u.sim.result.itemsDone++
	h.control.batchEnd(u.now(), e.ID, it.progress-it.sentFrom)
	h.decide()
}
