package home

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/site"
	"mothcart/io/object"
)

// Guards against a job that never runs: the stored hint still names an earlier job with its ID, since the home that removed that
// one ended before it wrote the hint again.
func TestJobAfterOneThatTheStoredHintNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, c := newMemory()
		o := object.Object{Name: "j1", Revision: 9, Created: 9, Spec: json.RawMessage(`{"items":[{"id":"i"}]}`)}
		m.objects[KindJobs+"/j1"] = o
		_, err := c.Create(t.Context(), KindListed, mainName, listedRecord{Jobs: []string{"j1"}})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		h := newLoadingHome(ctx, c)
		h.applyJobs(object.Change{Listed: true, At: 9, Objects: []object.Object{o}})
		time.Sleep(5 * time.Second)
		held := h.hasJob("j1")
		cancel()
		h.done.Wait()
		require.True(t, held, "the job counts as complete and has no results")
	})
}

// Guards against items of an ended job that begin while the home reads the job's object, as a node of an earlier release has
// told it of the end.
func TestEndOfAnEarlierReleaseDoesNotWaitForASlowRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := newMemory()
		ctx, cancel := context.WithCancel(t.Context())
		c.Get = func(ctx context.Context, _, _ string) (object.Object, error) {
			<-ctx.Done()
			return object.Object{}, ctx.Err()
		}
		h := newLoadingHome(ctx, c)
		h.hold(object.Object{Name: "j1", Revision: 3, Created: 3}, batch.NewLog(batch.Job{ID: "j1", Items: []batch.Item{{ID: "i"}}}), false)
		h.endJob("j1", End{}, byNotice)
		time.Sleep(3 * time.Second)
		h.mu.Lock()
		ended := h.jobs["j1"].log.Ended()
		h.mu.Unlock()
		cancel()
		h.done.Wait()
		require.True(t, ended)
	})
}

// Guards against a job that fits and is refused, since all items of jobs that are not loaded yet count as open.
func TestJobThatFitsIsNotRefusedWhileJobsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, c := newMemory()
		o := object.Object{Name: "j1", Revision: 3, Created: 3, Spec: json.RawMessage(`{"host":"h","path":"/lot/1","items":[{"id":"a","tokens":90},{"id":"b","tokens":1}]}`)}
		m.objects[KindJobs+"/j1"] = o
		_, err := c.Create(t.Context(), resultsKind("j1"), chunkName(0), batch.Chunk{Term: 0, Results: []batch.Result{{Item: "a", State: batch.Completed}}})
		require.NoError(t, err)
		list := c.List
		c.List = func(ctx context.Context, kind, after string) ([]object.Object, object.Revision, bool, error) {
			time.Sleep(2 * time.Second) // results are read slowly
			return list(ctx, kind, after)
		}
		ctx, cancel := context.WithCancel(t.Context())
		h := newLoadingHome(ctx, c)
		h.opts.Config = func() site.Config {
			return site.NewConfig(1, []site.Route{{Name: "lot", Host: "h", Prefix: "/lot", TokenCap: 100}}, nil, site.Limits{})
		}
		h.opts.Valid = func(time.Time) bool { return true }
		h.reserved = map[string]reservation{}
		h.applyJobs(object.Change{Listed: true, At: 3, Objects: []object.Object{o}})
		time.Sleep(time.Second)
		a := h.room(reserveRequest{Job: "j2", Host: "h", Path: "/lot/1", Tokens: 50, Attempt: "1"})
		cancel()
		h.done.Wait()
		require.True(t, a.OK || a.Undecided, "refused, with %d tokens counted as open; 1 is", a.Open)
	})
}
