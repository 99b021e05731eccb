package node

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
	"mothcart/platform/fake"
)

func TestSiteServesEveryRouteKind(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for _, tc := range []struct {
			name, path, id string
		}{
			{"stream that can be resumed", "/ask/stream/1", "r1"},
			{"stream that runs once", "/once/stream/1", "r2"},
			{"idempotent call", "/fetch/1?x=%2F", "r3"},
			{"call that runs once", "/swap/1", "r4"},
		} {
			r := s.call(t.Context(), 1, http.MethodPost, tc.path, tc.id, "hello")
			require.Equal(t, http.StatusOK, r.status, tc.name)
			require.True(t, r.complete, tc.name)
			require.Equal(t, fake.Signature(tc.id), fake.SignatureOf(r.header), tc.name)
			require.Equal(t, 1, s.runsOf(tc.id), tc.name)
		}
	})
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusNotFound, s.call(t.Context(), 1, http.MethodPost, "/none/1", "r1", "").status)
	})
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		r := s.call(t.Context(), 1, http.MethodPost, "/swap/1", "r1", string(make([]byte, fake.MaxBodyBytes+1)))
		require.Equal(t, http.StatusRequestEntityTooLarge, r.status)
		require.Zero(t, s.runsOf("r1"))
	})
}

func TestBadInputIsRejectedAndNotForwarded(t *testing.T) {
	for _, tc := range []struct {
		name, sent string
		status     int
	}{
		{"body that never completes", "POST /swap/1 HTTP/1.1\r\nHost: " + fake.Host + "\r\nContent-Length: 10\r\n\r\nabc", http.StatusRequestTimeout},
		{"two lengths", "POST /swap/1 HTTP/1.1\r\nHost: " + fake.Host + "\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest},
		{"broken chunk", "POST /swap/1 HTTP/1.1\r\nHost: " + fake.Host + "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", http.StatusBadRequest},
		{"no host", "POST /swap/1 HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"unknown host", "POST /swap/1 HTTP/1.1\r\nHost: other.example\r\nContent-Length: 0\r\n\r\n", http.StatusNotFound},
		{"job that is not JSON", "POST /lot/1 HTTP/1.1\r\nHost: " + fake.Host + "\r\n" + platform.RequestIDHeader + ": j1\r\nContent-Length: 1\r\n\r\n{", http.StatusBadRequest},
		{"huge header", "POST /swap/1 HTTP/1.1\r\nHost: " + fake.Host + "\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				conn, err := s.network.Dial(t.Context(), "10.8.0.1", entryIP(1)+":80")
				require.NoError(t, err)
				defer conn.Close()
				go func() { _, _ = conn.Write([]byte(tc.sent)) }() // the node may answer before all is sent
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				resp.Body.Close()
				require.Equal(t, tc.status, resp.StatusCode)
				require.Zero(t, s.desk.Total())
			})
		})
	}
}

func TestJobIsAcceptedOnceAndRead(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 9).status)
		require.Equal(t, http.StatusAccepted, s.submitJob(2, "j1", 9).status, "the same job again")
		p := s.awaitJob(2, "j1", 18*time.Second)
		require.Equal(t, 9, p.Total)
		for _, r := range p.Results {
			require.Equal(t, 1, s.runsOf(r.ID), r.ID)
		}
		again, _ := s.readJob(1, "j1", 4)
		require.Equal(t, p.Results[4:], again.Results)
		_, status := s.readJob(1, "j2", 0)
		require.Equal(t, http.StatusNotFound, status)
	})
}

// A job of 1.5 MB exceeds the size limit of one object. The next home must read all its parts.
func TestLargeJobIsStoredInParts(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		body := make([]byte, 100<<10)
		require.Equal(t, http.StatusAccepted, s.submitBodies(1, "j1", 15, body).status)
		require.Equal(t, http.StatusAccepted, s.submitBodies(2, "j1", 15, body).status, "the same job again")
		time.Sleep(300 * time.Millisecond)
		s.killHome(1)
		p := s.awaitJob(2, "j1", 18*time.Second)
		require.Equal(t, 15, p.Total)
	})
}

func TestItemBodyIsReadUntilTheJobEnds(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.submitJob(1, "j1", 60)
		r := s.call(t.Context(), 2, http.MethodGet, fake.ItemPath("j1", "j1.59"), "r", "")
		require.Equal(t, "draft", r.body)
		require.Equal(t, http.StatusOK, s.call(t.Context(), 2, http.MethodDelete, fake.EndPath("j1"), "r", "").status)
		time.Sleep(time.Second)
		require.Equal(t, http.StatusNotFound, s.call(t.Context(), 1, http.MethodGet, fake.ItemPath("j1", "j1.59"), "r", "").status)
		for _, e := range s.engines {
			require.Zero(t, e.Running())
		}
		require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodDelete, fake.EndPath("j1"), "r", "").status, "the end again")
	})
}

func TestJobsOverTheCapAreRefused(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 60).status)
		require.Equal(t, http.StatusTooManyRequests, s.submitJob(2, "j2", 60).status)
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 60).status, "the accepted job again")
		time.Sleep(time.Second)
		require.Zero(t, s.runsOf("j2.0"))
	})
}

func TestItemsThatFailEndAsErrored(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		runs   int
	}{
		{"not doable", http.StatusUnprocessableEntity, 1},
		{"fails each time", http.StatusInternalServerError, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetFaults(fake.EngineFaults{Status: tc.status})
				}
				s.submitJob(1, "j1", 1)
				p := s.awaitJob(1, "j1", 10*time.Second)
				require.True(t, p.Results[0].Failed())
				require.Equal(t, tc.runs, s.runsOf("j1.0"))
			})
		})
	}
}

func TestOnlinePreemptsBatchAtOnce(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.submitJob(1, "j1", 30)
		time.Sleep(300 * time.Millisecond)
		running := 0
		for _, e := range s.engines {
			running += e.Running()
		}
		require.Equal(t, 6, running, "batch uses every slot")
		done := make(chan reply, 6)
		for i := range 6 {
			go func() { done <- s.call(t.Context(), 1+i%2, http.MethodPost, "/ask/stream/1", string(rune('p'+i)), "") }()
		}
		for range 6 {
			r := <-done
			require.Equal(t, http.StatusOK, r.status)
			require.Less(t, r.took, (eventsOfStream+3)*pace, "no stream waited for batch items to end")
		}
		s.awaitJob(1, "j1", 18*time.Second)
	})
}

func TestFullServiceRefusesAtOnceWithRetryAfter(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		done := make(chan reply, 40)
		for i := range 40 {
			go func() {
				done <- s.call(t.Context(), 1+i%2, http.MethodPost, "/ask/stream/1", "r"+string(rune('A'+i)), "")
			}()
		}
		refused := 0
		for range 40 {
			r := <-done
			if r.status == http.StatusOK {
				continue
			}
			refused++
			require.Equal(t, http.StatusServiceUnavailable, r.status)
			require.NotEmpty(t, r.header.Get("Retry-After"))
			require.Less(t, r.took, 75*time.Millisecond, "a quarter of the latency objective")
		}
		require.Positive(t, refused)
	})
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		s.call(ctx, 1, http.MethodPost, "/ask/stream/1", "r1", "")
		time.Sleep(100 * time.Millisecond)
		for _, e := range s.engines {
			require.Zero(t, e.Running())
		}
	})
}

func TestBodiesOfListedItemsAreDropped(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.submitJob(1, "j1", 2)
		s.awaitJob(1, "j1", 18*time.Second)
		body := s.call(t.Context(), 2, http.MethodGet, fake.ItemPath("j1", "j1.0"), "r", "")
		require.Equal(t, http.StatusNotFound, body.status, "never another body")
		for _, h := range s.homes {
			if h.IsHome() {
				require.Zero(t, h.home.BodyBytes())
			}
		}
	})
}
