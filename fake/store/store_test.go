package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/io/store"
)

// The client in the same process and the one over HTTP must return the same results and errors.
func TestClientsBehaveAlike(t *testing.T) {
	for _, tc := range []struct {
		name   string
		client func(t *testing.T, s *Store) store.Client
	}{
		{"in process", func(_ *testing.T, s *Store) store.Client { return s.Client() }},
		{"over HTTP", func(t *testing.T, s *Store) store.Client {
			server := httptest.NewServer(s.Handler())
			t.Cleanup(server.Close)
			return store.NewHTTP(server.URL, http.DefaultClient)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx := context.Background()
			s := New(NewOptions())
			c := tc.client(t, s)
			v, err := c.Put(ctx, "a/b", []byte("1"), store.Absent)
			require.NoError(t, err)
			_, err = c.Put(ctx, "a/b", []byte("2"), store.Absent)
			require.ErrorIs(t, err, store.ErrConflict)
			o, err := c.Get(ctx, "a/b")
			require.NoError(t, err)
			assert.Equal(t, store.Object{Key: "a/b", Version: v, Value: []byte("1")}, o)
			listed, err := c.List(ctx, "a/", "", 10)
			require.NoError(t, err)
			assert.Equal(t, []store.Object{{Key: "a/b", Version: v}}, listed)
			o, err = c.Watch(ctx, "a/b", v, time.Millisecond)
			require.NoError(t, err)
			assert.Equal(t, v, o.Version)
			require.NoError(t, c.Delete(ctx, "a/b", v))
			_, err = c.Get(ctx, "a/b")
			require.ErrorIs(t, err, store.ErrNotFound)
			s.SetOutage(true)
			_, err = c.Put(ctx, "a/b", []byte("3"), store.Absent)
			require.ErrorIs(t, err, store.ErrUnavailable)
		})
	}
}

// A writer whose answer was lost must learn that its write took effect, and the next writer must get a
// conflict.
func TestPutConfirmedResolvesLostAnswers(t *testing.T) {
	ctx := context.Background()
	s := New(NewOptions().WithLostAnswerShare(1))
	v, err := store.PutConfirmed(ctx, s.Client(), "k", []byte("writer1/1"), store.Absent)
	require.NoError(t, err)
	_, err = store.PutConfirmed(ctx, s.Client(), "k", []byte("writer2/1"), store.Absent)
	require.ErrorIs(t, err, store.ErrConflict)
	o, err := s.Client().Get(ctx, "k")
	require.NoError(t, err)
	assert.Equal(t, v, o.Version)
	assert.Equal(t, "writer1/1", string(o.Value))
}
