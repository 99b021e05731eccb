package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// addDesk starts another upstream of the service desk.
func (s *testSite) addDesk(n, slots int) *fake.Engine {
	e := fake.NewEngine(s.network, fake.EngineOptions{
		ID: fmt.Sprintf("i-%d", n), Service: "desk", Address: engineIP(n) + ":80", Zone: "z1", Slots: slots, Born: 1, Pace: pace, Objects: s.objects,
	})
	s.engines = append(s.engines, e)
	return e
}

// Guards against "not run" for a request that runs at a silent upstream while a second attempt can't connect.
func TestRequestThatRunsIsNeverRefused(t *testing.T) {
	for i := range 12 { // which attempt ends first at the deadline is up to the scheduler
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.desk.Silence(20 * time.Second)
				done := s.stream(1, "/fetch/1", "r1")
				time.Sleep(1700 * time.Millisecond)
				s.network.Partition(entryIP(1), engineIP(10))
				s.addDesk(10, 4)
				r := <-done
				require.Equal(t, 1, s.runsOf("r1"))
				require.NotEqual(t, http.StatusServiceUnavailable, r.status)
			})
		})
	}
}

// Guards against an upstream's status that is taken for a promise: only its mark says that it has not run a request, and 421,
// which it sends to requests for another upstream.
func TestStatusAloneIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, unsigned := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d unsigned=%t", status, unsigned), func(t *testing.T) {
				runSite(t, func(t *testing.T, s *testSite) {
					s.desk.SetFaults(fake.EngineFaults{Status: status, Unsigned: unsigned})
					r := s.call(t.Context(), 1, http.MethodPost, "/swap/1", "r1", "")
					require.Equal(t, 1, s.runsOf("r1"))
					require.NotContains(t, []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, r.status)
				})
			})
		}
	}
}

// Guards against a request that waits for a silent upstream until its deadline, since its second attempt failed late.
func TestSearchGoesOnAfterTheSecondAttemptFailed(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		route := newRoute
		route.Attempts = 4
		s.writeConfig(2, route)
		second := s.addDesk(10, 1)
		time.Sleep(time.Second)
		s.desk.Silence(20 * time.Second)
		second.Silence(480 * time.Millisecond)
		other := s.stream(2, "/swap/1", "other") // holds the slot of the second upstream until 500 ms
		time.Sleep(5 * time.Millisecond)
		require.Equal(t, 1, second.Running()+s.desk.Running())
		done := s.stream(1, "/new/1", "r1")
		time.Sleep(30 * time.Millisecond)
		second.SetFaults(fake.EngineFaults{MismatchedID: true})
		time.Sleep(455 * time.Millisecond)
		second.Silence(210 * time.Millisecond) // its attempt fails at 700 ms
		time.Sleep(140 * time.Millisecond)
		s.addDesk(11, 4)
		r := <-done
		<-other
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, "r1 by i-11", r.body)
	})
}

// Guards against giving up a silent upstream for good when the next one refuses, can't be reached or is gone.
func TestSilentUpstreamIsAskedAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		// others makes the other upstreams unable to go on with the stream.
		others func(s *testSite, others []*fake.Engine)
		// started reports that the stream has begun before the silence.
		started bool
	}{
		{"others refuse", func(_ *testSite, others []*fake.Engine) {
			for _, e := range others {
				e.SetFaults(fake.EngineFaults{Refusing: true})
			}
		}, true},
		{"others refuse before the first event", func(_ *testSite, others []*fake.Engine) {
			for _, e := range others {
				e.SetFaults(fake.EngineFaults{Refusing: true})
			}
		}, false},
		{"others have crashed", func(_ *testSite, others []*fake.Engine) {
			for _, e := range others {
				e.Crash()
			}
		}, true},
		{"one other is left, which refuses", func(_ *testSite, others []*fake.Engine) {
			others[0].SetState("draining")
			others[1].SetFaults(fake.EngineFaults{Refusing: true})
			time.Sleep(5 * pace)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				if !tc.started {
					s.silenceAll(silence)
				}
				done := s.stream(1, "/ask/stream/1", "r1")
				time.Sleep(5*pace + pace/2)
				silent := s.upstreamOf("r1")
				var others []*fake.Engine
				for _, e := range s.engines {
					if e != silent {
						others = append(others, e)
					}
				}
				tc.others(s, others)
				if tc.started {
					silent.Silence(silence)
				}
				r := <-done
				require.Equal(t, http.StatusOK, r.status)
				require.True(t, r.complete)
				require.Equal(t, fake.CompleteText("r1", eventsOfStream), fake.TextOf(r.body))
				require.LessOrEqual(t, s.runsOf("r1"), 2)
			})
		})
	}
}

// Guards against connections that close without an answer when an upstream breaks off before its first event.
func TestStreamThatBreaksBeforeItsFirstEventIsAnswered(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for _, e := range s.engines {
			e.SetFaults(fake.EngineFaults{BreakAtHead: true})
		}
		r := s.call(t.Context(), 1, http.MethodPost, "/once/stream/1", "r1", "")
		require.Equal(t, http.StatusBadGateway, r.status)
	})
}

// Guards against searches that hold the budget of retries, so that requests at a breaking upstream can't be repeated.
func TestSearchesLeaveRetriesToOthers(t *testing.T) {
	for _, requests := range []int{4, 30} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.desk.SetState("draining")
				breaking := s.addDesk(11, 1)
				breaking.SetFaults(fake.EngineFaults{MismatchedID: true})
				silent := s.addDesk(10, 60)
				time.Sleep(time.Second)
				breaking.Silence(580 * time.Millisecond)
				silent.Silence(silence)
				var done []<-chan reply
				for i := range requests {
					done = append(done, s.stream(1, "/fetch/1", fmt.Sprintf("r%d", i)))
				}
				for _, d := range done {
					require.Equal(t, http.StatusOK, (<-d).status)
				}
			})
		})
	}
}
