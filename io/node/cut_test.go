package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireAllUsed sends streams to an entry and requires that each upstream gets some of them.
func (s *strandedSite) requireAllUsed(entry int, name string) {
	before := make([]int, len(s.engines))
	for i, e := range s.engines {
		before[i] = e.Total()
	}
	var all sync.WaitGroup
	for i := range 24 {
		all.Go(func() {
			id := fmt.Sprintf("%s.%d", name, i)
			require.Equal(s.t, http.StatusOK, s.call(s.t.Context(), entry, http.MethodPost, "/ask/stream/1", id, id).status)
		})
		time.Sleep(time.Millisecond)
	}
	all.Wait()
	for i, e := range s.engines {
		require.Greater(s.t, e.Total(), before[i], "%s: upstream %d is used", name, i)
	}
}

// Guards against upstreams that are paused for all nodes by what entries report in the first second after these have lost
// their links: the requests of a sound entry go on to use every upstream.
func TestFirstFailuresOfCutEntriesPauseNoUpstream(t *testing.T) {
	for _, tc := range []struct {
		name string
		cut  func(s *strandedSite, entry int)
	}{
		{"connections hang", (*strandedSite).cut},
		{"connections are refused", func(s *strandedSite, entry int) { s.eachUpstream(entry, s.network.Refuse) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runStrandedSite(t, func(s *strandedSite) {
				tc.cut(s, 1)
				tc.cut(s, 2)
				for round := range 3 { // one request at a time at each entry, so that each failure stands alone
					for n := 1; n <= 2; n++ {
						id := fmt.Sprintf("cut%d.%d", n, round)
						go s.call(s.t.Context(), n, http.MethodPost, "/once/stream/1", id, id)
					}
					time.Sleep(connectTimeout + 10*time.Millisecond)
					s.requireAllUsed(3, fmt.Sprintf("round%d", round))
				}
			})
		})
	}
}

// Guards against callers of an entry without links that are served badly while the other entries restart one after the
// other, as at a planned change of the software.
func TestEntryWithoutLinksIsServedWhileOthersRestart(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned=%v", planned), func(t *testing.T) {
			runStrandedSite(t, func(s *strandedSite) {
				s.startEntry(4)
				time.Sleep(contact)
				s.cut(1)
				s.traffic("early", contact, 1)
				s.forget()
				restarted := make(chan struct{})
				go func() {
					defer close(restarted)
					for n := 2; n <= 4; n++ {
						if planned {
							<-s.drain(n)
						} else {
							s.killEntry(n)
						}
						time.Sleep(time.Second)
						s.startEntry(n)
						time.Sleep(500 * time.Millisecond)
					}
				}()
				s.traffic("late", strandedTime, 1)
				<-restarted
				s.t.Logf("first attempts served: %.3f of %d", s.share(1), s.sent[1])
				require.Greater(s.t, s.share(1), 0.95)
			})
		})
	}
}

// Guards against a request that runs twice, or whose caller is told that it has not run, because the answer was lost on its
// way from the entry through which it went.
func TestLostAnswerOfACarrierIsNoRefusal(t *testing.T) {
	runStrandedSite(t, func(s *strandedSite) {
		s.cut(1)
		s.traffic("early", contact, 1)
		s.desk.SetPace(400 * time.Millisecond)
		for i := range 5 {
			id := fmt.Sprint("swap", i)
			answered := make(chan reply)
			go func() { answered <- s.call(s.t.Context(), 1, http.MethodPost, "/swap/1", id, "") }()
			time.Sleep(100 * time.Millisecond)
			s.network.PartitionFrom(entryIP(1), []string{entryIP(2), entryIP(3)})
			r := <-answered
			require.Contains(s.t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, r.status)
			require.Equal(s.t, 1, s.runsOf(id))
			for n := 2; n <= 3; n++ {
				s.network.Heal(entryIP(1), entryIP(n))
			}
			time.Sleep(time.Second)
			require.Equal(s.t, 1, s.runsOf(id), "it doesn't run again")
		}
	})
}
