package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/home"
	"mothcart/platform/fake"
)

func TestConfigurationIsAppliedWithoutWatchEvents(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{NoWatchEvents: true})
		s.writeConfig(2, newRoute)
		time.Sleep(2 * time.Second)
		for n := 1; n <= 2; n++ {
			require.Equal(t, http.StatusOK, s.call(t.Context(), n, http.MethodPost, "/new/1", fmt.Sprintf("r%d", n), "").status)
		}
		s.writeConfig(1)
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/new/1", "r3", "").status, "an older version is not applied")
	})
}

// Guards against jobs that never run because the home's watch of jobs delivers nothing: the accepting node
// or a node that is asked for results notifies the home.
func TestJobsRunWithoutWatchEvents(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{NoWatchEvents: true})
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
		s.awaitJob(2, "j1", 4*time.Second)
		listed := s.objects.Calls()["GET "+home.KindJobs]
		for range 10 {
			_, status := s.readJob(1, "j1", 0)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(400 * time.Millisecond)
		}
		require.Equal(t, listed, s.objects.Calls()["GET "+home.KindJobs], "a home that has loaded its jobs reads none of them again")
	})
}

// Guards against a change of the home because of late writes. Every third write is executed 2 s late and
// never answered: the home can still confirm its lease, so that no reader goes directly to the object
// service, and jobs are accepted and their results recorded.
func TestLateWritesCauseNoHomeChange(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j", 2).status)
		s.awaitJob(1, "j", 2*time.Second)
		read := s.objects.Calls()["GET mothcart-results-j"]
		s.objects.SetFault(fake.Fault{LateEvery: 3})
		for i := range 50 {
			if i%10 == 0 {
				require.Equal(t, http.StatusAccepted, s.submitJob(1+i%2, fmt.Sprintf("j%d", i), 2).status)
			}
			time.Sleep(100 * time.Millisecond)
			_, status := s.readJob(1+i%2, "j", 0)
			require.Equal(t, http.StatusOK, status)
			require.True(t, s.homes["s1"].IsHome())
		}
		require.Equal(t, read, s.objects.Calls()["GET mothcart-results-j"], "no results are read directly from the object service")
		for i := range 5 {
			s.awaitJob(1, fmt.Sprintf("j%d", 10*i), 5*time.Second)
		}
	})
}

func TestLostWriteAnswersLoseAndDuplicateNothing(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{LoseAnswers: 3})
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
		s.objects.SetFault(fake.Fault{LoseAnswers: 5})
		p := s.awaitJob(2, "j1", 18*time.Second)
		require.Equal(t, 4, p.Next)
	})
}

// Guards against a job that is refused with the promise not to run, and runs: a write that may have had effect, followed by
// writes that were refused.
func TestJobThatMayExistIsNotRefused(t *testing.T) {
	refused := []fake.Fate{fake.Refused}
	for _, tc := range []struct {
		name        string
		entry, home []fake.Fate
		status      int
	}{
		{"all refused", refused, refused, http.StatusServiceUnavailable},
		{"the entry's first applied", []fake.Fate{fake.AppliedAndReset, fake.Refused}, refused, http.StatusAccepted},
		{"the entry's third applied", []fake.Fate{fake.Refused, fake.Refused, fake.AppliedAndReset, fake.Refused}, refused, http.StatusAccepted},
		{"the entry's first applied late", []fake.Fate{fake.AppliedLate, fake.Refused}, refused, http.StatusGatewayTimeout},
		{"the entry's first lost", []fake.Fate{fake.Lost, fake.Refused}, refused, http.StatusGatewayTimeout},
		{"the home's first applied", refused, []fake.Fate{fake.AppliedAndReset, fake.Refused}, http.StatusAccepted},
		{"the home's third applied late", refused, []fake.Fate{fake.Refused, fake.Refused, fake.AppliedLate, fake.Refused}, http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{entryIP(1): tc.entry, homeIP(1): tc.home}})
				r := s.submitJob(1, "j1", 2)
				s.objects.SetFault(fake.Fault{})
				time.Sleep(10 * time.Second)
				if r.status == http.StatusServiceUnavailable {
					require.Zero(t, s.runsOf("j1.0"), "a refused job never runs")
				}
				if r.status == http.StatusAccepted {
					s.awaitJob(2, "j1", time.Second)
				}
				require.Equal(t, tc.status, r.status)
			})
		})
	}
}

func TestJobsResumeAfterObjectServiceOutage(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 12).status)
		time.Sleep(600 * time.Millisecond)
		s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
		time.Sleep(1500 * time.Millisecond)
		r := s.submitJob(1, "j2", 1)
		require.Equal(t, http.StatusGatewayTimeout, r.status, "the home's lease has expired")
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/ask/stream/1", "r1", "").status, "online requests are still served")
		time.Sleep(2500 * time.Millisecond)
		_, status := s.readJob(1, "j1", 0)
		require.Equal(t, http.StatusServiceUnavailable, status, "no node can confirm a job's state")
		s.objects.SetFault(fake.Fault{})
		s.awaitJob(1, "j1", 10*time.Second)
		require.Zero(t, s.runsOf("j2.0"), "a refused job never runs")
	})
}

// Guards against nodes that consider an outage of the object service unfinished after its end, depending on
// whether the object service or the home that sends them changes reaches them first. The test tries outages
// of many lengths, so that either comes first.
func TestAllNodesRecordEndOfOutage(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for length := 1500 * time.Millisecond; length < 4*time.Second; length += 90 * time.Millisecond {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			time.Sleep(length)
			s.objects.SetFault(fake.Fault{})
			time.Sleep(2 * time.Second)
			for id, e := range s.entries {
				require.False(t, e.base.objectsDown(), "%s after %s", id, length)
			}
			for id, h := range s.homes {
				require.False(t, h.base.objectsDown(), "%s after %s", id, length)
			}
		}
	})
}

// Guards against a refusal by a node that does not know, or does not ask, that an earlier attempt may still store the job.
func TestJobInDoubtIsRefusedByNoNode(t *testing.T) {
	refused := []fake.Fate{fake.Refused}
	doubtful := func(s *testSite) {
		s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused, entryIP(1): {fake.AppliedLate, fake.Refused}}})
	}
	for _, tc := range []struct {
		name string
		// do puts job j1 in doubt at entry 1 and returns what entry 2 answers then.
		do     func(t *testing.T, s *testSite) reply
		status int
		ran    bool
	}{
		{"refused everywhere, no doubt", func(_ *testing.T, s *testSite) reply {
			s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused}})
			s.submitJob(1, "j1", 2)
			return s.submitJob(2, "j1", 2)
		}, http.StatusServiceUnavailable, false},
		{"in doubt, then refused", func(t *testing.T, s *testSite) reply {
			doubtful(s)
			require.Equal(t, http.StatusGatewayTimeout, s.submitJob(1, "j1", 2).status)
			s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused}})
			go s.submitJob(1, "j1", 2) // the same node is asked too
			return s.submitJob(2, "j1", 2)
		}, http.StatusAccepted, true},
		{"in doubt, then no room", func(t *testing.T, s *testSite) reply {
			s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused, entryIP(1): {fake.Lost, fake.Refused}}})
			require.Equal(t, http.StatusGatewayTimeout, s.submitJob(1, "j1", 60).status)
			s.objects.SetFault(fake.Fault{})
			time.Sleep(6 * time.Second) // the room reserved for it is free again
			require.Equal(t, http.StatusAccepted, s.submitJob(2, "j2", 80).status)
			return s.submitJob(2, "j1", 60)
		}, http.StatusGatewayTimeout, false},
		{"the caller leaves during the write", func(t *testing.T, s *testSite) reply {
			doubtful(s)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			require.Zero(t, s.call(ctx, 1, http.MethodPost, "/lot/1", "j1", string(fake.JobBody("j1", 2, []byte("draft")))).status)
			return s.submitJob(2, "j1", 2)
		}, http.StatusGatewayTimeout, true},
		{"the home ends while it writes the job", func(t *testing.T, s *testSite) reply {
			s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused, homeIP(1): {fake.AppliedLate, fake.Refused}}})
			time.AfterFunc(300*time.Millisecond, func() { s.killHome(1) })
			return s.submitJob(1, "j1", 2)
		}, http.StatusGatewayTimeout, true},
		{"the link to the home ends while it writes the job", func(t *testing.T, s *testSite) reply {
			s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused, homeIP(1): {fake.AppliedLate, fake.Refused}}})
			time.AfterFunc(300*time.Millisecond, func() { s.network.Partition(entryIP(1), homeIP(1)) })
			return s.submitJob(1, "j1", 2)
		}, http.StatusGatewayTimeout, true},
		{"in doubt, then another home", func(t *testing.T, s *testSite) reply {
			s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused, entryIP(1): {fake.Lost, fake.Refused}}})
			require.Equal(t, http.StatusGatewayTimeout, s.submitJob(1, "j1", 2).status)
			s.killHome(1)
			time.Sleep(5 * time.Second)
			return s.submitJob(2, "j1", 2)
		}, http.StatusGatewayTimeout, false},
		{"no home", func(_ *testing.T, s *testSite) reply {
			s.killHome(1)
			s.killHome(2)
			time.Sleep(time.Second)
			s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused}})
			return s.submitJob(2, "j1", 2)
		}, http.StatusGatewayTimeout, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				r := tc.do(t, s)
				s.objects.SetFault(fake.Fault{})
				require.Equal(t, tc.status, r.status)
				if r.status != http.StatusAccepted {
					require.NotEmpty(t, r.header.Get("Retry-After"))
				}
				time.Sleep(10 * time.Second)
				require.Equal(t, tc.ran, s.runsOf("j1.0") > 0)
			})
		})
	}
}

// Guards against an end of a job that is answered as not done though it may have been.
func TestEndOfAJobThatMayHaveEndedIsNotRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fault  fake.Fault
		status int
	}{
		{"no call reaches the object service", fake.Fault{Down: map[string]bool{"": true}}, http.StatusServiceUnavailable},
		{"no write is answered", fake.Fault{LoseAnswers: 1000}, http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
				s.objects.SetFault(tc.fault)
				r := s.call(t.Context(), 1, http.MethodDelete, "/lots/j1", "r", "")
				require.Equal(t, tc.status, r.status)
				require.NotEmpty(t, r.header.Get("Retry-After"))
			})
		})
	}
}

// Guards against a refusal of a job that exists, by a home that does not hold it since all its items have results or since
// it was ended.
func TestJobThatExistsIsAcceptedAgainWithoutRoom(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  bool
	}{{"complete", false}, {"ended", true}} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
				s.awaitJob(1, "j1", 5*time.Second)
				if tc.end {
					require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodDelete, "/lots/j1", "r", "").status)
				}
				time.Sleep(3 * time.Second)
				s.killHome(1)
				time.Sleep(5 * time.Second)
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j2", 98).status)
				require.Equal(t, http.StatusTooManyRequests, s.submitJob(1, "j3", 4).status, "there is no room")
				require.Equal(t, http.StatusAccepted, s.submitJob(2, "j1", 4).status)
			})
		})
	}
}
