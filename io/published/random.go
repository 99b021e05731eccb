package published

import (
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"
)

// random makes the random choices of one Follower.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{rng: rand.New(rand.NewPCG(seed, seed))}
}

// duration returns a random duration below d, which is positive.
func (r *random) duration(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(d)))
}

func (r *random) shuffle(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

func newIncarnation() string {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return hex.EncodeToString(b[:])
}
