package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that is accepted and never runs: an earlier one with its ID was complete and is removed, and the home ended
// before it wrote the hint of complete jobs without it.
func TestJobAfterARemovedOneRunsAtTheNextHome(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j0", 2).status)
		time.Sleep(time.Second) // its removal is written to the hint, that of the next one would be a second later
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 2).status)
		s.awaitJob(1, "j1", 5*time.Second)
		removed := false
		for range 20000 {
			if _, status := s.readJob(1, "j1", 0); status == http.StatusNotFound {
				removed = true
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.True(t, removed)
		s.killHome(1)
		s.killHome(2)
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 2).status)
		s.startHome(1)
		s.startHome(2)
		s.awaitJob(1, "j1", 30*time.Second)
	})
}
