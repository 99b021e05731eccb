package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// Guards against streams that are joined from two software versions at an entry, or by a home, that has no news of a version
// which has joined, and sees only the version before.
func TestEntryOutOfStepJoinsNoSoftwareVersions(t *testing.T) {
	one, rest := []string{entryIP(1)}, []string{homeIP(1), homeIP(2), entryIP(2), storeIP}
	withHome, others := []string{entryIP(1), homeIP(1)}, []string{homeIP(2), entryIP(2), storeIP}
	for _, tc := range []struct {
		name string
		// near are out of step with far, whose connections are cut or nothing arrives on them.
		near, far []string
		stalled   bool
	}{
		{"cut off", one, rest, false},
		{"stands still", one, rest, true},
		{"cut off from the nodes", one, rest[:3], false},
		{"cut off with the home", withHome, others, false},
		{"stands still with the home", withHome, others, true},
		{"the home is cut off from the object service", []string{homeIP(1)}, []string{storeIP}, false},
		{"the home gets nothing from the object service", []string{homeIP(1)}, []string{storeIP}, true},
		{"both get nothing from the object service", withHome, []string{storeIP}, true},
	} {
		for _, named := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, the request that began is named: %v", tc.name, named), func(t *testing.T) {
				runSite(t, func(_ *testing.T, s *testSite) {
					time.Sleep(20 * time.Second) // the history of versions is long enough
					leave := s.network.Partition
					if tc.stalled {
						leave = s.network.Stall
					}
					s.release(named, func() { between(tc.near, tc.far, leave) }, func() { between(tc.near, tc.far, s.network.Heal) })
				})
			})
		}
	}
}

// between calls change for each two of near and far.
func between(near, far []string, change func(a, b string)) {
	for _, a := range near {
		for _, b := range far {
			change(a, b)
		}
	}
}

// release breaks streams off at entry 2 and takes them up at entry 1: before a new software version joins, after it has
// joined while entry 1 is out of step, and after it is in step again.
func (s *testSite) release(named bool, leaveStep, inStep func()) {
	const tries, joins, back = 20, 3, 12
	var all sync.WaitGroup
	begun := map[string]bool{}
	answers := map[int]<-chan reply{}
	for i := range tries {
		switch i {
		case joins:
			leaveStep()
			for _, e := range s.engines {
				e.SetState("draining")
			}
			s.addEngine(4, "v2")
		case back:
			inStep()
		}
		time.Sleep(250 * time.Millisecond)
		first, second := fmt.Sprint("r", i), fmt.Sprint("s", i)
		s.breakAfter(5)
		r := s.call(s.t.Context(), 2, http.MethodPost, "/once/stream/1", first, "")
		s.breakAfter(0)
		last := strings.Count(r.body, "\n\n")
		if r.complete || last == 0 {
			continue
		}
		begun[s.versionsOf(first)[0]] = true
		answer := make(chan reply, 1)
		answers[i] = answer
		if !named {
			first = ""
		}
		all.Go(func() { answer <- s.takeUp(1, second, first, last) })
	}
	all.Wait()
	for i, answer := range answers {
		first, second := fmt.Sprint("r", i), fmt.Sprint("s", i)
		if r := <-answer; r.status == http.StatusServiceUnavailable {
			require.Zero(s.t, s.runsOf(second), "a refused request has not run")
		}
		require.Len(s.t, s.versionsOf(first, second), 1, "%s is joined", first)
	}
	require.True(s.t, begun["v2"], "streams began at the new version")
}

// breakAfter lets streams break off after an event; 0 means that none do.
func (s *testSite) breakAfter(last int) {
	for _, e := range s.engines {
		e.SetFaults(fake.EngineFaults{BreakAfter: last})
	}
}
