package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// begun returns how many runs of a job's items began at their first event.
func (s *testSite) begun(job string, items int) int {
	n := 0
	for i := range items {
		for _, e := range s.engines {
			if events := e.Events(fake.ItemID(job, i)); len(events) > 0 && events[0] == 1 {
				n++
			}
		}
	}
	return n
}

// Guards against items that a home node runs, and that are begun again elsewhere or given up, because the home hears
// nothing of that node for a while.
func TestItemsOfASilentNodeGoOn(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent time.Duration
		// during happens once the node is silent.
		during func(s *testSite)
		// again reports that items may begin again.
		again bool
	}{
		{name: "for less than the links notice", silent: 400 * time.Millisecond},
		{name: "until the links have ended", silent: time.Second},
		{name: "for long", silent: 5 * time.Second, again: true},
		{name: "and then it is killed", silent: time.Second, again: true, during: func(s *testSite) { s.killHome(2) }},
		{name: "and then the home is killed", silent: time.Second, again: true, during: func(s *testSite) { s.killHome(1) }},
		{name: "while its items end", silent: 1600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSiteOf(t, 1, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(100 * time.Millisecond) // an item takes 2 s
				}
				const items = 6
				s.submitJob(1, "j1", items)
				time.Sleep(900 * time.Millisecond)
				s.network.Stall(homeIP(1), homeIP(2))
				if tc.during != nil {
					tc.during(s)
				}
				time.Sleep(tc.silent)
				s.network.Heal(homeIP(1), homeIP(2))
				p := s.awaitJob(1, "j1", 18*time.Second)
				for _, r := range p.Results {
					require.True(t, r.Completed())
				}
				if !tc.again {
					require.Equal(t, items, s.begun("j1", items), "each item begins once")
				}
				time.Sleep(5 * time.Second)
				for _, e := range s.engines {
					require.Zero(t, e.Running(), "nothing is left behind")
				}
			})
		})
	}
}
