package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against accepted items that nobody runs any more since the last home node was asked to retire.
func TestLastHomeNodeStaysHomeUntilAnotherCanTakeOver(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before happens before the retirement of s1, after once it was asked for.
		before, after func(s *testSite)
		completes     bool
	}{
		{name: "no other one comes", before: func(s *testSite) { s.killHome(2) }},
		{name: "another one comes later", before: func(s *testSite) { s.killHome(2) }, after: func(s *testSite) {
			time.Sleep(3 * time.Second)
			s.startHome(2)
		}, completes: true},
		{name: "the other one was asked first", before: func(s *testSite) {
			s.objects.Retire("s2")
			time.Sleep(2 * time.Second)
			s.killHome(2)
		}},
		{name: "both are asked at once, and the other one crashes", before: func(s *testSite) { s.objects.Retire("s2") }, after: func(s *testSite) {
			time.Sleep(2 * time.Second)
			s.killHome(2)
		}},
		{name: "it is taken back", before: func(s *testSite) { s.killHome(2) }, after: func(s *testSite) {
			time.Sleep(time.Second)
			s.objects.Remove("retirements", "s1")
			time.Sleep(time.Second)
			s.startHome(2)
			time.Sleep(time.Second)
			require.True(s.t, s.homes["s1"].IsHome())
		}},
		{name: "its successor crashes", after: func(s *testSite) {
			time.Sleep(2 * time.Second)
			s.killHome(2)
		}, completes: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSiteOf(t, 1, func(t *testing.T, s *testSite) {
				if tc.before != nil {
					tc.before(s)
				}
				time.Sleep(3 * time.Second)
				s.submitJob(1, "j1", 60)
				time.Sleep(300 * time.Millisecond)
				s.objects.Retire("s1")
				if tc.after != nil {
					tc.after(s)
				}
				time.Sleep(2 * time.Second)
				s.submitJob(2, "j2", 4)
				s.awaitJob(1, "j1", 18*time.Second)
				s.awaitJob(2, "j2", 18*time.Second)
				s.requireServed(1, "r1")
				time.Sleep(2 * time.Second)
				require.Equal(t, tc.completes, s.objects.Retired("s1"))
			})
		})
	}
}
