package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const recorded = `
  27.1 front-a {"level":"info","node":"front-a","time":"2026-07-13T00:36:07.100Z","upstream":"i-1","deleted":true,"revision":172,"message":"upstreamGone"}
{"level":"info","node":"home","time":"2026-07-13T00:36:08.210Z","peer":"front-a/17/3","ask":41,"service":"scribe","reason":"full","retryAfterMillis":310,"message":"slotRefused"}
{"level":"info","node":"home","time":"2026-07-13T00:36:08.211Z","peer":"front-b/17/3","ask":41,"service":"scribe","reason":"full","message":"slotRefused"}
{"level":"info","node":"front-a","time":"2026-07-13T00:36:08.100Z","request":"r1","upstream":"i-1","ask":40,"attempt":1,"error":"read stream","message":"attemptFailed"}
{"level":"warn","node":"front-a","time":"2026-07-13T00:36:08.150Z","home":"s1","term":1,"message":"homeLost"}
{"level":"warn","node":"front-b","time":"2026-07-13T00:36:08.150Z","home":"s1","term":1,"message":"homeLost"}
{"level":"info","node":"front-a","time":"2026-07-13T00:36:08.205Z","request":"r1","ask":41,"outcome":"refused:full","status":503,"message":"requestDone"}
{"level":"info","node":"front-a","time":"2026-07-13T00:36:08.206Z","request":"r2","ask":42,"outcome":"answered","status":200,"message":"requestDone"}
{"level":"info","node":"front-a","time":"2026-07-13T00:37:08.206Z","version":9,"message":"configurationInForce"}
{"time":"2026-07-13T00:37:08.206Z"} {"broken`

func TestTimelineOfARequest(t *testing.T) {
	events, skipped, err := Read(strings.NewReader(recorded))
	require.NoError(t, err)
	require.Equal(t, 2, skipped)
	require.Len(t, events, 9)
	var got []string
	for _, e := range Timeline(events, "r1") {
		got = append(got, e.Node+" "+e.Name)
	}
	require.Equal(t, []string{"front-a upstreamGone", "front-a attemptFailed", "front-a homeLost", "home slotRefused", "front-a requestDone"}, got,
		"the refusal comes before the answer that it caused, though the home's clock is ahead")
	require.Empty(t, Timeline(events, "r9"))
	require.Equal(t, "00:36:08.206 front-a          requestDone ask=42 outcome=answered request=r2 status=200", Timeline(events, "r2")[1].String())
}

// Guards against a timeline that ends where the caller took its stream up at another node.
func TestTimelineFollowsAStreamThatWasTakenUp(t *testing.T) {
	const log = `
{"level":"info","node":"front-a","time":"2026-07-13T00:36:08.100Z","request":"r1","outcome":"streamBroken:attemptsFailed","version":"v1","message":"requestDone"}
{"level":"info","node":"home","time":"2026-07-13T00:36:08.300Z","peer":"front-b/17/3","ask":7,"resumes":"r1","reason":"noUpstreamOfVersion","message":"slotRefused"}
{"level":"info","node":"front-b","time":"2026-07-13T00:36:08.310Z","request":"r2","ask":7,"resumes":"r1","outcome":"refused:noUpstreamOfVersion","message":"requestDone"}
{"level":"info","node":"front-b","time":"2026-07-13T00:36:08.320Z","request":"r3","outcome":"answered","message":"requestDone"}`
	events, _, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	for _, id := range []string{"r1", "r2"} {
		var got []string
		for _, e := range Timeline(events, id) {
			got = append(got, e.Node+" "+e.Name)
		}
		require.Equal(t, []string{"front-a requestDone", "home slotRefused", "front-b requestDone"}, got, id)
	}
}
