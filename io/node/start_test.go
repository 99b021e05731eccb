package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// restartEntry ends an entry node's process and starts it again.
func (s *testSite) restartEntry(n int) {
	id := fmt.Sprintf("e%d", n)
	s.entries[id].Close()
	s.network.CloseHost(entryIP(n))
	s.startEntry(n)
}

// restartAll ends all processes abruptly and starts them again.
func (s *testSite) restartAll() {
	s.killHome(1)
	s.killHome(2)
	s.startHome(1)
	s.startHome(2)
	s.restartEntry(1)
	s.restartEntry(2)
}

// requireServed requires that an entry node serves a complete stream.
func (s *testSite) requireServed(n int, id string) {
	r := s.call(s.t.Context(), n, http.MethodPost, "/ask/stream/1", id, "")
	require.Equal(s.t, http.StatusOK, r.status)
	require.Equal(s.t, fake.CompleteText(id, eventsOfStream), fake.TextOf(r.body))
}

// An entry node that starts while the object service is unreachable gets the site state from a home node.
func TestEntryStartsDuringAnOutage(t *testing.T) {
	for _, tc := range []struct {
		name  string
		begin func(s *testSite)
	}{
		{"all calls fail", func(s *testSite) { s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}}) }},
		{"this node can't reach it", func(s *testSite) { s.network.Partition(entryIP(1), storeIP) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				tc.begin(s)
				s.restartEntry(1)
				time.Sleep(time.Second)
				require.True(t, s.entries["e1"].Ready())
				require.True(t, s.entries["e1"].base.client.Connected(), "it has connected to the home")
				s.requireServed(1, "r1")
			})
		})
	}
}

// All processes restart while the object service is unreachable: home nodes load their last view from
// disk.
func TestSiteStartsDuringAnOutage(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.writeConfig(7, newRoute)
		time.Sleep(2 * time.Second)
		s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
		s.restartAll()
		time.Sleep(1500 * time.Millisecond)
		for n := 1; n <= 2; n++ {
			require.True(t, s.entries[fmt.Sprintf("e%d", n)].Ready())
			require.True(t, s.entries[fmt.Sprintf("e%d", n)].base.client.Connected(), "the last home acts as fallback home")
			s.requireServed(n, fmt.Sprintf("r%d", n))
			require.Equal(t, http.StatusOK, s.call(t.Context(), n, http.MethodPost, "/new/1", fmt.Sprintf("new%d", n), "").status, "the newest configuration")
		}
		require.Equal(t, http.StatusGatewayTimeout, s.submitJob(1, "j1", 1).status, "a job can't be stored now, and the home has not loaded those of before")

		// The upstreams' entries expire during the outage and are written again a little later.
		s.engines[0].Crash()
		s.objects.SetFault(fake.Fault{})
		time.Sleep(3 * time.Second)
		s.requireServed(1, "r3")
		require.Greater(t, s.entries["e1"].base.client.Home().Term, int64(1), "there is a home with a lease")
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j2", 1).status)
		s.awaitJob(2, "j2", 5*time.Second)
	})
}

// The home ends while the object service is unreachable: one home node acts as fallback home until a node
// acquires the lease, and none does if another node holds the lease.
func TestOneHomeNodeActsAsFallback(t *testing.T) {
	for _, tc := range []struct {
		name string
		// unreachableFrom holds the addresses whose calls the object service refuses; "" stands for all.
		unreachableFrom map[string]bool
	}{
		{"all nodes are refused", map[string]bool{"": true}},
		{"only the home is", map[string]bool{homeIP(1): true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				oneHome := func() string {
					require.NotEqual(t, s.homes["s1"].IsHome(), s.homes["s2"].IsHome(), "one node is the home")
					for n := 1; n <= 2; n++ {
						c := s.entries[fmt.Sprintf("e%d", n)].base.client
						require.True(t, c.Connected())
						require.True(t, s.homes[c.Home().VM].IsHome())
					}
					return s.entries["e1"].base.client.Home().VM
				}
				s.objects.SetFault(fake.Fault{Down: tc.unreachableFrom})
				s.killHome(1)
				s.startHome(1)
				time.Sleep(3 * time.Second)
				vm := oneHome()
				if !tc.unreachableFrom[""] {
					require.Equal(t, "s2", vm, "it holds the lease")
				}
				s.objects.SetFault(fake.Fault{})
				time.Sleep(2 * time.Second)
				oneHome()
				require.Greater(t, s.entries["e1"].base.client.Home().Term, int64(1))
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 2).status)
				s.awaitJob(2, "j1", 5*time.Second)
			})
		})
	}
}

// The VM of the home is lost for good while the object service is unreachable: another home node acts as
// fallback home.
func TestAnotherHomeNodeActsAsFallback(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
		s.killHome(1)
		time.Sleep(2500 * time.Millisecond)
		require.True(t, s.homes["s2"].IsHome())
		for n := 1; n <= 2; n++ {
			require.Equal(t, "s2", s.entries[fmt.Sprintf("e%d", n)].base.client.Home().VM)
			require.True(t, s.entries[fmt.Sprintf("e%d", n)].base.client.Connected())
			s.requireServed(n, fmt.Sprintf("r%d", n))
		}
		s.objects.SetFault(fake.Fault{})
		time.Sleep(2 * time.Second)
		require.Greater(t, s.entries["e1"].base.client.Home().Term, int64(1))
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 2).status)
		s.awaitJob(2, "j1", 5*time.Second)
	})
}

// Guards against the stale site state on a home node's disk: it is used only while the object service is
// unreachable.
func TestStartPrefersTheObjectService(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.killHome(1)
		s.killHome(2)
		s.writeConfig(7, newRoute)
		s.startHome(1)
		s.startHome(2)
		s.restartEntry(1)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/new/1", "r1", "").status)
	})
}

// Guards against waiting for the VM of the last home, which is down for longer than the starting node's own.
func TestEntryStartsWhileTheHomeIsDown(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.killHome(2)
		for n := 1; n <= 2; n++ {
			s.network.Partition(entryIP(3), entryIP(n))
			s.network.Partition(entryIP(3), homeIP(n))
		}
		s.startEntry(3)
		time.Sleep(150 * time.Millisecond)
		require.True(t, s.entries["e3"].Ready())
	})
}
