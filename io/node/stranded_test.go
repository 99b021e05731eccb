package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

const (
	// strandedTime is how long entries are cut off from all upstreams, strandedPause the time between requests at each.
	strandedTime  = 12 * time.Second
	strandedPause = 100 * time.Millisecond
	// strandedEngines is the number of upstreams of the service scribe, from number firstEngine on.
	strandedEngines = 9
	firstEngine     = 11
)

// strandedSite is a site of three entries, some of which are cut off from all upstreams.
type strandedSite struct {
	*testSite

	mu sync.Mutex
	// served and sent count first attempts by entry.
	served, sent map[int]int
}

// runStrandedSite runs a test with entries e1, e2 and e3, nine model engines and a plain service.
func runStrandedSite(t *testing.T, test func(s *strandedSite)) {
	runSite(t, func(_ *testing.T, s *testSite) {
		s.replaceEngines(strandedEngines, nil)
		s.startEntry(3)
		time.Sleep(2 * time.Second)
		test(&strandedSite{testSite: s, served: map[int]int{}, sent: map[int]int{}})
	})
}

// cut partitions an entry from all upstreams.
func (s *strandedSite) cut(entry int) {
	s.network.PartitionFrom(entryIP(entry), upstreamIPs())
}

// eachUpstream calls change for an entry and each upstream.
func (s *strandedSite) eachUpstream(entry int, change func(entryIP, engineIP string)) {
	for _, ip := range upstreamIPs() {
		change(entryIP(entry), ip)
	}
}

func upstreamIPs() []string {
	ips := []string{engineIP(9)}
	for n := firstEngine; n < firstEngine+strandedEngines; n++ {
		ips = append(ips, engineIP(n))
	}
	return ips
}

// traffic sends plain requests and streams to all entries for a while, and counts the first attempts that are served.
func (s *strandedSite) traffic(name string, d time.Duration, entries ...int) {
	var all sync.WaitGroup
	for i := range int(d / strandedPause) {
		for _, n := range entries {
			all.Go(func() {
				id, path := fmt.Sprintf("%s.%d.%d", name, n, i), "/fetch/1"
				if i%2 == 0 {
					path = "/ask/stream/1"
				}
				r := s.call(s.t.Context(), n, http.MethodPost, path, id, id)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.sent[n]++
				if r.status == http.StatusOK && r.complete {
					s.served[n]++
				}
			})
		}
		time.Sleep(strandedPause)
	}
	all.Wait()
}

// forget drops what was counted.
func (s *strandedSite) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.sent)
	clear(s.served)
}

func (s *strandedSite) share(entries ...int) float64 {
	served, sent := 0, 0
	for _, n := range entries {
		served += s.served[n]
		sent += s.sent[n]
	}
	return float64(served) / float64(max(sent, 1))
}

// Guards against entries without links to upstreams whose callers are served worse than others.
func TestCallersOfEntriesWithoutLinksAreServed(t *testing.T) {
	for _, tc := range []struct {
		name string
		// cut are the entries that lose their links, sound the others.
		cut, sound []int
		refuse     bool
		// before happens before the cut, during once it has lasted for contact.
		before, during func(s *strandedSite)
	}{
		{name: "one, connections hang", cut: []int{1}, sound: []int{2, 3}},
		{name: "one, connections are refused", cut: []int{1}, sound: []int{2, 3}, refuse: true},
		{name: "two of three, connections hang", cut: []int{1, 2}, sound: []int{3}},
		{name: "two of three, connections are refused", cut: []int{1, 2}, sound: []int{3}, refuse: true},
		{name: "without a home", cut: []int{1}, sound: []int{2, 3}, before: func(s *strandedSite) {
			s.killHome(1)
			s.killHome(2)
			time.Sleep(time.Second)
		}},
		{name: "the home is replaced", cut: []int{1}, sound: []int{2, 3}, during: func(s *strandedSite) { s.killHome(1) }},
		{name: "the object service is down", cut: []int{1}, sound: []int{2, 3}, during: func(s *strandedSite) {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
		}},
		{name: "a sound entry is gone", cut: []int{1}, sound: []int{2}, during: func(s *strandedSite) { s.killEntry(3) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runStrandedSite(t, func(s *strandedSite) {
				if tc.before != nil {
					tc.before(s)
				}
				all := append(append([]int{}, tc.cut...), tc.sound...)
				for _, n := range tc.cut {
					if tc.refuse {
						s.eachUpstream(n, s.network.Refuse)
					} else {
						s.cut(n)
					}
				}
				go s.traffic("early", contact, all...)
				time.Sleep(contact + 2*time.Second)
				s.forget()
				if tc.during != nil {
					go tc.during(s)
				}
				s.traffic("late", strandedTime, all...)
				cut, sound := s.share(tc.cut...), s.share(tc.sound...)
				s.t.Logf("first attempts served: %.2f where links are lost, %.2f elsewhere", cut, sound)
				require.Greater(s.t, sound, 0.95)
				require.GreaterOrEqual(s.t, cut, sound*2/3)
				for _, n := range tc.cut {
					s.eachUpstream(n, s.network.Heal)
				}
				s.network.Heal(entryIP(1), storeIP)
				time.Sleep(2 * time.Second)
				s.forget()
				s.traffic("after", 2*time.Second, all...)
				require.Greater(s.t, s.share(tc.cut...), 0.95)
			})
		})
	}
}

// Guards against streams that break, or whose events come twice, when their entry loses its links.
func TestStreamsGoOnWhenLinksAreLost(t *testing.T) {
	runStrandedSite(t, func(s *strandedSite) {
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				id := fmt.Sprint("r", i)
				r := s.call(s.t.Context(), 1, http.MethodPost, "/ask/stream/1", id, id)
				require.Equal(s.t, http.StatusOK, r.status)
				require.Equal(s.t, fake.CompleteText(id, eventsOfStream), fake.TextOf(r.body))
			})
		}
		time.Sleep(eventsOfStream * pace / 2)
		s.cut(1)
		all.Wait()
	})
}

// Guards against requests that wait, or run, though no entry has links, and against a refusal that isn't true.
func TestNoEntryHasLinks(t *testing.T) {
	runStrandedSite(t, func(s *strandedSite) {
		for n := 1; n <= 3; n++ {
			s.cut(n)
		}
		s.traffic("early", contact, 1, 2, 3)
		for n := 1; n <= 3; n++ {
			id := fmt.Sprint("late", n)
			r := s.call(s.t.Context(), n, http.MethodPost, "/swap/1", id, "")
			require.Equal(s.t, http.StatusServiceUnavailable, r.status)
			require.Contains(s.t, r.body, "not run")
			require.Less(s.t, r.took, 20*time.Millisecond, "at once")
			require.Zero(s.t, s.runsOf(id))
		}
	})
}

// Guards against an upstream's failure that is taken for another entry's own refusal, so that a request that ran is refused or
// runs again.
func TestFailureBehindACarrierIsNoRefusal(t *testing.T) {
	for _, status := range []int{http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runStrandedSite(t, func(s *strandedSite) {
				s.cut(1)
				s.traffic("early", contact, 1)
				s.desk.SetFaults(fake.EngineFaults{Status: status, Unsigned: true})
				r := s.call(s.t.Context(), 1, http.MethodPost, "/swap/1", "swap", "")
				require.Equal(s.t, 1, s.runsOf("swap"))
				require.NotContains(s.t, []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}, r.status)
			})
		})
	}
}

// Guards against requests that run twice because they went through another entry.
func TestRequestsThatGoThroughAnotherEntryRunOnce(t *testing.T) {
	runStrandedSite(t, func(s *strandedSite) {
		s.cut(1)
		s.traffic("early", contact, 1)
		for i := range 10 {
			id := fmt.Sprint("swap", i)
			require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), 1, http.MethodPost, "/swap/1", id, "").status)
			require.Equal(s.t, 1, s.runsOf(id))
		}
		for _, e := range append(s.engines, s.desk) {
			e.SetFaults(fake.EngineFaults{Status: http.StatusInternalServerError})
		}
		for i := range 10 {
			id := fmt.Sprint("fetch", i)
			r := s.call(s.t.Context(), 1, http.MethodPost, "/fetch/1", id, id)
			require.Equal(s.t, http.StatusInternalServerError, r.status)
			require.LessOrEqual(s.t, s.runsOf(id), 2, "the route allows two attempts")
		}
	})
}
