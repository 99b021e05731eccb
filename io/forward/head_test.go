package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// brokenHeads returns heads that HTTP forbids, each without the empty line at its end. The answers that begin with them
// would be whole without the fault.
func brokenHeads() map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n" + idLine + signed + sse
	const sound = ok + "Content-Length: 5\r\n"
	out := map[string]string{
		"blank in a name":                       ok + "X Odd: 1\r\nContent-Length: 5\r\n",
		"blank in a name, after the length":     sound + "X Odd: 1\r\n",
		"blank at the end of a name":            ok + "X-Odd : 1\r\nContent-Length: 5\r\n",
		"blank before a name":                   ok + " X-Odd: 1\r\nContent-Length: 5\r\n",
		"tab before a name":                     ok + "\tX-Odd: 1\r\nContent-Length: 5\r\n",
		"blank at the end of Content-Length":    ok + "Content-Length : 5\r\n",
		"blank at the end of Transfer-Encoding": ok + "Transfer-Encoding : chunked\r\n",
		"blank at the end of the ID":            "HTTP/1.1 200 OK\r\nX-Id : other\r\n" + signed + sse + "Content-Length: 5\r\n",
		"blank in the name of a refusal":        "HTTP/1.1 503 Full\r\n" + idLine + notRun + "X Odd: 1\r\nContent-Length: 5\r\n",
		"blank in the name of a failure":        "HTTP/1.1 500 Broken\r\n" + idLine + signed + "X Odd: 1\r\nContent-Length: 5\r\n",
		"blank in the name of 421":              "HTTP/1.1 421 Moved\r\n" + idLine + "X Odd: 1\r\nContent-Length: 5\r\n",
		"no name":                               sound + ": 1\r\n",
		"no colon":                              sound + "X-Odd\r\n",
		"chunks of HTTP/1.0":                    "HTTP/1.0 200 OK\r\n" + idLine + signed + sse + chunks,
		"version 3.7":                           strings.Replace(sound, "HTTP/1.1", "HTTP/3.7", 1),
		"version 1.7":                           strings.Replace(sound, "HTTP/1.1", "HTTP/1.7", 1),
		"version 0.9":                           strings.Replace(sound, "HTTP/1.1", "HTTP/0.9", 1),
		"blank in the name of an interim one":   "HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n" + sound,
		"chunks of an interim one of HTTP/1.0":  "HTTP/1.0 103 Early\r\n" + chunks + "\r\n" + sound,
		"version 3.7 of an interim one":         "HTTP/3.7 103 Early\r\n\r\n" + sound,
		"two lengths":                           sound + "Content-Length: 6\r\n",
		"length that is no number":              ok + "Content-Length: five\r\n",
	}
	for _, c := range []string{"\x00", "\x01", "\t", "\r", "\x1f", "\x7f", "\x80", "\xff", "(", "[", "{", "\""} {
		out[fmt.Sprintf("%q in a name", c)] = sound + "X" + c + "Odd: 1\r\n"
	}
	for _, c := range []string{"\x00", "\x01", "\r", "\x1f", "\x7f"} {
		out[fmt.Sprintf("%q in a value", c)] = sound + "X-Odd: 1" + c + "2\r\n"
		out[fmt.Sprintf("%q in the reason", c)] = strings.Replace(sound, "OK", "O"+c+"K", 1)
	}
	for _, status := range []string{"000", "0", "", "099", "101", "600", "999", "2000", "20", "2e2", "+20", "-20", "20 0", "٢٠٠"} {
		out[fmt.Sprintf("status %q", status)] = strings.Replace(sound, "200", status, 1)
		out[fmt.Sprintf("status %q, not run", status)] = strings.Replace(sound, "200", status, 1) + notRun
	}
	return out
}

// Guards against callers that get an answer, or a promise that nothing has run, when the head of the upstream's answer
// breaks the rules of HTTP.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, head := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, kind := range []string{"swap", "once", "fetch", "ask"} {
					body := "whole"
					if kind == "once" || kind == "ask" {
						body = "id: 1\ndata: odd\n\n"
						head = strings.Replace(head, "Content-Length: 5\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(body)), 1)
					}
					if strings.Contains(head, "chunked") && !strings.Contains(head, "Content-Length") {
						body = chunk(body) + "0\r\n\r\n"
					}
					requireNotAnswered(t, kind, scripted{text: head + "\r\n" + body})
				}
			})
		})
	}
}

// Guards against sound answers that are refused for what HTTP allows in a head.
func TestHeadsThatHTTPAllows(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + idLine + signed + "Content-Length: 5\r\n"
	for name, head := range map[string]string{
		"every character of a token": ok + "X!#$%&'*+-.^_`|~0: 1\r\n",
		"value without blanks":       ok + "X-Odd:1\r\n",
		"blanks around a value":      ok + "X-Odd: \t 1 \t \r\n",
		"empty value":                ok + "X-Odd:\r\n",
		"tab in a value":             ok + "X-Odd: 1\t2\r\n",
		"byte over 127 in a value":   ok + "X-Odd: caf\xe9\r\n",
		"quotes and colons":          ok + "X-Odd: \"a:b\" (c)\r\n",
		"no reason":                  strings.Replace(ok, " OK", " ", 1),
		"status alone":               strings.Replace(ok, " OK", "", 1),
		"odd reason":                 strings.Replace(ok, "OK", "tr\xe8s\tbien", 1),
		"HTTP/1.0":                   strings.Replace(ok, "1.1", "1.0", 1),
		"line feeds alone":           strings.ReplaceAll(ok, "\r\n", "\n"),
		"two equal lengths":          ok + "Content-Length: 5\r\n",
		"interim answers":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + ok,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &faulty{script: []scripted{{text: head + "\r\n" + "whole"}}}
				require.Equal(t, heard{http.StatusOK, "whole", true}, u.serve1(t, "swap", ""))
			})
		})
	}
}
