package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/home"
)

// Guards against refusals of jobs that fit, because jobs that were refused before are counted as open.
func TestRefusedJobsTakeNoRoom(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		time.Sleep(2 * time.Second) // the home tells all nodes how many they are
		s.killHome(1)
		s.killHome(2)
		time.Sleep(time.Second)
		for i := range 3 {
			id := fmt.Sprintf("big%d", i)
			require.Equal(t, http.StatusGatewayTimeout, s.submitJob(1, id, 60).status, "without a home nobody knows of earlier attempts")
			require.Zero(t, s.callsOf("POST "+home.KindJobs), "it is not written")
		}
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "small", 10).status)
	})
}

// Guards against nodes that accept more than the cap while there is no home, each from its own count, above all after a
// restart.
func TestNodesWithoutAHomeKeepTheCap(t *testing.T) {
	const tokensOfItem, tokenCap, excess = 100, 10000, 0.1
	for _, tc := range []struct {
		name    string
		restart bool
	}{{"they go on", false}, {"they restart", true}} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(time.Second) // no item ends meanwhile
				}
				waiting := 0
				submit := func(n int, id string, items int) {
					if s.submitJob(n, id, items).status == http.StatusAccepted {
						waiting += items * tokensOfItem
					}
				}
				submit(1, "j", 98)
				require.Equal(t, 98*tokensOfItem, waiting)
				time.Sleep(3 * time.Second) // the home tells all nodes what waits
				s.killHome(1)
				s.killHome(2)
				if tc.restart {
					s.restartEntry(1)
					s.restartEntry(2)
				}
				time.Sleep(time.Second)
				for i := range 10 {
					submit(1+i%2, fmt.Sprintf("j%d", i), 4)
				}
				require.LessOrEqual(t, float64(waiting), tokenCap*(1+excess))
			})
		})
	}
}
