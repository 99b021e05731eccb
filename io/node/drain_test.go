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

// drain lets an entry node drain as on SIGTERM, and returns a channel that is closed when it has ended.
func (s *testSite) drain(n int) <-chan struct{} {
	id := fmt.Sprintf("e%d", n)
	e := s.entries[id]
	delete(s.entries, id)
	ended := make(chan struct{})
	go func() {
		e.Drain()
		e.Close()
		s.network.CloseHost(entryIP(n))
		close(ended)
	}()
	return ended
}

// Guards against requests that end without an answer while a node stops as planned: callers go on to send for as long as
// the load balancer may need to notice.
func TestPlannedStopAnswersWhatItAccepts(t *testing.T) {
	const noticed = 2400 * time.Millisecond
	for _, tc := range []struct {
		name, path string
		perSecond  int
	}{
		{"streams", "/ask/stream/1", 12},
		{"streams, over capacity", "/ask/stream/1", 60},
		{"calls that run once", "/swap/1", 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				rng := rand.New(rand.NewPCG(1, 1))
				var sent sync.WaitGroup
				var mu sync.Mutex
				answers := map[string]reply{}
				ended := s.drain(1)
				for began := time.Now(); time.Since(began) < noticed; time.Sleep(time.Duration(rng.Float64() * 2 / float64(tc.perSecond) * float64(time.Second))) {
					id := fmt.Sprintf("r%d", time.Since(began))
					sent.Go(func() {
						r := s.call(t.Context(), 1, http.MethodPost, tc.path, id, "")
						mu.Lock()
						answers[id] = r
						mu.Unlock()
					})
				}
				sent.Wait()
				<-ended
				for id, r := range answers {
					require.True(t, r.complete && r.status != 0, id)
					if r.status == http.StatusServiceUnavailable {
						require.Zero(t, s.runsOf(id), "a refused request has not run")
						continue
					}
					require.Equal(t, http.StatusOK, r.status, id)
					require.Equal(t, 1, s.runsOf(id), id)
				}
			})
		})
	}
}

// Guards against requests that are cut off at the end of a drain, where they could still be told what became of them.
func TestEndOfDrainAnswersWhatHasNotBegun(t *testing.T) {
	long := fake.Route{Name: "long", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: 30 * time.Second, Objective: 25 * time.Second}
	for _, tc := range []struct {
		name string
		// busy requests hold the slots at the other entry.
		busy, status int
	}{
		{"running", 0, http.StatusGatewayTimeout},
		{"waiting for a slot", 4, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.writeConfig(2, long)
				time.Sleep(2 * time.Second)
				s.desk.SetFaults(fake.EngineFaults{Unresponsive: true})
				for i := range tc.busy {
					go s.call(t.Context(), 2, http.MethodPost, "/long/1", fmt.Sprintf("busy%d", i), "")
				}
				time.Sleep(pace)
				ended := s.drain(1)
				time.Sleep(time.Second)
				r := s.call(t.Context(), 1, http.MethodPost, "/long/1", "r1", "")
				require.Equal(t, tc.status, r.status)
				require.True(t, r.complete)
				require.Equal(t, tc.status == http.StatusServiceUnavailable, s.runsOf("r1") == 0)
				<-ended
			})
		})
	}
}
