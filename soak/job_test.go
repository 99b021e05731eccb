package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

// job is an accepted job.
type job struct {
	id    string
	items int
}

// itemsPerJob is the number of items of each job.
const itemsPerJob = 4

// jobs submits jobs, each until an entry accepts it.
func (c *checker) jobs(rng *rand.Rand, stop <-chan struct{}, seed uint64) {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%dx%d", seed, i)
		body := fake.JobBody(id, itemsPerJob, []byte("draft"))
		for {
			resp, _, err := c.call(http.MethodPost, 1+rng.IntN(entries), "/lot/1", id, body)
			if err == nil && resp.StatusCode == http.StatusAccepted {
				c.mu.Lock()
				c.accepted = append(c.accepted, job{id: id, items: itemsPerJob})
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

// awaitJob waits until a job is done, and checks that all entries show the same results of it.
func (c *checker) awaitJob(j job) {
	t := c.s.t
	var first string
	for n := 1; n <= entries; n++ {
		var body string
		require.Eventually(t, func() bool {
			resp, b, err := c.call(http.MethodGet, n, fake.ResultsPath(j.id, 0), "r", nil)
			body = b
			if err != nil || resp.StatusCode != http.StatusOK {
				return false
			}
			p, err := fake.DecodeResults(b)
			return err == nil && p.Total == j.items && p.Next == j.items
		}, 30*time.Second, 100*time.Millisecond, "job %s is done and read at entry %d", j.id, n)
		if n == 1 {
			first = body
			c.checkResults(j.id, body)
		}
		assert.Equal(t, first, body, "all entries show the same results of job %s", j.id)
	}
}

func (c *checker) checkResults(id, body string) {
	p, err := fake.DecodeResults(body)
	require.NoError(c.s.t, err)
	seen := map[string]bool{}
	for _, r := range p.Results {
		assert.False(c.s.t, seen[r.ID], "item %s is listed twice", r.ID)
		seen[r.ID] = true
		if r.Completed() {
			assert.Equal(c.s.t, fake.CompleteText(r.ID, eventsPerStream), r.Text)
		}
	}
}
