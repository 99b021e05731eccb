// Package soak runs the real programs as processes on loopback addresses, harms them from outside, and
// checks from what callers and upstreams see that the promises hold.
//
// Usage:
//
//	go test ./soak                              # the kept seeds, short
//	go test ./soak -seeds 50 -first 100 -seconds 20   # fresh seeds
package soak

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

var (
	seedCount = flag.Int("seeds", 0, "number of fresh seeds; 0 runs the kept ones")
	firstSeed = flag.Uint64("first", 1, "first of the fresh seeds")
	seconds   = flag.Int("seconds", 6, "seconds of faults for each seed")
	keepLogs  = flag.String("logs", "", "folder that the logs of a failed seed are copied to")
)

// keptSeeds are always run: one that never failed, and each seed that ever did, with its cause.
var keptSeeds = []uint64{
	1,
	// An entry took an outage of the object service to go on after its end, since it learned of changes
	// from the home by then: it answered reads of jobs with 503.
	701, 709, 710, 713, 721, 725,
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mothcart")
	out, err := exec.Command("go", "build", "-o", program, "mothcart/cmd/mothcart").CombinedOutput()
	require.NoError(t, err, string(out))
	seeds := keptSeeds
	if *seedCount > 0 {
		seeds = nil
		for i := range *seedCount {
			seeds = append(seeds, *firstSeed+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { run(t, program, seed) })
	}
}

func run(t *testing.T, program string, seed uint64) {
	s := newSite(t, program, seed)
	defer s.close()
	defer s.saveLogs(seed)
	require.Eventually(t, func() bool { return s.ready(1) && s.ready(2) && s.ready(3) }, 20*time.Second, 100*time.Millisecond, "the site starts")
	c := &checker{s: s}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for n := range 4 {
		traffic.Go(func() { c.online(rand.New(rand.NewPCG(seed, uint64(n))), stop, fmt.Sprintf("%d.%d", seed, n)) })
	}
	traffic.Go(func() { c.jobs(rand.New(rand.NewPCG(seed, 99)), stop, seed) })
	s.harm(rand.New(rand.NewPCG(seed, 7)), time.Duration(*seconds)*time.Second)
	close(stop)
	traffic.Wait()
	c.finish()
}

// saveLogs keeps the logs of a seed that failed.
func (s *site) saveLogs(seed uint64) {
	if !s.t.Failed() || *keepLogs == "" {
		return
	}
	for _, pr := range s.processes {
		b, err := os.ReadFile(pr.logs)
		assert.NoError(s.t, err)
		assert.NoError(s.t, os.WriteFile(filepath.Join(*keepLogs, fmt.Sprintf("%d-%s.log", seed, pr.id)), b, 0o600))
	}
}

// harm injects faults in series that overlap, and undoes all of them.
func (s *site) harm(rng *rand.Rand, length time.Duration) {
	var faults sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		fault := s.fault(rng)
		faults.Go(fault)
		time.Sleep(time.Duration(50+rng.IntN(700)) * time.Millisecond)
	}
	faults.Wait()
}

// fault draws one fault; the function returned injects it and undoes it.
func (s *site) fault(rng *rand.Rand) func() {
	pr := s.processes[rng.IntN(len(s.processes))]
	path := s.storePaths[rng.IntN(len(s.storePaths))]
	if rng.IntN(2) == 0 {
		path = s.enginePaths[rng.IntN(len(s.enginePaths))]
	}
	engine := s.engines[rng.IntN(len(s.engines))]
	long := time.Duration(200+rng.IntN(2500)) * time.Millisecond
	heal := func() { path.set(0, false, false) }
	switch kind := rng.IntN(16); kind {
	case 0: // killed and started again
		return func() { s.restart(pr, syscall.SIGKILL, long/4) }
	case 1: // stopped as planned
		return func() { s.restart(pr, syscall.SIGTERM, long/4) }
	case 2: // paused
		return func() { pr.signal(syscall.SIGSTOP); time.Sleep(long); pr.signal(syscall.SIGCONT) }
	case 3:
		return func() { pr.signal(syscall.SIGHUP) }
	case 4:
		return func() { path.set(100*time.Millisecond, false, false); time.Sleep(long); heal() }
	case 5:
		return path.reset
	case 6, 7: // one way or both ways silent
		both := rng.IntN(2) == 0
		return func() { path.set(0, kind == 6 || both, kind == 7 || both); time.Sleep(long); heal() }
	case 8:
		return func() {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			time.Sleep(long)
			s.objects.SetFault(fake.Fault{})
		}
	case 9:
		return func() { s.objects.SetFault(fake.Fault{LoseAnswers: 3}); s.objects.Compact() }
	case 10:
		f := []fake.EngineFaults{{BreakAfter: 5}, {Silent: true}, {Foreign: true}, {Unsigned: true}, {Status: 500}}[rng.IntN(5)]
		return func() { engine.SetFaults(f); time.Sleep(long); engine.SetFaults(fake.EngineFaults{}) }
	case 11:
		return func() { engine.SetState("draining"); time.Sleep(long); engine.SetState("ready") }
	case 12: // all are killed and started while the object service is away
		return func() {
			s.objects.SetFault(fake.Fault{Down: map[string]bool{"": true}})
			s.restartAll(long / 4)
			time.Sleep(long)
			s.objects.SetFault(fake.Fault{})
		}
	default:
		home := s.processes[entries+rng.IntN(homes)]
		return func() { s.restartAfter(home, syscall.SIGKILL, func() { s.harmDisk(home.disk, kind) }) }
	}
}

// harmDisk empties, tears or blocks the data directory of a home node that is down.
func (s *site) harmDisk(disk string, kind int) {
	files, err := filepath.Glob(filepath.Join(disk, "*"))
	require.NoError(s.t, err)
	if kind == 14 {
		for _, f := range files {
			assert.NoError(s.t, os.Truncate(f, 10))
		}
		return
	}
	assert.NoError(s.t, os.RemoveAll(disk))
	if kind == 13 {
		assert.NoError(s.t, os.Mkdir(disk, 0o700))
		return
	}
	assert.NoError(s.t, os.WriteFile(disk, nil, 0o600)) // writes are refused from now on
}

func (s *site) restartAll(pause time.Duration) {
	var all sync.WaitGroup
	for _, pr := range s.processes {
		all.Go(func() { s.restart(pr, syscall.SIGKILL, pause) })
	}
	all.Wait()
}

func (s *site) restart(pr *process, sig syscall.Signal, pause time.Duration) {
	s.restartAfter(pr, sig, func() { time.Sleep(pause) })
}

// restartAfter ends a process and starts it again after what is done between.
func (s *site) restartAfter(pr *process, sig syscall.Signal, between func()) {
	pr.restarting.Lock()
	defer pr.restarting.Unlock()
	pr.signal(sig)
	pr.signal(syscall.SIGCONT) // a paused process must notice
	pr.await()
	between()
	s.start(pr)
}

// checker sends requests and jobs and remembers what was promised.
type checker struct {
	s *site

	mu sync.Mutex
	// refused lists requests that must never have run, once those that run once at most.
	refused, once []string
	accepted      []string
	answered      int
}

var client = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}

// call sends one request; an error means that there was no whole answer.
func (c *checker) call(method string, entry int, path, id string, body []byte) (*http.Response, string, error) {
	r, err := http.NewRequest(method, "http://"+c.s.caller(entry)+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return nil, "", err
	}
	r.ContentLength = int64(len(body))
	r.Host = fake.Host
	r.Header.Set(platform.RequestIDHeader, id)
	resp, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// online sends requests of all kinds and checks each answer.
func (c *checker) online(rng *rand.Rand, stop <-chan struct{}, name string) {
	t := c.s.t
	paths := []string{"/ask/stream/1", "/once/stream/1", "/fetch/1", "/swap/1"}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		kind := rng.IntN(len(paths))
		id := fmt.Sprintf("%s.%d", name, i)
		resp, body, err := c.call(http.MethodPost, 1+rng.IntN(entries), paths[kind], id, []byte("hello"))
		c.mu.Lock()
		if kind == 1 || kind == 3 {
			c.once = append(c.once, id)
			if err == nil && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests) {
				c.refused = append(c.refused, id)
			}
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			c.answered++
		}
		c.mu.Unlock()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if resp.StatusCode == http.StatusOK {
			assert.Equal(t, fake.Signature(id), fake.SignatureOf(resp.Header), "answer of another request")
			if kind < 2 {
				assert.Equal(t, fake.WholeText(id, eventsOfStream), fake.TextOf(body), "stream of %s", id)
			}
		}
		assert.NotEqual(t, http.StatusNotFound, resp.StatusCode, "%s is routed", paths[kind])
	}
}

// itemsOfJob is the number of items of each job.
const itemsOfJob = 4

// jobs submits jobs, each until an entry accepts it.
func (c *checker) jobs(rng *rand.Rand, stop <-chan struct{}, seed uint64) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%dx%d", seed, i)
		body := fake.JobBody(id, itemsOfJob, []byte("draft"))
		for {
			resp, _, err := c.call(http.MethodPost, 1+rng.IntN(entries), "/lot/1", id, body)
			if err == nil && resp.StatusCode == http.StatusAccepted {
				c.mu.Lock()
				c.accepted = append(c.accepted, id)
				c.mu.Unlock()
				break
			}
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.IntN(600)) * time.Millisecond):
		}
	}
}

// finish checks the promises that show at the end: all entries serve again, all jobs are done, and no
// request ran that must not have.
func (c *checker) finish() {
	t := c.s.t
	for n := 1; n <= entries; n++ {
		require.Eventually(t, func() bool { return c.s.ready(n) }, 20*time.Second, 100*time.Millisecond, "entry %d is back", n)
		require.Eventually(t, func() bool {
			resp, _, err := c.call(http.MethodPost, n, "/ask/stream/1", fmt.Sprintf("end.%d.%d", n, rand.Uint64()), nil)
			return err == nil && resp.StatusCode == http.StatusOK
		}, 20*time.Second, 100*time.Millisecond, "entry %d serves", n)
	}
	for _, id := range c.accepted {
		var first string
		for n := 1; n <= entries; n++ {
			var body string
			require.Eventually(t, func() bool {
				resp, b, err := c.call(http.MethodGet, n, fake.ResultsPath(id, 0), "r", nil)
				body = b
				if err != nil || resp.StatusCode != http.StatusOK {
					return false
				}
				p, err := fake.DecodeResults(b)
				return err == nil && p.Total == itemsOfJob && p.Next == itemsOfJob
			}, 30*time.Second, 100*time.Millisecond, "job %s is done and read at entry %d", id, n)
			if n == 1 {
				first = body
				c.checkResults(id, body)
			}
			assert.Equal(t, first, body, "all entries show the same results of job %s", id)
		}
	}
	for _, id := range c.once {
		assert.LessOrEqual(t, c.s.runsOf(id), 1, "%s ran twice", id)
	}
	for _, id := range c.refused {
		assert.Zero(t, c.s.runsOf(id), "%s was refused and ran", id)
	}
	assert.Positive(t, c.answered)
	t.Logf("%d answered, %d that run once, %d of them refused, %d jobs", c.answered, len(c.once), len(c.refused), len(c.accepted))
}

func (c *checker) checkResults(id, body string) {
	p, err := fake.DecodeResults(body)
	require.NoError(c.s.t, err)
	seen := map[string]bool{}
	for _, r := range p.Results {
		assert.False(c.s.t, seen[r.ID], "item %s is listed twice", r.ID)
		seen[r.ID] = true
		if r.Completed() {
			assert.Equal(c.s.t, fake.WholeText(r.ID, eventsOfStream), r.Text)
		}
	}
}
