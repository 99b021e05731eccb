package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// endAll ends all processes of nodes abruptly, startAll starts them.
func (s *testSite) endAll() {
	s.killHome(1)
	s.killHome(2)
	s.killEntry(1)
	s.killEntry(2)
}

func (s *testSite) startAll() {
	s.startHome(1)
	s.startHome(2)
	s.startEntry(1)
	s.startEntry(2)
}

// endOldVersion ends the upstreams of v1; their entries disappear.
func (s *testSite) endOldVersion() {
	for i, e := range s.engines[:3] {
		e.Crash()
		s.objects.RemoveUpstream(fmt.Sprintf("i-%d", i+1))
	}
}

// Guards against joined text after a restart: the streams began at v1, of which no upstream is left, and no node has
// a record of them. Callers take them up without naming the first request, so that only the history of versions tells.
func TestRestartForgetsNoSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		name    string
		restart func(s *testSite)
	}{
		{"the old version leaves just before all processes end", func(s *testSite) {
			s.endOldVersion()
			time.Sleep(time.Second)
			s.endAll()
			time.Sleep(time.Second)
			s.startAll()
		}},
		{"the old version leaves while no process runs", func(s *testSite) {
			s.endAll()
			s.endOldVersion()
			time.Sleep(time.Second)
			s.startAll()
		}},
		{"all processes end twice", func(s *testSite) {
			s.endOldVersion()
			time.Sleep(time.Second)
			for range 2 {
				s.endAll()
				time.Sleep(time.Second)
				s.startAll()
				time.Sleep(2 * time.Second)
			}
		}},
		{"the disks of the home nodes are lost", func(s *testSite) {
			s.endAll()
			s.endOldVersion()
			clear(s.disks)
			s.startAll()
		}},
		{"the object service answers no call after the restart", func(s *testSite) {
			s.endAll()
			s.endOldVersion()
			s.objects.SetFault(fake.Fault{Hang: true})
			s.startAll()
		}},
		{"the object service refuses all calls after the restart", func(s *testSite) {
			s.endOldVersion()
			time.Sleep(time.Second)
			s.endAll()
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			s.startAll()
			time.Sleep(2 * time.Second)
		}},
		{"only the entries end", func(s *testSite) {
			s.endOldVersion()
			s.killEntry(1)
			s.killEntry(2)
			time.Sleep(time.Second)
			s.startEntry(1)
			s.startEntry(2)
		}},
		{"the entries end and start without a home", func(s *testSite) {
			s.endAll()
			s.endOldVersion()
			time.Sleep(time.Second)
			s.startEntry(1)
			s.startEntry(2)
		}},
		{"a home node starts and becomes the home", func(s *testSite) {
			s.killHome(2)
			s.endOldVersion()
			time.Sleep(time.Second)
			s.startHome(2)
			time.Sleep(2 * time.Second)
			s.killHome(1)
			s.killEntry(1)
			s.startEntry(1)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.addNewVersion()
				time.Sleep(time.Minute)
				tc.restart(s)
				for i := range 30 {
					id := fmt.Sprintf("s%d", i)
					r := s.takeUp(1+i%2, id, "", 10)
					require.NotEqual(t, http.StatusOK, r.status, "taken up %d", i)
					require.Zero(t, s.runsOf(id))
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against refusals where a restart leaves no doubt: the service has had one version.
func TestRestartWithOneSoftwareVersionTakesUpAtOnce(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		time.Sleep(time.Minute)
		s.endAll()
		time.Sleep(time.Second)
		s.startAll()
		time.Sleep(2 * time.Second)
		for n := 1; n <= 2; n++ {
			require.Equal(t, http.StatusOK, s.takeUp(n, fmt.Sprintf("s%d", n), "", 10).status)
		}
	})
}
