package fill

import (
	"math"
	"time"
)

const (
	// reactionTime is the time in which arrivals come before batch can give way: a notice, a
	// cancel and a step.
	reactionTime = 50 * time.Millisecond
	// peakMemory is the time in which the remembered peak of arrivals falls to a third.
	peakMemory = 30 * time.Second
	// tokensShare is the part of a new prompt length in the mean.
	tokensShare = 0.05
)

// arrivals estimates how many online requests come within the reaction time.
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

// peakNow returns the greatest number of arrivals in the reaction time, fading.
func (a arrivals) peakNow(now time.Time) float64 {
	if a.peak == 0 {
		return 0
	}
	return a.peak * math.Exp(-now.Sub(a.peakAt).Seconds()/peakMemory.Seconds())
}
