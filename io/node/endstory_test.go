package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/explain"
	"mothcart/io/home"
	"mothcart/platform/fake"
)

// endStory returns what the recorded lines show about the end of a job.
func (s *testSite) endStory(id string) explain.EndStory {
	events, _, err := explain.Read(strings.NewReader(s.recorded.String()))
	require.NoError(s.t, err)
	story, ok := explain.JobEndStory(events, id)
	require.True(s.t, ok)
	s.t.Log(story)
	return story
}

// Guards against a complaint about items of an ended job whose cause the log doesn't show.
func TestLogTellsHowAJobEnded(t *testing.T) {
	recordMillis(t)
	for _, tc := range []struct {
		name    string
		ownRuns int
		// loads makes the home load the job while it is ended.
		loads     bool
		cancelled int
	}{
		{"by the home that runs its items", 64, false, 0},
		{"by a home whose items run on another node", 0, false, 2},
		{"by a home that loads it", 64, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			(&testSite{ownRuns: tc.ownRuns, recorded: new(lockedBuffer)}).run(t, func(t *testing.T, s *testSite) {
				for _, e := range s.engines {
					e.SetPace(500 * time.Millisecond)
				}
				require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 2).status)
				time.Sleep(2 * time.Second)
				if tc.loads {
					s.killHome(1)
					s.killHome(2)
					s.objects.SetFault(fake.Fault{ReadDelay: map[string]time.Duration{home.ResultsPrefix: 4 * time.Second}})
					s.startHome(1)
					s.startHome(2)
					time.Sleep(2500 * time.Millisecond)
				}
				s.endJob(2, "j1")
				time.Sleep(5 * time.Second)
				story := s.endStory("j1")
				require.Equal(t, explain.Ended, story.Verdict)
				require.Equal(t, "e2", story.Acknowledged.Node)
				require.NotEmpty(t, story.Learnt)
				for _, l := range story.Learnt {
					require.Equal(t, "e2", l.Fields["endedBy"])
					require.Equal(t, !tc.loads, l.Fields["loaded"])
				}
				require.Len(t, story.Cancelled, tc.cancelled)
				require.Equal(t, story, s.endStory("j1.0"))
			})
		})
	}
}
