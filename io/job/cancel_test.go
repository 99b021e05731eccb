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

// Guards against dispatches that continue on any VM after a cancellation, and against changes of the job
// after its end.
func TestCancelStopsAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
		f := newFleet(t, s, "e1", "e2", "e3")
		defer f.close()
		var mu sync.Mutex
		var last time.Time
		work := func(j *Jobs, item Item) {
			if !j.Start(item) {
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

// Guards against an accepted cancellation of a job that ends as completed, and the reverse, when both come
// at the same time.
func TestCancelRacesCompletion(t *testing.T) {
	ended := map[job.State]int{}
	for i := range 24 {
		synctest.Test(t, func(t *testing.T) {
			s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
			f := newFleet(t, s, "e1", "e2")
			defer f.close()
			for _, id := range []string{"e1", "e2"} {
				f.dispatch(id, 64, answerItem)
			}
			time.Sleep(5 * time.Second)
			status, err := f.vms["e1"].Submit(t.Context(), spec(300))
			require.NoError(t, err)
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			_, cancelErr := f.vms["e2"].Cancel(t.Context(), "team", status.Head.ID)
			end, list := finished(t, f.vms["e1"], status.Head.ID, time.Minute)
			ended[end.Head.State]++
			if cancelErr == nil {
				assert.Equal(t, job.Cancelled, end.Head.State)
			} else {
				require.ErrorIs(t, cancelErr, job.ErrTerminal)
				assert.Equal(t, job.Completed, end.Head.State)
			}
			assert.Equal(t, 300, end.Counts.Succeeded+end.Counts.Cancelled)
			time.Sleep(30 * time.Second)
			after, listAfter := finished(t, f.vms["e2"], status.Head.ID, time.Minute)
			assert.Equal(t, end.Head, after.Head)
			assert.Equal(t, list, listAfter)
		})
	}
	t.Logf("ends: %v", ended)
	assert.Positive(t, ended[job.Cancelled])
	assert.Positive(t, ended[job.Completed])
}

// Guards against a refused cancellation that takes effect, and against dispatches during an outage that
// starts just after an accepted cancellation.
func TestCancelDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
		f := newFleet(t, s, "e1", "e2")
		defer f.close()
		count := newTally()
		for _, id := range []string{"e1", "e2"} {
			f.dispatch(id, 4, countingWorker(f, id, count, time.Second))
		}
		status, err := f.vms["e1"].Submit(t.Context(), spec(2000))
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		s.SetOutage(true)
		_, err = f.vms["e2"].Cancel(t.Context(), "team", status.Head.ID)
		require.ErrorIs(t, err, ErrUnavailable)
		s.SetOutage(false)
		now, err := f.vms["e2"].Get(t.Context(), "team", status.Head.ID)
		require.NoError(t, err)
		assert.Equal(t, job.Running, now.Head.State)
		_, err = f.vms["e2"].Cancel(t.Context(), "team", status.Head.ID)
		require.NoError(t, err)
		s.SetOutage(true)
		time.Sleep(3 * time.Second)
		before := count.total()
		time.Sleep(5 * time.Minute)
		assert.Equal(t, before, count.total(), "no dispatch after 3 s in an outage")
		s.SetOutage(false)
		end, _ := finished(t, f.vms["e1"], status.Head.ID, time.Minute)
		assert.Equal(t, job.Cancelled, end.Head.State)
	})
}

// Guards against items that are dispatched after their job was cancelled, since the notice came between the read of the job and
// the claim's entry among the held chunks.
func TestCancelWhileAChunkIsClaimed(t *testing.T) {
	for n := 1; n <= 48; n++ {
		synctest.Test(t, func(t *testing.T) {
			s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
			f := newFleet(t, s, "e1", "e2")
			defer f.close()
			status, err := f.vms["e1"].Submit(t.Context(), spec(300))
			require.NoError(t, err)
			var mu sync.Mutex
			cancelled := time.Now().Add(time.Hour)
			onStoreCall := func(id string, call int, after bool) {
				if id != "e2" || call != n || !after {
					return
				}
				_, err := f.vms["e1"].Cancel(t.Context(), "team", status.Head.ID)
				assert.NoError(t, err)
				time.Sleep(time.Millisecond) // the notices have arrived
				mu.Lock()
				defer mu.Unlock()
				cancelled = time.Now()
			}
			f.mu.Lock()
			f.onStoreCall = onStoreCall
			f.mu.Unlock()
			last := startItems(f.vms["e2"], 3*time.Second)
			f.mu.Lock()
			f.onStoreCall = nil
			f.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			assert.False(t, last.After(cancelled), "cancelled after call %d: an item is dispatched %s later", n, last.Sub(cancelled))
		})
	}
}

// startItems runs the items that a VM gets during d and returns when the last one was started.
func startItems(j *Jobs, d time.Duration) time.Time {
	var last time.Time
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, item := range j.Take("m", 8) {
			if j.Start(item) {
				last = time.Now()
				finishItem(j, item)
			}
		}
	}
	return last
}
