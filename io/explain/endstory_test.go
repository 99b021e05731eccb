package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lines about the end of one job, without their times.
const (
	endAcked    = `"node":"e1","job":"j1","outcome":"ended","by":"home","entryWrite":"unknown","message":"jobEnd"`
	end503      = `"node":"e1","job":"j1","item":"","status":503,"message":"jobEnd"`
	end504      = `"node":"e1","job":"j1","status":504,"entryWrite":"unknown","message":"jobEnd"`
	endLearnt   = `"node":"s1","job":"j1","term":2,"way":"notice","loaded":true,"itemsAfter":0,"lastItemMillis":0,"message":"jobEnded"`
	endNotHeld  = `"node":"s2","job":"j1","term":3,"way":"notice","loaded":false,"itemsAfter":0,"lastItemMillis":0,"message":"endOfJobNotHeld"`
	endEarlier  = `"node":"s1","job":"j1","term":2,"way":"watch","message":"jobEnded"`
	attempt900  = `"node":"s1","job":"j1","item":"j1.0","upstream":"i-2","tookMillis":900,"message":"itemAttempt"`
	attempt1500 = `"node":"s1","job":"j1","item":"j1.0","upstream":"i-2","tookMillis":1500,"cut":true,"message":"itemAttempt"`
	cancelled   = `"node":"e2","item":"j1.0","run":7,"message":"itemRunCancelled"`
	otherItem   = `"node":"e2","item":"j2.0","run":8,"message":"itemRunCancelled"`
	removed     = `"node":"s1","job":"j1","message":"jobRemoved"`
	otherJob    = `"node":"s1","job":"j2","item":"j2.0","tookMillis":1,"message":"itemAttempt"`
)

// Guards against a verdict on the end of a job that the answers and the runs don't bear out.
func TestJobEndStory(t *testing.T) {
	const (
		ack      = "e1 at 00:36:00.000: acknowledged, written by the home, entryWrite unknown"
		learnt   = "s1 of term 2 told by notice at 00:36:01.000: jobEnded, loaded true, itemsAfter 0, lastItemMillis 0"
		notHeld  = "s2 of term 3 told by notice at 00:36:01.000: endOfJobNotHeld, loaded false, itemsAfter 0, lastItemMillis 0"
		ranLater = "item j1.0 began 1100 ms after it, home s1, at i-2"
	)
	for _, tc := range []struct {
		name, log string
		want      string
	}{
		{"ended", at(endAcked, endLearnt), "ended; " + ack + "; " + learnt},
		{"ended, of the earlier release", at(endAcked, endEarlier), "ended; " + ack + "; s1 of term 2 told by watch at 00:36:01.000: jobEnded"},
		{"an item that began before is cut after", at(endAcked, attempt1500, cancelled, otherItem), "ended; " + ack + "; item j1.0 cancelled at e2 at 00:36:02.000"},
		{"an item began after", at(endAcked, endNotHeld, attempt900), "RAN AFTER ITS END by up to 1100 ms; " + ack + "; " + notHeld + "; " + ranLater},
		{"an attempt without an end", at(endAcked, began), "RAN AFTER ITS END by up to 1000 ms; " + ack + "; item j1.0 began 1000 ms after it, home s1, at i-2"},
		{"ended twice", at(endAcked, end503, attempt900), "RAN AFTER ITS END by up to 1100 ms; " + ack + "; e1 at 00:36:01.000: 503, entryWrite notDone; " + ranLater},
		{"in doubt", at(end504, attempt900), "end in doubt; e1 at 00:36:00.000: 504, entryWrite unknown"},
		{"refused, and a home learns of it", at(end503, endLearnt), "end in doubt; e1 at 00:36:00.000: 503, entryWrite notDone; " + learnt},
		{"refused", at(end503, attempt900), "not ended; e1 at 00:36:00.000: 503, entryWrite notDone"},
		{"the next job with the ID", at(endAcked, removed, accepted202, began), "ended; " + ack},
		{"brought back after its removal", at(endAcked, removed, began), "RAN AFTER ITS END by up to 2000 ms; " + ack + "; item j1.0 began 2000 ms after it, home s1, at i-2"},
	} {
		events, _, err := Read(strings.NewReader(tc.log + at(otherJob)))
		require.NoError(t, err, tc.name)
		s, ok := JobEndStory(events, "j1")
		require.True(t, ok, tc.name)
		require.Equal(t, "end of job j1: "+tc.want, s.String(), tc.name)
		if strings.Contains(tc.log, `"job":"j1","item":"j1.0"`) {
			byItem, ok := JobEndStory(events, "j1.0")
			require.True(t, ok, tc.name)
			require.Equal(t, s, byItem, tc.name)
		}
		_, ok = JobEndStory(events, "j2")
		require.False(t, ok, tc.name)
	}
}

// Guards against one attempt that counts as two, by the line of the job's first item and that of the attempt's end.
func TestLateItemIsCountedOnce(t *testing.T) {
	events, _, err := Read(strings.NewReader(`
{"node":"e1","time":"2026-07-13T00:36:01.000Z","job":"j1","outcome":"ended","by":"entry","message":"jobEnd"}
{"node":"s1","time":"2026-07-13T00:36:05.000Z","job":"j1","item":"j1.0","message":"firstItemStarted"}
{"node":"s1","time":"2026-07-13T00:36:05.600Z","job":"j1","item":"j1.0","tookMillis":599.5,"message":"itemAttempt"}
{"node":"s1","time":"2026-07-13T00:36:07.600Z","job":"j1","item":"j1.0","tookMillis":1000,"message":"itemAttempt"}`))
	require.NoError(t, err)
	s, ok := JobEndStory(events, "j1")
	require.True(t, ok)
	require.Equal(t, RanAfterEnd, s.Verdict)
	require.Len(t, s.Late, 2)
}
