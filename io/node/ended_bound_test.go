package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/io/explain"
	"mothcart/io/home"
	"mothcart/platform"
	"mothcart/platform/fake"
)

// serviceTime is how long a call to the object service takes.
const serviceTime = 4 * time.Millisecond

// slowService makes all calls to the object service take a multiple of serviceTime.
func (s *testSite) slowService(times int) {
	d := time.Duration(times) * serviceTime
	s.objects.SetFault(fake.Fault{ReadDelay: map[string]time.Duration{"": d}, WriteDelay: d})
}

// storeJobs stores jobs j0, j1, … of one item each, as an entry that a home has not heard of yet.
func (s *testSite) storeJobs(n int) {
	for i := range n {
		id := fmt.Sprintf("j%d", i)
		job, err := platform.Codec().DecodeJob(id, fake.Host, "/lot/1", "", time.Now(), fake.JobBody(id, 1, []byte("draft")))
		require.NoError(s.t, err)
		s.objects.Write(home.KindJobs, id, job)
	}
}

// lastItemAfter returns how long after the acknowledgements of ends an item of one of the jobs last arrived at an upstream; 0
// if none did.
func (s *testSite) lastItemAfter(ended map[string]time.Time) time.Duration {
	last := time.Duration(0)
	for _, e := range s.engines {
		for _, a := range e.Arrived() {
			if at, ok := ended[jobOfItem(a.ID)]; ok {
				last = max(last, a.At.Sub(at))
			}
		}
	}
	return last
}

// itemsOfOthers returns how many items of jobs that were not ended arrived at an upstream.
func (s *testSite) itemsOfOthers(ended map[string]time.Time) int {
	n := 0
	for _, e := range s.engines {
		for _, a := range e.Arrived() {
			if _, ok := ended[jobOfItem(a.ID)]; !ok {
				n++
			}
		}
	}
	return n
}

// jobOfItem returns the job of an item whose number has one digit.
func jobOfItem(id string) string { return id[:max(len(id)-len(".0"), 0)] }

// endWhileHomeLoads ends n of the stored jobs, spread over all of them, from the moment the next home begins to load on: half
// of them within a second. It returns when each end was acknowledged.
func (s *testSite) endWhileHomeLoads(jobs, n int) map[string]time.Time {
	for before := s.loadsBegun(); s.loadsBegun() == before; {
		time.Sleep(serviceTime)
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	ended := make(map[string]time.Time)
	for i := range n {
		id := fmt.Sprintf("j%d", (i*7%n)*jobs/n)
		calls.Go(func() {
			r := s.call(s.t.Context(), 1+i%2, http.MethodDelete, fake.EndPath(id), "end-"+id, "")
			mu.Lock()
			defer mu.Unlock()
			if assert.Equal(s.t, http.StatusOK, r.status, id) {
				ended[id] = time.Now()
			}
		})
		if i < n/2 {
			time.Sleep(2 * time.Second / time.Duration(n))
		} else {
			time.Sleep(20 * time.Second / time.Duration(n))
		}
	}
	calls.Wait()
	return ended
}

// loadsBegun returns how often a home began to load its jobs.
func (s *testSite) loadsBegun() int { return strings.Count(s.recorded.String(), "jobsLoading") }

// endsBeforeLoad returns how many of the ends a home learnt of before it had loaded the job.
func (s *testSite) endsBeforeLoad(ended map[string]time.Time) int {
	events, _, err := explain.Read(strings.NewReader(s.recorded.String()))
	require.NoError(s.t, err)
	n := 0
	for id := range ended {
		if story, ok := explain.JobEndStory(events, id); ok && len(story.Learnt) > 0 && story.Learnt[0].Fields["loaded"] == false {
			n++
		}
	}
	return n
}

// Guards against a time from the end of a job to its last item that grows with the number of jobs or the slowness of the object
// service: all home nodes are killed, and jobs are ended while the next home loads.
func TestLastItemAfterAnEndIsBounded(t *testing.T) {
	recordMillis(t)
	for _, tc := range []struct {
		jobs, ends int
		// times is how slow the object service is.
		times int
	}{{10, 5, 1}, {10, 5, 50}, {100, 40, 1}, {100, 40, 50}, {1000, 40, 1}, {1000, 40, 50}} {
		t.Run(fmt.Sprintf("%d jobs, %d times as slow", tc.jobs, tc.times), func(t *testing.T) {
			(&testSite{ownRuns: 64, recorded: new(lockedBuffer)}).run(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(2 * time.Millisecond)
				}
				s.killHome(1)
				s.killHome(2)
				s.storeJobs(tc.jobs)
				s.slowService(tc.times)
				s.startHome(1)
				s.startHome(2)
				ended := s.endWhileHomeLoads(tc.jobs, tc.ends)
				time.Sleep(20 * time.Second)
				last, before := s.lastItemAfter(ended), s.endsBeforeLoad(ended)
				t.Logf("%d ends, %d learnt of before the job was loaded; the last item arrived %v after the acknowledgement", len(ended), before, last)
				require.Len(t, ended, tc.ends)
				if tc.jobs > 10 && tc.times > 1 {
					require.Positive(t, before, "the jobs were ended too late to show anything")
				}
				require.Positive(t, s.itemsOfOthers(ended), "a home that runs no items shows nothing")
				require.Less(t, last, cancelBound)
			})
		})
	}
}
