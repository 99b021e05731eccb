package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// Guards against upstreams that end since the requests that they got don't fit into their memory.
func TestRequestsFitIntoTheMemoryOfUpstreams(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fault is called while the requests come.
		fault func(s *testSite)
	}{
		{"steady", func(*testSite) {}},
		{"the home is lost", func(s *testSite) { s.killHome(1) }},
		{"all homes are lost", func(s *testSite) { s.killHome(1); s.killHome(2) }},
		{"an upstream is lost", func(s *testSite) { s.engines[0].Crash() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.replaceEngines(4, nil)
				large, small := s.loadSizes(func() { tc.fault(s) })
				t.Logf("of %d each, %d large and %d small ones were served", sizedRequests/2, large, small)
				for _, e := range s.engines {
					t.Logf("held at most %d of %d tokens", e.MostHeld(), fake.TokenCapacity)
					require.LessOrEqual(t, e.MostHeld(), fake.TokenCapacity)
				}
			})
		})
	}
}

// sizedRequests is the number of requests that loadSizes sends.
const sizedRequests = 200

// loadSizes sends requests of 12,000 to 40,000 and of 450 tokens in turn, calls fault after half of them, and returns how
// many of each were served. The others must have been refused as not run.
func (s *testSite) loadSizes(fault func()) (large, small int) {
	random := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range sizedRequests {
		tokens, served := 450, &small
		if i%2 == 0 {
			tokens, served = 12_000+random.IntN(28_001), &large
		}
		all.Go(func() {
			h := http.Header{}
			fake.SetSize(h, tokens*9/10, tokens-tokens*9/10)
			r := s.callWith(s.t.Context(), 1+i%2, http.MethodPost, "/ask/stream/1", fmt.Sprintf("r%d", i), "", h)
			mu.Lock()
			defer mu.Unlock()
			if r.complete && r.status == http.StatusOK {
				*served++
				return
			}
			require.Equal(s.t, http.StatusServiceUnavailable, r.status)
		})
		if i == sizedRequests/2 {
			fault()
		}
		time.Sleep(40 * time.Millisecond)
	}
	all.Wait()
	return large, small
}

// A request that no upstream can hold is refused at once and reaches none.
func TestTooLargeRequestIsRefusedAtOnce(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		h := http.Header{}
		fake.SetSize(h, fake.TokenCapacity, 1)
		r := s.callWith(t.Context(), 1, http.MethodPost, "/ask/stream/1", "r1", "", h)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Less(t, r.took, 50*time.Millisecond)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Zero(t, s.runsOf("r1"))
		time.Sleep(2 * time.Second)
		home := s.homes["s1"].base
		require.Equal(t, int64(1), home.opts.Registry.Get("home.refused.tooLarge").(interface{ Count() int64 }).Count())
		require.Equal(t, int64(3*fake.TokenCapacity), gauge(home, "home.tokens.scribe.capacity"))
	})
}
