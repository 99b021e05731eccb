package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/outcome"
)

// putAnswer is what a scripted service answers to one write; the answers after the last one are like it.
type putAnswer struct {
	applied bool
	err     error
}

// scripted is an object service whose writes are answered by a script.
type scripted struct {
	object  Object
	puts    []putAnswer
	readErr error
	// before runs before each read.
	before func(s *scripted)
}

func (s *scripted) client() Client {
	return Client{
		Get: func(context.Context, string) (Object, error) {
			if s.before != nil {
				s.before(s)
			}
			if s.readErr == nil && s.object.Version == Absent {
				return Object{}, ErrNotFound
			}
			return s.object, s.readErr
		},
		Put: func(_ context.Context, key string, value []byte, expect Version) (Version, error) {
			a := s.puts[0]
			s.puts = s.puts[min(1, len(s.puts)-1):]
			if a.applied && s.object.Version != expect {
				return 0, ErrConflict
			}
			if a.applied {
				s.object = Object{Key: key, Version: expect + 1, Value: value}
			}
			return s.object.Version, a.err
		},
	}
}

// Guards against a write that may be applied late and is reported as without effect, since a repeated attempt was refused.
func TestLostWriteIsNotReportedAsRefused(t *testing.T) {
	lost, refused, reset := putAnswer{err: ErrUnknown}, putAnswer{err: ErrUnavailable}, putAnswer{err: context.DeadlineExceeded}
	overwrite := func(s *scripted) { s.object = Object{Version: 7, Value: []byte("other")} }
	for _, tc := range []struct {
		name    string
		service scripted
		want    outcome.Outcome
		changed bool
	}{
		{"refused", scripted{puts: []putAnswer{refused}}, outcome.NotDone, false},
		{"lost, then refused", scripted{puts: []putAnswer{lost, refused}}, outcome.Unknown, false},
		{"lost, then not known", scripted{puts: []putAnswer{lost, reset}}, outcome.Unknown, false},
		{"not known, then refused", scripted{puts: []putAnswer{reset, refused}}, outcome.Unknown, false},
		{"lost, then refused, then done", scripted{puts: []putAnswer{lost, refused, {applied: true}}}, outcome.Done, false},
		{"applied and lost", scripted{puts: []putAnswer{{applied: true, err: ErrUnknown}, refused}}, outcome.Done, false},
		{"lost and no read answered", scripted{puts: []putAnswer{lost}, readErr: ErrUnavailable}, outcome.Unknown, false},
		{"lost and another value there", scripted{puts: []putAnswer{lost, refused}, before: overwrite}, outcome.Unknown, true},
		{"another value there", scripted{object: Object{Version: 7}, puts: []putAnswer{{applied: true}}}, outcome.NotDone, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := PutConfirmed(t.Context(), tc.service.client(), "k", []byte("v"), Absent)
				require.Equal(t, tc.want, OutcomeOf(err), "%v", err)
				require.Equal(t, tc.changed, Changed(err), "%v", err)
				if tc.want == outcome.Unknown {
					require.ErrorIs(t, err, ErrUnknown)
					require.NotErrorIs(t, err, ErrUnavailable)
					require.NotErrorIs(t, err, ErrConflict)
				}
			})
		})
	}
}

// Guards against answers that prove nothing and are taken for a refusal or a success.
func TestOutcomeOfAWriteByItsAnswer(t *testing.T) {
	for _, tc := range []struct {
		status int
		tag    string
		want   outcome.Outcome
	}{
		{http.StatusOK, `"3"`, outcome.Done},
		{http.StatusOK, "", outcome.Unknown},
		{http.StatusPreconditionFailed, "", outcome.NotDone},
		{http.StatusNotFound, "", outcome.NotDone},
		{http.StatusServiceUnavailable, "", outcome.NotDone},
		{http.StatusTooManyRequests, "", outcome.NotDone},
		{http.StatusRequestEntityTooLarge, "", outcome.NotDone},
		{http.StatusNotModified, "", outcome.Unknown},
		{http.StatusSeeOther, "", outcome.Unknown},
		{http.StatusTemporaryRedirect, "", outcome.Unknown},
		{http.StatusRequestTimeout, "", outcome.Unknown},
		{http.StatusInternalServerError, "", outcome.Unknown},
		{http.StatusBadGateway, "", outcome.Unknown},
		{http.StatusGatewayTimeout, "", outcome.Unknown},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", tc.tag)
			if r.Method == http.MethodGet { // where a redirect leads
				w.Header().Set("ETag", ETag(1))
				return
			}
			w.Header().Set("Location", r.URL.Path)
			w.WriteHeader(tc.status)
		}))
		c := NewHTTP(server.URL, server.Client())
		_, err := c.Put(t.Context(), "k", []byte("v"), Absent)
		assert.Equal(t, tc.want, OutcomeOf(err), "status %d: %v", tc.status, err)
		if tc.status != http.StatusOK {
			assert.Equal(t, tc.want, OutcomeOf(c.Delete(t.Context(), "k", 1)), "status %d", tc.status)
		}
		server.Close()
		_, err = c.Put(t.Context(), "k", []byte("v"), Absent)
		require.ErrorIs(t, err, ErrUnavailable, "nothing listens")
		_, err = c.Put(t.Context(), "k", make([]byte, MaxValueBytes+1), Absent)
		assert.Equal(t, outcome.NotDone, OutcomeOf(err), "not sent")
	}
}
