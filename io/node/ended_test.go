package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/home"
	"mothcart/platform/fake"
)

// cancelBound is half of the time within which an ended job must start no more items.
const cancelBound = 1500 * time.Millisecond

// endJob ends a job at a node and returns when the end was acknowledged.
func (s *testSite) endJob(n int, id string) time.Time {
	require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), n, http.MethodDelete, fake.EndPath(id), "end-"+id, "").status)
	return time.Now()
}

// requireNoItemAfter checks that no item of a job reached an upstream later than cancelBound after its end was acknowledged.
func (s *testSite) requireNoItemAfter(id string, items int, ended time.Time) {
	for i := range items {
		for _, a := range s.arrivals(fmt.Sprintf("%s.%d", id, i)) {
			require.LessOrEqual(s.t, a.At.Sub(ended), cancelBound, "item %d of %s", i, id)
		}
	}
}

// Guards against items of a job that begin although its owner has ended it: the end comes while a home loads its jobs.
func TestJobEndedWhileItsHomeLoadsRunsNoItem(t *testing.T) {
	results := home.ResultsPrefix
	for _, tc := range []struct {
		name  string
		fault fake.Fault
	}{
		{"the results of all jobs are read slowly", fake.Fault{ReadDelay: map[string]time.Duration{results: 1200 * time.Millisecond}}},
		{"its results can't be read at first", fake.Fault{RefusedReads: []string{results + "j30"}}},
		{"the results of another job can't be read at first", fake.Fault{RefusedReads: []string{results + "j10"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(time.Second)
				}
				for i := 10; i <= 30; i++ {
					require.Equal(t, http.StatusAccepted, s.submitJob(1, fmt.Sprintf("j%d", i), 2).status)
				}
				s.killHome(1)
				s.killHome(2)
				for _, e := range s.engines {
					e.SetPace(pace)
				}
				s.objects.SetFault(tc.fault)
				s.startHome(1)
				s.startHome(2)
				time.Sleep(2500 * time.Millisecond)
				ended := s.endJob(1, "j30")
				time.Sleep(4 * time.Second)
				s.objects.SetFault(fake.Fault{})
				time.Sleep(30 * time.Second)
				s.requireNoItemAfter("j30", 2, ended)
				s.awaitJob(2, "j10", 18*time.Second)
			})
		})
	}
}

// Guards against one job that can't be read and holds up all others: the home loads no new jobs, runs items of jobs that were
// ended, and finds no room for new ones.
func TestUnreadableJobHoldsUpNoOther(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for _, e := range s.engines {
			e.SetPace(time.Second)
		}
		require.Equal(t, http.StatusAccepted, s.submitBodies(1, "j1", 15, make([]byte, 100<<10)).status)
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j2", 10).status)
		s.objects.Remove("mothcart-parts-j1", "000001")
		s.killHome(1)
		s.killHome(2)
		s.startHome(1)
		s.startHome(2)
		time.Sleep(5 * time.Second)
		ended := s.endJob(1, "j2")
		for _, e := range s.engines {
			e.SetPace(pace)
		}
		require.Equal(t, http.StatusAccepted, s.submitJob(2, "j3", 4).status)
		s.awaitJob(1, "j3", 10*time.Second)
		require.Equal(t, http.StatusTooManyRequests, s.submitJob(2, "j4", 95).status, "there is room for what j1 leaves")
		time.Sleep(10 * time.Second)
		s.requireNoItemAfter("j2", 10, ended)
	})
}

// Guards against items that run again after their job was done: the removal of the job was interrupted behind its results, and
// the next home can't read at first which jobs have all results.
func TestInterruptedRemovalRunsNoItemAgain(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
		s.awaitJob(1, "j1", 5*time.Second)
		time.Sleep(5 * time.Second)
		for i := range s.objects.Calls()["POST "+home.ResultsPrefix+"j1"] {
			s.objects.Remove(home.ResultsPrefix+"j1", fmt.Sprintf("%06d", i))
		}
		s.killHome(1)
		s.killHome(2)
		s.objects.SetFault(fake.Fault{RefusedReads: []string{home.KindListed}})
		s.startHome(1)
		s.startHome(2)
		time.Sleep(5 * time.Second)
		s.objects.SetFault(fake.Fault{})
		time.Sleep(10 * time.Second)
		for i := range 4 {
			require.Equal(t, 1, s.runsOf(fmt.Sprintf("j1.%d", i)))
		}
	})
}
