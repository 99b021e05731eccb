package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/explain"
	"mothcart/platform/fake"
)

// brokenHeads are answers whose head breaks the rules of HTTP and which look whole otherwise.
func brokenHeads() []struct {
	name   string
	answer func(id string) string
} {
	answer := func(lines, body string) func(string) string {
		return func(id string) string { return fake.RawHead(id) + lines + "\r\n" + body }
	}
	const event = "id: 1\ndata: odd\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(event))
	return []struct {
		name   string
		answer func(id string) string
	}{
		{"blank in a name", answer("X Odd: 1\r\n"+length, event)},
		{"blank at the end of Content-Length", answer("Content-Length : 5\r\n", event)},
		{"blank at the end of Transfer-Encoding", answer("Transfer-Encoding : chunked\r\n", chunk(event)+chunk(""))},
		{"control character in a name", answer("X\x01Odd: 1\r\n"+length, event)},
		{"status 000", func(id string) string { return strings.Replace(answer(length, event)(id), "200", "000", 1) }},
	}
}

// Guards against items that are completed with what a broken answer holds, and against a log that doesn't tell why an item ran
// again.
func TestItemIsNotCompletedByAnAnswerWithABrokenHead(t *testing.T) {
	for _, tc := range brokenHeads() {
		for name, ownRuns := range map[string]int{"at the home": 64, "at another node": 0} {
			t.Run(tc.name+", "+name, func(t *testing.T) {
				(&testSite{ownRuns: ownRuns, recorded: new(lockedBuffer)}).run(t, func(t *testing.T, s *testSite) {
					var wrong atomic.Int32
					s.startRaw("/ask/stream/1", func(w io.Writer, id string) {
						wrong.Add(1)
						_, _ = io.WriteString(w, tc.answer(id))
						w.(*fake.RawConn).Close()
					})
					s.runJobPast(func() int { return int(wrong.Load()) })
					require.Contains(t, s.timeline("j1.0"), "broken head")
				})
			})
		}
	}
}

// timeline returns what explain prints about a request, a job or an item.
func (s *testSite) timeline(id string) string {
	events, _, err := explain.Read(strings.NewReader(s.recorded.String()))
	require.NoError(s.t, err)
	var b strings.Builder
	for _, e := range explain.Timeline(events, id) {
		b.WriteString(e.String() + "\n")
	}
	return b.String()
}

// Guards against callers that get a broken answer, or a promise that nothing has run, and against a log and counters that
// don't show it.
func TestCallerDoesNotGetAnAnswerWithABrokenHead(t *testing.T) {
	for _, tc := range brokenHeads() {
		t.Run(tc.name, func(t *testing.T) {
			runRecordedSite(t, func(t *testing.T, s *testSite) {
				u := s.startRaw("/swap/1", func(w io.Writer, id string) {
					_, _ = io.WriteString(w, tc.answer(id))
					w.(*fake.RawConn).Close()
				})
				s.desk.SetState("draining")
				time.Sleep(time.Second)
				require.Equal(t, http.StatusBadGateway, s.call(t.Context(), 1, http.MethodPost, "/swap/1", "r1", "").status)
				require.Equal(t, 1, u.Attempts("r1"))
				require.Contains(t, s.timeline("r1"), "broken head")
				require.Equal(t, int64(1), count(s.entries["e1"].base, "upstreams.brokenHeads"))
				s.network.CloseHost(engineIP(8))
				s.desk.SetState("ready")
				time.Sleep(time.Second)
				require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/swap/1", "r2", "").status)
			})
		})
	}
}
