package home

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"mothcart/io/object"
)

// Guards against the end of a job that is forgotten, or a job that never runs, since an earlier job with its ID had ended or had all
// its results.
func TestJobAfterOneWithItsID(t *testing.T) {
	at := func(revision, created object.Revision) object.Object {
		return object.Object{Name: "j1", Revision: revision, Created: created, Spec: json.RawMessage(`{"items":[{"id":"i"}]}`)}
	}
	event := func(h *Home, o object.Object, deleted bool) {
		h.applyJobs(object.Change{Events: []object.Event{{Object: o, Deleted: deleted}}})
	}
	for _, tc := range []struct {
		name  string
		steps func(h *Home)
		held  bool
	}{
		{"its end comes before it, while the ended one is there", func(h *Home) {
			event(h, at(3, 3), false)
			h.endJob("j1", End{Revision: 4, Created: 3}, byNotice)
			h.endJob("j1", End{Revision: 7, Created: 6}, byNotice)
			event(h, at(6, 6), false)
		}, false},
		{"it is new, and the earlier one had all its results", func(h *Home) {
			h.listed.add("j1", 3)
			event(h, at(3, 3), false)
			event(h, at(5, 3), true)
			event(h, at(6, 6), false)
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := newMemory()
				h := newLoadingHome(t.Context(), c)
				h.hintRead = true
				tc.steps(h)
				require.Equal(t, tc.held, h.hasJob("j1"))
			})
		})
	}
}

// Guards against a job that never runs, since an earlier one with its ID was removed while the home read which jobs are complete.
func TestJobAfterOneThatIsRemovedWhileTheHintIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := func(revision, created object.Revision) object.Object {
			return object.Object{Name: "j1", Revision: revision, Created: created, Spec: json.RawMessage(`{"items":[{"id":"i"}]}`)}
		}
		_, c := newMemory()
		_, err := c.Create(t.Context(), KindListed, mainName, listedRecord{Jobs: []string{"j1"}})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		h := newLoadingHome(ctx, c)
		get := c.Get
		h.opts.Objects.Get = func(ctx context.Context, kind, name string) (object.Object, error) {
			if kind == KindListed {
				h.applyJobs(object.Change{Events: []object.Event{{Object: at(5, 3), Deleted: true}}})
			}
			return get(ctx, kind, name)
		}
		h.applyJobs(object.Change{Listed: true, At: 4, Objects: []object.Object{at(3, 3)}})
		synctest.Wait()
		h.applyJobs(object.Change{Events: []object.Event{{Object: at(6, 6)}}})
		require.True(t, h.hasJob("j1"))
		cancel()
		h.done.Wait()
	})
}
