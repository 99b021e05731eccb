package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

const (
	// minSilence and maxSilence bound how long an engine sends nothing; both are far below routeTimeout.
	minSilence, maxSilence = 800 * time.Millisecond, 1300 * time.Millisecond
	// silenceCallers leaves some slots of each service free.
	silenceCallers = 5
)

// silences makes one engine or all engines of one or both services fall silent until stop is closed, with changes of
// the configuration before and during the silence. It returns the number of silences.
func (s *site) silences(rng *rand.Rand, stop <-chan struct{}) int {
	for n := 0; ; n++ {
		silent := s.engines
		switch rng.IntN(4) {
		case 0:
			silent = []*fake.Engine{s.engines[rng.IntN(engines)]}
		case 1:
			silent = []*fake.Engine{s.desk}
		case 2:
			silent = append([]*fake.Engine{s.desk}, s.engines...)
		}
		s.configure()
		time.Sleep(between(rng, 0, 300*time.Millisecond))
		silence := between(rng, minSilence, maxSilence)
		for _, e := range silent {
			e.Silence(silence)
		}
		change := between(rng, 0, silence)
		time.Sleep(change)
		s.configure()
		select {
		case <-stop:
			return n + 1
		case <-time.After(silence - change + between(rng, 0, minSilence)):
		}
	}
}

// between draws a duration from low up to high.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// silenceCaller sends requests of all online kinds on its own kept connections.
type silenceCaller struct {
	c       *checker
	rng     *rand.Rand
	name    string
	answers map[int]int
}

// send sends requests until stop is closed. Each must end with the answer of its engine, or with a refusal and without
// a run.
func (sc *silenceCaller) send(stop <-chan struct{}) {
	kept := &http.Client{Timeout: client.Timeout, Transport: &http.Transport{DisableCompression: true}}
	defer kept.CloseIdleConnections()
	kinds := []string{"/ask/stream/1", "/once/stream/1", "/fetch/1", "/swap/1"}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		path, id := kinds[sc.rng.IntN(len(kinds))], fmt.Sprintf("%s.%d", sc.name, i)
		begin := time.Now()
		resp, body, err := callBy(kept, sc.c.request(http.MethodPost, 1+sc.rng.IntN(entries), path, id, []byte("hello")))
		sc.c.record(id, strings.HasPrefix(path, "/once") || strings.HasPrefix(path, "/swap"), resp, err)
		sc.check(path, id, resp, body, err, time.Since(begin))
	}
}

func (sc *silenceCaller) check(path, id string, resp *http.Response, body string, err error, took time.Duration) {
	t := sc.c.s.t
	if took >= routeTimeout {
		return
	}
	if !assert.NoError(t, err, "%s of %s has a complete answer, after %v", id, path, took) {
		sc.answers[0]++
		return
	}
	sc.answers[resp.StatusCode]++
	switch {
	case resp.StatusCode == http.StatusOK:
		assert.Equal(t, fake.Signature(id), fake.SignatureOf(resp.Header), "%s", id)
		if strings.Contains(path, "/stream") {
			assert.Equal(t, fake.CompleteText(id, eventsPerStream), fake.TextOf(body), "%s", id)
		}
	case isRefusal(resp.StatusCode):
		assert.Zero(t, sc.c.s.runCount(id), "%s of %s was refused and ran", id, path)
	default:
		assert.Fail(t, "not the answer of the engine", "%d for %s of %s after %v", resp.StatusCode, id, path, took)
	}
}

// Guards against requests that end without their engine's answer because it sent nothing for about a second.
func TestSilentEngineStillAnswers(t *testing.T) {
	program := build(t)
	for _, seed := range seedsOr(1) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSite(t, program, seed)
			defer s.close()
			defer s.saveLogs(seed)
			s.awaitReady()
			stop := make(chan struct{})
			var callers sync.WaitGroup
			answers := make(map[int]int)
			c := &checker{s: s}
			list := make([]*silenceCaller, silenceCallers)
			for n := range list {
				list[n] = &silenceCaller{c: c, rng: rand.New(rand.NewPCG(seed, uint64(200+n))),
					name: fmt.Sprintf("%d.%d", seed, n), answers: make(map[int]int)}
				callers.Go(func() { list[n].send(stop) })
			}
			silences := make(chan struct{})
			time.AfterFunc(time.Duration(*seconds)*time.Second, func() { close(silences) })
			n := s.silences(rand.New(rand.NewPCG(seed, 22)), silences)
			time.Sleep(maxSilence)
			close(stop)
			callers.Wait()
			for _, sc := range list {
				for status, count := range sc.answers {
					answers[status] += count
				}
			}
			c.checkRuns()
			t.Logf("%d silences; answers by status, 0 for none: %v", n, answers)
			require.Positive(t, c.answered)
		})
	}
}
