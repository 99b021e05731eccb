package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/inbound"
	"mothcart/platform"
	"mothcart/platform/fake"
)

// lateRoutes are routes whose requests may take longer than a grace period.
func lateRoutes() []fake.Route {
	const timeout, objective = 30 * time.Second, 25 * time.Second
	return []fake.Route{
		{Name: "longswap", Kind: fake.NonIdempotent, Service: "desk", Attempts: 1, Timeout: timeout, Objective: objective},
		{Name: "longfetch", Kind: fake.Idempotent, Service: "desk", Attempts: 2, Timeout: timeout, Objective: objective},
		{Name: "longonce", Kind: fake.Streaming, Service: "scribe", Attempts: 1, Timeout: timeout, Objective: objective},
		{Name: "longask", Kind: fake.Streaming, Service: "scribe", Attempts: 2, Resumable: true, Timeout: timeout, Objective: objective},
	}
}

// lateCall connects to an entry at once, and completes a request after some time: its head is sent only then, or its body.
func (s *testSite) lateCall(address, method, path, id, body string, slowBody bool, after time.Duration) reply {
	conn, err := s.network.Dial(s.t.Context(), "10.8.0.1", address)
	require.NoError(s.t, err)
	defer conn.Close()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1000\r\nContent-Length: %d\r\n\r\n", method, path, fake.Host, platform.RequestIDHeader, id, platform.LongPollHeader, len(body))
	if slowBody {
		_, err = io.WriteString(conn, head)
		require.NoError(s.t, err)
		head = ""
	}
	time.Sleep(after)
	began := time.Now()
	sent := make(chan struct{})
	go func() { // the network has no buffers, and the entry may answer before it has read all
		defer close(sent)
		_, _ = io.WriteString(conn, head+body) // the entry may have closed it; there is no answer then
	}()
	defer func() {
		_ = conn.Close()
		<-sent
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{took: time.Since(began)}
	}
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), complete: err == nil, closes: resp.Close, took: time.Since(began)}
}

// Guards against requests that an entry passes on late in its grace period, and can't answer before it ends.
func TestRequestThatComesLateInTheGraceIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/longswap/1", "/longfetch/1", "/longonce/stream/1", "/longask/stream/1"} {
		for _, tc := range []struct {
			name     string
			port     int
			slowBody bool
		}{
			{"the whole request comes late", 80, false},
			{"its body comes late", 80, true},
			{"through a carrier", 7001, false},
			{"through a carrier, its body comes late", 7001, true},
		} {
			t.Run(path+" "+tc.name, func(t *testing.T) {
				runSite(t, func(_ *testing.T, s *testSite) { s.sendLate(path, tc.port, tc.slowBody) })
			})
		}
	}
}

// sendLate lets an entry drain, sends it requests at all times of the rest of its grace period, and requires that they are
// refused at once.
func (s *testSite) sendLate(path string, port int, slowBody bool) {
	const step = 250 * time.Millisecond
	s.writeConfig(2, lateRoutes()...)
	time.Sleep(2 * time.Second)
	s.desk.SetFaults(fake.EngineFaults{Unresponsive: true})
	for _, e := range s.engines {
		e.SetPace(time.Second)
	}
	began := time.Now()
	ended := s.drain(1)
	opens := time.Duration(0)
	if port == 80 {
		opens = 2300 * time.Millisecond
	}
	time.Sleep(opens)
	var all sync.WaitGroup
	answers := make(map[time.Duration]<-chan reply)
	for at := 2750 * time.Millisecond; at < 8*time.Second; at += step {
		answer := make(chan reply, 1)
		answers[at] = answer
		all.Go(func() {
			answer <- s.lateCall(fmt.Sprintf("%s:%d", entryIP(1), port), http.MethodPost, path, fmt.Sprintf("r%s", at), "draft", slowBody, at-time.Since(began))
		})
	}
	all.Wait()
	for at, answer := range answers {
		r, id := <-answer, fmt.Sprintf("r%s", at)
		require.Zero(s.t, s.runsOf(id), "%s is passed on", id)
		if r.status == 0 && (at >= 7700*time.Millisecond || (!slowBody && at-opens >= inbound.DefaultLimits().HeadTime)) {
			continue // the connection was closed before the request came, since nothing had come on it or the process had ended
		}
		require.Equal(s.t, http.StatusServiceUnavailable, r.status, id)
		require.True(s.t, r.complete && (r.closes || port != 80), id)
		require.Less(s.t, r.took, 100*time.Millisecond, id)
	}
	<-ended
}

// Guards against a request that gets its slot so late in the grace period that it can't be answered before the end.
func TestRequestThatWaitedTooLongInTheGraceIsNotPassedOn(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		s.writeConfig(2, lateRoutes()...)
		time.Sleep(2 * time.Second)
		s.desk.SetFaults(fake.EngineFaults{Unresponsive: true})
		busy, free := context.WithCancel(t.Context())
		for i := range 4 {
			go s.call(busy, 2, http.MethodPost, "/longswap/1", fmt.Sprint("busy", i), "")
		}
		time.Sleep(pace)
		ended := s.drain(1)
		waits := s.stream(1, "/longswap/1", "r1")
		time.Sleep(6 * time.Second)
		require.Zero(t, s.runsOf("r1"))
		free()
		r := <-waits
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.True(t, r.complete)
		require.Zero(t, s.runsOf("r1"))
		require.Less(t, r.took, 6500*time.Millisecond, "told as soon as it is decided")
		for i := range 4 {
			require.Equal(t, 1, s.runsOf(fmt.Sprint("busy", i)))
		}
		s.desk.SetFaults(fake.EngineFaults{})
		require.Equal(t, http.StatusOK, s.call(t.Context(), 2, http.MethodPost, "/swap/1", "n1", "").status, "its slot is free again")
		<-ended
	})
}

// Guards against calls about jobs, late in the grace period, that end without an answer.
func TestJobCallLateInTheGraceIsAnswered(t *testing.T) {
	for _, tc := range []struct {
		name, method, path, body string
		// cut reports that neither the object service nor the home can be reached.
		cut bool
	}{
		{"results", http.MethodGet, fake.ResultsPath("j1", 0), "", false},
		{"results, cut off", http.MethodGet, fake.ResultsPath("j1", 0), "", true},
		{"item, cut off", http.MethodGet, fake.ItemPath("j1", fake.ItemID("j1", 0)), "", true},
		{"end, cut off", http.MethodDelete, fake.EndPath("j1"), "", true},
		{"submission, cut off", http.MethodPost, "/lot/1", string(fake.JobBody("late", 1, []byte("draft"))), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(time.Second)
				}
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 2).status)
				began := time.Now()
				ended := s.drain(1)
				time.Sleep(2300 * time.Millisecond)
				if tc.cut {
					s.network.PartitionFrom(entryIP(1), []string{storeIP, homeIP(1), homeIP(2), entryIP(2)})
				}
				var all sync.WaitGroup
				for at := 2750 * time.Millisecond; at < 7300*time.Millisecond; at += 250 * time.Millisecond {
					all.Go(func() {
						r := s.lateCall(entryIP(1)+":80", tc.method, tc.path, "late"+at.String(), tc.body, tc.body != "", at-time.Since(began))
						require.NotZero(t, r.status, "at %s", at)
						require.True(t, r.complete, "at %s", at)
					})
				}
				all.Wait()
				<-ended
			})
		})
	}
}

// Guards against a request whose body has come in part at the end of the grace period, and that ends without an answer.
func TestBodyThatIsNotCompleteInTheGraceIsAnswered(t *testing.T) {
	for _, tc := range []struct {
		path, body string
		status     int
	}{
		{"/swap/1", "draft", http.StatusServiceUnavailable},
		{"/ask/stream/1", "draft", http.StatusServiceUnavailable},
		{"/lot/1", string(fake.JobBody("late", 1, []byte("draft"))), http.StatusServiceUnavailable},
	} {
		t.Run(tc.path, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				ended := s.drain(1)
				conn, err := s.network.Dial(t.Context(), "10.8.0.1", entryIP(1)+":80")
				require.NoError(t, err)
				defer conn.Close()
				time.Sleep(2 * time.Second)
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: late\r\nContent-Length: %d\r\n\r\n%s", tc.path, fake.Host, platform.RequestIDHeader, len(tc.body), tc.body[:4])
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode)
				require.True(t, resp.Close)
				require.Zero(t, s.runsOf("late"))
				<-ended
			})
		})
	}
}
