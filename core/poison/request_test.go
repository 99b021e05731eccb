package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/site"
)

// tries plays the tries of requests, each with parts of a prompt.
type tries struct {
	j *Judge
	// quarantined are the requests and parts in the order of their quarantines, by their names in logs.
	quarantined []string
	last        time.Duration
}

func (s *tries) note(findings []Finding) {
	for _, f := range findings {
		switch {
		case f.Kind != QuarantineBegun:
		case f.IsRequest():
			s.quarantined = append(s.quarantined, f.Identity.String())
		default:
			s.quarantined = append(s.quarantined, f.Part.String())
		}
	}
}

// ended lets an upstream end under a try that began some time before.
func (s *tries) ended(at, lasted time.Duration, upstream string, i Identity, ids ...string) {
	s.last = at
	s.note(s.j.Settle(start.Add(at)))
	s.note(s.j.Ended(start.Add(at), Run{
		Work: Work{Service: service, Parts: parts(ids...), Identity: i}, Upstream: site.Key{ID: upstream}, Began: start.Add(at - lasted),
	}))
}

func (s *tries) wrote(at time.Duration, i Identity, ids ...string) {
	s.note(s.j.Settle(start.Add(at)))
	s.j.Wrote(start.Add(at), Work{Service: service, Parts: parts(ids...), Identity: i})
}

func (s *tries) decide(at time.Duration, service string, i Identity) Verdict {
	s.note(s.j.Settle(start.Add(at)))
	return s.j.Decide(start.Add(at), Work{Service: service, Identity: i}).Verdict
}

// triesCase is a script with the requests and parts that it quarantines.
type triesCase struct {
	name string
	play func(s *tries)
	want []string
}

func requireQuarantines(t *testing.T, cases []triesCase) {
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &tries{j: NewJudge()}
			tc.play(s)
			s.decide(s.last+togetherTime, service, 1)
			require.ElementsMatch(t, tc.want, s.quarantined)
		})
	}
}

// Guards against requests that are blamed for the end of upstreams wrongly, or not at all.
func TestWhatEndsProveOfRequests(t *testing.T) {
	const ms = time.Millisecond
	const bad, victim Identity = 7, 8
	requireQuarantines(t, []triesCase{
		{"two tries", func(s *tries) {
			s.ended(0, 10*ms, "u1", bad)
			s.ended(200*ms, 10*ms, "u2", bad)
		}, nil},
		{"three tries", func(s *tries) {
			s.ended(0, 10*ms, "u1", bad)
			s.ended(200*ms, 10*ms, "u2", bad)
			s.ended(400*ms, 10*ms, "u3", bad)
		}, []string{bad.String()}},
		{"tries that crash within milliseconds", func(s *tries) {
			s.ended(0, 3*ms, "u1", bad)
			s.ended(10*ms, 3*ms, "u2", bad)
			s.ended(20*ms, 3*ms, "u3", bad)
		}, []string{bad.String()}},
		{"tries at the same time", func(s *tries) {
			for i := range 9 {
				s.ended(time.Duration(i)*ms, 100*ms, fmt.Sprint("u", i), bad)
			}
		}, nil},
		{"three tries at the same time, and two more that others could explain", func(s *tries) {
			for i := range 9 {
				s.ended(time.Duration(i)*ms, 5*ms, fmt.Sprint("o", i), Identity(100+i))
			}
			for i := range 3 {
				s.ended(time.Second+time.Duration(i)*ms, 100*ms, fmt.Sprint("u", i), bad)
			}
			s.ended(2*time.Second, 10*ms, "u4", bad)
			s.ended(3*time.Second, 10*ms, "u5", bad)
		}, []string{bad.String()}},
		{"an answer in between", func(s *tries) {
			s.ended(0, 10*ms, "u1", bad)
			s.ended(200*ms, 10*ms, "u2", bad)
			s.wrote(300*ms, bad)
			s.ended(400*ms, 10*ms, "u3", bad)
			s.ended(600*ms, 10*ms, "u4", bad)
		}, nil},
		{"a victim beside it at each upstream", func(s *tries) {
			for i := range 5 {
				at := time.Duration(i) * 200 * ms
				s.ended(at, 10*ms, fmt.Sprint("u", i), bad)
				if i < 3 {
					s.ended(at+ms, 10*ms, fmt.Sprint("u", i), victim)
				}
			}
		}, []string{bad.String()}},
		{"an item", func(s *tries) {
			for i := range 9 {
				s.ended(time.Duration(i)*200*ms, 10*ms, fmt.Sprint("u", i), 0)
			}
		}, nil},
	})
}

// Guards against a request that is blamed for a part of its prompt, and the other way round.
func TestWhatEndsProveOfRequestsWithParts(t *testing.T) {
	const ms = time.Millisecond
	const bad, other Identity = 7, 8
	requireQuarantines(t, []triesCase{
		{"a request with a part that nobody else has", func(s *tries) {
			for i := range 3 {
				s.ended(time.Duration(i)*200*ms, 10*ms, fmt.Sprint("u", i), bad, "first", "own")
			}
		}, []string{bad.String()}},
		{"a request with a part on which upstreams wrote before", func(s *tries) {
			s.wrote(0, other, "first")
			for i := range 3 {
				s.ended(time.Minute+time.Duration(i)*200*ms, 10*ms, fmt.Sprint("u", i), bad, "first")
			}
		}, []string{bad.String()}},
		{"requests with one part", func(s *tries) {
			for i := range 3 {
				s.ended(time.Duration(i)*200*ms, 10*ms, fmt.Sprint("u", i), Identity(100+i), "bad")
			}
		}, []string{NewPart("bad").String()}},
		{"requests with one part, one of which was tried again", func(s *tries) {
			s.ended(0, 10*ms, "u1", 101, "bad")
			s.ended(200*ms, 10*ms, "u2", 101, "bad")
			s.ended(400*ms, 10*ms, "u3", 102, "bad")
		}, []string{NewPart("bad").String()}},
		{"a request that was answered before, with a part that never was", func(s *tries) {
			s.wrote(0, bad)
			for i := range 4 {
				s.ended(time.Minute+time.Duration(i)*200*ms, 10*ms, fmt.Sprint("u", i), bad, "part")
			}
		}, []string{NewPart("part").String()}},
	})
}

// Guards against victims of a crash that wait before they are tried again, and against tries of a suspected request at the
// same time.
func TestVictimsTryAgainAtOnceOneAtATime(t *testing.T) {
	const ms = time.Millisecond
	const victim Identity = 8
	s := &tries{j: NewJudge()}
	s.ended(0, 10*ms, "u1", victim)
	require.Equal(t, Free, s.decide(ms, service, victim))
	w := Work{Service: service, Identity: victim}
	require.True(t, s.j.Granted(start.Add(ms), TrialID{Owner: "e1", ID: 1}, w))
	require.Equal(t, Held, s.decide(2*ms, service, victim))
	require.Equal(t, Free, s.decide(2*ms, service, victim+1))
	s.ended(20*ms, 10*ms, "u2", victim)
	s.j.Done(TrialID{Owner: "e1", ID: 1})
	require.Equal(t, Held, s.decide(21*ms, service, victim), "the second end may have been the third")
	require.Equal(t, Free, s.decide(80*ms, service, victim))
	s.wrote(100*ms, victim)
	require.Empty(t, s.j.suspects)
}

// Guards against a request that crashes the upstreams of one service after the other.
func TestRequestIsQuarantinedAtAllServices(t *testing.T) {
	s := &tries{j: NewJudge()}
	for i := range 3 {
		s.ended(time.Duration(i)*200*time.Millisecond, 10*time.Millisecond, fmt.Sprint("u", i), 7)
	}
	require.Equal(t, QuarantinedRequest, s.decide(time.Second, service, 7))
	require.Equal(t, QuarantinedRequest, s.decide(time.Second, "desk", 7))
	later := NewJudge()
	later.Import(start.Add(time.Hour), s.j.Export(start.Add(time.Second)))
	d := later.Decide(start.Add(time.Hour), Work{Service: "desk", Identity: 7})
	require.Equal(t, QuarantinedRequest, d.Verdict)
	require.InDelta(t, quarantineTime, d.Left, float64(time.Second))
}

// Guards against requests that push out what is known of parts, and against memory and messages that a caller with ever
// new requests could take.
func TestRequestsPushOutNoPart(t *testing.T) {
	s := &tries{j: NewJudge()}
	for i := range 3 {
		s.ended(time.Duration(i)*200*time.Millisecond, 10*time.Millisecond, fmt.Sprint("u", i), Identity(1+i), "bad")
	}
	for i := range 3 {
		s.ended(time.Second+time.Duration(i)*200*time.Millisecond, 10*time.Millisecond, fmt.Sprint("v", i), 7)
	}
	for i := range 4 * maxSuspects {
		at := 2*time.Second + time.Duration(i)*time.Millisecond
		s.ended(at, 10*time.Millisecond, fmt.Sprint("n", i/8), Identity(100+i))
		s.wrote(at, Identity(1e6+i))
	}
	parts, requests := s.j.Quarantined(start.Add(10 * time.Second))
	require.Equal(t, 1, parts)
	require.Equal(t, 1, requests)
	require.LessOrEqual(t, len(s.j.suspects), 2*maxSuspects)
	require.LessOrEqual(t, len(s.j.soundRequests.newer)+len(s.j.soundRequests.older), 2*maxSound)
	require.LessOrEqual(t, len(s.j.Export(start.Add(10*time.Second))), maxExportedVictims+2)
}
