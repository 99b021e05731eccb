package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// chaosRequests is the number of requests of one seed.
const chaosRequests = 250

// maxRuns bounds the runs of a request by its path.
var maxRuns = map[string]int{"/ask/stream/1": 2, "/once/stream/1": 1, "/fetch/1": 2, "/swap/1": 1}

// misbehave changes how an upstream behaves, most often to what is usual.
func (s *testSite) misbehave(rng *rand.Rand, e *fake.Engine) {
	duration := time.Duration(rng.IntN(1500)) * time.Millisecond
	switch rng.IntN(8) {
	case 0, 1:
		e.Silence(duration)
	case 2:
		s.silenceAll(duration)
	case 3:
		e.SetFaults(fake.EngineFaults{Refusing: true})
	case 4:
		e.SetFaults(fake.EngineFaults{BreakAfter: 1 + rng.IntN(8)})
	default:
		e.SetFaults(fake.EngineFaults{})
	}
}

// sendAmid sends requests of all kinds while upstreams misbehave; some callers leave. It returns the path of each ID.
func (s *testSite) sendAmid(rng *rand.Rand, upstreams []*fake.Engine) map[string]string {
	paths := []string{"/ask/stream/1", "/ask/stream/1", "/once/stream/1", "/fetch/1", "/fetch/1", "/swap/1"}
	sent := make(map[string]string, chaosRequests)
	var ended []chan struct{}
	for i := range chaosRequests {
		id, path, entry := fmt.Sprintf("c%d", i), paths[rng.IntN(len(paths))], 1+rng.IntN(2)
		sent[id] = path
		ctx, cancel := context.WithCancel(s.t.Context())
		if rng.IntN(5) == 0 {
			time.AfterFunc(time.Duration(rng.IntN(1200))*time.Millisecond, cancel)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer cancel()
			s.call(ctx, entry, http.MethodPost, path, id, "")
		}()
		ended = append(ended, done)
		s.misbehave(rng, upstreams[rng.IntN(len(upstreams))])
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
	for _, e := range upstreams {
		e.SetFaults(fake.EngineFaults{})
	}
	for _, done := range ended {
		<-done
	}
	time.Sleep(4 * time.Second)
	return sent
}

// requireAllSlots requires that every slot serves, once trials of upstreams have ended.
func (s *testSite) requireAllSlots(round int) {
	for pass := range 4 {
		var done []<-chan reply
		for i := range 6 {
			done = append(done, s.stream(1+i%2, "/ask/stream/1", fmt.Sprintf("n%d.%d.%d", round, pass, i)))
			done = append(done, s.stream(1+i%2, "/swap/1", fmt.Sprintf("m%d.%d.%d", round, pass, i)))
		}
		for _, d := range done {
			r := <-d
			if pass == 3 {
				require.Equal(s.t, http.StatusOK, r.status)
				require.Less(s.t, r.took, (eventsOfStream+5)*pace)
			}
		}
	}
}

// Guards against slots and attempts that are left behind, and against too many runs, after silences and failures.
func TestSilencesAndFailuresLeaveNothingBehind(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				s.addDesk(10, 2)
				time.Sleep(time.Second)
				upstreams := append(append([]*fake.Engine{}, s.engines...), s.desk)
				for id, path := range s.sendAmid(rand.New(rand.NewPCG(seed, 1)), upstreams) {
					require.LessOrEqual(t, s.runsOf(id), maxRuns[path], "%s %s", path, id)
				}
				for _, e := range upstreams {
					require.Zero(t, e.Running())
				}
				s.requireAllSlots(1)
				s.killHome(1)
				s.killHome(2)
				time.Sleep(3 * time.Second)
				s.requireAllSlots(2)
			})
		})
	}
}
