package ledger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	fakestore "mothcart/fake/store"
	"mothcart/io/store"
)

// Guards against an intent that is reported as not written, since a read came before a write whose answer proves nothing.
func TestIntentThatIsWrittenLate(t *testing.T) {
	for _, lost := range []error{errors.New("connection reset"), errors.Join(store.ErrUnavailable, store.ErrUnknown)} {
		synctest.Test(t, func(t *testing.T) {
			s := fakestore.New(fakestore.NewOptions())
			u := &upstream{}
			opts := testOptions("e1", s, u)
			put, puts := opts.Store.Put, 0
			opts.Store.Put = func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
				if puts++; puts > 1 {
					return put(ctx, key, value, expect)
				}
				time.AfterFunc(20*time.Millisecond, func() { _, _ = put(context.Background(), key, value, expect) })
				return 0, lost
			}
			l := New(opts)
			defer l.Close()
			first, err := l.Do(t.Context(), testRequest("swap"))
			require.NoError(t, err, "the late write is found")
			require.Equal(t, 1, u.count(first.ID))
		})
	}
}
