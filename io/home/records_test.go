package home

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/io/object"
	"mothcart/io/store"
)

// memoryClient returns a client of objects in memory, of which those of a kind can't be created.
func memoryClient(refused *string) object.Client {
	objects := make(map[string]object.Object)
	return object.Client{
		Create: func(_ context.Context, kind, name string, spec any) (object.Object, error) {
			if kind == *refused {
				return object.Object{}, store.ErrUnavailable
			}
			if o, ok := objects[kind+"/"+name]; ok {
				return o, store.ErrConflict
			}
			b, err := json.Marshal(spec)
			o := object.Object{Name: name, Spec: b}
			objects[kind+"/"+name] = o
			return o, err
		},
		Get: func(_ context.Context, kind, name string) (object.Object, error) {
			if o, ok := objects[kind+"/"+name]; ok {
				return o, nil
			}
			return object.Object{}, store.ErrNotFound
		},
		List: func(_ context.Context, kind, _ string) ([]object.Object, object.Revision, bool, error) {
			var list []object.Object
			for _, key := range slices.Sorted(maps.Keys(objects)) {
				if strings.HasPrefix(key, kind+"/") {
					list = append(list, objects[key])
				}
			}
			return list, 1, false, nil
		},
	}
}

// largeJob returns a job of an account with items that take an object each.
func largeJob(account string, items int) batch.Job {
	job := batch.Job{ID: "j1", Account: account}
	for i := range items {
		job.Items = append(job.Items, batch.Item{ID: fmt.Sprint(account, i), Body: make([]byte, jobBytes)})
	}
	return job
}

// Guards against the items of one account in the job of another one that has the same ID.
func TestLargeJobsOfAccountsDontMix(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before and after are jobs of the accounts "desk" and "press" with one ID; unfinished means that the object of
		// the first isn't written.
		before, after int
		unfinished    bool
	}{
		{"as many parts", 3, 3, false},
		{"more parts", 3, 5, false},
		{"fewer parts", 5, 3, false},
		{"parts of a job that was not written", 3, 3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
			defer cancel()
			refused := ""
			if tc.unfinished {
				refused = KindJobs
			}
			c := memoryClient(&refused)
			err := CreateJob(ctx, c, largeJob("desk", tc.before))
			require.Equal(t, tc.unfinished, err != nil, "%v", err)
			refused = ""
			require.ErrorIs(t, CreateJob(t.Context(), c, largeJob("press", tc.after)), store.ErrConflict)
			require.NoError(t, CreateJob(t.Context(), c, largeJob("desk", tc.before)), "sent again")
			log, err := LoadJob(t.Context(), c, "j1")
			require.NoError(t, err)
			require.Equal(t, "desk", log.Job().Account)
			require.Len(t, log.Job().Items, tc.before)
			for _, i := range log.Job().Items {
				require.Contains(t, i.ID, "desk")
			}
		})
	}
}

// Guards against a job that can't be read since more parts of its ID exist, which an earlier release left.
func TestJobIgnoresPartsBeyondItsOwn(t *testing.T) {
	refused := ""
	c := memoryClient(&refused)
	require.NoError(t, CreateJob(t.Context(), c, largeJob("", 2)))
	_, err := c.Create(t.Context(), partsPrefix+"j1", chunkName(2), part{Items: largeJob("other", 1).Items})
	require.NoError(t, err)
	log, err := LoadJob(t.Context(), c, "j1")
	require.NoError(t, err)
	require.Len(t, log.Job().Items, 2)
}

// Guards against a job of nobody that counts as written though an account has one with its ID.
func TestJobWithoutAccountConflicts(t *testing.T) {
	refused := ""
	c := memoryClient(&refused)
	job := batch.Job{ID: "j1", Account: "desk", Items: []batch.Item{{ID: "i"}}}
	require.NoError(t, CreateJob(t.Context(), c, job))
	job.Account = ""
	require.ErrorIs(t, CreateJob(t.Context(), c, job), store.ErrConflict)
}
