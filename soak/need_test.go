package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mothcart/platform/fake"
)

const (
	// contact is the time within which all nodes must know of a change, and after which a disturbed node counts again.
	contact = 3 * time.Second
	// directEngines is the number of engines that are reached without a proxy, so that connections to one that has
	// ended are refused.
	directEngines = 6
	// engineDown is the time from the crash of an engine to its next start.
	engineDown = 1500 * time.Millisecond
	// leastSeconds is the shortest time of these runs, in seconds.
	leastSeconds = 10
	// mayReach is the number of requests on which engines crash that may reach engines from contact on after the fifth
	// crash under a part, or the third under a request.
	mayReach = 3
	// limit is the rate that engines name, limitWindow the time over which requests are counted, and mayArrive their
	// greatest number in it.
	limit       = "1"
	limitWindow = 4 * time.Second
	mayArrive   = 11
)

// disturbance is a fault of an entry. What entries send counts also while home nodes are disturbed.
type disturbance struct {
	entry       int
	from, until time.Time
}

// needSite is a site whose engines need care, and whose processes are disturbed.
type needSite struct {
	*site
	c *checker

	mu           sync.Mutex
	disturbances []disturbance
	// entryOf has the entry to which each request was sent.
	entryOf map[string]int
}

// newNeedSite starts a site with engines that are reached without proxies; a part of prompts may crash them.
func newNeedSite(t *testing.T, program string, seed uint64, poison *fake.Poison) *needSite {
	s := &needSite{site: newSite(t, program, seed), entryOf: map[string]int{}}
	s.c = &checker{s: s.site}
	for n, e := range s.engines {
		e.Crash()
		s.objects.RemoveUpstream(engineID(n + 1))
	}
	s.engines = nil
	for n := 10; n < 10+directEngines; n++ {
		s.engines = append(s.engines, fake.NewEngine(s.network, fake.EngineOptions{
			ID: engineID(n), Service: "scribe", Address: s.ip(2, n) + ":7200", Zone: "z1", Slots: engineSlots, Born: 1,
			Events: eventsPerStream, Pace: pace, Objects: s.objects, Poison: poison,
		}))
	}
	s.awaitReady()
	return s
}

// send sends a stream's request, with a body of its own, to a random entry and reports whether it was answered completely.
func (s *needSite) send(rng *rand.Rand, id string, parts ...string) bool {
	return s.sendBody(rng, id, id, parts...)
}

// sendBody is send with a given body.
func (s *needSite) sendBody(rng *rand.Rand, id, body string, parts ...string) bool {
	entry := 1 + rng.IntN(entries)
	s.mu.Lock()
	s.entryOf[id] = entry
	s.mu.Unlock()
	r := s.c.request(http.MethodPost, entry, "/ask/stream/1", id, []byte(body))
	fake.SetParts(r.Header, parts...)
	resp, answer, err := callBy(client, r)
	return err == nil && resp.StatusCode == http.StatusOK && fake.TextOf(answer) == fake.CompleteText(id, eventsPerStream)
}

// sendEach sends requests at a rate until stop is closed.
func (s *needSite) sendEach(rng *rand.Rand, pause time.Duration, stop <-chan struct{}, name string, parts ...string) {
	s.each(rng, pause, stop, func(rng *rand.Rand, i int) {
		s.send(rng, fmt.Sprintf("%s.%d", name, i), append(slices.Clone(parts), fmt.Sprint("own", i))...)
	})
}

// each calls send at a rate, each time in a goroutine of its own, until stop is closed.
func (s *needSite) each(rng *rand.Rand, pause time.Duration, stop <-chan struct{}, send func(rng *rand.Rand, i int)) {
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		all.Go(func() { send(own, i) })
	}
}

// disturb kills, stops, pauses and reloads processes in series that overlap.
func (s *needSite) disturb(rng *rand.Rand, d time.Duration) {
	var all sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(between(rng, 500*time.Millisecond, 2*time.Second)) {
		n, kind, pause := rng.IntN(len(s.processes)), rng.IntN(4), between(rng, 100*time.Millisecond, 1500*time.Millisecond)
		all.Go(func() {
			pr, from := s.processes[n], time.Now()
			switch kind {
			case 0:
				s.restart(pr, syscall.SIGKILL, pause/2)
			case 1:
				s.restart(pr, syscall.SIGTERM, pause/2)
			case 2:
				pr.signal(syscall.SIGSTOP)
				time.Sleep(pause)
				pr.signal(syscall.SIGCONT)
			default:
				pr.signal(syscall.SIGHUP)
				return
			}
			if n < entries {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.disturbances = append(s.disturbances, disturbance{entry: n + 1, from: from, until: time.Now()})
			}
		})
	}
	all.Wait()
}

// counts reports that a request that reached an engine was not sent by an entry that was disturbed lately. Items count
// always.
func (s *needSite) counts(a fake.Arrival) bool {
	entry, known := s.entryOf[a.ID]
	return !slices.ContainsFunc(s.disturbances, func(d disturbance) bool {
		return known && d.entry == entry && !a.At.Before(d.from) && a.At.Before(d.until.Add(contact))
	})
}

// counted returns the arrivals that count, in order.
func (s *needSite) counted(arrived []fake.Arrival) []fake.Arrival {
	return slices.DeleteFunc(arrived, func(a fake.Arrival) bool { return !s.counts(a) })
}

// requireServes checks that sound requests are answered once all is calm.
func (s *needSite) requireServes(rng *rand.Rand, parts ...string) {
	time.Sleep(2 * contact)
	answered := 0
	const sent = 20
	for i := range sent {
		if s.send(rng, fmt.Sprint("end.", i), append(slices.Clone(parts), fmt.Sprint("own", i))...) {
			answered++
		}
	}
	assert.GreaterOrEqual(s.t, answered, sent/2, "sound requests are answered")
}

func soakTime() time.Duration { return time.Duration(max(*seconds, leastSeconds)) * time.Second }

// TestSoakPartThatCrashesEngines guards against engines that requests with one part end one after the other while
// nodes come and go.
func TestSoakPartThatCrashesEngines(t *testing.T) {
	program := build(t)
	for _, seed := range seedsOr(1) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			soakCrashes(t, program, seed, &fake.Poison{Part: "bad", Down: engineDown}, 5, func(s *needSite, rng *rand.Rand, stop <-chan struct{}) {
				s.sendEach(rng, badPause, stop, "bad", "first", "bad")
			})
		})
	}
}

// TestSoakRequestThatCrashesEngines guards against engines that one request ends one after the other, as it comes again
// at any entry while nodes come and go.
func TestSoakRequestThatCrashesEngines(t *testing.T) {
	program := build(t)
	for _, seed := range seedsOr(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			soakCrashes(t, program, seed, &fake.Poison{Body: "bad", Down: engineDown}, 3, func(s *needSite, rng *rand.Rand, stop <-chan struct{}) {
				s.each(rng, badPause, stop, func(rng *rand.Rand, i int) {
					s.sendBody(rng, fmt.Sprint("bad.", i), "bad", "first", fmt.Sprint("own", i))
				})
			})
		})
	}
}

// badPause is the time between two requests that crash engines.
const badPause = 150 * time.Millisecond

// soakCrashes runs a site whose engines crash on requests that sendBad sends, beside sound ones, while nodes come and go.
// Only mayReach of them may reach engines later than contact after a number of ends.
func soakCrashes(t *testing.T, program string, seed uint64, poison *fake.Poison, ends int, sendBad func(s *needSite, rng *rand.Rand, stop <-chan struct{})) {
	var mu sync.Mutex
	var started []*fake.Engine
	poison.Started = func(e *fake.Engine) {
		mu.Lock()
		defer mu.Unlock()
		started = append(started, e)
	}
	s := newNeedSite(t, program, seed, poison)
	defer s.close()
	defer s.saveLogs(seed)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	traffic.Go(func() { s.sendEach(rng(1), 100*time.Millisecond, stop, "sound", "first", "subject") })
	traffic.Go(func() { sendBad(s, rng(2), stop) })
	s.disturb(rng(3), soakTime())
	s.requireServes(rng(4), "first", "subject")
	close(stop)
	traffic.Wait()
	poison.Stop()
	ended := poison.Ended()
	t.Logf("%d engines ended under %d requests", len(ended), len(poison.Reached()))
	if len(ended) >= ends {
		late := s.counted(poison.Reached())
		late = slices.DeleteFunc(late, func(a fake.Arrival) bool { return !a.At.After(ended[ends-1].Add(contact)) })
		assert.LessOrEqual(t, len(late), mayReach, "requests that crash engines and reach them")
	}
	mu.Lock()
	defer mu.Unlock()
	s.engines = append(s.engines, started...)
}

// TestSoakEnginesThatNameARate guards against engines that get more than the rate that they have named while nodes come
// and go.
func TestSoakEnginesThatNameARate(t *testing.T) {
	program := build(t)
	for _, seed := range seedsOr(2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newNeedSite(t, program, seed, nil)
			defer s.close()
			defer s.saveLogs(seed)
			limited := s.engines[:directEngines-2]
			for _, e := range limited {
				e.SetFaults(fake.EngineFaults{Limit: limit})
			}
			since := time.Now().Add(contact)
			stop := make(chan struct{})
			var traffic sync.WaitGroup
			rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
			traffic.Go(func() { s.sendEach(rng(1), 40*time.Millisecond, stop, "r", "first", "subject") })
			traffic.Go(func() { s.c.jobs(rng(2), stop, seed) })
			s.disturb(rng(3), soakTime())
			close(stop)
			traffic.Wait()
			for i, e := range limited {
				got := fake.MostIn(s.counted(e.Arrived()), limitWindow, since)
				t.Logf("engine %d got %d in %s", i, got, limitWindow)
				assert.LessOrEqual(t, got, mayArrive, "engine %d", i)
			}
			s.requireServes(rng(4), "first", "subject")
		})
	}
}
