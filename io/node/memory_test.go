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
				random := rand.New(rand.NewPCG(1, 2))
				var all sync.WaitGroup
				var mu sync.Mutex
				served := map[bool]int{}
				const requests = 200
				for i := range requests {
					large := i%2 == 0
					tokens := 450
					if large {
						tokens = 12_000 + random.IntN(28_001)
					}
					all.Go(func() {
						h := http.Header{}
						fake.SetSize(h, tokens*9/10, tokens-tokens*9/10)
						r := s.callWith(t.Context(), 1+i%2, http.MethodPost, "/ask/stream/1", fmt.Sprintf("r%d", i), "", h)
						mu.Lock()
						defer mu.Unlock()
						if r.complete && r.status == http.StatusOK {
							served[large]++
						} else {
							require.Equal(t, http.StatusServiceUnavailable, r.status)
						}
					})
					if i == requests/2 {
						tc.fault(s)
					}
					time.Sleep(40 * time.Millisecond)
				}
				all.Wait()
				t.Logf("of %d each, %d large and %d small ones were served", requests/2, served[true], served[false])
				for _, e := range s.engines {
					t.Logf("held at most %d of %d tokens", e.MostHeld(), fake.TokenCapacity)
					require.LessOrEqual(t, e.MostHeld(), fake.TokenCapacity)
				}
			})
		})
	}
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
	})
}
