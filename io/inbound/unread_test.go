package inbound

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that waits for the rest of a body that it doesn't need, in a drain and in calm.
func TestAnswerDoesNotWaitForBody(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no route", http.StatusNotFound) }
	bounded := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2)); err != nil {
			http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		}
	}
	for _, tc := range []struct {
		name    string
		h       http.HandlerFunc
		leaves  bool
		status  int
		at      time.Duration
		headers string
	}{
		{"in a drain", refuse, true, http.StatusNotFound, 0, "Content-Length: 100"},
		{"in a drain, in chunks", refuse, true, http.StatusNotFound, 0, "Transfer-Encoding: chunked"},
		{"in calm", refuse, false, http.StatusNotFound, unreadTime, "Content-Length: 100"},
		{"in calm, in chunks", refuse, false, http.StatusNotFound, unreadTime, "Transfer-Encoding: chunked"},
		{"too large", bounded, false, http.StatusRequestEntityTooLarge, 0, "Content-Length: 100"},
		{"too large, in a drain", bounded, true, http.StatusRequestEntityTooLarge, 0, "Content-Length: 100"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTCPSite(tc.h)
				defer s.close()
				if tc.leaves {
					s.listener.Leave()
				}
				_, _ = io.WriteString(s.caller, "POST / HTTP/1.1\r\nHost: a\r\n"+tc.headers+"\r\n\r\n5\r\nhel")
				began := time.Now()
				r, err := s.answer()
				require.NoError(t, err)
				require.Equal(t, tc.status, r.StatusCode)
				require.Equal(t, tc.at, time.Since(began))
				require.True(t, r.Close)
				time.Sleep(unreadTime + 2*lingerTime + time.Millisecond) // net/http may wait as long before it closes
				require.Zero(t, s.listener.Open())
			})
		})
	}
}
