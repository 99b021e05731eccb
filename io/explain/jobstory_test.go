package explain

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The lines of a job as the release before wrote them, with the reset of an applied write that was taken for a refusal.
const earlierRelease = `
{"level":"info","node":"s1","time":"2026-07-13T00:36:08.160Z","job":"j1","route":"lot","items":2,"ageMillis":120,"message":"jobTaken"}
{"level":"info","node":"s1","time":"2026-07-13T00:36:08.570Z","job":"j1","item":"j1.0","upstream":"i-2","status":200,"tookMillis":400,"message":"itemAttempt"}
{"level":"info","node":"s1","time":"2026-07-13T00:36:09.318Z","method":"submit","outcome":2,"error":"create mothcart-jobs/j1: object write outcome unknown: status 503","message":"writtenForNode"}
{"level":"info","node":"e1","time":"2026-07-13T00:36:09.315Z","job":"j1","outcome":"notWritten","status":503,"tookMillis":1275,"error":"create mothcart-jobs/j1: status 503","message":"jobSubmitted"}`

// lines of one job, without their times.
const (
	wroteLost   = `"node":"s1","job":"j1","attempt":"e1/1/1","by":"home","number":1,"object":"mothcart-jobs/j1","outcome":"unknown","message":"jobWriteAttempt"`
	wroteDone   = `"node":"e2","job":"j1","attempt":"e2/1/1","by":"entry","number":2,"object":"mothcart-jobs/j1","outcome":"done","message":"jobWriteAttempt"`
	taken       = `"node":"s1","job":"j1","message":"jobTaken"`
	began       = `"node":"s1","job":"j1","item":"j1.0","upstream":"i-2","message":"firstItemStarted"`
	refused503  = `"node":"e1","job":"j1","attempt":"e1/1/1","outcome":"notWritten","status":503,"message":"jobSubmitted"`
	refused429  = `"node":"e2","job":"j1","attempt":"e2/1/1","outcome":"noRoom","status":429,"message":"jobSubmitted"`
	inDoubt     = `"node":"e2","job":"j1","attempt":"e2/1/1","outcome":"outcomeUnknown","status":504,"message":"jobSubmitted"`
	accepted202 = `"node":"e2","job":"j1","attempt":"e2/1/1","outcome":"accepted","status":202,"message":"jobSubmitted"`
	idInUse     = `"node":"e2","job":"j1","attempt":"e2/1/1","outcome":"idInUse","status":409,"message":"jobSubmitted"`
)

// at gives lines times a second apart.
func at(lines ...string) string {
	var b strings.Builder
	for i, line := range lines {
		fmt.Fprintf(&b, "{\"time\":\"2026-07-13T00:36:%02d.000Z\",%s}\n", i, line)
	}
	return b.String()
}

// Guards against a verdict that the answers and the runs of a job don't bear out.
func TestJobStory(t *testing.T) {
	for _, tc := range []struct {
		name, log string
		want      string
	}{
		{"refused and not seen again", at(refused503), "refused; 503 by e1 at 00:36:00.000: notWritten"},
		{"refused, and ran", at(wroteLost, taken, began, refused503), "RAN AFTER A REFUSAL; 503 by e1 at 00:36:03.000: notWritten; " +
			"write 1 of the home s1 at 00:36:00.000: unknown; taken by s1 at 00:36:01.000; item j1.0 began to run at 00:36:02.000, at i-2"},
		{"refused twice, then ran", at(refused429, refused503, taken, began), "RAN AFTER A REFUSAL; 429 by e2 at 00:36:00.000: noRoom; " +
			"503 by e1 at 00:36:01.000: notWritten; taken by s1 at 00:36:02.000; item j1.0 began to run at 00:36:03.000, at i-2"},
		{"refused, then stored", at(refused503, taken), "stored after a refusal; 503 by e1 at 00:36:00.000: notWritten; taken by s1 at 00:36:01.000"},
		{"no answer to the attempt that wrote it", at(wroteLost, refused429, taken), "stored after a refusal; 429 by e2 at 00:36:01.000: noRoom; " +
			"no answer to attempt e1/1/1; write 1 of the home s1 at 00:36:00.000: unknown; taken by s1 at 00:36:02.000"},
		{"refused, then in doubt, and ran", at(refused503, inDoubt, taken, began), "in doubt; 503 by e1 at 00:36:00.000: notWritten; " +
			"504 by e2 at 00:36:01.000: outcomeUnknown; taken by s1 at 00:36:02.000; item j1.0 began to run at 00:36:03.000, at i-2"},
		{"refused, then accepted", at(refused503, wroteDone, accepted202, taken), "accepted; 503 by e1 at 00:36:00.000: notWritten; " +
			"202 by e2 at 00:36:02.000: accepted; write 2 of the entry e2 at 00:36:01.000: done; taken by s1 at 00:36:03.000"},
		{"another account's job runs", at(began, idInUse), "rejected; 409 by e2 at 00:36:01.000: idInUse; item j1.0 began to run at 00:36:00.000, at i-2"},
		{"of the earlier release", earlierRelease, "RAN AFTER A REFUSAL; 503 by e1 at 00:36:09.315: notWritten; taken by s1 at 00:36:08.160; " +
			"item j1.0 began to run at 00:36:08.170, at i-2"},
	} {
		events, _, err := Read(strings.NewReader(tc.log))
		require.NoError(t, err, tc.name)
		s, ok := JobStory(events, "j1")
		require.True(t, ok, tc.name)
		require.Equal(t, "job j1: "+tc.want, s.String(), tc.name)
		_, ok = JobStory(events, "j2")
		require.False(t, ok, tc.name)
	}
}

// Guards against a timeline in which the answer to the caller comes before what decided it, since clocks differ.
func TestAnswerOfAJobFollowsItsCauses(t *testing.T) {
	events, _, err := Read(strings.NewReader(`
{"node":"e1","time":"2026-07-13T00:36:09.315Z","job":"j1","status":503,"message":"jobSubmitted"}
{"node":"s1","time":"2026-07-13T00:36:09.310Z","job":"j1","outcome":"notDone","message":"jobWriteAttempt"}
{"node":"s1","time":"2026-07-13T00:36:09.318Z","job":"j1","outcome":"notDone","message":"writtenForNode"}
{"node":"s1","time":"2026-07-13T00:36:09.322Z","job":"j1","standing":"settled","message":"submissionWithdrawn"}`))
	require.NoError(t, err)
	var got []string
	for _, e := range Timeline(events, "j1") {
		got = append(got, e.Name)
	}
	require.Equal(t, []string{"jobWriteAttempt", "writtenForNode", "submissionWithdrawn", "jobSubmitted"}, got)
}

// Guards against an order that depends on the order of the files, or that changes the order of one node's lines.
func TestOrderOfEvents(t *testing.T) {
	names := []string{"requestDone", "attemptFailed", "slotRefused"}
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		var events []Event
		for i := range 30 {
			events = append(events, Event{Node: string(rune('a' + r.IntN(3))), Name: names[r.IntN(3)], Time: time.Unix(0, r.Int64N(int64(200*time.Millisecond))), index: i})
		}
		want := inCausalOrder(events)
		require.Len(t, want, len(events))
		last := map[string]time.Time{}
		for i, e := range want {
			require.False(t, e.Time.Before(last[e.Node]), "seed %d", seed)
			last[e.Node] = e.Time
			require.False(t, i > 0 && want[i-1].Time.Sub(e.Time) > clockSlack, "seed %d", seed)
		}
		r.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		require.Equal(t, want, inCausalOrder(events), "seed %d", seed)
	}
}
