package node

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a home whose load takes all the writes that the object service allows a site, so that leases, new jobs and ends
// are refused.
func TestLoadOfJobsLeavesRoomForOtherWrites(t *testing.T) {
	const writesPerSecond = 400 // of all nodes together, as the service of a large site allows
	runSite(t, func(t *testing.T, s *testSite) {
		s.killHome(1)
		s.killHome(2)
		s.storeJobs(1000)
		s.slowService(1)
		writes := func() int {
			n := 0
			for call, count := range s.objects.Calls() {
				if !strings.HasPrefix(call, "GET ") {
					n += count
				}
			}
			return n
		}
		s.startHome(1)
		s.startHome(2)
		var seen []int
		most, span := 0, 100*time.Millisecond
		for range 100 {
			seen = append(seen, writes())
			if n := len(seen); n > 10 {
				most = max(most, seen[n-1]-seen[n-11])
			}
			time.Sleep(span)
		}
		t.Logf("%d writes in one second", most)
		require.LessOrEqual(t, most, writesPerSecond)
	})
}
