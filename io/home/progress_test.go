package home

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"mothcart/core/batch"
	"mothcart/core/poison"
	"mothcart/core/slot"
	"mothcart/io/object"
)

// Guards against a job that gets results of an earlier one with its ID, which the home had taken over and never used.
func TestProgressIsNotThatOfALaterJob(t *testing.T) {
	at := func(revision, created object.Revision, status string) object.Object {
		return object.Object{Name: "j1", Revision: revision, Created: created, Spec: json.RawMessage(`{"items":[{"id":"i"}]}`), Status: json.RawMessage(status)}
	}
	listing := func(objects ...object.Object) func(*Home) {
		return func(h *Home) { h.applyJobs(object.Change{Listed: true, At: 5, Objects: objects}) }
	}
	event := func(o object.Object, deleted bool) func(*Home) {
		return func(h *Home) { h.applyJobs(object.Change{Events: []object.Event{{Object: o, Deleted: deleted}}}) }
	}
	wait := func(h *Home) {
		for range 90 {
			time.Sleep(time.Second)
			h.sweepLoads(time.Now())
		}
	}
	for _, tc := range []struct {
		name  string
		steps []func(*Home)
		want  int
	}{
		{"of this job, which the previous home began", []func(*Home){listing(), event(at(6, 6, `{}`), false)}, 1},
		{"ended before it was loaded", []func(*Home){listing(at(4, 3, `{"ended":true}`)), event(at(6, 3, `{}`), true), event(at(7, 7, `{}`), false)}, 0},
		{"replaced", []func(*Home){listing(at(4, 3, `{"ended":true}`)), event(at(7, 7, `{}`), false)}, 0},
		{"removed before the home listed the jobs", []func(*Home){listing(), wait, event(at(7, 7, `{}`), false)}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := newMemory()
				ctx, cancel := context.WithCancel(t.Context())
				h := newLoadingHome(ctx, c)
				h.metrics.results, h.metrics.chunks = metrics.NewCounter(), newChunkMetrics(metrics.NewRegistry())
				h.pool = NewSlotPool(slot.NewOptions(), time.Now, func([]poison.Finding) {}, func([]slot.LimitChange) {})
				h.progress, h.startedAt = make(map[[2]string]ItemProgress), time.Now()
				h.mergeProgress("standby", []ItemProgress{{Job: "j1", Item: "i", State: batch.Completed, Text: "a"}})
				close(h.progressLoaded)
				for _, step := range tc.steps {
					step(h)
					synctest.Wait()
				}
				h.mu.Lock()
				finished := len(h.jobs["j1"].finished) + h.jobs["j1"].log.Len()
				h.mu.Unlock()
				require.Equal(t, tc.want, finished)
				cancel()
				h.done.Wait()
			})
		})
	}
}
