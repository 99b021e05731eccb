package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// silence is how long upstreams send nothing in these tests: shorter than any caller's limit, and longer than
// the time after which a request that may be repeated is sent to another upstream.
const silence = time.Second

// silenceAll makes all upstreams send nothing for a time.
func (s *testSite) silenceAll(d time.Duration) {
	for _, e := range append(s.engines, s.desk) {
		e.Silence(d)
	}
}

// Guards against requests that end without an answer because their upstream was silent for less than the limit.
func TestSilentUpstreamStillAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		// faults are those of the plain service.
		faults fake.EngineFaults
		// before happens before the request is sent, during while its upstream is silent.
		before, during func(s *testSite)
	}{
		{name: "plain request before the headers", path: "/fetch/1"},
		{name: "plain request between headers and body", path: "/fetch/1", faults: fake.EngineFaults{HeadFirst: true}},
		{name: "plain request that must run once", path: "/swap/1"},
		{name: "stream before its first event", path: "/ask/stream/1"},
		{name: "stream that must run once", path: "/once/stream/1"},
		{name: "plain request while its route is dropped", path: "/new/1", before: func(s *testSite) { s.writeConfig(2, newRoute) }, during: func(s *testSite) { s.writeConfig(3) }},
		{name: "plain request while its route moves to another service", path: "/new/1", before: func(s *testSite) { s.writeConfig(2, newRoute) }, during: func(s *testSite) {
			moved := newRoute
			moved.Service = "scribe"
			s.writeConfig(3, moved)
		}},
		{name: "plain request while its time limit shrinks", path: "/new/1", before: func(s *testSite) { s.writeConfig(2, newRoute) }, during: func(s *testSite) {
			shorter := newRoute
			shorter.Timeout = 500 * time.Millisecond
			s.writeConfig(3, shorter)
		}},
		{name: "plain request while the home is lost", path: "/fetch/1", during: func(s *testSite) { s.killHome(1) }},
		{name: "plain request without a home", path: "/fetch/1", before: func(s *testSite) {
			s.killHome(1)
			s.killHome(2)
		}},
		{name: "stream without a home", path: "/ask/stream/1", before: func(s *testSite) {
			s.killHome(1)
			s.killHome(2)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				if tc.before != nil {
					tc.before(s)
					time.Sleep(time.Second)
				}
				s.desk.SetFaults(tc.faults)
				s.silenceAll(silence)
				done := s.stream(1, tc.path, "r1")
				time.Sleep(200 * time.Millisecond)
				if tc.during != nil {
					tc.during(s)
				}
				r := <-done
				require.Equal(t, http.StatusOK, r.status)
				require.True(t, r.complete)
				require.Less(t, r.took, silence+(eventsOfStream+5)*pace, "the answer follows the end of the silence")
			})
		})
	}
}

// Guards against streams that are cut because all upstreams were silent for a while, also the tenth time.
func TestSilenceCutsNoStream(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for round := range 12 {
			var streams []<-chan reply
			for i := range 6 {
				streams = append(streams, s.stream(1+i%2, "/ask/stream/1", fmt.Sprintf("r%d.%d", round, i)))
			}
			time.Sleep(5*pace + pace/2)
			s.silenceAll(silence)
			for i, done := range streams {
				id := fmt.Sprintf("r%d.%d", round, i)
				r := <-done
				require.Equal(t, http.StatusOK, r.status, id)
				require.True(t, r.complete, id)
				require.Equal(t, fake.CompleteText(id, eventsOfStream), fake.TextOf(r.body))
				require.LessOrEqual(t, s.runsOf(id), 2)
			}
		}
	})
}

// Guards against giving up a silent upstream for others that are busy for longer than its silence lasts.
func TestStreamGoesOnAtItsUpstreamWhileOthersAreBusy(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		var busy []<-chan reply
		for i := range 6 {
			busy = append(busy, s.stream(1, "/ask/stream/1", fmt.Sprintf("b%d", i)))
		}
		time.Sleep(5*pace + pace/2)
		for _, e := range s.engines[1:] {
			e.SetPace(100 * time.Millisecond) // their streams take 1.5 s more
		}
		s.engines[0].Silence(silence)
		for i, done := range busy {
			r := <-done
			require.True(t, r.complete, "stream %d", i)
			require.Equal(t, 1, s.runsOf(fmt.Sprintf("b%d", i)))
		}
	})
}

// Guards against upstreams that stay paused after they have gone on.
func TestSilenceThatEndsPausesNoUpstream(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		var streams []<-chan reply
		for i := range 6 {
			streams = append(streams, s.stream(1, "/ask/stream/1", fmt.Sprintf("r%d", i)))
		}
		time.Sleep(5*pace + pace/2)
		s.silenceAll(silence)
		for _, done := range streams {
			require.True(t, (<-done).complete)
		}
		for i := range 6 {
			streams[i] = s.stream(2, "/ask/stream/1", fmt.Sprintf("n%d", i))
		}
		for _, done := range streams {
			r := <-done
			require.Equal(t, http.StatusOK, r.status)
			require.Less(t, r.took, (eventsOfStream+5)*pace)
		}
	})
}

// Guards against dropping the first upstream's answer because another upstream was tried meanwhile.
func TestFirstAnswerIsTakenAfterTheSecondAttemptBegan(t *testing.T) {
	for _, tc := range []struct {
		name string
		// second is how the upstream of the second attempt misbehaves.
		second fake.EngineFaults
		// silent is how long it is silent.
		silent time.Duration
		want   string
	}{
		{name: "the second is silent too", silent: 10 * time.Second, want: "r1 by i-9"},
		{name: "the second fails", second: fake.EngineFaults{Status: http.StatusInternalServerError}, want: "r1 by i-9"},
		{name: "the second refuses", second: fake.EngineFaults{Refusing: true}, want: "r1 by i-9"},
		{name: "the second answers first", want: "r1 by i-10"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.desk.Silence(silence)
				done := s.stream(1, "/fetch/1", "r1")
				time.Sleep(100 * time.Millisecond)
				second := s.addDesk(10, 4)
				second.SetFaults(tc.second)
				second.Silence(tc.silent)
				r := <-done
				require.Equal(t, http.StatusOK, r.status)
				require.Equal(t, tc.want, r.body)
				require.Equal(t, fake.Signature("r1"), fake.SignatureOf(r.header))
				time.Sleep(time.Second)
				require.Zero(t, s.desk.Running()+second.Running(), "no attempt goes on without its caller")
			})
		})
	}
}

// Guards against attempts that go on after the caller has gone while two upstreams are silent.
func TestCallerGoneEndsBothAttempts(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		second := s.addDesk(10, 4)
		time.Sleep(time.Second)
		s.silenceAll(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		go s.call(ctx, 1, http.MethodPost, "/fetch/1", "r1", "")
		time.Sleep(600 * time.Millisecond)
		require.Equal(t, 2, s.runsOf("r1"))
		cancel()
		time.Sleep(200 * time.Millisecond)
		require.Zero(t, s.desk.Running()+second.Running())
	})
}

// Guards against a silent stream that never moves although another upstream has a free slot.
func TestSilentStreamMovesToAFreeUpstream(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		done := s.stream(1, "/ask/stream/1", "r1")
		time.Sleep(5*pace + pace/2)
		silent := s.upstreamOf("r1")
		silent.Silence(time.Minute)
		r := <-done
		require.True(t, r.complete)
		require.Equal(t, fake.CompleteText("r1", eventsOfStream), fake.TextOf(r.body))
		require.Less(t, r.took, time.Second)
		require.Zero(t, silent.Running(), "the silent upstream is left before the next one begins")
	})
}
