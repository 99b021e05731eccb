package forward

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// errorAnswers are what an upstream may answer instead of going on with a stream.
func errorAnswers() map[string]string {
	out := map[string]string{}
	for _, status := range []int{404, 421, 422, 429, 500, 503} {
		for _, kind := range []string{"text/event-stream", "application/json"} {
			for name, lines := range map[string]string{"unsigned": "", "signed": signed, "not run": notRun, "signed, not run": signed + notRun} {
				head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, errorText) + idLine + lines + "Content-Type: " + kind + "\r\n"
				body := "id: 4\ndata: " + errorText + "\n\n"
				key := fmt.Sprintf("%d %s, %s", status, kind, name)
				out[key+", chunked"] = head + chunks + "\r\n" + chunk(body) + "0\r\n\r\n"
				out[key+", with a length"] = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
				out[key+", until the end"] = head + "\r\n" + body
				out[key+", empty"] = head + "Content-Length: 0\r\n\r\n"
				out[key+", after an interim answer"] = "HTTP/1.1 103 " + errorText + "\r\n" + signed + "\r\n" + head + "Content-Length: 0\r\n\r\n"
				out[key+", with a trailer"] = head + "Trailer: X-Signature\r\n" + chunks + "\r\n" + chunk(body) + "0\r\n" + signed + "\r\n"
			}
		}
	}
	ok := "HTTP/1.1 200 OK\r\n" + idLine
	event := "event: error\ndata: " + errorText + "\n\n"
	out["200, unsigned"] = ok + sse + chunks + "\r\n" + chunk(events(4, 4)+event) + "0\r\n\r\n"
	out["200 with an error event"] = ok + signed + sse + chunks + "\r\n" + chunk(event) + "0\r\n\r\n"
	out["200 with an error as text"] = ok + signed + chunks + "\r\n" + chunk(errorText+"\n") + "0\r\n\r\n"
	out["200 with an error as an object"] = ok + signed + "Content-Type: application/json\r\n" + chunks + "\r\n" + chunk(`{"error":"`+errorText+"\"}\n\n") + "0\r\n\r\n"
	out["200 that starts again"] = ok + signed + sse + chunks + "\r\n" + chunk(events(1, lastEvent)) + "0\r\n\r\n"
	out["200 that repeats an event"] = ok + signed + sse + chunks + "\r\n" + chunk(events(3, lastEvent)) + "0\r\n\r\n"
	out["200 of another request"] = "HTTP/1.1 200 OK\r\nX-Id: r0\r\n" + signed + sse + chunks + "\r\n" + chunk(events(4, lastEvent)) + "0\r\n\r\n"
	out["head as text"] = "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n" + chunk("HTTP/1.1 500 "+errorText+"\r\n\r\n") + "0\r\n\r\n"
	return out
}

// Guards against an error, or pieces of another run, inside a stream that has begun, and against one that ends as if it were
// complete: an upstream breaks off and the next one answers with something else than the rest.
func TestBrokenStreamHoldsNothingElse(t *testing.T) {
	broken := []scripted{
		{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n" + chunk(events(1, 3)), how: closes},
		{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n" + chunk(events(1, 3)+"id: 4\nda"), how: resets},
		{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + "Content-Length: 999\r\n\r\n" + events(1, 3) + "id: 4\n", how: closes},
		{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + "\r\n" + events(1, 3), how: resets},
	}
	for name, text := range errorAnswers() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for i, first := range broken {
					other := scripted{text: text}
					u := &faulty{script: []scripted{first, other, wholeStream(4, lastEvent)}}
					require.Equal(t, heard{http.StatusOK, events(1, lastEvent), true}, u.serve1(t, "ask", ""), "break %d, then a sound upstream", i)
					require.Equal(t, []string{"", "3", "3"}, u.asked)
					u = &faulty{script: []scripted{first, other, other, other}}
					require.Equal(t, heard{http.StatusOK, events(1, 3), false}, u.serve1(t, "ask", ""), "break %d, then no sound upstream", i)
					u = &faulty{carried: true, script: []scripted{first, other, wholeStream(4, lastEvent)}}
					require.Equal(t, heard{http.StatusOK, events(1, lastEvent), true}, u.serve1(t, "ask", ""), "break %d, through other entries", i)
					u = &faulty{script: []scripted{first, other}}
					require.Equal(t, heard{http.StatusOK, events(1, 3), false}, u.serve1(t, "once", ""), "break %d, runs once", i)
					require.Equal(t, 1, u.runs())
				}
			})
		})
	}
}

// Guards against events that wait for the rest of the next one, which may never come.
func TestEventIsSentBeforeTheRestOfTheNextOne(t *testing.T) {
	for _, rest := range []string{"", "\n", "id: 4", "id: 4\nda", "id: 4\r\ndata: x\r\n", ": wait"} {
		t.Run(rest, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &faulty{script: []scripted{{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n" + chunk(events(1, 3)+rest), how: closes}}}
				require.Equal(t, heard{http.StatusOK, events(1, 3), false}, u.serve1(t, "once", ""))
			})
		})
	}
}

// Guards against an upstream's error, as an event without an ID, that is left in a stream that goes on elsewhere, and against
// events that come twice since they have no IDs.
func TestEventsWithoutAnID(t *testing.T) {
	const failure, head = "event: error\ndata: upstream broke\n\n", "HTTP/1.1 500 upstream broke\r\nContent-Length: 0\r\n\r\n"
	const note, wait, unnumbered = "data: note\n\n", ": wait\n\n", "data: a\n\ndata: b\n\n"
	for _, tc := range []struct {
		name, first string
		// ends reports that the first stream ends, instead of breaking off.
		ends bool
		// ask and once are what callers of streams get that can be resumed and that can't, runs how often the former run.
		ask, once heard
		runs      int
	}{
		{"error, then a break", events(1, 3) + failure, false, heard{200, events(1, lastEvent), true}, heard{200, events(1, 3), false}, 2},
		{"head as text, then a break", events(1, 3) + head, false, heard{200, events(1, lastEvent), true}, heard{200, events(1, 3), false}, 2},
		{"error, a comment, then a break", events(1, 3) + failure + wait, false, heard{200, events(1, 3) + wait + events(4, lastEvent), true}, heard{200, events(1, 3) + wait, false}, 2},
		{"a ping, then a break", events(1, 3) + "event: ping\n\n", false, heard{200, events(1, 3) + "event: ping\n\n" + events(4, lastEvent), true}, heard{200, events(1, 3) + "event: ping\n\n", false}, 2},
		{"error, then the end", events(1, 3) + failure, true, heard{200, events(1, 3) + failure, true}, heard{200, events(1, 3) + failure, true}, 1},
		{"a note between events", events(1, 2) + note + events(3, 3), false, heard{200, events(1, 2) + note + events(3, lastEvent), true}, heard{200, events(1, 2) + note + events(3, 3), false}, 2},
		{"a note first", note + events(1, 3), false, heard{200, note + events(1, lastEvent), true}, heard{200, note + events(1, 3), false}, 2},
		{"no IDs, then a break", unnumbered, false, heard{200, unnumbered, false}, heard{200, unnumbered, false}, 1},
		{"no IDs, then the end", unnumbered, true, heard{200, unnumbered, true}, heard{200, unnumbered, true}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := scripted{text: "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n" + chunk(tc.first)}
				if tc.ends {
					first.text += "0\r\n\r\n"
				}
				u := &faulty{script: []scripted{first, wholeStream(4, lastEvent)}}
				require.Equal(t, tc.ask, u.serve1(t, "ask", ""))
				require.Equal(t, tc.runs, u.runs())
				u = &faulty{script: []scripted{first, wholeStream(4, lastEvent)}}
				require.Equal(t, tc.once, u.serve1(t, "once", ""))
				require.Equal(t, 1, u.runs())
			})
		})
	}
}

// Guards against the rest of a stream that is left out because of what comes before its first event.
func TestRestOfAStreamAfterFiller(t *testing.T) {
	for _, filler := range []string{"\n", ": wait\n\n", "retry: 100\n\n", "event: ping\n\n", ": wait\r\n\r\n"} {
		t.Run(filler, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				head := "HTTP/1.1 200 OK\r\n" + idLine + signed + sse + chunks + "\r\n"
				u := &faulty{script: []scripted{{text: head + chunk(events(1, 3))}, {text: head + chunk(filler+events(4, lastEvent)) + "0\r\n\r\n"}}}
				require.Equal(t, heard{http.StatusOK, events(1, 3) + filler + events(4, lastEvent), true}, u.serve1(t, "ask", ""))
			})
		})
	}
}
