package job

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"mothcart/core/job"
	fakestore "mothcart/fake/store"
	"mothcart/io/store"
)

// replacing returns a client of which the nth write of a job's head is applied and not answered. Another VM writes the head
// then, and after one more read no call is answered.
func replacing(c store.Client, nth int) store.Client {
	reads, writes := -1, 0
	get, put := c.Get, c.Put
	c.Get = func(ctx context.Context, key string) (store.Object, error) {
		if reads >= 0 {
			reads++
		}
		if reads > 1 {
			return store.Object{}, store.ErrUnavailable
		}
		return get(ctx, key)
	}
	c.Put = func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
		var h job.Head
		if !strings.HasPrefix(key, headKey("")) || decode(value, &h) != nil || h.ID == "" {
			return put(ctx, key, value, expect)
		}
		version, err := put(ctx, key, value, expect)
		if writes++; err != nil || writes != nth {
			return version, err
		}
		raw, err := encode(h.WithWriter("another VM"))
		if err != nil {
			return 0, err
		}
		if _, err := put(ctx, key, raw, version); err != nil {
			return 0, err
		}
		reads = 0
		return 0, store.ErrUnknown
	}
	return c
}

// withStore returns a VM with a client of the object service.
func withStore(t *testing.T, c store.Client) *Jobs {
	j, err := New(NewOptions("e1", c).WithMembers(func() []string { return []string{"e1"} }))
	require.NoError(t, err)
	return j
}

// Guards against a call that is reported as without effect, since its second attempt failed, though the first may have had
// effect.
func TestCallThatMayHaveHadEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions())
		j := withStore(t, s.Client())
		defer j.Close()
		status, err := j.Submit(t.Context(), spec(3))
		require.NoError(t, err)

		other := withStore(t, replacing(s.Client(), 1))
		defer other.Close()
		_, err = other.Cancel(t.Context(), "team", status.Head.ID)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.NotErrorIs(t, err, ErrUnavailable)
		after, err := j.Get(t.Context(), "team", status.Head.ID)
		require.NoError(t, err)
		require.Equal(t, job.Cancelling, after.Head.State, "the cancellation had effect")

		another := withStore(t, replacing(s.Client(), 2)) // the write that accepts the job
		defer another.Close()
		submission := spec(4)
		submission.Key = "lot-8"
		_, err = another.Submit(t.Context(), submission)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.NotErrorIs(t, err, ErrUnavailable)
		page, err := j.List(t.Context(), "team", "", 10)
		require.NoError(t, err)
		require.Len(t, page.Jobs, 2, "the submission had effect")
	})
}

// Guards against a deletion that is reported as without effect though the file is gone.
func TestDeletionThatFailsInTheMiddle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakestore.New(fakestore.NewOptions())
		c := s.Client()
		remove, deletions := c.Delete, 0
		c.Delete = func(ctx context.Context, key string, expect store.Version) error {
			if deletions++; deletions > 1 {
				return store.ErrUnavailable
			}
			return remove(ctx, key, expect)
		}
		j := withStore(t, c)
		defer j.Close()
		f, err := j.PutFile(t.Context(), "team", "n", "batch", strings.NewReader("line"))
		require.NoError(t, err)
		err = j.DeleteFile(t.Context(), "team", f.ID)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.NotErrorIs(t, err, ErrUnavailable)
		_, err = j.GetFile(t.Context(), "team", f.ID)
		require.ErrorIs(t, err, ErrNotFound)
	})
}
