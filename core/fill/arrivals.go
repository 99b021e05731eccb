package fill

import (
	"math"
	"time"
)

const (
	// reactionTime is the time until batch has yielded to a new online request: a notice, a cancellation
	// and a step of the engine.
	reactionTime = 50 * time.Millisecond
	// peakDecayTime is the time in which the recorded peak of arrivals decays to about a third.
	peakDecayTime = 30 * time.Second
	// tokensShare is the weight of a new value in the moving means of tokens.
	tokensShare = 0.05
)

// arrivals estimates how many online requests arrive within reactionTime.
type arrivals struct {
	windowStart time.Time
	inWindow    int
	peak        float64
	peakAt      time.Time
	meanTokens  float64
}

func (a arrivals) with(now time.Time, tokens int) arrivals {
	if now.Sub(a.windowStart) >= reactionTime {
		a.windowStart = now
		a.inWindow = 0
	}
	a.inWindow++
	a.peak = max(a.peakNow(now), float64(a.inWindow))
	a.peakAt = now
	if a.meanTokens == 0 {
		a.meanTokens = float64(tokens)
	}
	a.meanTokens += (float64(tokens) - a.meanTokens) * tokensShare
	return a
}

// peakNow returns the peak number of arrivals within reactionTime, which decays with time.
func (a arrivals) peakNow(now time.Time) float64 {
	if a.peak == 0 {
		return 0
	}
	return a.peak * math.Exp(-now.Sub(a.peakAt).Seconds()/peakDecayTime.Seconds())
}
