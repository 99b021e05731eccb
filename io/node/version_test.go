package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// addEngine starts another upstream of the service scribe.
func (s *testSite) addEngine(n int, version string) *fake.Engine {
	e := fake.NewEngine(s.network, fake.EngineOptions{
		ID: fmt.Sprintf("i-%d", n), Service: "scribe", Address: engineIP(n) + ":80", Zone: "z1", Slots: 2, Born: 1, Version: version,
		Events: eventsOfStream, Pace: pace, Objects: s.objects,
	})
	s.engines = append(s.engines, e)
	return e
}

// addNewVersion starts three upstreams of version v2 beside the three of v1, which have more to do.
func (s *testSite) addNewVersion() {
	for n := 4; n <= 6; n++ {
		s.addEngine(n, "v2")
	}
	time.Sleep(time.Second)
}

// killEntry ends the process of an entry node abruptly.
func (s *testSite) killEntry(n int) {
	id := fmt.Sprintf("e%d", n)
	s.network.CloseHost(entryIP(n))
	s.entries[id].Close()
	delete(s.entries, id)
}

// cutOff cuts an entry node off from the home nodes, the other entry node and the object service.
func (s *testSite) cutOff(n int) {
	for _, ip := range []string{homeIP(1), homeIP(2), entryIP(3 - n), storeIP} {
		s.network.Partition(entryIP(n), ip)
	}
	time.Sleep(3 * time.Second)
}

// versionsOf returns the software versions of the upstreams that sent events of any of the requests, in the order of the
// upstreams.
func (s *testSite) versionsOf(ids ...string) []string {
	var out []string
	for _, e := range s.engines {
		for _, id := range ids {
			if len(e.Events(id)) > 0 && (len(out) == 0 || out[len(out)-1] != e.Version()) {
				out = append(out, e.Version())
			}
		}
	}
	return out
}

// takeUp sends the request by which a caller takes up a stream whose first event came with the request first.
func (s *testSite) takeUp(n int, id, first string, last int) reply {
	h := http.Header{}
	fake.TakeUp(h, last, first)
	return s.callWith(s.t.Context(), n, http.MethodPost, "/ask/stream/1", id, "", h)
}

// rest returns the text of a stream from the event after last on.
func rest(id string, last int) string {
	return strings.Join(strings.Split(fake.CompleteText(id, eventsOfStream), "\n")[last:], "\n")
}

// Guards against streams that go on at another software version when mothcart itself resumes them.
func TestOwnResumeKeepsTheSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(e *fake.Engine)
		// before happens before the streams begin.
		before func(s *testSite)
	}{
		{name: "the upstream breaks off", fault: func(e *fake.Engine) { e.SetFaults(fake.EngineFaults{BreakAfter: 5}) }},
		{name: "the upstream crashes", fault: func(e *fake.Engine) {
			time.Sleep(5*pace + pace/2)
			e.Crash()
		}},
		{name: "the upstream is silent", fault: func(e *fake.Engine) {
			time.Sleep(5*pace + pace/2)
			e.Silence(time.Minute)
		}},
		{name: "without a home", fault: func(e *fake.Engine) { e.SetFaults(fake.EngineFaults{BreakAfter: 5}) }, before: func(s *testSite) {
			s.killHome(1)
			s.killHome(2)
			time.Sleep(time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.addNewVersion()
				if tc.before != nil {
					tc.before(s)
				}
				var streams []<-chan reply
				for i := range 10 {
					streams = append(streams, s.stream(1+i%2, "/ask/stream/1", fmt.Sprintf("r%d", i)))
				}
				tc.fault(s.engines[0])
				for i, done := range streams {
					id := fmt.Sprintf("r%d", i)
					r := <-done
					require.Equal(t, http.StatusOK, r.status)
					require.True(t, r.complete, id)
					require.Equal(t, fake.CompleteText(id, eventsOfStream), fake.TextOf(r.body))
					require.Len(t, s.versionsOf(id), 1, id)
				}
			})
		})
	}
}

// Guards against streams that go on at another software version when their callers take them up.
func TestCallersReturnKeepsTheSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		name string
		// between happens after the first try has been broken off.
		between func(s *testSite)
		// entry gets the second try; the first was at entry 1.
		entry int
		// refused reports that the second try may be refused, since no node knows where the stream began.
		refused bool
	}{
		{name: "at the same entry", entry: 1},
		{name: "at another entry", entry: 2},
		{name: "after the first entry has ended", entry: 2, between: func(s *testSite) { s.killEntry(1) }},
		{name: "after the first entry has started again", entry: 1, between: func(s *testSite) {
			s.restartEntry(1)
			time.Sleep(time.Second)
		}},
		{name: "after the home has ended", entry: 2, between: func(s *testSite) {
			s.killHome(1)
			time.Sleep(2 * time.Second)
		}},
		{name: "after the first entry and then the home have ended", entry: 2, between: func(s *testSite) {
			s.killEntry(1)
			time.Sleep(time.Second)
			s.killHome(1)
			time.Sleep(2 * time.Second)
		}},
		{name: "after the home and then the first entry have ended", entry: 2, between: func(s *testSite) {
			s.killHome(1)
			time.Sleep(2 * time.Second)
			s.killEntry(1)
		}},
		{name: "after all processes have ended", entry: 2, refused: true, between: func(s *testSite) {
			s.killHome(1)
			s.killHome(2)
			s.killEntry(1)
			s.killEntry(2)
			s.startHome(1)
			s.startHome(2)
			s.startEntry(1)
			s.startEntry(2)
			time.Sleep(2 * time.Second)
		}},
		{name: "at an entry that is cut off from the home", entry: 2, refused: true, between: func(s *testSite) { s.cutOff(2) }},
		{name: "at the first entry, cut off from the home", entry: 1, between: func(s *testSite) { s.cutOff(1) }},
		{name: "while the object service is down", entry: 2, between: func(s *testSite) {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			time.Sleep(3 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.addNewVersion()
				const last = 10
				s.breakStreams(10, last)
				if tc.between != nil {
					tc.between(s)
				}
				for i := range 10 {
					s.requireTakenUp(tc.entry, fmt.Sprintf("r%d", i), fmt.Sprintf("s%d", i), last, tc.refused)
				}
			})
		})
	}
}

// breakStreams lets a number of streams at entry 1, r0, r1 and so on, break off after the last event.
func (s *testSite) breakStreams(count, last int) {
	for _, e := range s.engines {
		e.SetFaults(fake.EngineFaults{BreakAfter: last / 2}) // of the first attempt, and of the one that resumes it
	}
	for i := range count {
		r := s.call(s.t.Context(), 1, http.MethodPost, "/ask/stream/1", fmt.Sprintf("r%d", i), "")
		require.False(s.t, r.complete)
		require.Equal(s.t, last, strings.Count(r.body, "\n\n"))
	}
	for _, e := range s.engines {
		e.SetFaults(fake.EngineFaults{})
	}
}

// requireTakenUp takes a stream up and requires that it goes on at the version that began it, or that it is refused at
// once where that is allowed.
func (s *testSite) requireTakenUp(entry int, first, second string, last int, mayRefuse bool) {
	r := s.takeUp(entry, second, first, last)
	if mayRefuse && r.status == http.StatusServiceUnavailable {
		require.Zero(s.t, s.runsOf(second), "a refused request has not run")
		require.Less(s.t, r.took, 100*time.Millisecond, "it is refused at once")
		return
	}
	require.Equal(s.t, http.StatusOK, r.status, second)
	require.True(s.t, r.complete, second)
	require.Equal(s.t, rest(second, last), fake.TextOf(r.body))
	require.Len(s.t, s.versionsOf(first, second), 1, "%s and %s", first, second)
}

// Guards against guesses where a request can't tell, or nobody knows, at which software version its stream began.
func TestStreamOfUnknownOriginIsNotContinuedAtAGuess(t *testing.T) {
	for _, tc := range []struct {
		name, first string
		versions    int
		status      int
	}{
		{"no header, one version", "", 1, http.StatusOK},
		{"unknown ID, one version", "unknown", 1, http.StatusOK},
		{"no header, two versions", "", 2, http.StatusServiceUnavailable},
		{"unknown ID, two versions", "unknown", 2, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				if tc.versions > 1 {
					s.addNewVersion()
				}
				time.Sleep(time.Minute)
				r := s.takeUp(2, "r1", tc.first, 5)
				require.Equal(t, tc.status, r.status)
				require.Less(t, r.took, time.Second)
				if tc.status != http.StatusOK {
					require.Zero(t, s.runsOf("r1"))
					require.Contains(t, r.body, "not run")
				}
			})
		})
	}
}

// Guards against waits, and against another version, when the last upstream of a stream's software version has left.
func TestStreamIsToldAtOnceThatItsVersionHasLeft(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.addNewVersion()
		old := s.engines[:3]
		for _, e := range old {
			e.SetPace(5 * pace)
		}
		var streams []<-chan reply
		for i := range 12 {
			streams = append(streams, s.stream(1, "/ask/stream/1", fmt.Sprintf("r%d", i)))
		}
		time.Sleep(6 * pace)
		for _, e := range old {
			e.SetState("draining")
		}
		time.Sleep(time.Second)
		for _, e := range old {
			e.Crash()
		}
		broken := 0
		for i, done := range streams {
			id := fmt.Sprintf("r%d", i)
			r := <-done
			require.Len(t, s.versionsOf(id), 1, id)
			if r.complete {
				continue
			}
			broken++
			require.Less(t, r.took, 1500*time.Millisecond, "told at once")
			back := s.takeUp(2, "s"+id, id, strings.Count(r.body, "\n\n"))
			require.Equal(t, http.StatusServiceUnavailable, back.status)
			require.Contains(t, back.body, "software version")
			require.Less(t, back.took, 100*time.Millisecond)
		}
		require.Positive(t, broken)
	})
}

// Guards against a stream that goes on at a new process with the ID of its upstream but another software version.
func TestNewIncarnationOfAnotherVersionIsAnotherUpstream(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		done := s.stream(1, "/ask/stream/1", "r1")
		time.Sleep(5*pace + pace/2)
		old := s.upstreamOf("r1")
		for _, e := range s.engines {
			if e != old {
				e.SetState("draining")
			}
		}
		time.Sleep(pace)
		old.Crash()
		<-done
		for i, e := range s.engines {
			if e == old {
				s.engines[i] = fake.NewEngine(s.network, fake.EngineOptions{
					ID: fmt.Sprintf("i-%d", i+1), Service: "scribe", Address: engineIP(i+1) + ":80", Zone: "z1", Slots: 2, Born: 2, Version: "v2",
					Events: eventsOfStream, Pace: pace, Objects: s.objects,
				})
			}
		}
		time.Sleep(time.Second)
		require.Equal(t, http.StatusServiceUnavailable, s.takeUp(2, "s1", "r1", 5).status)
		require.Equal(t, http.StatusOK, s.call(t.Context(), 2, http.MethodPost, "/ask/stream/1", "n1", "").status, "new streams begin there")
	})
}

// Guards against items of jobs whose text joins events of two software versions.
func TestItemsKeepTheirSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		name string
		// during happens while the items run.
		during func(s *testSite)
	}{
		{"preempted by online requests", func(s *testSite) {
			for i := range 24 {
				s.stream(1+i%2, "/ask/stream/1", fmt.Sprintf("r%d", i))
				time.Sleep(pace)
			}
		}},
		{"upstreams crash", func(s *testSite) {
			s.engines[0].Crash()
			s.engines[5].Crash()
		}},
		{"the home stops", func(s *testSite) {
			h := s.homes["s1"]
			delete(s.homes, "s1")
			h.Close()
		}},
		{"the home is killed", func(s *testSite) {
			time.Sleep(600 * time.Millisecond)
			s.killHome(1)
		}},
		{"all processes end", func(s *testSite) {
			time.Sleep(time.Second)
			s.restartAll()
		}},
		{"the old version leaves", func(s *testSite) {
			for _, e := range s.engines[:3] {
				e.SetState("draining")
			}
			time.Sleep(200 * time.Millisecond)
			for _, e := range s.engines[:3] {
				e.Crash()
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.addNewVersion()
				for _, e := range s.engines {
					e.SetPace(100 * time.Millisecond) // an item takes 2 s
				}
				const items = 12
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", items).status)
				time.Sleep(700 * time.Millisecond)
				tc.during(s)
				s.awaitJob(2, "j1", 30*time.Second)
				for i := range items {
					s.requireOneVersion(fake.ItemID("j1", i))
				}
			})
		})
	}
}

// requireOneVersion checks that no run of an item went on from an event that another software version had sent.
func (s *testSite) requireOneVersion(item string) {
	versions := map[string]bool{}
	fromStart := map[string]bool{}
	for _, e := range s.engines {
		if events := e.Events(item); len(events) > 0 {
			versions[e.Version()] = true
			fromStart[e.Version()] = fromStart[e.Version()] || events[0] == 1
		}
	}
	for v := range versions {
		require.True(s.t, fromStart[v], "%s: version %s went on without having begun", item, v)
	}
}
