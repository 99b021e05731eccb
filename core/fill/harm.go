package fill

import "time"

const (
	// harmMemory is the share of the past that each new sample leaves.
	harmMemory = 0.995
	// priorSamples is the trust in the first estimate, in samples.
	priorSamples = 20
	// priorStep is the step time of an engine that is not known yet.
	priorStep = 15 * time.Millisecond
	// priorRatio is the first estimate of the lengthening of a step by one sequence.
	priorRatio = 0.01
	// minRatio and maxRatio bound the estimate against noise.
	minRatio = 0.002
	maxRatio = 0.05
	// priorSpread is the assumed variance of the number of sequences.
	priorSpread = 50
)

// harm is a fit with forgetting of the time between tokens over the sequences of the engine: a
// step takes base x (1 + ratio x sequences). The base is online's own latency without batch.
type harm struct {
	n, x, y, xx, xy float64
}

// newHarm returns a fit of prior samples.
func newHarm() harm {
	const mean = 8.0
	y := priorStep.Seconds() * (1 + priorRatio*mean)
	slope := priorStep.Seconds() * priorRatio
	return harm{
		n:  priorSamples,
		x:  priorSamples * mean,
		y:  priorSamples * y,
		xx: priorSamples * (mean*mean + priorSpread),
		xy: priorSamples * (mean*y + slope*priorSpread),
	}
}

// with adds a measured time between tokens at a mean number of sequences.
func (h harm) with(sequences float64, _, interToken time.Duration) harm {
	if interToken <= 0 || sequences <= 0 {
		return h
	}
	y := interToken.Seconds()
	h.n = h.n*harmMemory + 1
	h.x = h.x*harmMemory + sequences
	h.y = h.y*harmMemory + y
	h.xx = h.xx*harmMemory + sequences*sequences
	h.xy = h.xy*harmMemory + sequences*y
	return h
}

// ratio returns the share by which one more sequence lengthens a step without sequences.
func (h harm) ratio() float64 {
	spread := h.xx*h.n - h.x*h.x
	if spread <= 0 {
		return priorRatio
	}
	slope := (h.xy*h.n - h.x*h.y) / spread
	base := (h.y - slope*h.x) / h.n
	if base <= 0 {
		return maxRatio
	}
	return min(maxRatio, max(minRatio, slope/base))
}
