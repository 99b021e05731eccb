package load

import (
	"context"
	"math/rand/v2"
	"time"
)

// Arrival describes when requests are due.
type Arrival struct {
	// Rate is the mean rate of the Poisson arrivals in requests per second.
	Rate float64
	// BurstEvery is the interval of the bursts, of BurstSize requests at once; 0 means no bursts.
	BurstEvery time.Duration
	BurstSize  int
}

// Arrivals calls send at each arrival until end or until ctx ends. If it falls behind, it calls send late with
// the original due time instead of skipping an arrival.
func Arrivals(ctx context.Context, rng *rand.Rand, a Arrival, end time.Time, send func(due time.Time)) {
	due := time.Now()
	nextBurst := due.Add(a.BurstEvery)
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() / a.Rate * float64(time.Second)))
		if !due.Before(end) || !Wait(ctx, time.Until(due)) {
			return
		}
		send(due)
		if a.BurstEvery > 0 && due.After(nextBurst) {
			nextBurst = nextBurst.Add(a.BurstEvery)
			for range a.BurstSize {
				send(due)
			}
		}
	}
}

// Wait sleeps for d and reports false if ctx ended before.
func Wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
