package routing

import (
	"math/rand/v2"
	"time"

	"mothcart/core/route"
)

// policy picks an engine for a request that arrives at an entry VM; pick reports false if there is none.
type policy struct {
	name string
	pick func(v *router, rng *rand.Rand, now time.Time, a arrival) (int, bool)
}

// policies returns the policies to compare, the product's last.
func policies() []policy {
	return []policy{
		{"random", pickRandom},
		{"round robin", pickRoundRobin},
		{"least reported", pickLeastReported},
		{"two choices of reported", pickTwoReported},
		{"product without prefix", pickProduct(false)},
		{"product", pickProduct(true)},
	}
}

func pickRandom(v *router, rng *rand.Rand, _ time.Time, _ arrival) (int, bool) {
	return v.alive(rng.IntN(v.table.Len()))
}

func pickRoundRobin(v *router, _ *rand.Rand, _ time.Time, _ arrival) (int, bool) {
	v.nextIndex++
	return v.alive(v.nextIndex % v.table.Len())
}

// pickLeastReported picks the engine with the fewest requests in its last digest.
func pickLeastReported(v *router, rng *rand.Rand, _ time.Time, _ arrival) (int, bool) {
	best, bestLoad := -1, int32(0)
	start := rng.IntN(v.table.Len())
	for k := range v.table.Len() {
		i := (start + k) % v.table.Len()
		if load := v.table.Entry(i).Digest.InFlight; !v.dead[i] && (best < 0 || load < bestLoad) {
			best, bestLoad = i, load
		}
	}
	return best, best >= 0
}

// pickTwoReported picks, of two random engines, the one with fewer requests in its last digest.
func pickTwoReported(v *router, rng *rand.Rand, _ time.Time, _ arrival) (int, bool) {
	a, okA := v.alive(rng.IntN(v.table.Len()))
	b, okB := v.alive(rng.IntN(v.table.Len()))
	if okB && (!okA || v.table.Entry(b).Digest.InFlight < v.table.Entry(a).Digest.InFlight) {
		return b, true
	}
	return a, okA
}

// pickProduct picks by the product's policy, the table of core/route.
func pickProduct(usePrefix bool) func(*router, *rand.Rand, time.Time, arrival) (int, bool) {
	return func(v *router, rng *rand.Rand, now time.Time, a arrival) (int, bool) {
		w := route.Want{Bit: v.table.Bit(""), Random: rng.Uint64()}
		if usePrefix {
			w.Prefix = a.prefix * prefixSpread
		}
		return v.table.Pick(now, w)
	}
}

// prefixSpread is a multiplier that spreads small prefix numbers over the range of hashes.
const prefixSpread = 0x9e3779b97f4a7c15
