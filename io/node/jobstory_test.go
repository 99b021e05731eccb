package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/io/explain"
	"mothcart/io/home"
	"mothcart/platform"
	"mothcart/platform/fake"
)

// story returns what the recorded lines show about a job.
func (s *testSite) story(job string) explain.Story {
	events, _, err := explain.Read(strings.NewReader(s.recorded.String()))
	require.NoError(s.t, err)
	story, ok := explain.JobStory(events, job)
	require.True(s.t, ok)
	for _, e := range explain.Timeline(events, job) {
		s.t.Log(e)
	}
	s.t.Log(story)
	return story
}

// recordMillis makes log lines name the time to the millisecond, as processes do.
func recordMillis(t *testing.T) {
	before := zerolog.TimeFieldFormat
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	t.Cleanup(func() { zerolog.TimeFieldFormat = before })
}

// Guards against a complaint about a refused job whose cause the log doesn't show.
func TestLogTellsHowAJobWasWritten(t *testing.T) {
	recordMillis(t)
	refused := []fake.Fate{fake.Refused}
	for _, tc := range []struct {
		name        string
		entry, home []fake.Fate
		verdict     explain.Verdict
		// answer are fields of the line about the answer, writes are the writer and the outcome of the attempts to write
		// the job that may have had effect.
		answer map[string]any
		writes []string
	}{
		{"written by the entry", nil, refused, explain.Accepted, map[string]any{"outcome": "accepted", "entryWrite": "done", "roomBy": "home"}, []string{"entry done"}},
		{"written by the home", refused, nil, explain.Accepted, map[string]any{"outcome": "accepted", "entryWrite": "open", "homeWrite": "done"}, []string{"home done"}},
		{"refused", refused, refused, explain.Refused, map[string]any{"outcome": "notWritten", "entryWrite": "notDone", "homeWrite": "notDone", "home": "settled"}, nil},
		{"in doubt by the entry", []fake.Fate{fake.AppliedLate, fake.Refused}, refused, explain.InDoubt, map[string]any{"outcome": "outcomeUnknown", "entryWrite": "unknown", "homeWrite": "notDone"}, []string{"entry unknown"}},
		{"in doubt by the home", refused, []fake.Fate{fake.Refused, fake.AppliedLate, fake.Refused}, explain.InDoubt, map[string]any{"outcome": "outcomeUnknown", "entryWrite": "notDone", "homeWrite": "unknown"}, []string{"home unknown"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runRecordedSite(t, func(t *testing.T, s *testSite) {
				s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{entryIP(1): tc.entry, homeIP(1): tc.home}})
				r := s.submitJob(1, "j1", 2)
				s.objects.SetFault(fake.Fault{})
				time.Sleep(5 * time.Second)
				story := s.story("j1")
				require.Equal(t, tc.verdict, story.Verdict)
				require.Len(t, story.Answers, 1)
				for name, want := range tc.answer {
					require.Equal(t, want, story.Answers[0].Fields[name], name)
				}
				var writes []string
				for _, w := range story.Writes {
					writes = append(writes, w.Fields["by"].(string)+" "+w.Fields["outcome"].(string))
					require.Equal(t, story.Answers[0].Fields["attempt"], w.Fields["attempt"])
				}
				require.Equal(t, tc.writes, writes)
				require.Equal(t, r.status != http.StatusServiceUnavailable, story.Ran != nil)
				require.LessOrEqual(t, strings.Count(s.recorded.String(), "firstItemStarted"), 1)
			})
		})
	}
}

// count returns a node's counter.
func count(b *base, name string) int64 {
	return metrics.GetOrRegisterCounter(name, b.opts.Registry).Count()
}

// Guards against jobs that ran after a refusal, by whatever cause, without a node that notices.
func TestJobThatRanAfterARefusalIsCounted(t *testing.T) {
	recordMillis(t)
	runRecordedSite(t, func(t *testing.T, s *testSite) {
		s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": {fake.Refused}}})
		require.Equal(t, http.StatusServiceUnavailable, s.submitJob(1, "j1", 1).status)
		s.objects.SetFault(fake.Fault{})
		job, err := platform.Codec().DecodeJob("j1", fake.Host, "/lot/1", "", time.Now(), fake.JobBody("j1", 1, []byte("draft")))
		require.NoError(t, err)
		s.objects.Write(home.KindJobs, "j1", job)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, s.runsOf("j1.0"))
		require.Equal(t, explain.RanAfterRefusal, s.story("j1").Verdict)
		entry, at := s.entries["e1"].base, s.homes["s1"].base
		require.EqualValues(t, 1, count(at, "home.refusedJobsStored"))
		require.EqualValues(t, 1, count(at, "home.refusedJobsRan"))
		require.EqualValues(t, 1, count(entry, "submissions.notWritten.503"))
		require.Positive(t, count(entry, "jobWrites.entry.notDone"))
		require.Positive(t, count(at, "jobWrites.home.notDone"))
		require.Contains(t, s.recorded.String(), `"submissions.notWritten.503":1`, "the counters line has it")
	})
}

// Guards against attempts in doubt, and refusals that are withheld for them, that no figure shows.
func TestAttemptsInDoubtAreCounted(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		refused := []fake.Fate{fake.Refused}
		s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused, entryIP(1): {fake.Lost, fake.Refused}}})
		require.Equal(t, http.StatusGatewayTimeout, s.submitJob(1, "j1", 2).status)
		require.Equal(t, http.StatusGatewayTimeout, s.submitJob(2, "j1", 2).status)
		time.Sleep(2 * time.Second)
		open := metrics.GetOrRegisterGauge("home.openSubmissions", s.homes["s1"].base.opts.Registry)
		require.EqualValues(t, 1, open.Value())
		require.EqualValues(t, 1, count(s.entries["e1"].base, "submissions.outcomeUnknown.504"))
		require.EqualValues(t, 1, count(s.entries["e1"].base, "jobWrites.entry.unknown"))
		require.EqualValues(t, 1, count(s.entries["e2"].base, "submissions.notWritten.earlierAttempt.504"))
		require.EqualValues(t, 1, count(s.entries["e2"].base, "submissions.refusalsWithheld"))
		time.Sleep(time.Minute)
		require.Zero(t, open.Value(), "an attempt is forgotten after a minute")
	})
}

// Guards against a promise about a job in doubt by a node that refuses the call before it has read the job.
func TestJobInDoubtIsNotRefusedUnread(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lost makes an earlier attempt, at entry 1, one that was not answered.
		lost   bool
		stored bool
		submit func(s *testSite) int
		status int
	}{
		{"no memory, no doubt", false, false, func(s *testSite) int { return s.submitWithoutMemory(1) }, http.StatusServiceUnavailable},
		{"no memory, in doubt", true, false, func(s *testSite) int { return s.submitWithoutMemory(1) }, http.StatusGatewayTimeout},
		{"no memory, stored", false, true, func(s *testSite) int { return s.submitWithoutMemory(1) }, http.StatusAccepted},
		{"body doesn't arrive, no doubt", false, false, func(s *testSite) int { return s.slowBody("/lot/1", "j1", stuckReader{s.t.Context()}, 100) }, http.StatusRequestTimeout},
		{"body doesn't arrive, in doubt", true, false, func(s *testSite) int { return s.slowBody("/lot/1", "j1", stuckReader{s.t.Context()}, 100) }, http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runSite(t, func(t *testing.T, s *testSite) {
				if tc.lost {
					s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": {fake.Refused}, entryIP(2): {fake.Lost, fake.Refused}}})
					require.Equal(t, http.StatusGatewayTimeout, s.submitJob(2, "j1", 2).status)
					s.objects.SetFault(fake.Fault{})
				}
				if tc.stored {
					require.Equal(t, http.StatusAccepted, s.submitJob(2, "j1", 2).status)
					time.Sleep(100 * time.Millisecond) // until the home knows, the job is in doubt
				}
				require.Equal(t, tc.status, tc.submit(s))
			})
		})
	}
}

// submitWithoutMemory submits job j1 at an entry that may hold no more bytes, and returns the status.
func (s *testSite) submitWithoutMemory(n int) int {
	b := s.entries[fmt.Sprintf("e%d", n)].base
	taken := gauge(b, "held.limitBytes")
	b.held.Add(taken)
	defer b.held.Free(taken)
	return s.submitJob(n, "j1", 2).status
}

// stuckReader is a body of which nothing arrives until the end of a context.
type stuckReader struct{ ctx context.Context }

// Read implements io.Reader.
func (r stuckReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, io.EOF
}
