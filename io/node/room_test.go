package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusals of jobs that fit, because jobs that were refused before are counted as open.
func TestRefusedJobsTakeNoRoom(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.killHome(1)
		s.killHome(2)
		time.Sleep(time.Second)
		for i := range 3 {
			require.Equal(t, http.StatusTooManyRequests, s.submitJob(1, fmt.Sprintf("big%d", i), 60).status)
		}
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "small", 10).status)
	})
}
