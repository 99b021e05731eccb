package job

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/job"
	fakestore "mothcart/fake/store"
)

// tally counts the dispatches of each item over all VMs.
type tally struct {
	mu   sync.Mutex
	sent map[int]int
}

func newTally() *tally { return &tally{sent: map[int]int{}} }

func (c *tally) add(item Item) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[item.Index]++
	return c.sent[item.Index]
}

func (c *tally) most() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, n := range c.sent {
		most = max(most, n)
	}
	return most
}

func TestVMLostMidChunk(t *testing.T) {
	for _, tc := range []struct {
		name          string
		nonIdempotent bool
	}{{"idempotent", false}, {"non-idempotent", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
				f := newFleet(t, s, "e1", "e2", "e3")
				defer f.close()
				count := newTally()
				work := func(j *Jobs, item Item) {
					if j.Begin(item) {
						count.add(item)
						time.Sleep(time.Second)
						j.Done(item, Result{Status: 200})
					}
				}
				for _, id := range []string{"e1", "e2", "e3"} {
					f.dispatch(id, 32, work)
				}
				job1 := spec(1500)
				job1.NonIdempotent = tc.nonIdempotent
				status, err := f.vms["e2"].Submit(t.Context(), job1)
				require.NoError(t, err)
				f.kill("e2")
				time.Sleep(4 * time.Second)
				f.kill("e1")
				end, _ := finished(t, f.vms["e3"], status.Head.ID, 20*time.Minute)
				assert.Equal(t, 1500, end.Counts.Succeeded+end.Counts.Unknown)
				if tc.nonIdempotent {
					assert.Equal(t, 1, count.most())
					assert.Positive(t, end.Counts.Unknown)
				} else {
					assert.Zero(t, end.Counts.Unknown)
				}
				t.Logf("%+v, ended after %s", end.Counts, end.Head.Ended.Sub(end.Head.Created))
			})
		})
	}
}

func TestCancelStopsAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
		f := newFleet(t, s, "e1", "e2", "e3")
		defer f.close()
		var mu sync.Mutex
		var last time.Time
		work := func(j *Jobs, item Item) {
			if !j.Begin(item) {
				return
			}
			mu.Lock()
			last = time.Now()
			mu.Unlock()
			finishItem(j, item)
		}
		for _, id := range []string{"e1", "e2", "e3"} {
			f.dispatch(id, 8, work)
		}
		status, err := f.vms["e1"].Submit(t.Context(), spec(5000))
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		cancelled := time.Now()
		_, err = f.vms["e2"].Cancel(t.Context(), "team", status.Head.ID)
		require.NoError(t, err)
		end, list := finished(t, f.vms["e3"], status.Head.ID, time.Minute)
		assert.Equal(t, job.Cancelled, end.Head.State)
		assert.Equal(t, 5000, end.Counts.Succeeded+end.Counts.Cancelled)
		assert.Positive(t, end.Counts.Succeeded)
		assert.Less(t, last.Sub(cancelled), 3*time.Second)
		time.Sleep(5 * time.Minute)
		after, listAfter := finished(t, f.vms["e1"], status.Head.ID, time.Minute)
		assert.Equal(t, end.Head, after.Head)
		assert.Equal(t, list, listAfter)
		t.Logf("%+v, last dispatch %s after the cancel", end.Counts, last.Sub(cancelled))
	})
}
