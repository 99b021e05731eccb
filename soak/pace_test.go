package soak

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// paces changes how long work takes at engines until stop is closed. A third of what they name is wrong or senseless.
func (s *site) paces(rng *rand.Rand, stop <-chan struct{}) {
	wrong := []string{"", "NaN", "-5", "0", "1e9", "fast", "100", "250"}
	for {
		e := s.engines[rng.IntN(len(s.engines))]
		factor := 1 + 2*rng.Float64()
		figure := strconv.Itoa(int(100 * factor))
		if rng.IntN(3) == 0 {
			figure = wrong[rng.IntN(len(wrong))]
		}
		e.SetPace(time.Duration(factor * float64(pace)))
		e.SetWorkFigure(figure)
		select {
		case <-stop:
			return
		case <-time.After(between(rng, 100*time.Millisecond, 600*time.Millisecond)):
		}
	}
}
