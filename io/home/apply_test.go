package home

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/site"
	"mothcart/core/submission"
	"mothcart/core/tombstone"
	"mothcart/io/object"
)

// newLoadingHome returns a home that has listed no jobs yet, starts no items and ends with the test's context.
func newLoadingHome(ctx context.Context, c object.Client) *Home {
	registry := metrics.NewRegistry()
	return &Home{
		ctx: ctx, jobs: map[string]*job{}, unloaded: map[string]settledJob{}, loading: map[string]*loading{}, listed: newListedJobs(),
		submissions: submission.NewTable(), tombstones: tombstone.NewTable(), progressLoaded: make(chan struct{}),
		metrics: homeMetrics{ends: newEndMetrics(registry), loads: newLoadMetrics(registry)},
		opts:    Options{Objects: c, Config: func() site.Config { return site.Config{} }, Now: time.Now, TimeOfDay: time.Now, Log: zerolog.Nop()},
	}
}

// Guards against a job that comes back, since what was told of it came before it, or since an older copy of it came later.
func TestOlderCopyOfAJobDoesNotBringItBack(t *testing.T) {
	at := func(revision object.Revision, status string) object.Object {
		created := object.Revision(3)
		if revision > 5 {
			created = revision // another job with the ID
		}
		return object.Object{Name: "j1", Revision: revision, Created: created, Spec: json.RawMessage(`{"items":[{"id":"i"}]}`), Status: json.RawMessage(status)}
	}
	const open, ended = `{}`, `{"ended":true}`
	listing := func(at object.Revision, objects ...object.Object) func(*Home) {
		return func(h *Home) { h.applyJobs(object.Change{Listed: true, At: at, Objects: objects}) }
	}
	event := func(o object.Object) func(*Home) {
		return func(h *Home) { h.applyJobs(object.Change{Events: []object.Event{{Object: o}}}) }
	}
	removal := func(revision object.Revision) func(*Home) {
		return func(h *Home) {
			h.applyJobs(object.Change{Events: []object.Event{{Object: at(revision, open), Deleted: true}}})
		}
	}
	oldNotice := func(h *Home) { h.endJob("j1", End{}, byNotice) }
	notice := func(revision object.Revision) func(*Home) {
		return func(h *Home) { h.endJob("j1", End{Revision: revision, Created: at(revision, ended).Created}, byNotice) }
	}
	for _, tc := range []struct {
		name  string
		steps []func(*Home)
		// stored is the object in the service when the steps are over; nil means none.
		stored *object.Object
		held   bool
	}{
		{"open", []func(*Home){listing(5, at(3, open))}, ptr(at(3, open)), true},
		{"created later", []func(*Home){listing(5), event(at(6, open))}, ptr(at(6, open)), true},
		{"notice before the first listing, which is older", []func(*Home){notice(4), listing(3, at(3, open))}, ptr(at(4, ended)), false},
		{"notice of an earlier release before the first listing", []func(*Home){oldNotice, listing(3, at(3, open))}, ptr(at(4, ended)), false},
		{"notice of an earlier release of another job with the ID", []func(*Home){oldNotice, listing(9, at(9, open))}, ptr(at(9, open)), true},
		{"notice while the job is read", []func(*Home){listing(3, at(3, open)), notice(4)}, ptr(at(4, ended)), false},
		{"event while the job is read", []func(*Home){listing(3, at(3, open)), event(at(4, ended))}, ptr(at(4, ended)), false},
		{"notice before the event of the creation", []func(*Home){listing(2), notice(4), event(at(3, open))}, ptr(at(4, ended)), false},
		{"late notice of an earlier job with the ID", []func(*Home){listing(9, at(9, open)), notice(4)}, ptr(at(9, open)), true},
		{"older listing after the end", []func(*Home){listing(2), event(at(3, open)), event(at(4, ended)), listing(3, at(3, open))}, ptr(at(4, ended)), false},
		{"older listing after the removal", []func(*Home){listing(2), event(at(3, open)), removal(5), listing(3, at(3, open))}, nil, false},
		{"removal with the revision of the last change", []func(*Home){listing(2), event(at(3, open)), removal(3), listing(3, at(3, open))}, nil, false},
		{"removal while the job is read", []func(*Home){listing(3, at(3, open)), removal(5)}, nil, false},
		{"removal that only a listing shows", []func(*Home){listing(3, at(3, open)), listing(7)}, nil, false},
		{"older listing without the job", []func(*Home){listing(2), event(at(6, open)), listing(4)}, ptr(at(6, open)), true},
		{"notice of an earlier release of an earlier job with the ID, while the job is read", []func(*Home){listing(9, at(9, open)), oldNotice}, ptr(at(9, open)), true},
		{"notice of an earlier release while the job is read", []func(*Home){listing(3, at(3, open)), oldNotice}, ptr(at(4, ended)), false},
		{"notice for a later job with the ID", []func(*Home){listing(3, at(3, open)), notice(7), removal(5), event(at(6, open))}, nil, false},
		{"listing with a later job of the ID before the events", []func(*Home){listing(3, at(3, ended)), listing(6, at(6, open)), removal(5), event(at(6, open))}, ptr(at(6, open)), true},
		{"late removal of an earlier job with the ID", []func(*Home){listing(9, at(9, open)), removal(5)}, ptr(at(9, open)), true},
		{"created again after the removal", []func(*Home){listing(2), event(at(3, open)), removal(5), event(at(6, open))}, ptr(at(6, open)), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, c := newMemory()
				if tc.stored != nil {
					m.objects[KindJobs+"/j1"] = *tc.stored
				}
				list := c.List
				c.List = func(ctx context.Context, kind, after string) ([]object.Object, object.Revision, bool, error) {
					time.Sleep(time.Second) // results are read slowly
					return list(ctx, kind, after)
				}
				ctx, cancel := context.WithCancel(t.Context())
				h := newLoadingHome(ctx, c)
				for _, step := range tc.steps {
					step(h)
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				require.Equal(t, tc.held, h.hasJob("j1") && !h.jobs["j1"].log.Ended())
				require.Empty(t, h.loading)
				cancel()
				h.done.Wait()
			})
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against a home that hears of the end of a job only after it has read the parts of another, large one.
func TestPartsThatAreReadSlowlyDelayNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := newMemory()
		require.NoError(t, CreateJob(t.Context(), c, largeJob("", 2)))
		large, err := c.Get(t.Context(), KindJobs, "j1")
		require.NoError(t, err)
		c.List = func(ctx context.Context, _, _ string) ([]object.Object, object.Revision, bool, error) {
			<-ctx.Done()
			return nil, 0, false, ctx.Err()
		}
		ctx, cancel := context.WithCancel(t.Context())
		h := newLoadingHome(ctx, c)
		h.hintRead = true
		h.hold(object.Object{Name: "j2", Revision: 1}, batch.NewLog(batch.Job{ID: "j2", Items: []batch.Item{{ID: "i"}}}), false)
		begun := time.Now()
		h.applyJobs(object.Change{Events: []object.Event{
			{Object: large}, {Object: object.Object{Name: "j2", Revision: 2, Status: json.RawMessage(`{"ended":true}`)}},
		}})
		require.Zero(t, time.Since(begun))
		require.True(t, h.jobs["j2"].log.Ended())
		cancel()
		h.done.Wait()
	})
}
