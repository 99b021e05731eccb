package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/platform/fake"
)

const (
	// endlessHead, endlessBody, endlessEvent and endlessStream bound what an upstream may deliver in a head, in a
	// body, in one event and in a stream, in bytes; endlessBuffers is the size of the buffers of a connection.
	endlessHead    = 64 << 10
	endlessBody    = 4 << 20
	endlessEvent   = 256 << 10
	endlessStream  = 16 << 20
	endlessBuffers = 16 << 10
	// endlessBlock is the number of bytes in one write of an endless upstream.
	endlessBlock = 4 << 10
	// trickle is the pause before each write of an upstream that sends slowly.
	trickle = 50 * time.Millisecond
)

// endless returns an answer that starts with head and goes on with the same text until the connection is closed.
func endless(head func(id string) string, text string) func(w io.Writer, id string) {
	block := []byte(strings.Repeat(text, 1+endlessBlock/len(text)))
	return func(w io.Writer, id string) {
		if _, err := io.WriteString(w, head(id)); err != nil {
			return
		}
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
}

// slowly is endless with one text at a time and a pause before each.
func slowly(head func(id string) string, text string) func(w io.Writer, id string) {
	return func(w io.Writer, id string) {
		for _, err := io.WriteString(w, head(id)); err == nil; _, err = io.WriteString(w, text) {
			time.Sleep(trickle)
		}
	}
}

// headWith returns a head with further header lines, which the caller ends by an empty line.
func headWith(lines string) func(id string) string {
	return func(id string) string { return fake.RawHead(id) + lines }
}

func noHead(string) string { return "" }

// endlessAnswer is one kind of answer that never ends.
type endlessAnswer struct {
	name, path string
	answer     func(w io.Writer, id string)
	// limit bounds the bytes that the upstream may deliver on a connection.
	limit int64
	// served reports that the answer is complete before the bytes without end.
	served bool
}

func endlessAnswers() []endlessAnswer {
	const plain, stream = "/fetch/1", "/ask/stream/1"
	const chunked, events = "Transfer-Encoding: chunked\r\n\r\n", "Content-Type: text/event-stream\r\n\r\n"
	return []endlessAnswer{
		{"bytes that are no head", plain, endless(noHead, "\x00\x01"), endlessHead, false},
		{"status line", plain, endless(noHead, "HTTP/1.1 200 OK "), endlessHead, false},
		{"one header line", plain, endless(headWith("X: "), "x"), endlessHead, false},
		{"header lines", plain, endless(headWith(""), "X: y\r\n"), endlessHead, false},
		{"continued header line", plain, endless(headWith("X: y\r\n"), " z\r\n"), endlessHead, false},
		{"interim answers", plain, endless(noHead, "HTTP/1.1 100 Continue\r\n\r\n"), endlessHead, false},
		{"interim answers with headers", plain, endless(noHead, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), endlessHead, false},
		{"header lines of a stream", stream, endless(headWith(""), "X: y\r\n"), endlessHead, false},
		{"body without a length", plain, endless(headWith("\r\n"), "x"), endlessBody, false},
		{"body with a huge length", plain, endless(headWith("Content-Length: 999999999999\r\n\r\n"), "x"), 0, false},
		{"body with a length over the limit", plain, endless(headWith(fmt.Sprintf("Content-Length: %d\r\n\r\n", endlessBody+1)), "x"), 0, false},
		{"bytes after the body", plain, endless(headWith("Content-Length: 2\r\n\r\nok"), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), 0, true},
		{"chunks", plain, endless(headWith(chunked), "40\r\n"+strings.Repeat("x", 64)+"\r\n"), 2 * endlessBody, false},
		{"chunk size", plain, endless(headWith(chunked), "0"), 0, false},
		{"chunk of a huge size", plain, endless(headWith(chunked+"fffffffffffffff\r\n"), "x"), endlessBody, false},
		{"chunk extension", plain, endless(headWith(chunked+"1;"), "x"), 0, false},
		{"chunk extensions", plain, endless(headWith(chunked), "1;"+strings.Repeat("y", 1000)+"\r\nx\r\n"), endlessHead, false},
		{"trailer", plain, endless(headWith(chunked+"0\r\n"), "X: y\r\n"), 0, false},
		{"body of a failure", plain, endless(func(id string) string {
			return strings.Replace(fake.RawHead(id), "200 OK", "500 Internal Server Error", 1) + "\r\n"
		}, "x"), endlessBody, false},
		{"event without a line end", stream, endless(headWith(events+"data: "), "x"), endlessEvent, false},
		{"event of many lines", stream, endless(headWith(events), "data: x\n"), endlessEvent, false},
		{"empty lines instead of events", stream, endless(headWith(events), "\n"), endlessEvent, false},
		{"head that trickles", plain, slowly(headWith(""), "X: y\r\n"), endlessHead, false},
		{"body that trickles", plain, slowly(headWith("\r\n"), "x"), endlessBody, false},
		{"event that trickles", stream, slowly(headWith(events+"data: "), "x"), endlessEvent, false},
	}
}

// endlessEvents returns an answer that is a stream of complete events without end.
func endlessEvents() func(w io.Writer, id string) {
	return endless(headWith("\r\n"), "data: "+strings.Repeat("x", 1000)+"\n\n")
}

// startRaw starts a raw upstream of the service that serves a path.
func (s *testSite) startRaw(path string, answer func(w io.Writer, id string)) *fake.Raw {
	service := "desk"
	if strings.Contains(path, "/stream") {
		service = "scribe"
	}
	u := fake.NewRaw(s.network, fake.EngineOptions{
		ID: "i-8", Service: service, Address: engineIP(8) + ":80", Zone: "z1", Slots: 2, Born: 1, Objects: s.objects,
	}, answer)
	time.Sleep(time.Second)
	return u
}

// requireBounded checks that an upstream delivered no more than the limit and that its connections are closed.
func requireBounded(t *testing.T, u *fake.Raw, limit int64) {
	t.Helper()
	time.Sleep(time.Second)
	require.Zero(t, u.Open(), "connections are closed")
	require.Positive(t, u.Largest())
	require.LessOrEqual(t, u.Largest(), limit+endlessBuffers)
}

// Guards against upstreams whose bytes never end and that cost a request more than one attempt and its answer.
func TestEndlessAnswerIsServedByAnotherUpstream(t *testing.T) {
	for _, tc := range endlessAnswers() {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				u := s.startRaw(tc.path, tc.answer)
				defer s.network.CloseHost(engineIP(8))
				var calls []<-chan reply
				for i := range 4 { // the sound upstreams have slots for all of them
					calls = append(calls, s.stream(1, tc.path, fmt.Sprintf("r%d", i)))
				}
				hit := 0
				for i, done := range calls {
					id := fmt.Sprintf("r%d", i)
					r := <-done
					require.Equal(t, http.StatusOK, r.status, id)
					require.True(t, r.complete, id)
					require.LessOrEqual(t, u.Attempts(id), 1)
					hit += u.Attempts(id)
					if tc.path == "/ask/stream/1" {
						require.Equal(t, fake.CompleteText(id, eventsOfStream), fake.TextOf(r.body))
					}
				}
				require.Positive(t, hit)
				requireBounded(t, u, tc.limit)
			})
		})
	}
}

// Guards against requests without an answer when the only upstream sends bytes that never end.
func TestEndlessAnswerOfTheOnlyUpstream(t *testing.T) {
	for _, tc := range append(endlessAnswers(), endlessAnswer{"events", "/ask/stream/1", endlessEvents(), endlessStream, false}) {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				u := s.startRaw(tc.path, tc.answer)
				defer s.network.CloseHost(engineIP(8))
				for _, e := range append(s.engines, s.desk) {
					e.SetState("draining")
				}
				time.Sleep(time.Second)
				path := map[string]string{"/fetch/1": "/swap/1", "/ask/stream/1": "/once/stream/1"}[tc.path]
				r := s.call(t.Context(), 1, http.MethodPost, path, "r1", "")
				switch {
				case tc.served:
					require.Equal(t, http.StatusOK, r.status)
					require.Equal(t, "ok", r.body)
				case tc.name == "events":
					require.Equal(t, http.StatusOK, r.status)
					require.False(t, r.complete, "a broken stream must not look complete")
				default:
					require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError}, r.status)
				}
				require.Equal(t, 1, u.Attempts("r1"))
				require.Less(t, r.took, 6*time.Second)
				requireBounded(t, u, tc.limit)
			})
		})
	}
}

// Guards against answers whose status is none and that leave the caller without an answer.
func TestStatusThatIsNoneIsAFailedAttempt(t *testing.T) {
	for _, tc := range []struct {
		name, status string
		want         int
	}{
		{"below all statuses", "042 Odd", http.StatusBadGateway},
		{"zero", "000 Odd", http.StatusBadGateway},
		{"switch of protocols", "101 Switching Protocols", http.StatusBadGateway},
		{"interim, with nothing after it", "199 Odd", http.StatusGatewayTimeout},
		{"above all statuses", "700 Odd", http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				u := s.startRaw("/swap/1", func(w io.Writer, id string) {
					_, _ = io.WriteString(w, strings.Replace(fake.RawHead(id), "200 OK", tc.status, 1)+"Content-Length: 0\r\n\r\n")
				})
				defer s.network.CloseHost(engineIP(8))
				s.desk.SetState("draining")
				time.Sleep(time.Second)
				r := s.call(t.Context(), 1, http.MethodPost, "/swap/1", "r1", "")
				require.Equal(t, tc.want, r.status)
				require.Equal(t, 1, u.Attempts("r1"))
				s.desk.SetState("ready")
				time.Sleep(time.Second)
				for i := range 4 {
					require.Equal(t, http.StatusOK, s.call(t.Context(), 1, http.MethodPost, "/fetch/1", fmt.Sprintf("f%d", i), "").status)
				}
			})
		})
	}
}

// Guards against an item's stream without end that closes the connections between nodes and holds up its job.
func TestEndlessStreamOfAnItemHoldsUpNoJob(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ownRuns int
	}{
		{"at the home", 64},
		{"at another node", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSiteOf(t, tc.ownRuns, func(t *testing.T, s *testSite) {
				u := s.startRaw("/ask/stream/1", endlessEvents())
				defer s.network.CloseHost(engineIP(8))
				s.submitJob(1, "j1", 12)
				s.awaitJob(1, "j1", 18*time.Second)
				require.True(t, s.homes["s1"].IsHome())
				requireBounded(t, u, endlessStream)
			})
		})
	}
}
