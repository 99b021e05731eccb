package job

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/job"
	fakestore "mothcart/fake/store"
)

// TestLargestJobUnderFaults runs a job of the largest size of which 1% of the items fail at every attempt.
// Two VMs crash, the store has an outage and loses answers of writes, and the submission is repeated.
func TestLargestJobUnderFaults(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { largestJob(t, nonIdempotent) })
	}
}

func largestJob(t *testing.T, nonIdempotent bool) {
	ids := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
	s := fakestore.New(fakestore.NewOptions().WithLatency(5 * time.Millisecond).WithLostAnswerShare(0.02))
	f := newFleet(t, s, ids...)
	defer f.close()
	count := newTally()
	for _, id := range ids {
		f.dispatch(id, 64, func(j *Jobs, item Item) {
			if !j.Start(item) {
				return
			}
			sent := count.add(item)
			time.Sleep(time.Second)
			switch {
			case item.Index%100 == 99:
				j.Done(item, Result{Status: 500, Retry: true, Error: "hopeless"})
			case item.Index%200 == 7 && sent == 1 && item.Idempotent:
				j.Return(item)
			default:
				j.Done(item, Result{Status: 200, Body: []byte(`{"answer":"roster"}`)})
			}
		})
	}
	time.Sleep(5 * time.Second)
	submission := spec(job.MaxItems)
	submission.NonIdempotent = nonIdempotent
	status, err := f.vms["e1"].Submit(t.Context(), submission)
	require.NoError(t, err)
	time.Sleep(15 * time.Second)
	f.kill("e1")
	time.Sleep(5 * time.Second)
	f.kill("e2")
	again, err := f.vms["e3"].Submit(t.Context(), submission)
	require.NoError(t, err)
	require.Equal(t, status.Head.ID, again.Head.ID)
	s.SetOutage(true)
	time.Sleep(time.Minute)
	s.SetOutage(false)
	before := s.Calls()
	end, list := finished(t, f.vms["e3"], status.Head.ID, 2*time.Hour)
	assert.Equal(t, job.Completed, end.Head.State)
	assert.Equal(t, job.MaxItems, end.Counts.Total())
	assert.Equal(t, end.Counts, countsOf(list))
	if nonIdempotent {
		assert.Equal(t, 1, count.maxPerItem())
	} else {
		assert.Equal(t, job.Counts{Succeeded: job.MaxItems * 99 / 100, Failed: job.MaxItems / 100}, end.Counts)
	}
	t.Logf("outcomes %+v after %s, store calls %+v, of which after the outage began %d writes",
		end.Counts, end.Head.Ended.Sub(end.Head.Created), s.Calls(), s.Calls().Writes-before.Writes)
}

func countsOf(list []Outcome) job.Counts {
	var n job.Counts
	for _, o := range list {
		c := job.Chunk{Items: []job.ItemState{o.State}}
		n = n.Plus(c.Counts())
	}
	return n
}
