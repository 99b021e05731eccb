package home

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/object"
)

// Guards against a job that waits to be read while another one's read hangs, though more jobs may be read at a time.
func TestHangingReadHoldsUpNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := newMemory()
		first, second := largeJob("", 2), largeJob("", 2)
		second.ID = "j2"
		require.NoError(t, CreateJob(t.Context(), c, first))
		require.NoError(t, CreateJob(t.Context(), c, second))
		list := c.List
		c.List = func(ctx context.Context, kind, after string) ([]object.Object, object.Revision, bool, error) {
			if strings.Contains(kind, "j1") {
				<-ctx.Done()
				return nil, 0, false, ctx.Err()
			}
			return list(ctx, kind, after)
		}
		ctx, cancel := context.WithCancel(t.Context())
		h := newLoadingHome(ctx, c)
		h.hintRead = true
		for _, id := range []string{"j1", "j2"} {
			o, err := c.Get(t.Context(), KindJobs, id)
			require.NoError(t, err)
			h.applyJobs(object.Change{Events: []object.Event{{Object: o}}})
			time.Sleep(loadInterval + time.Millisecond)
		}
		require.True(t, h.hasJob("j2"))
		cancel()
		h.done.Wait()
	})
}
