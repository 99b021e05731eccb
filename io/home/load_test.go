package home

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/object"
	"mothcart/io/store"
)

// Guards against an accepted job that never runs, since its items could not be read when the watch delivered it.
func TestJobWhoseItemsCantBeReadIsReadAgain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended bool
	}{{"open", false}, {"ended in the meantime", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := newMemory()
				require.NoError(t, CreateJob(t.Context(), c, largeJob("", 2)))
				o, err := c.Get(t.Context(), KindJobs, "j1")
				require.NoError(t, err)
				var readable atomic.Bool
				list := c.List
				c.List = func(ctx context.Context, kind, after string) ([]object.Object, object.Revision, bool, error) {
					if !readable.Load() {
						return nil, 0, false, store.ErrUnavailable
					}
					time.Sleep(10 * time.Millisecond)
					return list(ctx, kind, after)
				}
				ctx, cancel := context.WithCancel(t.Context())
				h := newLoadingHome(ctx, c)
				h.hintRead = true
				h.applyJobs(object.Change{Events: []object.Event{{Object: o}}})
				synctest.Wait() // the items could not be read once
				require.False(t, h.hasJob("j1"))
				readable.Store(true)
				if tc.ended {
					time.Sleep(retryPause + time.Millisecond) // the items are being read
					o.Status = []byte(`{"ended":true}`)
					h.applyJobs(object.Change{Events: []object.Event{{Object: o}}})
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, !tc.ended, h.hasJob("j1"))
				cancel()
				h.done.Wait()
			})
		})
	}
}
