package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/io/home"
	"mothcart/platform"
	"mothcart/platform/fake"
)

const (
	// endedSeed is a seed at which items of ended jobs ran seconds later, while a home dropped the ends of jobs that it had not
	// loaded yet.
	endedSeed = 2150
	// enders is the number of clients that end their jobs.
	enders = 24
	// endedItems is the number of items of each of their jobs.
	endedItems = 2
	// stockOfJobs is the number of jobs that nobody ends; a home that starts has to load them.
	stockOfJobs = 150
	// endedTokenCap has room for all jobs that are ended.
	endedTokenCap = 100000
	// stockPath has no route, so that the stock takes no slots.
	stockPath = "/none/1"
	// slowItemPace makes an item take so long that jobs are open when the homes are killed.
	slowItemPace = 100 * time.Millisecond
	// lastItemBound is when the last item of a job may begin after its end was acknowledged.
	lastItemBound = 3 * time.Second
)

// ends records which jobs their clients have ended, and when that was acknowledged. It is safe for concurrent use.
type ends struct {
	mu    sync.Mutex
	acked map[string]time.Time
}

// endJobs submits jobs until stop is closed, and ends each of them some milliseconds to seconds after it was accepted.
func (c *checker) endJobs(rng *rand.Rand, stop <-chan struct{}, name string, e *ends) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s.%d", name, i)
		if c.submitOnce(rng, id) {
			time.Sleep(time.Duration(float64(time.Millisecond) * math.Pow(8000, rng.Float64())))
			c.endUntilAcked(rng, id, e)
		}
		if !sleep(between(rng, 20*time.Millisecond, 300*time.Millisecond), stop) {
			return
		}
	}
}

func (c *checker) submitOnce(rng *rand.Rand, id string) bool {
	resp, _, err := c.call(http.MethodPost, 1+rng.IntN(entries), "/lot/1", id, fake.JobBody(id, endedItems, []byte("draft")))
	return err == nil && resp.StatusCode == http.StatusAccepted
}

// endUntilAcked ends a job at one entry after the other until one has acknowledged it.
func (c *checker) endUntilAcked(rng *rand.Rand, id string, e *ends) {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, _, err := c.call(http.MethodDelete, 1+rng.IntN(entries), fake.EndPath(id), "end-"+id, nil)
		if err == nil && resp.StatusCode == http.StatusOK {
			e.mu.Lock()
			e.acked[id] = time.Now()
			e.mu.Unlock()
			return
		}
	}
	assert.Fail(c.s.t, "an accepted job can't be ended", id)
}

// storeStock stores jobs as the entries do.
func (s *site) storeStock(seed uint64) {
	for i := range stockOfJobs {
		id := fmt.Sprintf("%dstock%d", seed, i)
		job, err := platform.Codec().DecodeJob(id, fake.Host, stockPath, "", time.Now(), fake.JobBody(id, 1, []byte("draft")))
		require.NoError(s.t, err)
		s.objects.Write(home.KindJobs, id, job)
	}
}

// killHomesWhileSlow kills all home nodes and starts them again while calls to the object service are slow, once at least and
// until the duration has passed.
func (s *site) killHomesWhileSlow(rng *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); ; {
		time.Sleep(between(rng, 500*time.Millisecond, 2*time.Second))
		slow := between(rng, 150*time.Millisecond, 250*time.Millisecond)
		s.objects.SetFault(fake.Fault{ReadDelay: map[string]time.Duration{"": slow}, WriteDelay: slow})
		var all sync.WaitGroup
		for _, pr := range s.processes[entries:] {
			all.Go(func() { s.restart(pr, syscall.SIGKILL, 200*time.Millisecond) })
		}
		all.Wait()
		time.Sleep(between(rng, 8*time.Second, 12*time.Second))
		s.objects.SetFault(fake.Fault{})
		if !time.Now().Before(end) {
			return
		}
	}
}

// checkEnds checks that no item of an ended job reached an engine later than lastItemBound after the acknowledgement.
func (s *site) checkEnds(e *ends) {
	of := make(map[string]string)
	for id := range e.acked {
		for i := range endedItems {
			of[fake.ItemID(id, i)] = id
		}
	}
	ran, after, late, last := 0, 0, 0, time.Duration(0)
	for _, engine := range s.engines {
		for _, a := range engine.Arrived() {
			id, ended := of[a.ID]
			if !ended {
				continue
			}
			ran++
			delay := a.At.Sub(e.acked[id])
			last = max(last, delay)
			if delay > 0 {
				after++
			}
			if delay > lastItemBound {
				late++
				s.t.Logf("item %s began %v after the end of its job was acknowledged", a.ID, delay)
			}
		}
	}
	s.t.Logf("%d jobs ended; of %d attempts at their items %d began after the acknowledgement, the last one %v after it, %d later than %v", len(e.acked), ran, after, last, late, lastItemBound)
	assert.Zero(s.t, late, "items that began too late")
	assert.Positive(s.t, ran)
}

// Guards against items of a job that begin although its owner has ended it, while homes return beside a slow object service.
func TestSoakOfEndedJobs(t *testing.T) {
	program := build(t)
	for _, seed := range seedsOr(endedSeed) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSite(t, program, seed)
			defer s.close()
			defer s.saveLogs(seed)
			s.tokenCap = endedTokenCap
			s.configure()
			s.awaitReady()
			for _, e := range s.engines {
				e.SetPace(slowItemPace)
			}
			s.storeStock(seed)
			c, e := &checker{s: s}, &ends{acked: make(map[string]time.Time)}
			stop := make(chan struct{})
			var traffic sync.WaitGroup
			for n := range enders {
				traffic.Go(func() { c.endJobs(rand.New(rand.NewPCG(seed, uint64(500+n))), stop, fmt.Sprintf("%dz%d", seed, n), e) })
			}
			s.killHomesWhileSlow(rand.New(rand.NewPCG(seed, 11)), time.Duration(*seconds)*time.Second)
			close(stop)
			traffic.Wait()
			time.Sleep(lastItemBound + 2*time.Second)
			s.checkEnds(e)
		})
	}
}
