package home

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/outcome"
	"mothcart/core/plainjson"
	"mothcart/io/object"
	"mothcart/io/store"
)

// memory holds objects in memory, of which those of a kind can't be created. Attempts at a write may overlap.
type memory struct {
	mu      sync.Mutex
	objects map[string]object.Object
	refused string
	// maxBytes is the size of the largest spec, 0 means no limit; tooLarge counts the writes of larger ones.
	maxBytes, tooLarge int
	// unanswered is asked of each creation whether it is executed without an answer; nil means that none is.
	unanswered func(kind, name string) bool
	// reads is the number of reads of one object, readFaults what becomes of the next ones.
	reads      int
	readFaults []error
}

// refuse makes the creations of a kind fail.
func (m *memory) refuse(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = kind
}

// newMemory returns a client of objects in memory.
func newMemory() (*memory, object.Client) {
	m := &memory{objects: make(map[string]object.Object)}
	return m, object.Client{
		Create: func(_ context.Context, kind, name string, spec any) (object.Object, error) {
			b, err := plainjson.Marshal(spec)
			m.mu.Lock()
			defer m.mu.Unlock()
			if kind == m.refused {
				return object.Object{}, store.ErrUnavailable
			}
			if m.maxBytes > 0 && len(b) > m.maxBytes {
				m.tooLarge++
				return object.Object{}, merry.Errorf("%w: %w", store.ErrUnavailable, object.ErrRejected)
			}
			if _, ok := m.objects[kind+"/"+name]; ok {
				return object.Object{}, store.ErrConflict // only calls with a revision are promised the object
			}
			o := object.Object{Name: name, Spec: b}
			m.objects[kind+"/"+name] = o
			if m.unanswered != nil && m.unanswered(kind, name) {
				return object.Object{}, store.ErrUnknown
			}
			return o, err
		},
		Get: func(_ context.Context, kind, name string) (object.Object, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.reads++; len(m.readFaults) > 0 {
				err := m.readFaults[0]
				m.readFaults = m.readFaults[1:]
				if err != nil {
					return object.Object{}, err
				}
			}
			if o, ok := m.objects[kind+"/"+name]; ok {
				return o, nil
			}
			return object.Object{}, store.ErrNotFound
		},
		List: func(_ context.Context, kind, _ string) ([]object.Object, object.Revision, bool, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			var list []object.Object
			for _, key := range slices.Sorted(maps.Keys(m.objects)) {
				if strings.HasPrefix(key, kind+"/") {
					list = append(list, m.objects[key])
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
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
				defer cancel()
				m, c := newMemory()
				if tc.unfinished {
					m.refuse(KindJobs)
				}
				err := CreateJob(ctx, c, largeJob("desk", tc.before))
				require.Equal(t, tc.unfinished, err != nil, "%v", err)
				m.refuse("")
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
		})
	}
}

// Guards against a job that can't be read since more parts of its ID exist, which an earlier release left.
func TestJobIgnoresPartsBeyondItsOwn(t *testing.T) {
	_, c := newMemory()
	require.NoError(t, CreateJob(t.Context(), c, largeJob("", 2)))
	_, err := c.Create(t.Context(), partsPrefix+"j1", chunkName(2), part{Items: largeJob("other", 1).Items})
	require.NoError(t, err)
	log, err := LoadJob(t.Context(), c, "j1")
	require.NoError(t, err)
	require.Len(t, log.Job().Items, 2)
}

// Guards against a job of nobody that counts as written though an account has one with its ID.
func TestJobWithoutAccountConflicts(t *testing.T) {
	_, c := newMemory()
	job := batch.Job{ID: "j1", Account: "desk", Items: []batch.Item{{ID: "i"}}}
	require.NoError(t, CreateJob(t.Context(), c, job))
	job.Account = ""
	require.ErrorIs(t, CreateJob(t.Context(), c, job), store.ErrConflict)
}

// Guards against jobs that are never stored, since an object with some of their items is larger than the object service allows.
func TestJobsAreDividedByTheirSizeAsObjects(t *testing.T) {
	const limit = 64 << 10
	for _, tc := range []struct {
		name   string
		items  int
		body   int
		header string
		path   string
		parts  int
		want   error
	}{
		{"small", 3, 100, "x", "/lot/1", 0, nil},
		{"large bodies", 40, 6 << 10, "x", "/lot/1", 6, nil},
		{"headers of quotes", 40, 10, strings.Repeat("\"", 2<<10), "/lot/1", 3, nil},
		{"headers of control characters", 40, 10, strings.Repeat("\x01", 2<<10), "/lot/1", 9, nil},
		{"one item that leaves no room for the path", 1, 35 << 10, "x", "/" + strings.Repeat("p", 15<<10), 1, nil},
		{"an item that no object holds", 3, limit, "x", "/lot/1", 0, object.ErrRejected},
		{"a path that no object holds", 3, 10, "x", "/" + strings.Repeat("p", limit), 0, object.ErrRejected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, c := newMemory()
			m.maxBytes, c.ValueBytes = limit, limit
			job := batch.Job{ID: "j1", Host: "h.example", Path: tc.path}
			for i := range tc.items {
				job.Items = append(job.Items, batch.Item{ID: fmt.Sprint("i", i), Path: "/lot/1", Header: map[string]string{"H": tc.header}, Body: make([]byte, tc.body), Tokens: 5})
			}
			err := CreateJob(t.Context(), c, job)
			require.Zero(t, m.tooLarge)
			if tc.want != nil {
				require.ErrorIs(t, err, tc.want)
				require.Equal(t, outcome.NotDone, store.OutcomeOf(err))
				require.Empty(t, m.objects, "nothing is written in part")
				return
			}
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(m.objects), 1+tc.parts)
			require.NoError(t, CreateJob(t.Context(), c, job), "again")
			log, err := LoadJob(t.Context(), c, "j1")
			require.NoError(t, err)
			require.Equal(t, job.Items, log.Job().Items)
		})
	}
}
