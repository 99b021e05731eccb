package object

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/store"
)

var errProvesNothing = errors.New("malformed answer")

func TestHedged(t *testing.T) {
	type reply struct {
		after time.Duration
		err   error
	}
	for _, tc := range []struct {
		name    string
		replies []reply // the last one repeats
		want    error
		took    time.Duration
		calls   int
	}{
		{"answered", []reply{{10 * time.Millisecond, nil}}, nil, 10 * time.Millisecond, 1},
		{"slow", []reply{{500 * time.Millisecond, nil}, {time.Hour, nil}}, nil, 500 * time.Millisecond, 2},
		{"first never answered", []reply{{time.Hour, nil}, {10 * time.Millisecond, nil}}, nil, 310 * time.Millisecond, 2},
		{"first applied late, second finds it", []reply{{time.Hour, nil}, {10 * time.Millisecond, store.ErrConflict}}, store.ErrConflict, 310 * time.Millisecond, 2},
		{"one answer lost, the other still pending", []reply{{400 * time.Millisecond, store.ErrUnknown}, {200 * time.Millisecond, nil}}, nil, 500 * time.Millisecond, 2},
		{"not available", []reply{{10 * time.Millisecond, store.ErrUnavailable}}, store.ErrUnavailable, 10 * time.Millisecond, 1},
		{"one may have had effect", []reply{{350 * time.Millisecond, store.ErrUnknown}, {100 * time.Millisecond, store.ErrUnavailable}}, store.ErrUnknown, 400 * time.Millisecond, 2},
		{"lost, then not found", []reply{{350 * time.Millisecond, store.ErrUnknown}, {100 * time.Millisecond, store.ErrNotFound}}, store.ErrUnknown, 400 * time.Millisecond, 2},
		{"not found while another is pending", []reply{{time.Hour, nil}, {10 * time.Millisecond, store.ErrNotFound}}, store.ErrUnknown, 2 * time.Second, 7},
		{"not found", []reply{{10 * time.Millisecond, store.ErrNotFound}}, store.ErrNotFound, 10 * time.Millisecond, 1},
		{"lost and refused in one error", []reply{{350 * time.Millisecond, errors.Join(store.ErrUnavailable, store.ErrUnknown)}, {100 * time.Millisecond, store.ErrUnavailable}}, store.ErrUnknown, 400 * time.Millisecond, 2},
		{"an answer that proves nothing, then refused", []reply{{350 * time.Millisecond, errProvesNothing}, {100 * time.Millisecond, store.ErrUnavailable}}, errProvesNothing, 400 * time.Millisecond, 2},
		{"an answer that proves nothing, then done", []reply{{350 * time.Millisecond, errProvesNothing}, {100 * time.Millisecond, nil}}, nil, 400 * time.Millisecond, 2},
		{"never answered", []reply{{time.Hour, nil}}, store.ErrUnknown, 2 * time.Second, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				var calls atomic.Int64
				started := time.Now()
				_, err := Hedged(ctx, createHedgeDelay, func(ctx context.Context) (int, error) {
					r := tc.replies[min(int(calls.Add(1)), len(tc.replies))-1]
					select {
					case <-time.After(r.after):
						return 0, r.err
					case <-ctx.Done():
						return 0, store.ErrUnknown
					}
				})
				require.ErrorIs(t, err, tc.want)
				require.Equal(t, tc.took, time.Since(started))
				require.EqualValues(t, tc.calls, calls.Load())
			})
		})
	}
}
