package node

import (
	"cmp"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/home"
	"mothcart/platform/fake"
)

// stream requests a stream in the background.
func (s *testSite) stream(n int, path, id string) <-chan reply {
	done := make(chan reply, 1)
	go func() { done <- s.call(s.t.Context(), n, http.MethodPost, path, id, "") }()
	return done
}

// upstreamOf returns the engine that runs or has run a request.
func (s *testSite) upstreamOf(id string) *fake.Engine {
	for _, e := range s.engines {
		if e.Runs(id) > 0 {
			return e
		}
	}
	require.Fail(s.t, "no engine runs the request", id)
	return nil
}

func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault fake.EngineFaults
	}{
		{"ends inside an event", fake.EngineFaults{BreakAfter: 5}},
		{"sends nothing", fake.EngineFaults{Unresponsive: true}},
		{"answers with another request's ID", fake.EngineFaults{MismatchedID: true}},
		{"has no signature", fake.EngineFaults{Unsigned: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.engines[0].SetFaults(tc.fault)
				for i := range 6 {
					id := fmt.Sprintf("r%d", i)
					r := s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", id, "")
					require.Equal(t, http.StatusOK, r.status)
					require.True(t, r.complete)
					require.Equal(t, fake.CompleteText(id, eventsOfStream), fake.TextOf(r.body))
					require.LessOrEqual(t, s.runsOf(id), 2)
				}
			})
		})
	}
}

func TestStreamThatRunsOnceIsNeverSentTwice(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  fake.EngineFaults
		status int
	}{
		{"breaks off", fake.EngineFaults{BreakAfter: 5}, http.StatusOK},
		{"answers with another request's ID", fake.EngineFaults{MismatchedID: true}, http.StatusBadGateway},
		{"sends nothing", fake.EngineFaults{Unresponsive: true}, http.StatusGatewayTimeout},
		{"answers 503 without saying that it did not run", fake.EngineFaults{Status: http.StatusServiceUnavailable}, http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetFaults(tc.fault)
				}
				r := s.call(t.Context(), 1, http.MethodPost, "/once/stream/1", "r1", "")
				require.Equal(t, tc.status, r.status)
				require.False(t, r.complete && r.status == http.StatusOK, "a broken stream must not look complete")
				require.Equal(t, 1, s.runsOf("r1"))
			})
		})
	}
}

func TestCrashedUpstreamGetsNoRequests(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.engines[0].Crash()
		for i := range 10 {
			r := s.call(t.Context(), 1, http.MethodPost, "/once/stream/1", fmt.Sprintf("r%d", i), "")
			require.Equal(t, http.StatusOK, r.status, "nothing was sent to the crashed upstream")
		}
	})
}

func TestEntryServesWithoutHome(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.killHome(1)
		s.killHome(2)
		for i := range 4 {
			r := s.call(t.Context(), 1+i%2, http.MethodPost, "/ask/stream/1", fmt.Sprintf("r%d", i), "")
			require.Equal(t, http.StatusOK, r.status)
			require.Less(t, r.took, (eventsOfStream+5)*pace)
		}
	})
}

func TestStreamsAndJobsSurviveHomeLoss(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 12).status)
		time.Sleep(700 * time.Millisecond)
		before, _ := s.readJob(2, "j1", 0)
		done := s.stream(1, "/ask/stream/1", "r1")
		time.Sleep(50 * time.Millisecond)
		s.killHome(1)
		r := <-done
		require.True(t, r.complete)
		p := s.awaitJob(2, "j1", 18*time.Second)
		require.Equal(t, before.Results, p.Results[:len(before.Results)], "results keep their positions")
		require.True(t, s.homes["s2"].IsHome())
	})
}

func TestStoppedHomeReleasesLeaseAtOnce(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.homes["s1"].Close()
		delete(s.homes, "s1")
		time.Sleep(500 * time.Millisecond)
		require.True(t, s.homes["s2"].IsHome())
		require.True(t, s.entries["e1"].base.client.Connected())
	})
}

func TestHomeCutOffFromItsPeersKeepsTheLease(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.network.Partition(homeIP(1), homeIP(2))
		time.Sleep(5 * time.Second)
		require.True(t, s.homes["s1"].IsHome(), "the other node sees its renewals in the object service")
		require.False(t, s.homes["s2"].IsHome())
	})
}

func TestHomeCutOffFromTheObjectServiceIsReplaced(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.submitJob(1, "j1", 6)
		s.network.Partition(homeIP(1), storeIP)
		s.network.Partition(homeIP(1), homeIP(2))
		time.Sleep(3 * time.Second)
		require.True(t, s.homes["s2"].IsHome())
		p := s.awaitJob(1, "j1", 18*time.Second)
		s.network.Heal(homeIP(1), storeIP)
		s.network.Heal(homeIP(1), homeIP(2))
		time.Sleep(3 * time.Second)
		require.False(t, s.homes["s1"].IsHome())
		after, _ := s.readJob(2, "j1", 0)
		require.Equal(t, p, after)
	})
}

// A home without the object service may grant a slot of a removed upstream: the entry must reject it.
func TestEntryRejectsGrantOfRemovedUpstream(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.network.Partition(homeIP(1), storeIP)
		s.objects.RemoveUpstream("i-1")
		time.Sleep(2 * time.Second)
		require.True(t, s.entries["e1"].base.client.Connected())
		before := s.engines[0].Total()
		for i := range 6 {
			r := s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", fmt.Sprintf("r%d", i), "")
			require.Equal(t, http.StatusOK, r.status)
		}
		require.Equal(t, before, s.engines[0].Total())
	})
}

func TestDrainingUpstreamGetsNothingNew(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		done := s.stream(1, "/ask/stream/1", "r0")
		time.Sleep(50 * time.Millisecond)
		draining := s.upstreamOf("r0")
		draining.SetState("draining")
		time.Sleep(50 * time.Millisecond)
		for i := 1; i < 6; i++ {
			r := s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", fmt.Sprintf("r%d", i), "")
			require.Equal(t, http.StatusOK, r.status)
		}
		require.True(t, (<-done).complete, "the running stream is completed")
		require.Equal(t, 1, draining.Total())
	})
}

func TestUpstreamsExpiredDuringOutageAreStillUsed(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
		s.objects.Compact()
		time.Sleep(2 * time.Second)
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			s.objects.RemoveUpstream(id)
		}
		time.Sleep(2 * time.Second)
		s.objects.SetFault(fake.Fault{})
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", "r1", "").status)
		for _, e := range s.engines {
			e.SetState("ready")
		}
		time.Sleep(3 * time.Second)
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", "r2", "").status)
	})
}

func TestJobsSurviveRestartOfAllProcesses(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 12).status)
		time.Sleep(600 * time.Millisecond)
		s.killHome(1)
		s.killHome(2)
		for id, e := range s.entries {
			e.Close()
			delete(s.entries, id)
		}
		s.startHome(1)
		s.startHome(2)
		s.startEntry(1)
		s.awaitJob(1, "j1", 18*time.Second)
	})
}

func TestDrainCancelsNoRequest(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		e := s.entries["e1"]
		delete(s.entries, "e1")
		done := s.stream(1, "/ask/stream/1", "r1")
		time.Sleep(50 * time.Millisecond)
		ended := make(chan struct{})
		go func() {
			e.Drain()
			e.Close()
			close(ended)
		}()
		time.Sleep(50 * time.Millisecond)
		require.False(t, e.Ready())
		late := s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", "r2", "")
		require.True(t, late.complete, "requests that arrive before the balancer has noticed are served")
		require.True(t, late.closes)
		require.True(t, (<-done).complete)
		<-ended
	})
}

// An entry node that loses its path to the home, but not to other entry nodes, uses one of them as relay.
func TestEntryReachesHomeThroughAnotherEntry(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		time.Sleep(3 * time.Second)
		s.submitJob(2, "j1", 40)
		for n := 1; n <= 2; n++ {
			s.network.Partition(entryIP(1), homeIP(n))
		}
		s.network.Partition(entryIP(1), storeIP)
		time.Sleep(2 * time.Second)
		require.True(t, s.entries["e1"].base.client.Connected())
		for i := range 4 {
			r := s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", fmt.Sprintf("r%d", i), "")
			require.Equal(t, http.StatusOK, r.status)
			require.Less(t, r.took, (eventsOfStream+3)*pace, "online preempted batch")
		}
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j2", 2).status, "the home writes the job")
		s.awaitJob(1, "j2", 18*time.Second)
		s.writeConfig(2, newRoute)
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/new/1", "r9", "").status)
	})
}

func TestItemsRunAtOtherHomeNodes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(s *testSite)
	}{
		{"no fault", func(*testSite) {}},
		{"a burst of online requests preempts them", func(s *testSite) {
			for i := range 6 {
				s.stream(1, "/ask/stream/1", fmt.Sprintf("r%d", i))
			}
		}},
		{"the runner is killed", func(s *testSite) { s.killHome(2) }},
		{"the home is killed", func(s *testSite) { s.killHome(1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSiteOf(t, 1, func(t *testing.T, s *testSite) {
				s.submitJob(1, "j1", 12)
				time.Sleep(200 * time.Millisecond)
				tc.fault(s)
				p := s.awaitJob(2, "j1", 18*time.Second)
				for _, r := range p.Results {
					require.True(t, r.Completed())
				}
			})
		})
	}
}

// A home that lost the object service has reported the outage to the other nodes; the next home must not
// apply that report to itself.
func TestNextHomeDropsOutageStateOfPrevious(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.network.Partition(homeIP(1), storeIP)
		time.Sleep(6 * time.Second)
		require.True(t, s.homes["s2"].IsHome())
		s.objects.RemoveUpstream("i-1")
		time.Sleep(2 * time.Second)
		before := s.engines[0].Total()
		var streams []<-chan reply
		for i := range 6 {
			streams = append(streams, s.stream(1+i%2, "/ask/stream/1", fmt.Sprintf("r%d", i)))
		}
		for _, done := range streams {
			<-done
		}
		require.Equal(t, before, s.engines[0].Total(), "an upstream removed 2 s ago gets no request, though all others are full")
	})
}

func TestRetiredVMsAreDrained(t *testing.T) {
	for _, tc := range []struct {
		name, vm string
		noEvents bool
	}{
		{"the home", "s1", false},
		{"a node that runs items", "s2", false},
		{"a node that runs items, while watches deliver no events", "s2", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSiteOf(t, 1, func(t *testing.T, s *testSite) {
				s.submitJob(1, "j1", 12)
				time.Sleep(300 * time.Millisecond)
				s.objects.SetFault(fake.Fault{NoWatchEvents: tc.noEvents})
				s.objects.Retire(tc.vm)
				time.Sleep(2 * time.Second)
				if tc.noEvents {
					time.Sleep(2 * time.Second)
				}
				require.True(t, s.objects.Retired(tc.vm))
				require.False(t, s.homes[tc.vm].IsHome())
				s.awaitJob(1, "j1", 18*time.Second)
			})
		})
	}
}

// A replaced home that doesn't know it finishes items and regains the object service: it must record nothing.
func TestReplacedHomeRecordsNothing(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.submitJob(1, "j1", 6)
		time.Sleep(50 * time.Millisecond)
		s.network.Partition(homeIP(1), storeIP)
		s.network.Partition(homeIP(1), homeIP(2))
		for n := 1; n <= 3; n++ {
			s.network.Partition(homeIP(2), engineIP(n))
		}
		time.Sleep(4 * time.Second)
		require.True(t, s.homes["s2"].IsHome())
		require.Equal(t, 6, s.runsOf("j1.0")+s.runsOf("j1.1")+s.runsOf("j1.2")+s.runsOf("j1.3")+s.runsOf("j1.4")+s.runsOf("j1.5"))
		s.network.Heal(homeIP(1), storeIP)
		time.Sleep(time.Second)
		log, err := home.LoadJob(t.Context(), s.entries["e1"].base.objects, "j1")
		require.NoError(t, err)
		p, _ := s.readJob(1, "j1", 0)
		require.Equal(t, log.Len(), p.Next, "the home has all results that are stored")
		s.network.Heal(homeIP(1), homeIP(2))
		for n := 1; n <= 3; n++ {
			s.network.Heal(homeIP(2), engineIP(n))
		}
		s.awaitJob(1, "j1", 18*time.Second)
	})
}

// Items of a lost home resume from their progress, if the next home has checkpoints or reaches the old home.
func TestNextHomeResumesItems(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(s *testSite)
		// within bounds the time until the job is complete; 0 allows for a full run of an item and the loss.
		within time.Duration
	}{
		{"the home stops", func(s *testSite) {
			h := s.homes["s1"]
			delete(s.homes, "s1")
			h.Close()
		}, 0},
		{"the home doesn't reach the object service", func(s *testSite) {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{homeIP(1): true}})
		}, 0},
		{"the home is killed", func(s *testSite) {
			time.Sleep(2 * time.Second) // each item is mostly done
			s.killHome(1)
		}, 2 * time.Second},
		{"the home reaches neither the object service nor the next home", func(s *testSite) {
			s.network.Partition(homeIP(1), storeIP)
			s.network.Partition(homeIP(1), homeIP(2))
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(200 * time.Millisecond)
				}
				s.submitJob(1, "j1", 6)
				time.Sleep(time.Second)
				tc.end(s)
				time.Sleep(2500 * time.Millisecond)
				require.True(t, s.homes["s2"].IsHome())
				for _, e := range s.engines {
					require.LessOrEqual(t, e.Running(), 2, "the old runs have ended")
				}
				s.awaitJob(1, "j1", cmp.Or(tc.within, 6*time.Second))
			})
		})
	}
}

// All processes end at once: items resume from the checkpoints on the disks of the home nodes.
func TestItemsResumeAfterRestartOfAllProcesses(t *testing.T) {
	for _, tc := range []struct {
		name string
		// restarted are the home nodes that are started again.
		restarted []int
	}{
		{"all are restarted", []int{1, 2}},
		{"only the home is", []int{1}},
		{"only its standby is", []int{2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(200 * time.Millisecond) // an item takes 4 s
				}
				s.submitJob(1, "j1", 6)
				time.Sleep(3 * time.Second)
				s.killHome(1)
				s.killHome(2)
				for _, n := range tc.restarted {
					s.startHome(n)
				}
				s.restartEntry(1)
				s.restartEntry(2)
				s.awaitJob(1, "j1", 4*time.Second)
			})
		})
	}
}

// Items end while the object service is unreachable, and then the home is lost: their results are
// recorded without another run.
func TestUnrecordedResultsSurviveHomeLoss(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.submitJob(1, "j1", 6)
		time.Sleep(100 * time.Millisecond)
		s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
		time.Sleep(1500 * time.Millisecond)
		s.killHome(1)
		s.objects.SetFault(fake.Fault{})
		s.awaitJob(1, "j1", 5*time.Second)
		for i := range 6 {
			id := fmt.Sprintf("j1.%d", i)
			require.Equal(t, 1, s.runsOf(id), id)
		}
	})
}

// A home that no node reaches must stop dispatching batch items to the slots that the nodes use.
func TestIsolatedHomeIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		name      string
		partition func(s *testSite)
	}{
		{"it reaches the object service", func(*testSite) {}},
		{"it doesn't", func(s *testSite) { s.network.Partition(homeIP(1), storeIP) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(200 * time.Millisecond)
				}
				s.submitJob(1, "j1", 6)
				time.Sleep(time.Second)
				tc.partition(s)
				for _, ip := range []string{homeIP(2), entryIP(1), entryIP(2)} {
					s.network.Partition(homeIP(1), ip)
				}
				time.Sleep(3500 * time.Millisecond)
				require.False(t, s.homes["s1"].IsHome())
				require.True(t, s.homes["s2"].IsHome())
				require.Equal(t, "s2", s.entries["e1"].base.client.Home().VM)
				for _, e := range s.engines {
					require.LessOrEqual(t, e.Running(), 2, "the old runs have ended")
				}
				s.awaitJob(1, "j1", 6*time.Second)
			})
		})
	}
}

func TestEntryWithoutObjectServiceConnectsToNextHome(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{Down: map[string]bool{homeIP(1): true, entryIP(1): true}})
		time.Sleep(4 * time.Second)
		require.True(t, s.homes["s2"].IsHome())
		require.Equal(t, "s2", s.entries["e1"].base.client.Home().VM)
		require.True(t, s.entries["e1"].base.client.Connected())
	})
}

// An entry without the object service can't read which home follows a lost one: another entry must report it.
func TestEntryLearnsOfTheNextHomeFromAnotherEntry(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		time.Sleep(3 * time.Second)
		s.network.Partition(entryIP(1), storeIP)
		s.killHome(1)
		time.Sleep(3 * time.Second)
		require.True(t, s.homes["s2"].IsHome())
		require.Equal(t, "s2", s.entries["e1"].base.client.Home().VM)
		require.True(t, s.entries["e1"].base.client.Connected())
	})
}

// The revisions that a watch needs are compacted: the home lists its jobs again, but must not reload them.
func TestRelistedJobsAreNotReloaded(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.submitJob(1, "j1", 24)
		time.Sleep(600 * time.Millisecond)
		before := s.objects.Calls()["GET mothcart-results-j1"]
		s.objects.Compact()
		time.Sleep(600 * time.Millisecond)
		require.Equal(t, before, s.objects.Calls()["GET mothcart-results-j1"], "the home already has the results")
		s.submitJob(1, "j2", 2)
		s.awaitJob(1, "j1", 10*time.Second)
		s.awaitJob(1, "j2", 2*time.Second)
	})
}

// A request whose upstream sends nothing may have run and can't be refused any more. While all other
// upstreams are busy, it waits for a slot of one of them.
func TestUnresponsiveUpstreamWhileOthersAreBusy(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.engines[0].SetState("draining")
		time.Sleep(time.Second)
		for _, e := range s.engines[1:] {
			e.SetPace(10 * pace)
		}
		var busy []<-chan reply
		for i := range 4 {
			busy = append(busy, s.stream(1, "/ask/stream/1", fmt.Sprintf("b%d", i)))
		}
		time.Sleep(pace) // these requests get their slots before the unresponsive upstream is ready again
		s.engines[0].SetFaults(fake.EngineFaults{Unresponsive: true})
		s.engines[0].SetState("ready")
		time.Sleep(500 * time.Millisecond)
		waiting := s.stream(1, "/ask/stream/1", "r")
		time.Sleep(1500 * time.Millisecond)
		for _, e := range s.engines[1:] {
			e.SetPace(pace)
		}
		require.Equal(t, http.StatusOK, (<-waiting).status)
		for _, b := range busy {
			require.Equal(t, http.StatusOK, (<-b).status)
		}
	})
}
