package filling

import (
	"math"
	"math/rand/v2"
	"time"
)

// deployment describes the online traffic, the batch items and the network of one user.
type deployment struct {
	name string
	// zones is the number of availability zones; zoneLatency is the one-way latency between two of them.
	zones       int
	zoneLatency time.Duration
	// quietRate and burstRate are the online requests per second over all engines, between and within bursts.
	quietRate, burstRate float64
	// gap is the mean time between two bursts, burst the mean length of a burst.
	gap, burst time.Duration
	online     shape
	batch      shape
}

// shape describes the lengths of prompts and answers, in tokens.
type shape struct {
	prefixes, prefixTokens  int
	minPrompt, maxPrompt    int
	medianAnswer, maxAnswer int
	// answerSpread is the standard deviation of the logarithm of the answer's length (log-normal).
	answerSpread float64
}

const (
	// clientLatency is the one-way latency between a client and an entry VM.
	clientLatency = 3 * time.Millisecond
	// localLatency is the one-way latency within an availability zone.
	localLatency = 200 * time.Microsecond
	// prefixBatch is the offset of the prefix numbers of batch, so that batch and online share no prefix.
	prefixBatch = 1 << 32
	// chunkItems is the number of consecutive batch items that share a prefix.
	chunkItems = 50
)

// deployments returns the services of the two users.
func deployments() []deployment {
	return []deployment{
		{
			name: "rota-scribe", zones: 3, zoneLatency: 1500 * time.Microsecond,
			quietRate: 3, burstRate: 110, gap: 6 * time.Second, burst: 1500 * time.Millisecond,
			online: shape{prefixes: 12, prefixTokens: 400, minPrompt: 40, maxPrompt: 400, medianAnswer: 60, maxAnswer: 400, answerSpread: 0.7},
			batch:  shape{prefixTokens: 300, minPrompt: 50, maxPrompt: 250, medianAnswer: 80, maxAnswer: 300, answerSpread: 0.5},
		},
		{
			name: "textsetzer", zones: 4, zoneLatency: 500 * time.Microsecond,
			quietRate: 8, burstRate: 40, gap: 4 * time.Second, burst: 2 * time.Second,
			online: shape{prefixes: 20, prefixTokens: 300, minPrompt: 30, maxPrompt: 250, medianAnswer: 30, maxAnswer: 150, answerSpread: 0.5},
			batch:  shape{prefixTokens: 200, minPrompt: 30, maxPrompt: 150, medianAnswer: 40, maxAnswer: 150, answerSpread: 0.5},
		},
	}
}

// arrival is one online request.
type arrival struct {
	at     time.Duration
	prompt int
	prefix uint64
	prefixTokens,
	answer int
	// delay is the one-way latency from the entry VM to the engine.
	delay  time.Duration
	engine int
}

// trace draws the online requests of a run at random.
func (d deployment) trace(rng *rand.Rand, duration time.Duration) []arrival {
	var list []arrival
	inBurst := false
	phaseEnd := exponential(rng, d.gap)
	for at := time.Duration(0); ; {
		rate := d.quietRate
		if inBurst {
			rate = d.burstRate
		}
		next := at + exponential(rng, time.Duration(float64(time.Second)/rate))
		if next > phaseEnd {
			at = phaseEnd
			inBurst = !inBurst
			phaseEnd = at + exponential(rng, d.phase(inBurst))
			continue
		}
		at = next
		if at >= duration {
			return list
		}
		list = append(list, d.arrival(rng, at))
	}
}

func (d deployment) phase(inBurst bool) time.Duration {
	if inBurst {
		return d.burst
	}
	return d.gap
}

func (d deployment) arrival(rng *rand.Rand, at time.Duration) arrival {
	a := arrival{
		at:           at,
		prefix:       1 + rng.Uint64N(uint64(d.online.prefixes)),
		prefixTokens: d.online.prefixTokens,
		prompt:       d.online.prefixTokens + between(rng, d.online.minPrompt, d.online.maxPrompt),
		answer:       d.online.answer(rng),
		delay:        localLatency,
	}
	if rng.IntN(d.zones) > 0 {
		a.delay = d.zoneLatency
	}
	return a
}

// item is one batch item.
type item struct {
	id           string
	prompt       int
	prefix       uint64
	prefixTokens int
	answer       int
	// progress counts the tokens received so far.
	progress int
	// sentFrom is the progress at the last dispatch.
	sentFrom int
	started  bool
	// firstTokenSeen reports that a token arrived since the last dispatch.
	firstTokenSeen bool
}

func (i item) tokens() int { return i.prompt + i.answer }

// item draws the next batch item of a chunk at random.
func (d deployment) item(rng *rand.Rand, chunk uint64) item {
	return item{
		prompt:       d.batch.prefixTokens + between(rng, d.batch.minPrompt, d.batch.maxPrompt),
		prefix:       prefixBatch + chunk,
		prefixTokens: d.batch.prefixTokens,
		answer:       d.batch.answer(rng),
	}
}

func (s shape) answer(rng *rand.Rand) int {
	n := float64(s.medianAnswer) * math.Exp(rng.NormFloat64()*s.answerSpread)
	return max(1, min(s.maxAnswer, int(n)))
}

func between(rng *rand.Rand, low, high int) int { return low + rng.IntN(high-low+1) }

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
