// Package fill decides how much batch work one engine may run beside its online requests.
//
// The engine has no priorities, so its home decides. The home receives notices of the start and end of
// each online request, has its own batch streams, and gets load reports that lag behind. While no online
// request runs, batch fills the engine but for a headroom for the next online requests. While online
// requests run, batch is limited so that it lengthens the engine's steps by no more than a given share;
// the effect of batch on the steps is learned from measured latencies. When a limit is exceeded, the
// newest batch streams have to be cancelled. The engine keeps their state for a while, so that resuming
// them costs nothing.
//
// State is immutable: each With method returns a new one. No function of this package reads a clock.
//
// Usage:
//
//	s := fill.New(now, fill.NewParams(64, 60_000).WithWeight(1))
//	s = s.WithOnlineStart(now, "e1/77", 420)
//	d := s.Decide(now)
//	for _, id := range d.Cancel {
//		// close the stream; when it is closed:
//		s = s.WithBatchEnd(now, id)
//	}
package fill

import "time"

// minLatencyTokens is the least number of tokens of a stream whose latency is used as a sample.
const minLatencyTokens = 8

// online is an online request in progress.
type online struct {
	id     string
	tokens int
	start  time.Time
	// sequenceTime is State.sequenceTime at the start of the request.
	sequenceTime float64
}

// batch is the stream of a batch item.
type batch struct {
	id     string
	tokens int
	// prefilling reports that no token has arrived yet.
	prefilling bool
	start      time.Time
	// firstToken is when the first token arrived; sequenceTime is State.sequenceTime at that time.
	firstToken   time.Time
	sequenceTime float64
}

// paused is a cancelled batch stream whose state the engine may still hold.
type paused struct {
	id     string
	tokens int
	until  time.Time
}

// State is the home's view of an engine. Values are immutable.
type State struct {
	params Params
	since  time.Time
	online []online
	batch  []batch
	paused []paused
	// onlineTokens and batchTokens are the sums over the requests in progress.
	onlineTokens, batchTokens int
	// meanItem is the moving mean of the tokens of a batch stream.
	meanItem float64
	// lastOnline is when an online request was last in progress.
	lastOnline time.Time
	lastCancel time.Time
	arrivals   arrivals
	harm       harm
	counts     counts
	reports    reports
	rampFrom   time.Time
	// sequenceTime is the integral of the number of sequences over time, in sequence-seconds, up to
	// measuredAt.
	sequenceTime float64
	measuredAt   time.Time
	lastMean     float64
}

// New returns the state of a home that has no information about the engine yet.
func New(now time.Time, params Params) State {
	return State{
		params: params, since: now, rampFrom: now, measuredAt: now, lastOnline: now,
		harm: newHarm(),
	}
}

// Params returns the settings.
func (s State) Params() Params { return s.params }

// WithParams returns the state with other settings.
func (s State) WithParams(params Params) State {
	s.params = params
	return s
}

// Online returns the number of online requests in progress, including reported ones without a notice.
func (s State) Online() int { return len(s.online) + s.reports.unknown }

// Batch returns the number of batch streams in progress.
func (s State) Batch() int { return len(s.batch) }

// WithOnlineStart adds an online request; promptTokens is the length of its prompt.
func (s State) WithOnlineStart(now time.Time, id string, promptTokens int) State {
	if indexOnline(s.online, id) >= 0 {
		return s
	}
	s = s.integrated(now)
	s.online = append(s.online[:len(s.online):len(s.online)], online{
		id: id, tokens: promptTokens, start: now, sequenceTime: s.sequenceTime,
	})
	s.onlineTokens += promptTokens
	s.lastOnline = now
	s.arrivals = s.arrivals.with(now, promptTokens)
	return s.counted(now)
}

// WithOnlineEnd removes an online request; an unknown ID changes nothing.
func (s State) WithOnlineEnd(now time.Time, id string) State {
	i := indexOnline(s.online, id)
	if i < 0 {
		return s
	}
	s = s.integrated(now)
	o := s.online[i]
	if life := now.Sub(o.start).Seconds(); life > 0 {
		s.lastMean = (s.sequenceTime - o.sequenceTime) / life
	}
	s.lastOnline = now
	return s.withoutOnline(i).counted(now)
}

func (s State) withoutOnline(i int) State {
	s.onlineTokens -= s.online[i].tokens
	rest := make([]online, 0, len(s.online))
	rest = append(rest, s.online[:i]...)
	s.online = append(rest, s.online[i+1:]...)
	return s
}

// WithBatchStart adds a batch stream; tokens is the sum of its prompt and its longest answer.
func (s State) WithBatchStart(now time.Time, id string, tokens int) State {
	if indexBatch(s.batch, id) >= 0 {
		return s
	}
	s = s.integrated(now)
	prefilling := true
	for i, p := range s.paused {
		if p.id == id {
			prefilling = !p.until.After(now)
			s.paused = append(append([]paused(nil), s.paused[:i]...), s.paused[i+1:]...)
			break
		}
	}
	s.batch = append(s.batch[:len(s.batch):len(s.batch)], batch{
		id: id, tokens: tokens, prefilling: prefilling, start: now,
	})
	s.batchTokens += tokens
	if s.meanItem == 0 {
		s.meanItem = float64(tokens)
	}
	s.meanItem += (float64(tokens) - s.meanItem) * tokensShare
	return s.counted(now)
}

// WithBatchFirstToken records that the prompt of a batch stream has been computed.
func (s State) WithBatchFirstToken(now time.Time, id string) State {
	i := indexBatch(s.batch, id)
	if i < 0 || !s.batch[i].firstToken.IsZero() {
		return s
	}
	s = s.integrated(now)
	s.batch = append([]batch(nil), s.batch...)
	s.batch[i].prefilling = false
	s.batch[i].firstToken = now
	s.batch[i].sequenceTime = s.sequenceTime
	return s
}

// WithBatchLatency uses the latency of a batch stream as a sample; tokens is the number of tokens that it
// has sent so far. Call it before WithBatchEnd or WithBatchPaused of the stream.
func (s State) WithBatchLatency(now time.Time, id string, tokens int) State {
	i := indexBatch(s.batch, id)
	if i < 0 || s.batch[i].firstToken.IsZero() || tokens < minLatencyTokens {
		return s
	}
	s = s.integrated(now)
	b := s.batch[i]
	life := now.Sub(b.firstToken)
	if life <= 0 {
		return s
	}
	mean := (s.sequenceTime - b.sequenceTime) / life.Seconds()
	s.harm = s.harm.with(mean, 0, life/time.Duration(tokens-1))
	return s
}

// WithBatchEnd removes a batch stream that finished or failed.
func (s State) WithBatchEnd(now time.Time, id string) State {
	return s.withoutBatch(now, id, false)
}

// WithBatchPaused removes a batch stream that was preempted and may be resumed: the engine holds its state
// for a while.
func (s State) WithBatchPaused(now time.Time, id string) State {
	return s.withoutBatch(now, id, true)
}

func (s State) withoutBatch(now time.Time, id string, pause bool) State {
	i := indexBatch(s.batch, id)
	if i < 0 {
		return s
	}
	s = s.integrated(now)
	b := s.batch[i]
	s.batchTokens -= b.tokens
	rest := make([]batch, 0, len(s.batch))
	rest = append(rest, s.batch[:i]...)
	s.batch = append(rest, s.batch[i+1:]...)
	if pause {
		s.lastCancel = now
	}
	if pause && !b.prefilling {
		s.paused = append(s.livePaused(now), paused{id: b.id, tokens: b.tokens, until: now.Add(s.params.KeepState)})
	}
	return s.counted(now)
}

// livePaused returns a copy of the paused streams whose state the engine may still hold.
func (s State) livePaused(now time.Time) []paused {
	live := make([]paused, 0, len(s.paused)+1)
	for _, p := range s.paused {
		if p.until.After(now) {
			live = append(live, p)
		}
	}
	return live
}

// WithOnlineLatency uses the latencies of an online answer as a sample: the time to its first token and the
// mean time between its tokens. Call it after WithOnlineEnd of the same request.
func (s State) WithOnlineLatency(_ time.Time, firstToken, interToken time.Duration) State {
	s.harm = s.harm.with(s.lastMean, firstToken, interToken)
	return s
}

// integrated returns the state with sequenceTime brought up to now.
func (s State) integrated(now time.Time) State {
	if d := now.Sub(s.measuredAt).Seconds(); d > 0 {
		s.sequenceTime += d * float64(len(s.online)+len(s.batch)+s.reports.unknown)
		s.measuredAt = now
	}
	return s
}

func (s State) counted(now time.Time) State {
	s.counts = s.counts.with(now, len(s.online)+len(s.batch), s.params.ReportWindow)
	return s
}

func indexOnline(list []online, id string) int {
	for i := range list {
		if list[i].id == id {
			return i
		}
	}
	return -1
}

func indexBatch(list []batch, id string) int {
	for i := range list {
		if list[i].id == id {
			return i
		}
	}
	return -1
}
