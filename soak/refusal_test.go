package soak

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/io/home"
	"mothcart/platform/fake"
)

const (
	// firstRefusalSeed is the first seed whose object service also treats the creations of jobs one after the other, and
	// whose clients also give up jobs after few attempts.
	firstRefusalSeed = 2000
	// refusalTokenCap has room for some jobs at a time, so that others are answered 429.
	refusalTokenCap = 6000
	// submitters is the number of clients that give up.
	submitters = 12
	// submittedItems is the number of items of each of their jobs.
	submittedItems = 2
	// settled is the time after its last attempt from which a refused job can no longer begin to run: longer than any
	// write, and the delay of those that are applied late.
	settled = 4 * time.Second
)

// refusals makes the object service treat the creations of each job and caller in ways of their own until stop is closed.
func (s *site) refusals(seed uint64, stop <-chan struct{}) {
	defer s.objects.SetCreations("", nil)
	rng := rand.New(rand.NewPCG(seed, 10))
	for {
		plan := rng.Uint64()
		s.objects.SetCreations(home.KindJobs, func(caller, job string) []fake.Fate { return jobFates(plan, caller, job) })
		if !sleep(between(rng, 2*time.Second, 6*time.Second), stop) {
			return
		}
		s.objects.SetCreations("", nil)
		if !sleep(between(rng, 0, 400*time.Millisecond), stop) {
			return
		}
	}
}

// jobFates draws what happens to the creations of a job by a caller.
func jobFates(plan uint64, caller, job string) []fake.Fate {
	draw := func(name string) *rand.Rand {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // never fails
		return rand.New(rand.NewPCG(plan, h.Sum64()))
	}
	switch draw(job).IntN(6) {
	case 0: // served
		return nil
	case 1: // refused to all
		return []fake.Fate{fake.Refused}
	default:
		return randomFates(draw(caller + job))
	}
}

// sleep waits for d and reports false if stop was closed meanwhile.
func sleep(d time.Duration, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// randomFates draws fates that end with refusals, until the caller gives up.
func randomFates(rng *rand.Rand) []fake.Fate {
	var fates []fake.Fate
	switch rng.IntN(8) {
	case 0, 1: // refused from the first one on
	case 2: // in any order
		for range 2 + rng.IntN(4) {
			fates = append(fates, fake.Fate(rng.IntN(int(fake.Lost)+1)))
		}
	default: // one is not answered
		for range rng.IntN(4) {
			fates = append(fates, fake.Refused)
		}
		unanswered := []fake.Fate{fake.AppliedAndReset, fake.AppliedAndReset, fake.AppliedLate, fake.Lost}
		fates = append(fates, unanswered[rng.IntN(len(unanswered))])
	}
	return append(fates, fake.Refused)
}

// attempt is one attempt of a client to submit a job.
type attempt struct {
	entry int
	// status is 0 without a complete answer, and unsent if the connection was refused.
	status int
	// homesWord reports that the answer speaks of the job as a whole: the entry has asked the home. Entries without a
	// configuration refuse all requests and speak only of theirs.
	homesWord  bool
	begin, end time.Time
}

// unsent is the status of an attempt that no entry has received.
const unsent = -1

func (a attempt) String() string {
	return fmt.Sprintf("%s e%d %d after %v (home %t)", a.begin.UTC().Format("15:04:05.000"), a.entry, a.status, a.end.Sub(a.begin).Round(time.Millisecond), a.homesWord)
}

// refused reports whether no part of the job may run because of this attempt: the answer promises it, or none was due.
func (a attempt) refused() bool {
	return a.status == unsent || isRefusal(a.status) || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
}

// submission is a job whose client gives up after few attempts.
type submission struct {
	id       string
	attempts []attempt
}

func (s *submission) accepted() bool {
	return slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.status == http.StatusAccepted })
}

// refused reports whether no attempt may have stored the job.
func (s *submission) refused() bool {
	return !slices.ContainsFunc(s.attempts, func(a attempt) bool { return !a.refused() })
}

// refusedInDoubt returns the attempts that were refused after one, but not before another, that may have stored the job.
func (s *submission) refusedInDoubt() []attempt {
	last := -1
	for n, a := range s.attempts {
		if !a.refused() {
			last = n
		}
	}
	if last < 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.attempts[last+1:]), func(a attempt) bool { return a.status == unsent })
}

// submit submits jobs until stop is closed, each with two or three attempts at different entries.
func (c *checker) submit(rng *rand.Rand, stop <-chan struct{}, name string) {
	for i := 0; ; i++ {
		s := &submission{id: fmt.Sprintf("%s.%d", name, i)}
		most := 2 + rng.IntN(2)
		for first := rng.IntN(entries); len(s.attempts) < most && !s.accepted(); {
			s.attempts = append(s.attempts, c.attempt(s.id, 1+(first+len(s.attempts))%entries))
			time.Sleep(between(rng, 20*time.Millisecond, 300*time.Millisecond))
		}
		c.recordSubmission(s)
		if !sleep(between(rng, 50*time.Millisecond, 400*time.Millisecond), stop) {
			return
		}
	}
}

func (c *checker) attempt(id string, entry int) attempt {
	a := attempt{entry: entry, begin: time.Now()}
	resp, body, err := c.call(http.MethodPost, entry, "/lot/1", id, fake.JobBody(id, submittedItems, []byte("draft")))
	switch {
	case err == nil:
		a.status, a.homesWord = resp.StatusCode, strings.Contains(body, "the job was not accepted")
	case errors.Is(err, syscall.ECONNREFUSED):
		a.status = unsent
	}
	a.end = time.Now()
	expected := a.status == 0 || a.refused() || a.status == http.StatusAccepted || a.status == http.StatusGatewayTimeout
	assert.True(c.s.t, expected, "job %s is answered %d", id, a.status)
	return a
}

func (c *checker) recordSubmission(s *submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submissions = append(c.submissions, s)
	if s.accepted() {
		c.accepted = append(c.accepted, job{id: s.id, items: submittedItems})
	}
}

// finishSubmissions checks that refused jobs don't exist, and repeats the others that were not accepted: they must be
// accepted now.
func (c *checker) finishSubmissions() {
	t := c.s.t
	time.Sleep(settled)
	answers, refusedLater := make(map[int]int), make(map[bool]int)
	refused, inDoubt, stored := 0, 0, 0
	for _, s := range c.submissions {
		for _, a := range s.attempts {
			answers[a.status]++
		}
		exists := c.exists(s.id)
		for _, a := range s.refusedInDoubt() {
			if exists {
				refusedLater[a.homesWord]++
				assert.False(t, a.homesWord, "job %s was in doubt, then refused, and exists: %v", s.id, s.attempts)
			}
		}
		switch {
		case s.refused():
			refused++
			assert.False(t, exists, "job %s was refused and exists: %v", s.id, s.attempts)
			assert.Zero(t, c.itemRuns(s.id), "items of job %s, which was refused, ran: %v", s.id, s.attempts)
		case !s.accepted():
			inDoubt++
			if exists {
				stored++
			}
			require.Eventually(t, func() bool { return c.attempt(s.id, 1+inDoubt%entries).status == http.StatusAccepted },
				20*time.Second, 100*time.Millisecond, "job %s is accepted after the faults", s.id)
			c.accepted = append(c.accepted, job{id: s.id, items: submittedItems})
		}
	}
	t.Logf("%d jobs with few attempts: %d refused, %d in doubt, %d of these stored; answers %v; %d times a job in doubt, which exists, was refused without a home",
		len(c.submissions), refused, inDoubt, stored, answers, refusedLater[false])
}

// exists reports whether an entry shows a job.
func (c *checker) exists(id string) bool {
	status := 0
	require.Eventually(c.s.t, func() bool {
		resp, _, err := c.call(http.MethodGet, 1, fake.ResultsPath(id, 0), "r", nil)
		if err == nil {
			status = resp.StatusCode
		}
		return status == http.StatusOK || status == http.StatusNotFound
	}, 20*time.Second, 100*time.Millisecond, "entry 1 knows whether job %s exists", id)
	return status == http.StatusOK
}

// itemRuns returns how often items of a job ran.
func (c *checker) itemRuns(id string) int {
	n := 0
	for i := range submittedItems {
		n += c.s.runCount(fake.ItemID(id, i))
	}
	return n
}

// submitAll sends jobs by clients that give up, while their creations have changing fates, until stop is closed.
func (c *checker) submitAll(traffic *sync.WaitGroup, stop <-chan struct{}, seed uint64) {
	traffic.Go(func() { c.s.refusals(seed, stop) })
	for n := range submitters {
		traffic.Go(func() { c.submit(rand.New(rand.NewPCG(seed, uint64(300+n))), stop, fmt.Sprintf("%dy%d", seed, n)) })
	}
}

// disturbStores reloads processes and resets their connections to the object service.
func (s *site) disturbStores(rng *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(between(rng, 100*time.Millisecond, 600*time.Millisecond)) {
		s.processes[rng.IntN(len(s.processes))].signal(syscall.SIGHUP)
		if rng.IntN(2) == 0 {
			s.storeProxies[rng.IntN(len(s.storeProxies))].reset()
		}
	}
}

// refusedJobsSeed is a seed at which refused jobs ran while an unanswered write was taken for one without effect.
const refusedJobsSeed = 2003

// Guards against a job that is refused with the promise not to run, and runs.
func TestSoakOfRefusedJobs(t *testing.T) {
	eachSeed(t, func(c *checker, seed uint64) {
		stop := make(chan struct{})
		var traffic sync.WaitGroup
		traffic.Go(func() { c.online(rand.New(rand.NewPCG(seed, 1)), stop, fmt.Sprintf("%d.1", seed)) })
		c.submitAll(&traffic, stop, seed)
		c.s.disturbStores(rand.New(rand.NewPCG(seed, 7)), time.Duration(*seconds)*time.Second)
		close(stop)
		traffic.Wait()
		c.finish()
	}, refusedJobsSeed)
}

// Guards against a stand-in that doesn't reset connections, or can't tell callers with proxies apart.
func TestUnansweredCreationEndsWithReset(t *testing.T) {
	const store, first, second = "127.19.1.1:7100", "127.19.4.1:7100", "127.19.4.2:7100"
	o := fake.NewObjects(fake.NewLoopback(), store)
	defer o.Close()
	o.SetCreations("k", func(caller, _ string) []fake.Fate {
		return map[string][]fake.Fate{"127.19.4.1": {fake.AppliedAndReset, fake.Refused}, "127.19.4.2": {fake.Lost}}[caller]
	})
	for _, tc := range []struct {
		proxy, name string
		reset       bool
		status      int
	}{
		{first, "a", true, 0}, {first, "a", false, http.StatusServiceUnavailable}, {first, "b", true, 0}, {second, "c", true, 0}, {store, "a", false, http.StatusConflict},
		{store, "b", false, http.StatusConflict}, {store, "c", false, http.StatusOK},
	} {
		status, err := func() (int, error) {
			if tc.proxy != store {
				p, err := newProxy(tc.proxy, store)
				require.NoError(t, err)
				defer p.close()
			}
			resp, err := http.Post("http://"+tc.proxy+"/objects/k", "application/json", strings.NewReader(`{"metadata":{"name":"`+tc.name+`"},"spec":{}}`))
			if err != nil {
				return 0, err
			}
			return resp.StatusCode, resp.Body.Close()
		}()
		assert.Equal(t, tc.reset, errors.Is(err, syscall.ECONNRESET), "%+v: %v", tc, err)
		assert.Equal(t, tc.status, status, "%+v", tc)
	}
}
