package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform"
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
		{"503, not run", failure("503 Full", fake.RawNotRun)},
		{"429, not run", failure("429 Full", fake.RawNotRun)},
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

// runJobPast runs a job whose items go to the raw upstream alone at first, which must have answered some, and then to a sound
// one in its place.
func (s *testSite) runJobPast(answered func() int) {
	for _, e := range s.engines {
		e.SetState("draining")
	}
	time.Sleep(time.Second)
	require.Equal(s.t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
	time.Sleep(2 * time.Second)
	require.Positive(s.t, answered())
	s.network.CloseHost(engineIP(8))
	s.engines[2].SetState("ready")
	s.awaitJob(1, "j1", 30*time.Second)
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
							_, _ = io.WriteString(w, fake.RawHead(id)+eventStream+chunk(pieces(id, 1, breakAfter)+"event: error\ndata: upstream broke\n\n"))
							c.Reset()
							return
						}
						wrong.Add(1)
						_, _ = io.WriteString(w, tc.answer(id))
						c.Close()
					})
					s.runJobPast(func() int { return int(wrong.Load()) })
				})
			})
		}
	}
}

// Guards against texts that hold events twice: an upstream breaks off an item after events without IDs.
func TestItemWithoutIDsOfEventsBeginsAgain(t *testing.T) {
	for name, ownRuns := range map[string]int{"at the home": 64, "at another node": 0} {
		t.Run(name, func(t *testing.T) {
			runSiteOf(t, ownRuns, func(t *testing.T, s *testSite) {
				u := s.startRaw("/ask/stream/1", func(w io.Writer, id string) {
					_, _ = io.WriteString(w, fake.RawHead(id)+eventStream+chunk("data: piece 1 of "+id+"\n\ndata: piece 2 of "+id+"\n\n"))
					w.(*fake.RawConn).Reset()
				})
				s.runJobPast(func() int { return u.Attempts("j1.0") })
			})
		})
	}
}

// Guards against texts that hold events twice, or what is none of the item's: the home changes while an upstream writes events without
// IDs, and the next home takes them for the progress of the item.
func TestEventsWithoutIDsAreNoProgressForTheNextHome(t *testing.T) {
	for name, end := range map[string]func(s *testSite){
		"stopped": func(s *testSite) {
			s.homes["s1"].Close()
			delete(s.homes, "s1")
		},
		"killed": func(s *testSite) { s.killHome(1) },
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				u := s.startRaw("/ask/stream/1", func(w io.Writer, id string) {
					_, err := io.WriteString(w, fake.RawHead(id)+eventStream)
					for ; err == nil; _, err = io.WriteString(w, chunk("data: none of "+id+"\n\n")) {
						time.Sleep(100 * time.Millisecond)
					}
				})
				for _, e := range s.engines {
					e.SetState("draining")
				}
				time.Sleep(time.Second)
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 4).status)
				time.Sleep(2 * time.Second)
				require.Positive(t, u.Attempts("j1.0"))
				end(s)
				time.Sleep(3 * time.Second)
				s.network.CloseHost(engineIP(8))
				s.engines[2].SetState("ready")
				s.awaitJob(1, "j1", 30*time.Second)
			})
		})
	}
}

// Guards against a request that runs twice, or whose caller is told that it has not run, because of what an upstream answers
// to the entry that sends it for another one.
func TestAnswersThroughACarrierSayNoMoreThanTheUpstream(t *testing.T) {
	status := func(line, lines string) func(string) string {
		return func(id string) string {
			return fake.RawStatus(line, id, lines)
		}
	}
	for _, tc := range []struct {
		name   string
		answer func(id string) string
		want   int
	}{
		{"404, unsigned", status("404 Odd", ""), 404},
		{"401, unsigned", status("401 Odd", ""), 401},
		{"404, signed", status("404 Odd", fake.RawSigned), 404},
		{"500, unsigned", status("500 Odd", ""), 500},
		{"503 that doesn't say that it has not run", status("503 Odd", ""), 502},
		{"429 that doesn't say that it has not run", status("429 Odd", ""), 502},
		{"404 in the name of an entry", status("404 Odd", "Carrier-Unable: linksLost\r\n"), 404},
		{"404 in the name of an entry that has not sent it", status("404 Odd", "Carrier-Not-Sent: 1\r\n"), 404},
		{"refusal of another request", func(string) string { return status("503 Odd", fake.RawNotRun)("another") }, 502},
		{"success that says that it has not run", func(id string) string { return fake.RawHead(id) + fake.RawNotRun + "Content-Length: 9\r\n\r\n" }, 502},
		{"head that is cut", fake.RawHead, 502},
		{"blank in a name", func(id string) string { return fake.RawHead(id) + "X Odd: 1\r\nContent-Length: 2\r\n\r\nab" }, 502},
		{"blank in the name of a refusal", status("503 Odd", fake.RawNotRun+"X Odd: 1\r\n"), 502},
		{"body that is cut", func(id string) string { return fake.RawHead(id) + "Content-Length: 9\r\n\r\nab" }, 502},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runStrandedSite(t, func(s *strandedSite) {
				u := s.startRaw("/swap/1", func(w io.Writer, id string) {
					_, _ = io.WriteString(w, tc.answer(id))
					w.(*fake.RawConn).Close()
				})
				defer s.network.CloseHost(engineIP(8))
				s.cut(1)
				s.network.PartitionFrom(entryIP(1), []string{engineIP(8)})
				s.traffic("early", contact, 1)
				s.desk.SetState("draining")
				time.Sleep(time.Second)
				r := s.call(s.t.Context(), 1, http.MethodPost, "/swap/1", "r1", "")
				require.Equal(s.t, 1, u.Attempts("r1"))
				require.Equal(s.t, tc.want, r.status)
				require.Empty(s.t, r.header.Get("Carrier-Unable"))
				require.Empty(s.t, r.header.Get("Carrier-Not-Sent"))
			})
		})
	}
}

// Guards against an entry whose zone is not known to those for which it sends, so that they don't prefer near ones.
func TestCarrierNamesItsZoneWithEachAnswer(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		for path, want := range map[string]int{"/fetch/1": http.StatusOK, "/ask/stream/1": http.StatusOK, "/none/1": http.StatusNotFound} {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return s.network.Dial(ctx, entryIP(2), address)
			}}}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entryIP(1)+":7001"+path, strings.NewReader("b"))
			require.NoError(t, err)
			r.Host = fake.Host
			r.Header.Set(platform.RequestIDHeader, path)
			resp, err := client.Do(r)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, want, resp.StatusCode)
			require.Equal(t, "z1", resp.Header.Get("Carrier-Zone"), path)
		}
	})
}
