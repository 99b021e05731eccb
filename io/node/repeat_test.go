package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// deskDown is the time from the crash of an upstream of the service desk to its next start, later than all nodes know.
const deskDown = 3 * time.Second

// badBody is the body on which upstreams crash.
const badBody = "bad"

// runRepeatSite runs a test with three upstreams of the service desk and nine of the service scribe, all of which crash
// on a body. The request with it comes to one path again and again.
func runRepeatSite(t *testing.T, path string, test func(s *poisonSite)) {
	runSite(t, func(t *testing.T, s *testSite) {
		ps := &poisonSite{testSite: s, ends: 3}
		ps.poison = &fake.Poison{Body: badBody, Down: deskDown, Started: ps.started}
		post := func(entry int, id, body string, parts ...string) reply {
			h := http.Header{}
			if strings.Contains(path, "stream") {
				fake.SetParts(h, parts...)
			}
			return s.callWith(s.t.Context(), entry, http.MethodPost, path, id, body, h)
		}
		ps.sendSound = func(entry, i int, id string) reply { return post(entry, id, id, "first", fmt.Sprint("own", i)) }
		ps.sendBad = func(entry, i int) { post(entry, fmt.Sprint("bad.", i), badBody, "first", "ownOfBad") }
		s.desk.Crash()
		s.objects.RemoveUpstream("i-9")
		s.replaceEngines(9, ps.poison)
		s.addEngines("desk", 30, 3, ps.poison)
		defer ps.poison.Stop()
		test(ps)
	})
}

// Guards against a request that crashes upstreams and is sent on each time it comes again.
func TestRequestThatCrashesUpstreamsIsNotSentOnWhenItComesAgain(t *testing.T) {
	const plain, stream = "/fetch/1?page=1", "/ask/stream/1"
	for _, tc := range []struct {
		name, path string
		// before happens before the traffic, during at the same time as the copies of the request.
		before, during func(s *poisonSite)
		// entry chooses the entry of a request; by default they alternate.
		entry func(i int) int
	}{
		{name: "plain, at two entries", path: plain},
		{name: "plain, at one entry", path: plain, entry: func(int) int { return 1 }},
		{name: "plain, once an attempt", path: "/swap/1"},
		{name: "stream", path: stream},
		{name: "stream that can't be taken up", path: "/once/stream/1"},
		{name: "many at the same moment", path: plain, during: func(s *poisonSite) {
			for i := range 10 {
				go s.sendBad(1+i%2, 1000+i)
			}
		}},
		{name: "items beside requests", path: stream, during: func(s *poisonSite) { s.submitJob(1, "j1", 8) }},
		{name: "the home is killed", path: plain, during: func(s *poisonSite) {
			time.Sleep(300 * time.Millisecond)
			s.killHome(1)
		}},
		{name: "the home is killed late", path: plain, during: func(s *poisonSite) {
			time.Sleep(8 * time.Second)
			s.killHome(1)
		}},
		{name: "an entry starts again", path: plain, during: func(s *poisonSite) {
			time.Sleep(8 * time.Second)
			s.restartEntry(1)
		}},
		{name: "all processes start again", path: plain, during: func(s *poisonSite) {
			time.Sleep(8 * time.Second)
			s.restartAll()
		}},
		{name: "an entry is cut off", path: plain, during: func(s *poisonSite) {
			time.Sleep(8 * time.Second)
			s.cutOff(2)
		}},
		{name: "the object service is down", path: plain, during: func(s *poisonSite) {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			time.Sleep(6 * time.Second)
			s.objects.SetFault(fake.Fault{})
		}},
		{name: "without a home", path: plain, before: func(s *poisonSite) {
			s.killHome(1)
			s.killHome(2)
			time.Sleep(time.Second)
		}},
		{name: "the route moves to another service", path: plain, during: func(s *poisonSite) {
			time.Sleep(4 * time.Second)
			moved := routes()
			for i := range moved {
				if moved[i].Name == "fetch" {
					moved[i].Service = "scribe"
				}
			}
			s.objects.Configure(100, moved)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			entry := tc.entry
			if entry == nil {
				entry = func(i int) int { return 1 + i%2 }
			}
			runRepeatSite(t, tc.path, func(s *poisonSite) {
				if tc.before != nil {
					tc.before(s)
				}
				s.traffic(entry, tc.during)
				s.requireStopped()
			})
		})
	}
}

// Guards against refusals that don't say that the request has not run, and against refusals of other requests.
func TestRefusalOfARequestThatCrashesUpstreams(t *testing.T) {
	runRepeatSite(t, "/fetch/1", func(s *poisonSite) {
		for i := range 60 {
			s.sendBad(1+i%2, i)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(deskDown)
		for n := 1; n <= 2; n++ {
			id := fmt.Sprint("late", n)
			r := s.call(s.t.Context(), n, http.MethodPost, "/fetch/1", id, badBody)
			require.Equal(s.t, http.StatusServiceUnavailable, r.status)
			require.Contains(s.t, r.body, "not run")
			require.Less(s.t, r.took, 20*time.Millisecond, "at once")
			require.Zero(s.t, s.runsOf(id))
			after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			require.NoError(s.t, err)
			require.Greater(s.t, after, 60.0, "a return within the next minute is in vain")
			require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), n, http.MethodPost, "/fetch/1", id+"body", "another").status)
			require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), n, http.MethodPost, "/fetch/1", id+"none", "").status)
		}
	})
}
