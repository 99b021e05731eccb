package home

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/site"
	"mothcart/core/tombstone"
	"mothcart/io/object"
	"mothcart/io/store"
)

// Guards against a job that the home forgets though it is still stored: the next listing would bring it without its results,
// and all its items would run again.
func TestJobThatIsNotRemovedIsNotForgotten(t *testing.T) {
	for _, failure := range []error{store.ErrUnavailable, store.ErrUnknown} {
		now := time.Unix(1000, 0)
		log, err := batch.NewLog(batch.Job{ID: "j", Items: []batch.Item{{ID: "i"}}}).WithChunk(batch.Chunk{Results: []batch.Result{{Item: "i", State: batch.Completed}}})
		require.NoError(t, err)
		deletions, results := 0, []object.Object{{Name: "000000"}}
		h := &Home{
			ctx: context.Background(), listed: newListedJobs(), jobs: map[string]*job{"j": {log: log, removeAt: now}}, tombstones: tombstone.NewTable(),
			opts: Options{
				Config: func() site.Config { return site.Config{} }, Now: func() time.Time { return now }, Log: zerolog.Nop(),
				Objects: object.Client{
					List: func(context.Context, string, string) ([]object.Object, object.Revision, bool, error) {
						return results, 1, false, nil
					},
					Delete: func(_ context.Context, kind, _ string) error {
						if kind != KindJobs {
							results = nil
							return nil
						}
						if deletions++; deletions == 1 {
							return failure
						}
						return store.ErrNotFound // the unanswered deletion had effect
					},
				},
			},
		}
		h.listed.add("j", 0)
		now = now.Add(time.Second)
		h.sweepJobs(now)
		require.Zero(t, deletions, "the next home would not know that the job has all its results")
		_, _, due := h.listed.due(now, 1<<20)
		require.True(t, due)
		h.listed.written(store.ErrUnknown)
		h.sweepJobs(now)
		require.Zero(t, deletions, "that is not stored")
		now = now.Add(listedInterval)
		_, _, due = h.listed.due(now, 1<<20)
		require.True(t, due)
		h.listed.written(nil)
		h.sweepJobs(now)
		require.Equal(t, 1, deletions)
		require.True(t, h.hasJob("j"), "%v", failure)
		require.True(t, h.listed.has("j"), "the next home reads no results of it")
		now = now.Add(removePause + time.Second)
		h.sweepJobs(now)
		require.Equal(t, 2, deletions)
		require.False(t, h.hasJob("j"))
		require.False(t, h.listed.has("j"))
	}
}
