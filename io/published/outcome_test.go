package published

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/publication"
	"mothcart/io/store"
)

// Guards against a publication that is reported as not published though its update is applied late, after an answer that
// proves nothing.
func TestLateUpdateIsNotReportedAsUnpublished(t *testing.T) {
	for _, lost := range []error{errors.New("connection reset"), errors.Join(store.ErrUnavailable, store.ErrUnknown)} {
		synctest.Test(t, func(t *testing.T) {
			c := newStore().Client()
			put, updates := c.Put, 0
			c.Put = func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
				if key != publication.RootKey {
					return put(ctx, key, value, expect)
				}
				if updates++; updates > 1 {
					return 0, store.ErrUnavailable
				}
				time.AfterFunc(time.Second, func() { _, _ = put(context.Background(), key, value, expect) })
				return 0, lost
			}
			f := start(t, Options{Self: "e1", Store: c})
			result := apply(t, f, classSet(t, "night"), nil)
			require.EqualValues(t, 1, result.Generation)
		})
	}
}

// Guards against an apply that waits for ever for a block that is never answered, and blocks all others of its VM.
func TestBlockThatIsNeverAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStore().Client()
		put := c.Put
		c.Put = func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
			if strings.HasPrefix(key, publication.RootKey) {
				return put(ctx, key, value, expect)
			}
			return 0, store.ErrUnknown
		}
		f := start(t, Options{Self: "e1", Store: c})
		began := time.Now()
		_, err := f.Apply(context.WithoutCancel(t.Context()), time.Now(), "abebe", classSet(t, "night"), nil)
		require.ErrorIs(t, err, ErrUnavailable)
		require.LessOrEqual(t, time.Since(began), resolveTimeout+maxResolvePause)
	})
}
