package job

import (
	"fmt"
	"sync"
	"sync/atomic"
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

func (c *tally) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.sent {
		n += k
	}
	return n
}

func (c *tally) maxPerItem() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, n := range c.sent {
		most = max(most, n)
	}
	return most
}

// countingWorker returns a worker that counts its dispatches and needs the time d for each item.
func countingWorker(f *fleet, id string, count *tally, d time.Duration) func(j *Jobs, item Item) {
	return func(j *Jobs, item Item) {
		f.waitWhilePaused(id)
		if !j.Start(item) {
			return
		}
		count.add(item)
		time.Sleep(d)
		f.waitWhilePaused(id)
		j.Done(item, Result{Status: 200})
	}
}

// Guards against items without an outcome, and against a second dispatch of items that are not idempotent,
// when VMs crash while they hold chunks.
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
					if j.Start(item) {
						count.add(item)
						time.Sleep(time.Second)
						j.Done(item, Result{Status: 200})
					}
				}
				for _, id := range []string{"e1", "e2", "e3"} {
					f.dispatch(id, 32, work)
				}
				submission := spec(1500)
				submission.NonIdempotent = tc.nonIdempotent
				status, err := f.vms["e2"].Submit(t.Context(), submission)
				require.NoError(t, err)
				f.kill("e2")
				time.Sleep(4 * time.Second)
				f.kill("e1")
				end, _ := finished(t, f.vms["e3"], status.Head.ID, 20*time.Minute)
				assert.Equal(t, 1500, end.Counts.Succeeded+end.Counts.Unknown)
				if tc.nonIdempotent {
					assert.Equal(t, 1, count.maxPerItem())
					assert.Positive(t, end.Counts.Unknown)
				} else {
					assert.Zero(t, end.Counts.Unknown)
				}
				t.Logf("%+v, ended after %s", end.Counts, end.Head.Ended.Sub(end.Head.Created))
			})
		})
	}
}

// Guards against lost or changed outcomes, and a second dispatch of items that are not idempotent, when a VM
// is paused past the lease of its chunks before or after one of its store calls.
func TestHolderPausedAtEachStoreCall(t *testing.T) {
	calls := 20
	if testing.Short() {
		calls = 6
	}
	for _, nonIdempotent := range []bool{false, true} {
		paused := 0
		for n := 1; n <= calls; n++ {
			for _, after := range []bool{false, true} {
				t.Run(fmt.Sprintf("nonIdempotent %t call %d after %t", nonIdempotent, n, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						if runWithPauseAt(t, n, after, nonIdempotent) {
							paused++
						}
					})
				})
			}
		}
		assert.GreaterOrEqual(t, paused, calls)
	}
}

// runWithPauseAt runs a job while VM e1 is paused past its lease before or after its nth store call. It
// reports whether there was an nth call while the job ran.
func runWithPauseAt(t *testing.T, n int, after, nonIdempotent bool) bool {
	const lease = 20 * time.Second
	s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
	f := newFleet(t, s)
	for _, id := range []string{"e1", "e2"} {
		f.add(id)
		f.start(id, func(o Options) Options { return o.WithLease(lease) })
	}
	defer f.close()
	time.Sleep(10 * time.Second)
	var paused atomic.Bool
	f.mu.Lock()
	f.calls["e1"] = 0
	f.onStoreCall = func(id string, call int, done bool) {
		if id == "e1" && call == n && done == after {
			paused.Store(true)
			f.pause("e1", 3*lease)
		}
	}
	f.mu.Unlock()
	count := newTally()
	for _, id := range []string{"e1", "e2"} {
		f.dispatch(id, 16, countingWorker(f, id, count, 500*time.Millisecond))
	}
	submission := spec(700)
	submission.NonIdempotent = nonIdempotent
	status, err := f.vms["e2"].Submit(t.Context(), submission)
	require.NoError(t, err)
	end, list := finished(t, f.vms["e2"], status.Head.ID, time.Hour)
	wasPaused := paused.Load()
	assert.Equal(t, 700, end.Counts.Succeeded+end.Counts.Unknown)
	if nonIdempotent {
		assert.Equal(t, 1, count.maxPerItem())
	} else {
		assert.Zero(t, end.Counts.Unknown)
	}
	time.Sleep(5 * lease)
	_, listAfter := finished(t, f.vms["e1"], status.Head.ID, time.Minute)
	assert.Equal(t, list, listAfter)
	return wasPaused
}

// Guards against lost and repeated items when writes take effect without an answer, and when the store is
// unavailable for less or more time than the lease.
func TestLostAnswersAndOutages(t *testing.T) {
	for _, tc := range []struct {
		name   string
		lost   float64
		outage time.Duration
	}{
		{"lost answers", 0.4, 0},
		{"outage within the lease", 0, 5 * time.Second},
		{"outage past the lease", 0, 100 * time.Second},
		{"both", 0.3, 50 * time.Second},
	} {
		for _, nonIdempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s nonIdempotent %t", tc.name, nonIdempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runThroughOutage(t, tc.lost, tc.outage, nonIdempotent) })
			})
		}
	}
}

// runThroughOutage runs a job while answers of writes are lost and the store is unavailable for a time.
// No VM crashes, so every item must be sent once and answered.
func runThroughOutage(t *testing.T, lost float64, outage time.Duration, nonIdempotent bool) {
	s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond).WithLostAnswerShare(lost))
	f := newFleet(t, s)
	for _, id := range []string{"e1", "e2", "e3"} {
		f.add(id)
		f.start(id, func(o Options) Options { return o.WithLease(20 * time.Second) })
	}
	defer f.close()
	count := newTally()
	for _, id := range []string{"e1", "e2", "e3"} {
		f.dispatch(id, 16, countingWorker(f, id, count, time.Second))
	}
	submission := spec(1500)
	submission.NonIdempotent = nonIdempotent
	status, err := f.vms["e1"].Submit(t.Context(), submission)
	require.NoError(t, err)
	time.Sleep(7 * time.Second)
	s.SetOutage(outage > 0)
	time.Sleep(outage)
	s.SetOutage(false)
	end, _ := finished(t, f.vms["e2"], status.Head.ID, time.Hour)
	assert.Equal(t, job.Counts{Succeeded: 1500}, end.Counts)
	assert.Equal(t, 1, count.maxPerItem())
	t.Logf("ended after %s, calls %+v", end.Head.Ended.Sub(end.Head.Created), s.Calls())
}

// Guards against an item that crashes one VM after the other: it must fail after its last attempt, and no
// other item with it.
func TestItemThatKillsItsVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
		ids := []string{"e1", "e2", "e3", "e4", "e5"}
		f := newFleet(t, s, ids...)
		defer f.close()
		killed := make(chan string, len(ids))
		for _, id := range ids {
			f.dispatch(id, 16, func(j *Jobs, item Item) {
				if !j.Start(item) {
					return
				}
				if item.Index == 300 {
					f.kill(id)
					killed <- id
					return
				}
				time.Sleep(200 * time.Millisecond)
				j.Done(item, Result{Status: 200})
			})
		}
		status, err := f.vms["e1"].Submit(t.Context(), spec(600))
		require.NoError(t, err)
		for range defaultMaxAttempts {
			id := <-killed
			t.Logf("%s killed after %s", id, time.Since(status.Head.Created))
		}
		var survivor *Jobs
		for _, j := range f.vms {
			survivor = j
		}
		end, list := finished(t, survivor, status.Head.ID, time.Hour)
		assert.Equal(t, job.Counts{Succeeded: 599, Failed: 1}, end.Counts)
		assert.Equal(t, job.Failed, list[300].State)
		assert.Equal(t, "item-300", list[300].CustomID)
		assert.Empty(t, killed)
	})
}

// Guards against blaming items that were in flight when another item crashed their engine: only the items
// that crash it may fail.
func TestItemsThatKillTheirEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
		f := newFleet(t, s, "e1")
		defer f.close()
		crashesEngine := func(item Item) bool { return item.Index%100 == 42 }
		// All items in flight run on one engine. An item that crashes the engine fails all of them.
		var mu sync.Mutex
		engine := make(chan struct{})
		f.dispatch("e1", 32, func(j *Jobs, item Item) {
			if !j.Start(item) {
				return
			}
			mu.Lock()
			crash := engine
			if crashesEngine(item) {
				close(engine)
				engine = make(chan struct{})
			}
			mu.Unlock()
			select {
			case <-crash:
				j.Done(item, Result{Lost: true, Error: "engine lost"})
			case <-time.After(200 * time.Millisecond):
				j.Done(item, Result{Status: 200})
			}
		})
		status, err := f.vms["e1"].Submit(t.Context(), spec(600))
		require.NoError(t, err)
		end, list := finished(t, f.vms["e1"], status.Head.ID, time.Hour)
		assert.Equal(t, job.Counts{Succeeded: 594, Failed: 6}, end.Counts)
		for i, o := range list {
			if i%100 == 42 {
				assert.Equal(t, "engine lost", o.Error)
			}
		}
		t.Logf("%+v after %s", end.Counts, end.Head.Ended.Sub(end.Head.Created))
	})
}
