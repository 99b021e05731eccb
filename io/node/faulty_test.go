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

	"mothcart/platform/fake"
)

// breakAfter is the number of events after which the upstreams of these tests break off a stream.
const breakAfter = 3

// pieces returns some events of the stream of a request.
func pieces(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
	}
	return b.String()
}

// insteadOfTheRest are answers to a request for the rest of a stream that don't hold it.
func insteadOfTheRest() []struct {
	name   string
	answer func(id string) string
} {
	failure := func(status string, lines string) func(string) string {
		return func(id string) string {
			body := "id: 4\ndata: upstream broke\n\n"
			head := strings.Replace(fake.RawHead(id), "200 OK", status, 1)
			return head + lines + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
	stream := func(body func(id string) string) func(string) string {
		return func(id string) string { return fake.RawHead(id) + eventStream + chunk(body(id)) + chunk("") }
	}
	fixed := func(s string) func(string) string { return func(string) string { return s } }
	return []struct {
		name   string
		answer func(id string) string
	}{
		{"503, not run", failure("503 Full", "Mothcart-Not-Run: 1\r\n")},
		{"429, not run", failure("429 Full", "Mothcart-Not-Run: 1\r\n")},
		{"421", failure("421 Moved", "")},
		{"503 as a stream", failure("503 Full", "Content-Type: text/event-stream\r\n")},
		{"404", failure("404 Gone", "")},
		{"head that is cut", func(id string) string { return fake.RawHead(id) }},
		{"error event", stream(fixed("event: error\ndata: upstream broke\n\n"))},
		{"error as an object", stream(fixed("{\"error\":\"upstream broke\"}\n\n"))},
		{"head as text", stream(fixed("HTTP/1.1 500 upstream broke\r\n\r\n"))},
		{"starts again", stream(func(id string) string { return pieces(id, 1, eventsOfStream) })},
		{"repeats an event", stream(func(id string) string { return pieces(id, breakAfter, eventsOfStream) })},
		{"answer to another request", func(id string) string {
			return strings.Replace(fake.RawHead(id), "Id: "+id, "Id: another", 1) + eventStream + chunk(pieces(id, breakAfter+1, eventsOfStream)) + chunk("")
		}},
	}
}

// Guards against items that are completed with another text than their whole output: an upstream breaks off, and others
// answer with something else than the rest.
func TestTextOfAnItemHoldsNothingElse(t *testing.T) {
	for _, tc := range insteadOfTheRest() {
		for name, ownRuns := range map[string]int{"at the home": 64, "at another node": 0} {
			t.Run(tc.name+", "+name, func(t *testing.T) {
				runSiteOf(t, ownRuns, func(t *testing.T, s *testSite) {
					var wrong atomic.Int32
					s.startRaw("/ask/stream/1", func(w io.Writer, id string) {
						c := w.(*fake.RawConn)
						if c.Request.Header.Get("Last-Event-Id") == "" {
							_, _ = io.WriteString(w, fake.RawHead(id)+eventStream+chunk(pieces(id, 1, breakAfter)))
							c.Reset()
							return
						}
						wrong.Add(1)
						_, _ = io.WriteString(w, tc.answer(id))
						c.Close()
					})
					for _, e := range s.engines {
						e.SetState("draining")
					}
					time.Sleep(time.Second)
					require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
					time.Sleep(2 * time.Second)
					require.Positive(t, wrong.Load())
					s.network.CloseHost(engineIP(8))
					s.engines[2].SetState("ready")
					s.awaitJob(1, "j1", 30*time.Second)
				})
			})
		}
	}
}
