package node

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

const (
	// paceLoad is the rate of requests, which need a third of the slots; paceTime is how long they come, and the last part
	// of it counts.
	paceLoad = 20
	paceTime = 16 * time.Second
	paceLast = 6 * time.Second
)

// Two of six upstreams take 2.5 times as long. What they name, and what happens to the home, may cost no request; once hold
// times have shown it, the slow ones get few requests if any figure says that the service is uneven.
func TestSlowUpstreamsGetFewRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		// slow and usual are the figures that the slow and the other upstreams name.
		slow, usual string
		// min and max bound the share of the slow upstreams.
		min, max float64
		during   func(s *testSite)
	}{
		{name: "no figures", min: 0.15, max: 1},
		{name: "usual figures", slow: "100", usual: "100", min: 0.15, max: 1},
		{name: "senseless figures", slow: "NaN", usual: "1e9", min: 0.15, max: 1},
		{name: "true figures", slow: "250", usual: "100", max: 0.1},
		{name: "stuck figures", slow: "250", usual: "250", max: 0.1},
		{name: "figures the wrong way round", slow: "100", usual: "250", max: 0.1},
		{name: "the home is killed", slow: "250", usual: "100", max: 0.1, during: func(s *testSite) {
			time.Sleep(4 * time.Second)
			s.killHome(1)
		}},
		{name: "without a home", slow: "250", usual: "100", max: 1, during: func(s *testSite) {
			time.Sleep(4 * time.Second)
			s.killHome(1)
			s.killHome(2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.replaceEngines(6, nil)
				for i, e := range s.engines {
					e.SetWorkFigure(tc.usual)
					if i < 2 {
						e.SetWorkFigure(tc.slow)
						e.SetPace(5 * pace / 2)
					}
				}
				since := time.Now().Add(paceTime - paceLast)
				var all sync.WaitGroup
				if tc.during != nil {
					all.Go(func() { tc.during(s) })
				}
				answered, _ := s.load("/ask/stream/1", "r", paceLoad, paceTime)
				all.Wait()
				share := s.shareOfSlow(since)
				t.Logf("answered %.3f, share of slow upstreams %.3f", answered, share)
				require.GreaterOrEqual(t, answered, 0.99)
				require.GreaterOrEqual(t, share, tc.min)
				require.LessOrEqual(t, share, tc.max)
			})
		})
	}
}

// shareOfSlow returns the share of the first two engines in the requests that have arrived since a time.
func (s *testSite) shareOfSlow(since time.Time) float64 {
	slow, total := 0, 0
	for i, e := range s.engines {
		n := fake.MostIn(e.Arrived(), time.Hour, since)
		total += n
		if i < 2 {
			slow += n
		}
	}
	return float64(slow) / float64(total)
}
