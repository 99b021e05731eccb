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

// Guards against an accepted job that never runs because its submitter crashed before it could notify the
// job's home.
func TestSubmitterLostRightAfterAcknowledging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
		f := newFleet(t, s, "e1", "e2", "e3")
		defer f.close()
		for _, id := range []string{"e2", "e3"} {
			f.dispatch(id, 32, answerItem)
		}
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.isolated["e1"] = true
		f.mu.Unlock()
		status, err := f.vms["e1"].Submit(t.Context(), spec(500))
		require.NoError(t, err)
		f.kill("e1")
		end, _ := finished(t, f.vms["e3"], status.Head.ID, 5*time.Minute)
		assert.Equal(t, job.Counts{Succeeded: 500}, end.Counts)
	})
}

// Guards against two jobs, or a lost one, from concurrent submissions of the same content over a store that
// loses answers of writes.
func TestConcurrentSubmissionsAcceptOneJob(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			opts := fakestore.NewOptions().WithLatency(2 * time.Millisecond).WithSeed(seed).WithLostAnswerShare(0.3)
			s := fakestore.New(opts)
			f := newFleet(t, s, "e1", "e2", "e3")
			defer f.close()
			count := newTally()
			for _, id := range []string{"e1", "e2", "e3"} {
				f.dispatch(id, 32, countingWorker(f, id, count, 100*time.Millisecond))
			}
			// Three concurrent submissions of one job; the VM of one crashes during its submission.
			var wg sync.WaitGroup
			for i, id := range []string{"e1", "e2", "e3"} {
				j := f.vms[id]
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 3 * time.Millisecond)
					_, _ = j.Submit(t.Context(), spec(600))
				})
			}
			time.Sleep(time.Duration(seed) * 3 * time.Millisecond)
			f.kill("e1")
			wg.Wait()
			status, err := f.vms["e3"].Submit(t.Context(), spec(600))
			require.NoError(t, err)
			end, _ := finished(t, f.vms["e2"], status.Head.ID, 10*time.Minute)
			assert.Equal(t, job.Counts{Succeeded: 600}, end.Counts)
			page, err := f.vms["e2"].List(t.Context(), "team", "", 10)
			require.NoError(t, err)
			assert.Len(t, page.Jobs, 1)
		})
	}
}

// Guards against items that run twice when VMs disagree about the members, so that a job has two homes.
func TestTwoHomesAtOnce(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := fakestore.New(fakestore.NewOptions().WithLatency(2 * time.Millisecond))
			f := newFleet(t, s, "e1", "e2", "e3")
			defer f.close()
			f.mu.Lock()
			f.view["e1"] = []string{"e1"}
			f.view["e2"] = []string{"e2", "e3"}
			f.view["e3"] = []string{"e2", "e3"}
			f.mu.Unlock()
			count := newTally()
			for _, id := range []string{"e1", "e2", "e3"} {
				f.dispatch(id, 16, countingWorker(f, id, count, 300*time.Millisecond))
			}
			submission := spec(3000)
			submission.NonIdempotent = nonIdempotent
			status, err := f.vms["e1"].Submit(t.Context(), submission)
			require.NoError(t, err)
			_, err = f.vms["e2"].Submit(t.Context(), submission)
			require.NoError(t, err)
			end, _ := finished(t, f.vms["e3"], status.Head.ID, time.Hour)
			assert.Equal(t, job.Counts{Succeeded: 3000}, end.Counts)
			assert.Equal(t, 1, count.maxPerItem())
		})
	}
}
