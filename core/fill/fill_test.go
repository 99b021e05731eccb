package fill

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const itemTokens = 400

// afterRamp returns the state of a home that has got reports of an idle engine until its ramp ended.
func afterRamp(params Params) (State, time.Duration) {
	s := New(start, params)
	for d := time.Duration(0); d <= 3*time.Second; d += 100 * time.Millisecond {
		s = s.WithReport(at(d), Report{})
	}
	return s, 3 * time.Second
}

// startAdmitted starts the batch items that Decide admits; their prompts are computed at once.
func startAdmitted(s State, now time.Time, next *int) (State, int) {
	d := s.Decide(now)
	n := 0
	for tokens := d.AdmitTokens; n < d.Admit && tokens >= itemTokens; tokens -= itemTokens {
		id := fmt.Sprint("b", *next)
		*next++
		n++
		s = s.WithBatchStart(now, id, itemTokens).WithBatchFirstToken(now, id)
	}
	return s, n
}

// filled returns the state of a home whose engine is full of batch sequences.
func filled(t *testing.T, params Params) (State, time.Duration) {
	t.Helper()
	s, now := afterRamp(params)
	next := 0
	for range 100 {
		s, _ = startAdmitted(s, at(now), &next)
		now += 5 * time.Millisecond
	}
	require.Equal(t, params.MaxSequences, s.Batch())
	return s, now
}

func TestGapIsFilledWithinASecond(t *testing.T) {
	s, now := afterRamp(NewParams(64, 60_000).WithWeight(1))
	s = s.WithOnlineStart(at(now), "o", 400).WithOnlineEnd(at(now+time.Second), "o")
	gap := now + time.Second
	next := 0
	for now = gap; s.Batch() < 60; now += 20 * time.Millisecond {
		require.Less(t, now-gap, time.Second)
		s, _ = startAdmitted(s, at(now), &next)
	}
}

func TestOnlineStartPreemptsNewestBatch(t *testing.T) {
	tests := []struct {
		weight      float64
		least, most int
	}{{1, 0, 4}, {0.75, 4, 12}, {0.5, 10, 30}, {0, 60, 63}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.weight), func(t *testing.T) {
			s, now := filled(t, NewParams(64, 60_000).WithWeight(tt.weight))
			s = s.WithOnlineStart(at(now), "o", 400)
			d := s.Decide(at(now))
			require.Zero(t, d.Admit)
			remaining := 64 - len(d.Cancel)
			require.GreaterOrEqual(t, remaining, tt.least)
			require.LessOrEqual(t, remaining, tt.most)
			require.Equal(t, "b63", d.Cancel[0])
			for _, id := range d.Cancel {
				s = s.WithBatchPaused(at(now), id)
			}
			require.Empty(t, s.Decide(at(now)).Cancel, "only as many as needed")
		})
	}
}

// While one online request runs, batch must stay at one level instead of starting and cancelling streams
// in turn.
func TestSteadyOnlineMakesNoOscillation(t *testing.T) {
	for _, weight := range []float64{1, 0.75, 0.5, 0} {
		s, now := filled(t, NewParams(64, 60_000).WithWeight(weight))
		s = s.WithOnlineStart(at(now), "o", 400)
		for _, id := range s.Decide(at(now)).Cancel {
			s = s.WithBatchPaused(at(now), id)
		}
		level, next := s.Batch(), 1000
		for range 500 {
			now += 10 * time.Millisecond
			require.Empty(t, s.Decide(at(now)).Cancel, weight)
			s, _ = startAdmitted(s, at(now), &next)
			require.InDelta(t, level, s.Batch(), 2, weight)
		}
	}
}

// Gaps of 50 ms between online requests are too short for batch: what starts in them would be cancelled.
func TestFlappingOnlineStartsNoBatch(t *testing.T) {
	s, now := afterRamp(NewParams(64, 60_000).WithWeight(1))
	admitted := 0
	for i := range 100 {
		id := fmt.Sprint("o", i)
		s = s.WithOnlineStart(at(now), id, 400)
		now += 20 * time.Millisecond
		s = s.WithOnlineEnd(at(now), id)
		for range 5 {
			now += 10 * time.Millisecond
			admitted += s.Decide(at(now)).Admit
		}
	}
	require.Zero(t, admitted)
}

// An item above the token limit must run alone: if it were cancelled, it would be taken again without end.
func TestItemAboveTheTokenLimitIsNotTakenAgain(t *testing.T) {
	s, now := afterRamp(NewParams(64, 2_000))
	d := s.Decide(at(now))
	s = s.WithBatchStart(at(now), "long", d.AdmitTokens+500)
	d = s.Decide(at(now + time.Second))
	require.Empty(t, d.Cancel)
	require.Zero(t, d.Admit)
	s = s.WithOnlineStart(at(now+time.Second), "o", 2_000)
	require.Equal(t, []string{"long"}, s.Decide(at(now+time.Second)).Cancel, "online needs the memory")
}

// A new home has no notices of the requests that run already, and must not fill the engine beside them.
func TestNewHomeDoesNotFlood(t *testing.T) {
	params := NewParams(64, 60_000).WithWeight(0)
	s := New(start, params)
	require.Zero(t, s.Decide(at(time.Second)).Admit, "a home without a report admits nothing")
	s = s.WithReport(at(0), Report{Running: 60})
	require.LessOrEqual(t, s.Decide(at(0)).Admit, 4)
	require.LessOrEqual(t, s.Decide(at(10*time.Second)).Admit, 4, "the reported sequences count as online")
}

// report applies a number of reports of running sequences, one every 200 ms.
func report(s State, now *time.Duration, times, running int) State {
	for range times {
		s = s.WithReport(at(*now), Report{Running: running})
		*now += 200 * time.Millisecond
	}
	return s
}

// Lost notices of starts and ends must not make the count of online requests wrong for good.
func TestReportsCorrectLostNotices(t *testing.T) {
	params := NewParams(64, 60_000)
	s, now := afterRamp(params)
	s = s.WithOnlineStart(at(now), "lost end", 400)
	s = s.WithReport(at(now+10*time.Millisecond), Report{Running: 0})
	require.Equal(t, 1, s.Online(), "a late report says nothing of a new request")
	now += time.Minute
	s = report(s, &now, 10, 0)
	require.Equal(t, 0, s.Online())
	now += 2 * time.Minute
	s = report(s, &now, 2, 3)
	require.Equal(t, 3, s.Online(), "lost starts count as online")
	s = report(s, &now, 3, 0)
	require.Equal(t, 0, s.Online(), "they no longer count after three reports")
	s = s.WithOnlineStart(at(now), "no reports", 400)
	now += time.Hour
	s = report(s, &now, 1, 1)
	require.Equal(t, 0, s.Online(), "the lease ends the request")
	now += 5 * time.Second
	s = report(s, &now, 2, 1)
	require.Equal(t, 1, s.Online(), "the report shows another online request")
}

func TestRatioIsLearned(t *testing.T) {
	h := newHarm()
	for i := range 2000 {
		n := float64(1 + i%20)
		h = h.with(n, 0, time.Duration((10+0.2*n)*float64(time.Millisecond)))
	}
	require.InDelta(t, 0.02, h.ratio(), 0.002)
}

func TestRatioIsLearnedFromBatchStreams(t *testing.T) {
	s := New(start, NewParams(64, 60_000))
	now := time.Duration(0)
	for round := range 300 {
		n := 1 + round%30
		for i := range n {
			id := fmt.Sprint("b", i)
			s = s.WithBatchStart(at(now), id, itemTokens).WithBatchFirstToken(at(now), id)
		}
		now += 100 * time.Duration((10+0.3*float64(n))*float64(time.Millisecond))
		s = s.WithBatchLatency(at(now), "b0", 101)
		for i := range n {
			s = s.WithBatchEnd(at(now), fmt.Sprint("b", i))
		}
	}
	require.InDelta(t, 0.03, s.harm.ratio(), 0.003)
}

// Under random events, a second decision must not cancel more, an admitted item must not be cancelled at
// once, the limits must hold, the sums of tokens must be right, and an idle engine must get batch.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := NewParams(16, 8_000).WithWeight(rapid.Float64Range(0, 1).Draw(t, "weight"))
		s, now := afterRamp(params)
		ids := 0
		advance := func(t *rapid.T) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"onlineStart": func(t *rapid.T) {
				ids++
				s = s.WithOnlineStart(at(now), fmt.Sprint("o", ids), rapid.IntRange(1, 2000).Draw(t, "tokens"))
			},
			"onlineEnd": func(t *rapid.T) {
				s = s.WithOnlineEnd(at(now), fmt.Sprint("o", rapid.IntRange(0, ids).Draw(t, "id")))
			},
			"batchEnd": func(t *rapid.T) {
				s = s.WithBatchEnd(at(now), fmt.Sprint("b", rapid.IntRange(0, ids).Draw(t, "id")))
			},
			"report": func(t *rapid.T) {
				s = s.WithReport(at(now), Report{Running: rapid.IntRange(0, 20).Draw(t, "running")})
			},
			"latency": func(t *rapid.T) {
				s = s.WithOnlineLatency(at(now), time.Second, time.Duration(rapid.IntRange(0, 1e9).Draw(t, "inter")))
			},
			"wait": advance,
			"decide": func(t *rapid.T) {
				d := s.Decide(at(now))
				require.True(t, len(d.Cancel) == 0 || d.Admit == 0, "admits and cancels at once")
				for _, id := range d.Cancel {
					s = s.WithBatchPaused(at(now), id)
				}
				require.Empty(t, s.Decide(at(now)).Cancel, "a second decision cancels more")
				tokens := d.AdmitTokens
				for i := 0; i < d.Admit && tokens >= itemTokens; i++ {
					ids++
					tokens -= itemTokens
					s = s.WithBatchStart(at(now), fmt.Sprint("b", ids), itemTokens)
				}
				require.Empty(t, s.Decide(at(now)).Cancel, "what was admitted is cancelled at once")
				require.LessOrEqual(t, s.Batch()+len(s.online), max(16, len(s.online)))
				require.LessOrEqual(t, s.batchTokens+s.onlineTokens, max(8_000, s.onlineTokens))
			},
			"": func(t *rapid.T) {
				online, batch := 0, 0
				for _, o := range s.online {
					online += o.tokens
				}
				for _, b := range s.batch {
					batch += b.tokens
				}
				require.Equal(t, []int{online, batch}, []int{s.onlineTokens, s.batchTokens})
			},
		})
		s, _ = afterRamp(params)
		require.Positive(t, s.Decide(at(3*time.Second)).Admit, "an idle engine starves")
	})
}

func BenchmarkDecide(b *testing.B) {
	s, now := afterRamp(NewParams(64, 60_000))
	next := 0
	for range 50 {
		s, _ = startAdmitted(s, at(now), &next)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Decide(at(now))
	}
}

func BenchmarkOnlineStartAndEnd(b *testing.B) {
	s, now := afterRamp(NewParams(64, 60_000))
	for i := range 30 {
		s = s.WithOnlineStart(at(now), fmt.Sprint("o", i), 400)
	}
	b.ReportAllocs()
	for b.Loop() {
		t := s.WithOnlineStart(at(now), "x", 400)
		t.Decide(at(now))
		t.WithOnlineEnd(at(now), "x")
	}
}
