package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal whose cause, minutes before, the timeline doesn't show.
func TestTimelineShowsWhyAPartIsQuarantined(t *testing.T) {
	const log = `
{"level":"info","node":"front-a","time":"2026-07-13T00:30:01.000Z","request":"r1","upstream":"i-1","ended":true,"parts":["0a","0b"],"message":"attemptFailed"}
{"level":"warn","node":"home","time":"2026-07-13T00:30:01.010Z","service":"scribe","part":"0b","endsInARow":1,"message":"partSuspected"}
{"level":"warn","node":"home","time":"2026-07-13T00:30:02.010Z","service":"scribe","part":"0c","endsInARow":1,"message":"partSuspected"}
{"level":"warn","node":"home","time":"2026-07-13T00:30:03.010Z","service":"scribe","part":"0b","endsInARow":3,"message":"partQuarantined"}
{"level":"info","node":"front-b","time":"2026-07-13T00:36:08.310Z","request":"r2","outcome":"refused:quarantinedPart","parts":["0a","0b"],"message":"requestDone"}
{"level":"warn","node":"home","time":"2026-07-13T00:40:03.010Z","service":"scribe","part":"0b","message":"partCleared"}`
	events, _, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	var got []string
	for _, e := range Timeline(events, "r2") {
		got = append(got, e.Node+" "+e.Name+" "+e.text("part"))
	}
	require.Equal(t, []string{"home partSuspected 0b", "home partQuarantined 0b", "front-b requestDone "}, got)
}

// Guards against a refused request whose earlier tries, at other nodes, the timeline doesn't show.
func TestTimelineShowsEarlierTriesOfAQuarantinedRequest(t *testing.T) {
	const log = `
{"level":"info","node":"front-a","time":"2026-07-13T00:30:01.000Z","request":"r1","upstream":"i-1","ended":true,"parts":[],"identity":"1f","message":"attemptFailed"}
{"level":"warn","node":"home","time":"2026-07-13T00:30:01.050Z","identity":"1f","endsInARow":1,"message":"requestSuspected"}
{"level":"info","node":"front-a","time":"2026-07-13T00:30:02.000Z","request":"other","upstream":"i-2","parts":[],"identity":"2f","message":"attemptFailed"}
{"level":"warn","node":"home","time":"2026-07-13T00:30:03.010Z","identity":"1f","endsInARow":3,"message":"requestQuarantined"}
{"level":"info","node":"front-b","time":"2026-07-13T00:36:08.310Z","request":"r2","outcome":"refused:quarantinedRequest","identity":"1f","message":"requestDone"}`
	events, _, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	var got []string
	for _, e := range Timeline(events, "r2") {
		got = append(got, e.Node+" "+e.Name)
	}
	require.Equal(t, []string{"front-a attemptFailed", "home requestSuspected", "home requestQuarantined", "front-b requestDone"}, got)
}
