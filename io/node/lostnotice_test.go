package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// Guards against items of a job that begin although its owner has ended it: the notice of the end does not reach the node that
// runs the items, for a while or for good.
func TestJobEndedWithoutANoticeRunsNoItem(t *testing.T) {
	homes := []string{homeIP(1), homeIP(2)}
	for _, tc := range []struct {
		name string
		// ownRuns is the number of items that the home runs itself.
		ownRuns int
		fault   func(s *testSite)
	}{
		{"the entry reaches no home node", 64, func(s *testSite) { s.network.PartitionFrom(entryIP(1), homes) }},
		{"the home is cut off from the object service", 64, func(s *testSite) { s.network.Partition(homeIP(1), storeIP) }},
		{"the home is cut off from all nodes and the object service", 64, func(s *testSite) {
			s.network.PartitionFrom(homeIP(1), []string{storeIP, homeIP(2), entryIP(1), entryIP(2)})
		}},
		{"the home is cut off from the nodes", 64, func(s *testSite) {
			s.network.PartitionFrom(homeIP(1), []string{homeIP(2), entryIP(1), entryIP(2)})
		}},
		{"the home is cut off from the next one and the object service", 64, func(s *testSite) {
			s.network.PartitionFrom(homeIP(1), []string{storeIP, homeIP(2)})
		}},
		{"the home is cut off from the node that runs the items", 1, func(s *testSite) { s.network.Partition(homeIP(1), homeIP(2)) }},
		{"the node that runs the items also reaches no upstream for 2 s", 1, func(s *testSite) {
			s.network.PartitionFrom(homeIP(2), []string{homeIP(1), engineIP(1), engineIP(2), engineIP(3)})
			time.Sleep(300 * time.Millisecond) // the home sends it further items
			time.AfterFunc(2*time.Second, func() {
				for n := 1; n <= 3; n++ {
					s.network.Heal(homeIP(2), engineIP(n))
				}
			})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSiteOf(t, tc.ownRuns, func(t *testing.T, s *testSite) {
				last := s.lastItemAfterEndAmid(tc.fault)
				t.Logf("the last item arrived %v after the acknowledgement", last)
				require.LessOrEqual(t, last, cancelBound)
			})
		})
	}
}

// Guards against a notice that is sent once: an entry that is connected to no home drops it, and the home learns of the end when
// its watch does, which may miss changes.
func TestNoticeOfAnEndIsRepeatedToAHomeThatIsBack(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		last := s.lastItemAfterEndAmid(func(s *testSite) {
			s.objects.SetFault(fake.Fault{NoWatchEvents: true})
			s.network.PartitionFrom(entryIP(1), []string{homeIP(1), homeIP(2)})
			time.AfterFunc(time.Second, func() {
				s.network.Heal(entryIP(1), homeIP(1))
				s.network.Heal(entryIP(1), homeIP(2))
			})
		})
		require.LessOrEqual(t, last, 3*time.Second)
	})
}

// lastItemAfterEndAmid ends a job that runs, right after a fault, and returns how long after the acknowledgement its last item
// arrived at an upstream.
func (s *testSite) lastItemAfterEndAmid(fault func(s *testSite)) time.Duration {
	for _, e := range s.engines {
		e.SetPace(100 * time.Millisecond)
	}
	require.Equal(s.t, http.StatusAccepted, s.submitJob(1, "j1", 60).status)
	time.Sleep(2 * time.Second)
	fault(s)
	ended := s.endJob(1, "j1")
	time.Sleep(20 * time.Second)
	require.Positive(s.t, s.begun("j1", 60))
	last := time.Duration(0)
	for i := range 60 {
		for _, a := range s.arrivals(fake.ItemID("j1", i)) {
			last = max(last, a.At.Sub(ended))
		}
	}
	return last
}
