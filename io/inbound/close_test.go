package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that is lost on its way, since its connection is closed while more arrives from the caller.
func TestCloseDestroysNoAnswer(t *testing.T) {
	const size = 200_000
	more := strings.Repeat("x", 8<<10)
	large := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" { // without reading the body
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Length", "200000")
		_, _ = io.WriteString(w, strings.Repeat("y", size))
	}
	for _, tc := range []struct {
		name, sends string
		// leaves reports that the server leaves before, drains that it drains before the caller sends more.
		leaves, drains bool
		status         int
	}{
		{"told that the connection ends", request + request + more, true, false, http.StatusOK},
		{"a drain and the next request cross", request, false, true, http.StatusOK},
		{"a bad head", "GET\r\n\r\n" + more, false, false, http.StatusBadRequest},
		{"a head that is too large", "GET / HTTP/1.1\r\n" + strings.Repeat("a: "+strings.Repeat("b", 1000)+"\r\n", 2000), false, false, http.StatusRequestHeaderFieldsTooLarge},
		{"a body that is refused", "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" + more, false, false, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTCPSite(large)
				defer s.close()
				if tc.leaves {
					s.listener.Leave()
				}
				_, _ = io.WriteString(s.caller, tc.sends)
				time.Sleep(100 * time.Millisecond)
				drained := make(chan error, 1)
				drained <- nil
				if tc.drains {
					<-drained
					go func() { drained <- s.listener.Drain(t.Context()) }()
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(s.caller, request)
				}
				time.Sleep(lingerTime / 2)
				r, err := s.answer()
				require.NoError(t, err)
				require.Equal(t, tc.status, r.StatusCode)
				_ = s.caller.Close()
				require.NoError(t, <-drained)
				time.Sleep(time.Second)
				require.Zero(t, s.listener.Open())
			})
		})
	}
}

// Guards against connections that stay open for a caller that doesn't close them.
func TestCloseEndsWithoutTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTCPSite(readAll)
		defer s.close()
		s.listener.Leave()
		_, _ = io.WriteString(s.caller, request)
		time.Sleep(lingerTime - time.Millisecond)
		require.Equal(t, 1, s.listener.Open())
		time.Sleep(2 * time.Millisecond)
		require.Zero(t, s.listener.Open())
	})
}
