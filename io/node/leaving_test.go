package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// leave makes upstream n say in its answers that it is leaving; its entry stays ready.
func (s *testSite) leave(n int) { s.engines[n-1].SetFaults(fake.EngineFaults{Leaving: true}) }

// ask sends streams one after another to an entry node.
func (s *testSite) ask(entry int, prefix string, count int) {
	for i := range count {
		r := s.call(s.t.Context(), entry, http.MethodPost, "/ask/stream/1", fmt.Sprintf("%s%d", prefix, i), "")
		require.Equal(s.t, http.StatusOK, r.status)
		require.True(s.t, r.complete)
	}
}

// askUntilSeen sends streams to entry node 1 until upstream n has run one, so that the node has seen its answer.
func (s *testSite) askUntilSeen(n int) {
	for i := range 20 {
		before := s.engines[n-1].Total()
		for j := range 3 {
			go s.call(s.t.Context(), 1, http.MethodPost, "/ask/stream/1", fmt.Sprintf("seen%d.%d", i, j), "")
		}
		time.Sleep(time.Second)
		if s.engines[n-1].Total() > before {
			return
		}
	}
	require.Fail(s.t, "upstream runs nothing")
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	for _, tc := range []struct {
		name string
		// between happens after the upstream's answer and before the next requests.
		between func(s *testSite)
		// entry is the node that gets the next requests; the answer came to node 1.
		entry int
		// noJobs reports that jobs are not run meanwhile.
		noJobs bool
	}{
		{"node that saw the answer", func(*testSite) {}, 1, false},
		{"another node", func(*testSite) {}, 2, false},
		{"the list still says ready", func(s *testSite) {
			for range 10 {
				s.engines[0].SetState("ready")
				time.Sleep(time.Second)
			}
		}, 2, false},
		{"entry disappears and returns", func(s *testSite) {
			s.objects.RemoveUpstream("i-1")
			time.Sleep(3 * time.Second)
			s.engines[0].SetState("ready")
			time.Sleep(time.Second)
		}, 2, false},
		{"home lost", func(s *testSite) {
			s.killHome(1)
			time.Sleep(3 * time.Second)
		}, 2, false},
		{"home lost and its node restarted", func(s *testSite) {
			s.killHome(1)
			time.Sleep(3 * time.Second)
			s.startHome(1)
			s.killHome(2)
			time.Sleep(3 * time.Second)
		}, 2, false},
		{"all processes restarted", func(s *testSite) {
			s.restartAll()
			time.Sleep(2 * time.Second)
		}, 2, false},
		{"all processes restarted twice", func(s *testSite) {
			for range 2 {
				s.restartAll()
				time.Sleep(2 * time.Second)
			}
		}, 1, false},
		{"all processes restarted while the object service is down", func(s *testSite) {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			s.restartAll()
			time.Sleep(2 * time.Second)
		}, 1, true},
		{"node cut off from the home nodes", func(s *testSite) {
			s.network.Partition(entryIP(1), homeIP(1))
			s.network.Partition(entryIP(1), homeIP(2))
			s.network.Partition(entryIP(1), entryIP(2))
			time.Sleep(time.Second)
		}, 1, false},
		{"home nodes cut off from the object service", func(s *testSite) {
			s.network.Partition(homeIP(1), storeIP)
			s.network.Partition(homeIP(2), storeIP)
			time.Sleep(4 * time.Second)
		}, 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.leave(1)
				s.askUntilSeen(1)
				time.Sleep(time.Second)
				before := s.engines[0].Total()
				tc.between(s)
				s.ask(tc.entry, "next", 6)
				if !tc.noJobs {
					s.submitJob(tc.entry, "j1", 6)
					s.awaitJob(tc.entry, "j1", 18*time.Second)
				}
				require.Equal(t, before, s.engines[0].Total())
			})
		})
	}
}

func TestRefusalOfLeavingUpstreamMarksIt(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.engines[0].SetFaults(fake.EngineFaults{Leaving: true, Refusing: true})
		s.ask(1, "r", 12)
		s.engines[0].SetFaults(fake.EngineFaults{})
		time.Sleep(5 * time.Second) // longer than any pause after a refusal
		s.ask(1, "s", 12)
		require.Zero(t, s.engines[0].Total())
	})
}

func TestRequestsAtALeavingUpstreamGoOn(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.engines[0].SetPace(200 * time.Millisecond)
		long := s.stream(1, "/once/stream/1", "long")
		for i := range 5 {
			s.stream(1, "/ask/stream/1", fmt.Sprintf("r%d", i))
		}
		time.Sleep(50 * time.Millisecond)
		leaving := s.upstreamOf("long")
		leaving.SetFaults(fake.EngineFaults{Leaving: true})
		time.Sleep(time.Second)
		s.ask(1, "next", 6)
		require.True(t, (<-long).complete)
	})
}

func TestNewIncarnationOfLeavingUpstreamIsUsed(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.leave(1)
		s.askUntilSeen(1)
		time.Sleep(time.Second)
		s.engines[0].Crash()
		opts := fake.EngineOptions{
			ID: "i-1", Service: "scribe", Address: engineIP(1) + ":80", Zone: "z1", Slots: 2, Born: 2,
			Events: eventsOfStream, Pace: pace, Objects: s.objects,
		}
		s.engines[0] = fake.NewEngine(s.network, opts)
		time.Sleep(time.Second)
		s.askUntilSeen(1)
	})
}

func TestItemsMarkLeavingUpstreams(t *testing.T) {
	runSiteOf(t, 1, func(t *testing.T, s *testSite) {
		s.leave(1)
		s.submitJob(1, "j1", 12) // all but one item run at node s2, which is not the home
		s.awaitJob(1, "j1", 18*time.Second)
		before := s.engines[0].Total()
		require.Positive(t, before)
		s.ask(1, "r", 6)
		s.submitJob(1, "j2", 12)
		s.awaitJob(1, "j2", 18*time.Second)
		require.Equal(t, before, s.engines[0].Total())
	})
}

func TestServiceWhoseUpstreamsAllLeaveRefusesAtOnce(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for n := range s.engines {
			s.leave(n + 1)
		}
		for n := range s.engines {
			s.askUntilSeenOrRefused(n + 1)
		}
		r := s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", "last", "")
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Less(t, r.took, 100*time.Millisecond)
		require.Zero(t, s.runsOf("last"))
	})
}

// askUntilSeenOrRefused is askUntilSeen for an upstream that may have been seen already.
func (s *testSite) askUntilSeenOrRefused(n int) {
	if s.engines[n-1].Total() == 0 {
		s.askUntilSeen(n)
	}
}
