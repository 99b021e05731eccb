package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mothcart/platform/fake"
)

const (
	// firstResultSeed is the first seed of TestResultsSurviveLostAnswers, whose object service takes objects of resultValue
	// bytes at most, so that the results of a job of resultItems items fill several.
	firstResultSeed = 2300
	resultValue     = 4 << 10
	resultItems     = 40
)

// TestResultsSurviveLostAnswers submits jobs whose results need several objects, while the object service loses answers and is down,
// and homes are killed. It guards against accepted items that are never listed, or listed twice.
func TestResultsSurviveLostAnswers(t *testing.T) {
	eachSeed(t, func(c *checker, seed uint64) {
		s, t := c.s, c.s.t
		stop := make(chan struct{})
		var traffic sync.WaitGroup
		for n := range 2 {
			traffic.Go(func() { c.longJobs(rand.New(rand.NewPCG(seed, uint64(n))), stop, fmt.Sprintf("%dz%d", seed, n)) })
		}
		s.loseResults(rand.New(rand.NewPCG(seed, 11)), time.Duration(*seconds)*time.Second)
		close(stop)
		traffic.Wait()
		assert.NotEmpty(t, c.accepted)
		for _, j := range c.accepted {
			c.awaitJob(j)
		}
		assert.Zero(t, s.objects.TooLarge(), "objects that are too large are not written")
		t.Logf("%d jobs of %d items", len(c.accepted), resultItems)
	}, firstResultSeed)
}

// longJobs submits one job after the other, each until an entry accepts it.
func (c *checker) longJobs(rng *rand.Rand, stop <-chan struct{}, name string) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s.%d", name, i)
		body := fake.JobBody(id, resultItems, []byte("draft"))
		for accepted := false; !accepted; {
			resp, _, err := c.call(http.MethodPost, 1+rng.IntN(entries), "/lot/1", id, body)
			if accepted = err == nil && resp.StatusCode == http.StatusAccepted; accepted {
				c.mu.Lock()
				c.accepted = append(c.accepted, job{id: id, items: resultItems})
				c.mu.Unlock()
			} else if !sleep(between(rng, 50*time.Millisecond, 300*time.Millisecond), stop) {
				return
			}
		}
		if !sleep(between(rng, 500*time.Millisecond, 2500*time.Millisecond), stop) {
			return
		}
	}
}

// loseResults makes the object service lose answers or refuse calls in turn, and kills or stops homes meanwhile.
func (s *site) loseResults(rng *rand.Rand, duration time.Duration) {
	var kills sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		fault := fake.Fault{LoseAnswers: 1 + rng.IntN(8)}
		if rng.IntN(3) == 0 {
			fault = fake.Fault{Down: map[string]bool{"": true}}
		}
		s.objects.SetFault(fault)
		time.Sleep(between(rng, 200*time.Millisecond, 1500*time.Millisecond))
		s.objects.SetFault(fake.Fault{})
		if rng.IntN(2) == 0 {
			pr, sig := s.processes[entries+rng.IntN(homes)], []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(2)]
			kills.Go(func() { s.restart(pr, sig, 200*time.Millisecond) })
		}
		time.Sleep(between(rng, 0, 500*time.Millisecond))
	}
	kills.Wait()
	s.objects.SetFault(fake.Fault{})
}
