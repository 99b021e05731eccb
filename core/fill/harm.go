package fill

import "time"

const (
	// harmDecay is the factor by which each new sample reduces the weight of earlier samples.
	harmDecay = 0.995
	// priorSamples is the weight of the initial estimate, in samples.
	priorSamples = 20
	// priorStep is the initial estimate of an engine's step time.
	priorStep = 15 * time.Millisecond
	// priorRatio is the initial estimate of the share by which one sequence lengthens a step.
	priorRatio = 0.01
	// minRatio and maxRatio bound the estimate against noise.
	minRatio = 0.002
	maxRatio = 0.05
	// priorSpread is the assumed variance of the number of sequences.
	priorSpread = 50
)

// harm is a linear regression of the time between tokens over the number of the engine's sequences, with
// exponential decay of old samples: a step takes base x (1 + ratio x sequences). The base stands for
// the latency of online requests without batch.
type harm struct {
	n, x, y, xx, xy float64
}

// newHarm returns a regression over priorSamples samples that match the initial estimates.
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

// with adds a sample: a measured time between tokens at a mean number of sequences.
func (h harm) with(sequences float64, _, interToken time.Duration) harm {
	if interToken <= 0 || sequences <= 0 {
		return h
	}
	y := interToken.Seconds()
	h.n = h.n*harmDecay + 1
	h.x = h.x*harmDecay + sequences
	h.y = h.y*harmDecay + y
	h.xx = h.xx*harmDecay + sequences*sequences
	h.xy = h.xy*harmDecay + sequences*y
	return h
}

// ratio returns the time that one more sequence adds to a step, as a share of the base.
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
