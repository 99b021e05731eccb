package inbound

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against empty lines behind a body that are taken for a request, and hold up a drain.
func TestEmptyLinesAreNoRequest(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
	for _, tc := range []struct {
		name  string
		sends []string
		// within bounds the drain.
		within time.Duration
	}{
		{"after the body", []string{post, "\r\n"}, drainInterval + lastLook},
		{"after the body, one at a time", []string{post, "\r", "\n"}, drainInterval + lastLook},
		// net/http has them in its buffer, where they may be anything.
		{"with the body", []string{post + "\r\n"}, DefaultLimits().HeadTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTCPSite(readAll)
				defer s.close()
				for i, piece := range tc.sends {
					_, _ = io.WriteString(s.caller, piece)
					time.Sleep(time.Millisecond)
					if i == 0 {
						_, err := s.answer()
						require.NoError(t, err)
					}
				}
				began := time.Now()
				go func() {
					_, _ = s.answer()
					_ = s.caller.Close()
				}()
				require.NoError(t, s.listener.Drain(context.Background()))
				require.LessOrEqual(t, time.Since(began), tc.within)
			})
		})
	}
}

// Guards against a part of a head of some length that isn't told from the byte that net/http reads beside an answer.
func TestPartOfAnyLengthIsRefused(t *testing.T) {
	for _, length := range []int{1, 2, 4094, 4095, 4096, 4097, 8191, 8192} {
		for _, first := range []string{"", request} {
			synctest.Test(t, func(t *testing.T) {
				s := newTCPSite(readAll)
				defer s.close()
				if first != "" {
					_, _ = io.WriteString(s.caller, first)
					_, err := s.answer()
					require.NoError(t, err)
				}
				part := "GET /" + strings.Repeat("x", 10000)
				_, _ = io.WriteString(s.caller, part[:length])
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				go func() { _ = s.listener.Drain(ctx) }()
				r, err := s.answer()
				require.NoError(t, err, length)
				require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, length)
			})
		}
	}
}

// Guards against a count that misses requests whose connection is closed under their handler.
func TestRequestClosedUnderItsHandlerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTCPSite(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			readAll(w, r)
		})
		defer s.close()
		_, _ = io.WriteString(s.caller, request)
		time.Sleep(500 * time.Millisecond)
		for _, c := range s.listener.open() {
			_ = c.Close()
		}
		require.EqualValues(t, 1, s.listener.unanswered.Count())
	})
}
