package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

var start = time.Unix(1000, 0)

const service = "scribe"

func parts(ids ...string) []Part {
	out := make([]Part, 0, len(ids))
	for _, id := range ids {
		out = append(out, NewPart(id))
	}
	return out
}

// work is what a request with some parts asks of an upstream.
func work(service string, ids ...string) Work { return Work{Service: service, Parts: parts(ids...)} }

// script plays events of one service, each at its time after start.
type script struct {
	j *Judge
	// quarantined are the parts in the order of their quarantines.
	quarantined []Part
	// last is the time of the last event.
	last time.Duration
}

func newScript() *script { return &script{j: NewJudge()} }

func (s *script) note(findings []Finding) {
	for _, f := range findings {
		if f.Kind == QuarantineBegun {
			s.quarantined = append(s.quarantined, f.Part)
		}
	}
}

// ended lets an upstream end under an attempt that began 100 ms before.
func (s *script) ended(at time.Duration, upstream string, ids ...string) {
	s.endedSince(at, at-100*time.Millisecond, upstream, ids...)
}

func (s *script) endedSince(at, began time.Duration, upstream string, ids ...string) {
	now := start.Add(at)
	s.last = at
	s.note(s.j.Settle(now))
	s.note(s.j.Ended(now, Run{Work: work(service, ids...), Upstream: site.Key{ID: upstream}, Began: start.Add(began)}))
}

func (s *script) wrote(at time.Duration, ids ...string) {
	s.note(s.j.Settle(start.Add(at)))
	s.j.Wrote(start.Add(at), work(service, ids...))
}

func (s *script) decide(at time.Duration, ids ...string) Verdict {
	s.note(s.j.Settle(start.Add(at)))
	return s.j.Decide(start.Add(at), work(service, ids...)).Verdict
}

func TestWhatEndsProve(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		play func(s *script)
		want []string
	}{
		{"two ends in a row", func(s *script) {
			s.ended(0, "u1", "first", "bad")
			s.ended(200*ms, "u2", "first", "bad")
		}, nil},
		{"three ends in a row, the later of equal parts", func(s *script) {
			s.ended(0, "u1", "first", "bad")
			s.ended(200*ms, "u2", "first", "bad")
			s.ended(400*ms, "u3", "first", "bad")
		}, []string{"bad"}},
		{"the part that was never sound, though it comes first", func(s *script) {
			s.wrote(0, "last")
			s.ended(time.Minute, "u1", "bad", "last")
			s.ended(time.Minute+200*ms, "u2", "bad", "last")
			s.ended(time.Minute+400*ms, "u3", "bad", "last")
		}, []string{"bad"}},
		{"ends at the same time count once", func(s *script) {
			for i := range 9 {
				s.ended(time.Duration(i)*ms, fmt.Sprint("u", i), "first")
			}
		}, nil},
		{"attempts begun before the last end add nothing", func(s *script) {
			for i := range 9 {
				s.endedSince(time.Duration(i)*100*ms, -time.Second, fmt.Sprint("u", i), "first")
			}
		}, nil},
		{"one upstream counts once", func(s *script) {
			for i := range 9 {
				s.ended(time.Duration(i)*200*ms, "u1", "first")
			}
		}, nil},
		{"an answer in between", func(s *script) {
			s.ended(0, "u1", "first", "bad")
			s.ended(200*ms, "u2", "first", "bad")
			s.wrote(300*ms, "bad")
			s.ended(400*ms, "u3", "first", "bad")
			s.ended(600*ms, "u4", "first", "bad")
		}, []string{"first"}},
		{"ends long ago", func(s *script) {
			s.ended(0, "u1", "bad")
			s.ended(200*ms, "u2", "bad")
			s.ended(suspicionTime+time.Second, "u3", "bad")
		}, nil},
		{"one more while others end", func(s *script) {
			for i := range 5 {
				s.ended(time.Duration(i)*60*ms, fmt.Sprint("o", i), fmt.Sprint("other", i))
			}
			s.ended(time.Second, "u1", "bad")
			s.ended(1200*ms, "u2", "bad")
			s.ended(1400*ms, "u3", "bad")
			require.Empty(t, s.quarantined)
			require.NotEqual(t, Quarantined, s.decide(1550*ms, "bad"))
			s.ended(1600*ms, "u4", "bad")
		}, []string{"bad"}},
		{"attempts beside the culprit at the same upstreams", func(s *script) {
			for i := range 3 {
				at := time.Duration(i) * 200 * ms
				s.ended(at, fmt.Sprint("u", i), "first", "neighbour")
				s.ended(at+ms, fmt.Sprint("u", i), "first", "bad")
			}
			s.ended(600*ms, "u4", "first", "bad")
			s.ended(800*ms, "u5", "first", "bad")
		}, []string{"bad"}},
		{"two parts that crash upstreams", func(s *script) {
			for i := range 4 {
				at := time.Duration(i) * 400 * ms
				s.ended(at, fmt.Sprint("a", i), "first", "bad1")
				s.wrote(at+100*ms, "first")
				s.ended(at+200*ms, fmt.Sprint("b", i), "first", "bad2")
			}
		}, []string{"bad1", "bad2"}},
		{"without parts", func(s *script) {
			for i := range 9 {
				s.ended(time.Duration(i)*200*ms, fmt.Sprint("u", i))
			}
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScript()
			tc.play(s)
			s.decide(s.last + togetherTime)
			require.ElementsMatch(t, parts(tc.want...), append(parts(), s.quarantined...))
		})
	}
}

// Guards against several requests that try a suspected part at the same time.
func TestSuspectedPartRunsOneAtATime(t *testing.T) {
	const ms = time.Millisecond
	s := newScript()
	s.ended(0, "u1", "first", "bad")
	require.Equal(t, Held, s.decide(10*ms, "bad"), "other attempts at the upstream may still be heard of")
	require.Equal(t, Free, s.decide(60*ms, "bad"))
	trial := TrialID{Owner: "e1", ID: 1}
	require.True(t, s.j.Granted(start.Add(60*ms), trial, work(service, "first", "bad")))
	require.Equal(t, Held, s.decide(70*ms, "bad", "more"))
	require.Equal(t, Held, s.decide(70*ms, "first"))
	require.Equal(t, Free, s.decide(70*ms, "another"))
	require.Equal(t, Free, s.j.Decide(start.Add(70*ms), work("desk", "bad")).Verdict, "another service")
	s.j.Done(trial)
	require.Equal(t, Free, s.decide(80*ms, "bad"))
	s.j.Granted(start.Add(80*ms), trial, work(service, "bad"))
	require.Equal(t, Free, s.decide(80*ms+TrialTime, "bad"), "a silent upstream decides nothing")
	s.wrote(80*ms+TrialTime, "bad")
	require.False(t, s.j.Granted(start.Add(3*time.Second), TrialID{Owner: "e1", ID: 2}, work(service, "bad")))
	s.ended(4*time.Second, "u2", "bad")
	require.False(t, s.j.Granted(start.Add(5*time.Second), TrialID{Owner: "e1", ID: 3}, work(service, "bad")), "one end of a part that was sound lately")
}

// Guards against parts that stay refused for good, and against more than one trial after each quarantine.
func TestQuarantineEndsWithOneTrial(t *testing.T) {
	s := newScript()
	for i := range 3 {
		s.ended(time.Duration(i)*200*time.Millisecond, fmt.Sprint("u", i), "bad")
	}
	at := 600 * time.Millisecond
	require.Equal(t, Quarantined, s.decide(at, "other", "bad"))
	for _, want := range []time.Duration{quarantineTime, 2 * quarantineTime, 4 * quarantineTime} {
		d := s.j.Decide(start.Add(at), work(service, "bad"))
		require.Equal(t, Quarantined, d.Verdict)
		require.InDelta(t, want.Seconds(), d.Left.Seconds(), 1)
		at += d.Left
		require.Equal(t, Free, s.decide(at, "bad"))
		trial := TrialID{Owner: "e1", ID: uint64(want)}
		require.True(t, s.j.Granted(start.Add(at), trial, work(service, "bad")))
		require.Equal(t, Held, s.decide(at, "bad"))
		s.ended(at+100*time.Millisecond, fmt.Sprint("t", want), "neighbour", "bad")
		s.j.Done(trial)
		require.Empty(t, s.j.suspects[key{service: service, part: NewPart("neighbour")}])
		at += 200 * time.Millisecond
	}
	at += s.j.Decide(start.Add(at), work(service, "bad")).Left
	s.wrote(at, "bad")
	require.Equal(t, Free, s.decide(at, "bad"))
	require.Empty(t, s.j.suspects)
}

// Guards against memory that a caller with ever new parts could take.
func TestMemoryIsBounded(t *testing.T) {
	s := newScript()
	for i := range 3 {
		s.ended(time.Duration(i)*200*time.Millisecond, fmt.Sprint("u", i), "bad")
	}
	for i := range 20 * maxSuspects {
		at := time.Second + time.Duration(i)*time.Millisecond
		s.ended(at, fmt.Sprint("n", i), fmt.Sprint("evil", i))
		s.wrote(at, fmt.Sprint("sound", i))
		s.j.Granted(start.Add(at), TrialID{Owner: "e1", ID: uint64(i)}, work(service, fmt.Sprint("evil", i)))
		s.j.Done(TrialID{Owner: "e1", ID: uint64(i)})
	}
	require.LessOrEqual(t, len(s.j.suspects), maxSuspects)
	require.LessOrEqual(t, len(s.j.recent), maxRecent)
	require.LessOrEqual(t, len(s.j.explained), maxRecent)
	require.LessOrEqual(t, len(s.j.soundParts.newer)+len(s.j.soundParts.older), 2*maxSound)
	require.Empty(t, s.j.trials)
	require.Less(t, len(s.j.unsettled), 200)
	require.Equal(t, Quarantined, s.decide(time.Minute, "bad"), "a quarantine falls out last")
}

// Guards against a neighbour's part that a caller wants to have quarantined by a part of its own.
func TestNeighboursPartIsNotBlamed(t *testing.T) {
	s := newScript()
	s.wrote(0, "neighbour")
	for i := range 6 {
		s.ended(time.Minute+time.Duration(i)*200*time.Millisecond, fmt.Sprint("u", i), "evil", "neighbour")
	}
	s.decide(2*time.Minute, "evil")
	require.Equal(t, parts("evil"), s.quarantined)
}

func TestRecordsOfOtherNodes(t *testing.T) {
	const ms = time.Millisecond
	a, b := newScript(), newScript()
	a.ended(0, "u1", "first", "bad")
	b.ended(200*ms, "u2", "first", "bad")
	now := start.Add(300 * ms)
	require.Empty(t, b.j.Import(now, a.j.Export(now)))
	require.Empty(t, b.j.Import(now, a.j.Export(now)), "again")
	b.ended(400*ms, "u3", "first", "bad")
	require.Equal(t, Quarantined, b.decide(500*ms, "bad"), "the ends of both nodes count")
	require.Equal(t, parts("bad"), b.quarantined)
	now = start.Add(600 * ms)
	found := a.j.Import(now, b.j.Export(now))
	require.Len(t, found, 1)
	require.Equal(t, QuarantineBegun, found[0].Kind)
	require.Equal(t, Quarantined, a.decide(600*ms, "bad"))
	cleared := b.j.Wrote(now, work(service, "bad"))
	require.Len(t, cleared, 1)
	found = a.j.Import(now, []Record{cleared[0].Record})
	require.Equal(t, Cleared, found[0].Kind)
	require.Equal(t, Free, a.decide(700*ms, "bad"))
}

// Guards against a sound part whose requests are refused, since a record from before it was cleared came after that.
func TestRecordFromBeforeTheClearing(t *testing.T) {
	const ms = time.Millisecond
	a := newScript()
	for n, upstream := range []string{"u1", "u2", "u3"} {
		a.ended(time.Duration(n)*200*ms, upstream, "first", "bad")
	}
	require.Equal(t, Quarantined, a.decide(500*ms, "bad"))
	for _, tc := range []struct {
		name    string
		cleared time.Duration
		want    Verdict
	}{
		{"cleared since", 600 * ms, Free},
		{"cleared before the quarantine", 300 * ms, Quarantined},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newScript()
			b.j.Import(start.Add(tc.cleared), []Record{{Service: service, Part: NewPart("bad"), Cleared: true}})
			now := start.Add(700 * ms)
			b.note(b.j.Import(now, a.j.Export(now)))
			require.Equal(t, tc.want, b.decide(800*ms, "bad"))
			require.Equal(t, tc.want == Quarantined, len(b.quarantined) > 0)
		})
	}
}
