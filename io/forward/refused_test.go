package forward

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// answered returns a whole answer with a status and header lines.
func answered(status int, lines, body string) scripted {
	return scripted{text: fmt.Sprintf("HTTP/1.1 %d Odd\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body)}
}

// Guards against a request that is sent once more, or whose caller is told that it has not run, because of a refusal that is
// not the upstream's answer to it.
func TestOnlyTheAnswerOfTheRequestSaysThatItHasNotRun(t *testing.T) {
	refusal := answered(http.StatusServiceUnavailable, idLine+notRun, "full")
	earlier := answered(http.StatusServiceUnavailable, "X-Id: r0\r\n"+notRun, "full")
	twoIDs := answered(http.StatusServiceUnavailable, idLine+"X-Id: r0\r\n"+notRun, "full")
	ok := "HTTP/1.1 200 OK\r\n" + idLine + signed + notRun
	both := func(a, b scripted) scripted { return scripted{text: a.text + b.text} }
	for _, tc := range []struct {
		name  string
		first scripted
		// plain and stream are the statuses that callers of requests hear which may run once.
		plain, stream int
		// runs is how many upstreams get such a request.
		runs int
	}{
		{"refusal", refusal, 200, 200, 2},
		{"refusal with no ID, on a connection of its own", answered(http.StatusServiceUnavailable, notRun, ""), 200, 200, 2},
		{"refusal of an earlier request", earlier, 502, 502, 1},
		{"refusal of an earlier request, then the answer", both(earlier, sound("swap")), 502, 502, 1},
		{"refusal of an earlier request after the answer", both(sound("swap"), earlier), 200, 0, 1},
		{"refusal with two IDs", twoIDs, 502, 502, 1},
		{"refusal twice", both(refusal, refusal), 200, 200, 2},
		{"421 of an earlier request", answered(421, "X-Id: r0\r\n"+notRun, ""), 502, 502, 1},
		{"429 of an earlier request", answered(429, "X-Id: r0\r\n"+notRun, ""), 502, 502, 1},
		{"503 that doesn't say so", answered(503, idLine+signed, ""), 502, 502, 1},
		{"429 that doesn't say so", answered(429, idLine+signed, ""), 502, 502, 1},
		{"408 that doesn't say so", answered(408, idLine+signed, ""), 502, 502, 1},
		{"refusal as an interim answer", scripted{text: "HTTP/1.1 103 Odd\r\n" + idLine + notRun + "\r\n"}, 502, 502, 1},
		{"refusal as an interim answer, then 500", both(scripted{text: "HTTP/1.1 103 Odd\r\n" + idLine + notRun + "\r\n"}, answered(500, idLine+signed, "")), 500, 500, 1},
		{"refusal in a trailer", scripted{text: "HTTP/1.1 503 Odd\r\n" + idLine + "Trailer: X-Not-Run\r\n" + chunks + "\r\n" + chunk("full") + "0\r\n" + notRun + "\r\n"}, 502, 502, 1},
		{"refusal whose head is cut", scripted{text: "HTTP/1.1 503 Odd\r\n" + idLine + notRun}, 502, 502, 1},
		{"refusal whose body is cut", scripted{text: "HTTP/1.1 503 Odd\r\n" + idLine + notRun + "Content-Length: 9\r\n\r\nfull"}, 502, 502, 1},
		{"not run, with status 200 and nothing else", scripted{text: ok + "Content-Length: 9\r\n\r\n"}, 502, 502, 1},
		{"not run, with status 200 and no event", scripted{text: ok + sse + "\r\n"}, 0, 502, 1},
		{"not run, with status 200 and a part of an event", scripted{text: ok + sse + chunks + "\r\n" + chunk("id: 1\nda")}, 502, 502, 1},
		{"not run, with status 200, reset", scripted{text: ok + sse + chunks + "\r\n", how: resets}, 502, 502, 1},
	} {
		for kind, want := range map[string]int{"swap": tc.plain, "once": tc.stream} {
			if want == 0 {
				continue // the answer is a sound one for this kind
			}
			t.Run(tc.name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := &faulty{script: []scripted{tc.first, sound(kind)}}
					got := u.serve1(t, kind, "")
					require.Equal(t, want, got.status, got.body)
					require.Equal(t, tc.runs, u.runs())
				})
			})
		}
	}
}

// Guards against "not run" for a request that runs at a silent upstream while a second one refuses it, and against giving
// up the first one.
func TestRefusalBesideAnotherAttempt(t *testing.T) {
	full := answered(http.StatusServiceUnavailable, idLine+notRun, "full")
	late := func(s scripted, after time.Duration) scripted {
		s.after = after
		return s
	}
	for _, tc := range []struct {
		name   string
		kind   string
		script []scripted
		want   heard
	}{
		{"the first one answers", "fetch", []scripted{late(sound("fetch"), 2*time.Second), full, full, full, full}, heard{200, "whole", true}},
		{"the first one breaks off", "fetch", []scripted{late(scripted{}, 2*time.Second), full, full, full, full, full, full, full}, heard{502, "upstream failed; the request may have run\n", true}},
		{"the first one refuses as well", "fetch", []scripted{late(full, 2*time.Second), late(scripted{}, time.Second)}, heard{502, "upstream failed; the request may have run\n", true}},
		{"the first one is silent to the end", "fetch", []scripted{late(scripted{}, time.Minute), full, full, full, full, full, full}, heard{504, "no answer in time\n", true}},
		{"stream", "ask", []scripted{late(sound("ask"), 2*time.Second), full, sound("ask")}, heard{200, events(1, lastEvent), true}},
		{"stream, no other upstream", "ask", []scripted{late(scripted{}, 2*time.Second), full, full}, heard{502, "upstream failed; the request may have run\n", true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &faulty{script: tc.script}
				require.Equal(t, tc.want, u.serve1(t, tc.kind, ""))
				time.Sleep(time.Minute) // lets silent upstreams end
			})
		})
	}
}
