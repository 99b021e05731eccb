package node

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

const (
	// limitWindow is the time over which requests to an upstream are counted, limitSlack how many of them are allowed
	// beside limitExcess times what the upstream's rate allows.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	limitTime   = 20 * time.Second
)

// requireLimit requires that no limited upstream got more requests than allowed, from contact after since on.
func requireLimit(t *testing.T, engines []*fake.Engine, rate float64, since time.Time) {
	allowed := int(limitExcess*rate*limitWindow.Seconds()) + limitSlack
	for i, e := range engines {
		got := e.MostIn(limitWindow, since.Add(contact))
		t.Logf("upstream %d got %d in %s, %d allowed", i, got, limitWindow, allowed)
		require.LessOrEqual(t, got, allowed, "upstream %d", i)
	}
}

// load sends requests of a path to the entries in turn at a rate until the time is over, and returns the shares that were
// answered and refused.
func (s *testSite) load(path, name string, perSecond int, d time.Duration) (answered, refused float64) {
	var all sync.WaitGroup
	var mu sync.Mutex
	n := int(d.Seconds() * float64(perSecond))
	for i := range n {
		all.Go(func() {
			r := s.call(s.t.Context(), 1+i%2, http.MethodPost, path, fmt.Sprintf("%s%d", name, i), "")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status == http.StatusOK && r.complete:
				answered++
			case r.status == http.StatusServiceUnavailable:
				refused++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	all.Wait()
	return answered / float64(n), refused / float64(n)
}

// replaceEngines replaces the engines of the service scribe by others of four slots, which crash on a part of prompts
// if there is one.
func (s *testSite) replaceEngines(count int, poison *fake.Poison) {
	for n, e := range s.engines {
		e.Crash()
		s.objects.RemoveUpstream(fmt.Sprintf("i-%d", n+1))
	}
	s.engines = nil
	s.addEngines("scribe", 11, count, poison)
}

// addEngines starts upstreams of a service and waits until all nodes know of them; the numbers of the new ones begin at
// first.
func (s *testSite) addEngines(service string, first, count int, poison *fake.Poison) {
	for n := first; n < first+count; n++ {
		s.engines = append(s.engines, fake.NewEngine(s.network, fake.EngineOptions{
			ID: fmt.Sprintf("i-%d", n), Service: service, Address: engineIP(n) + ":80", Zone: "z1", Slots: 4, Born: 1,
			Events: eventsOfStream, Pace: pace, Objects: s.objects, Poison: poison, Memory: fake.TokenCapacity,
		}))
	}
	time.Sleep(2 * time.Second)
}

// runLimitSite runs a test with a site of six upstreams of the service scribe, of which some name a limit.
func runLimitSite(t *testing.T, limited int, rate float64, test func(s *testSite)) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.replaceEngines(6, nil)
		for _, e := range s.engines[:limited] {
			e.SetFaults(fake.EngineFaults{Limit: strconv.FormatFloat(rate, 'f', -1, 64)})
		}
		since := time.Now()
		test(s)
		requireLimit(t, s.engines[:limited], rate, since)
	})
}

// submitItems submits more items than the upstreams can run.
func submitItems(s *testSite) {
	for i := range int(limitTime / time.Second) {
		s.submitJob(1, fmt.Sprint("j", i), 40)
		time.Sleep(time.Second)
	}
}

// Guards against upstreams that get more requests than the rate that they have named, whoever sends them.
func TestUpstreamGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	for _, tc := range []struct {
		name    string
		limited int
		rate    float64
		// perSecond is the rate of requests.
		perSecond int
		// least is the least share of the requests that is answered.
		least          float64
		before, during func(s *testSite)
	}{
		{name: "two of six", limited: 2, rate: 3, perSecond: 40, least: 0.9},
		{name: "two of six, one request a second", limited: 2, rate: 1, perSecond: 30, least: 0.9},
		{name: "all", limited: 6, rate: 3, perSecond: 40, least: 0.35},
		{name: "all, one request a second", limited: 6, rate: 1, perSecond: 30, least: 0.15},
		{name: "less than one request a second", limited: 2, rate: 0.3, perSecond: 25, least: 0.9},
		{name: "nothing", limited: 2, rate: 0, perSecond: 25, least: 0.9},
		{name: "items", limited: 4, rate: 1, perSecond: 5, least: 0.95, during: submitItems},
		{name: "items beside many requests", limited: 4, rate: 1, perSecond: 25, least: 0.6, during: submitItems},
		{name: "the home is killed", limited: 4, rate: 1, perSecond: 30, least: 0.5, during: func(s *testSite) {
			time.Sleep(8 * time.Second)
			s.killHome(1)
		}},
		{name: "the home is killed and comes back again and again", limited: 4, rate: 1, perSecond: 30, least: 0.4, during: func(s *testSite) {
			for i := range 4 {
				time.Sleep(4 * time.Second)
				s.killHome(1 + i%2)
				time.Sleep(500 * time.Millisecond)
				s.startHome(1 + i%2)
			}
		}},
		{name: "without a home", limited: 4, rate: 1, perSecond: 30, least: 0.4, before: func(s *testSite) {
			s.killHome(1)
			s.killHome(2)
			time.Sleep(time.Second)
		}},
		{name: "without a home later", limited: 4, rate: 1, perSecond: 30, least: 0.4, during: func(s *testSite) {
			time.Sleep(8 * time.Second)
			s.killHome(1)
			s.killHome(2)
		}},
		{name: "the object service is down", limited: 4, rate: 1, perSecond: 30, least: 0.4, during: func(s *testSite) {
			time.Sleep(5 * time.Second)
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			time.Sleep(time.Second)
			s.killHome(1)
		}},
		{name: "an entry is cut off from the home", limited: 4, rate: 1, perSecond: 30, least: 0.4, during: func(s *testSite) {
			time.Sleep(8 * time.Second)
			s.cutOff(2)
		}},
		{name: "entries start again", limited: 4, rate: 1, perSecond: 30, least: 0.4, during: func(s *testSite) {
			for i := range 4 {
				time.Sleep(4 * time.Second)
				s.restartEntry(1 + i%2)
			}
		}},
		{name: "silent upstreams", limited: 4, rate: 1, perSecond: 20, least: 0.5, during: func(s *testSite) {
			for range 4 {
				time.Sleep(3 * time.Second)
				s.silenceAll(700 * time.Millisecond)
			}
		}},
		{name: "answers that break off", limited: 2, rate: 1, perSecond: 25, least: 0.8, during: func(s *testSite) {
			for range 10 {
				time.Sleep(time.Second)
				s.engines[0].SetFaults(fake.EngineFaults{Limit: "1", BreakAfter: 5})
				time.Sleep(time.Second)
				s.engines[0].SetFaults(fake.EngineFaults{Limit: "1"})
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runLimitSite(t, tc.limited, tc.rate, func(s *testSite) {
				if tc.before != nil {
					tc.before(s)
				}
				var all sync.WaitGroup
				if tc.during != nil {
					all.Go(func() { tc.during(s) })
				}
				answered, refused := s.load("/ask/stream/1", "r", tc.perSecond, limitTime)
				all.Wait()
				t.Logf("answered %.3f, refused %.3f", answered, refused)
				require.GreaterOrEqual(t, answered, tc.least)
			})
		})
	}
}
