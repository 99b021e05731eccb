package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against items that run again without end at upstreams whose events are further apart than an attempt waits.
func TestItemsEndAtSlowUpstreams(t *testing.T) {
	for _, apart := range []time.Duration{1600 * time.Millisecond, 5 * time.Second} {
		t.Run(apart.String(), func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(apart)
				}
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 1).status)
				time.Sleep(eventsOfStream*apart + 20*time.Second)
				p, _ := s.readJob(1, "j1", 0)
				require.Equal(t, 1, p.Next)
				require.Less(t, s.runsOf("j1.0"), 6)
			})
		})
	}
}
