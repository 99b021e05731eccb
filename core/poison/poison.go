// Package poison decides which parts of prompts crash upstreams.
//
// A prompt consists of parts that requests share; the last part belongs to one request or session. Requests that look
// different may share a part that ends each upstream which begins to write an answer on it. A Judge learns of the
// upstreams that ended under attempts that had not begun to write, and of the attempts that wrote:
//
//   - All parts of an attempt under which an upstream ended are suspected, unless an upstream has written an answer on
//     them lately. Requests with a suspected part run one at a time, so that each is a trial: a part that upstreams
//     write on is no longer suspected.
//   - Ends count as evidence one after another: an attempt that was begun before the last end was known adds nothing,
//     since upstreams that crash together say little about what they ran. A part with quarantineEnds such ends in a
//     row is quarantined once all attempts at the last upstream have been heard of. One more end is needed for a part
//     that was sound before, one while more upstreams end without the part than with it, one while many do, and ends
//     that another suspected part shares count for little.
//   - If several parts of an attempt qualify, the one that was sound least recently is quarantined, and of equals the
//     one that comes last in the prompt. The ends that it explains no longer count against others.
//   - A quarantine ends after some minutes. The next request is a trial again, and one more end doubles the time.
//
// Nothing is shared between services, whose upstreams run other programs.
//
// Usage:
//
//	j := poison.NewJudge()
//	d := j.Decide(now, "scribe", parts)               // d.Verdict says whether a request may start
//	trial := j.Granted(now, id, "scribe", parts)
//	findings := j.Settle(now)                         // before each decision
//	findings = j.Ended(now, poison.Run{Service: "scribe", Parts: parts, Upstream: upstream.Key(), Began: began})
//	findings = j.Wrote(now, "scribe", parts)
//	j.Done(id)
package poison

import (
	"time"

	"mothcart/core/site"
)

const (
	// quarantineEnds is the number of ends in a row after which a part is quarantined.
	quarantineEnds = 3
	// maxEndsNeeded bounds the ends that are needed where something else could explain some of them.
	maxEndsNeeded = 5
	// quarantineTime is how long a part is quarantined first; each further quarantine lasts twice as long as the one
	// before, up to maxQuarantineTime.
	quarantineTime    = 10 * time.Minute
	maxQuarantineTime = 4 * time.Hour
	// soundTime is how long a part on which an upstream has written is not suspected for a single end.
	soundTime = 10 * time.Second
	// suspicionTime is how long an end counts against a part.
	suspicionTime = 10 * time.Minute
	// TrialTime is how long a trial may hold up other requests with the part, since a silent upstream decides nothing.
	TrialTime = 2 * time.Second
	// togetherTime is the time within which upstreams that end count as ending together, and within which all attempts
	// at one are heard of.
	togetherTime = 50 * time.Millisecond
	// otherEndsTime is how long an end counts among those without a part.
	otherEndsTime = 30 * time.Second
	// manyOtherEnds is the number of ends without a part from which upstreams crash so often that one more is needed.
	manyOtherEnds = 8
	// maxSuspects bounds the suspected and quarantined parts, maxEnds the ends that are kept of each, and maxRecent the
	// ends of all services that are kept.
	maxSuspects = 1024
	maxEnds     = 16
	maxRecent   = 64
)

// Verdict says whether a request may be sent to an upstream.
type Verdict int

const (
	// Free requests may be sent.
	Free Verdict = iota
	// Held requests share a suspected part with one that is on trial.
	Held
	// Quarantined requests have a part that is known to crash upstreams.
	Quarantined
)

// Decision is a verdict on a request.
type Decision struct {
	Verdict Verdict
	// Left is the rest of the quarantine.
	Left time.Duration
}

// Run is an attempt at an upstream.
type Run struct {
	Service string
	// Parts are the shared parts of its prompt, in order.
	Parts    []Part
	Upstream site.Key
	// Began is when the attempt was begun.
	Began time.Time
}

// TrialID identifies an attempt by the node that makes it and that node's ID for it.
type TrialID struct {
	Owner string
	ID    uint64
}

// end is the end of an upstream under an attempt.
type end struct {
	upstream  site.Key
	began, at time.Time
}

// key identifies a part of a service's prompts.
type key struct {
	service string
	part    Part
}

// suspect is what is known against a part.
type suspect struct {
	// ends are the ends of upstreams under the part, oldest first.
	ends []end
	// until is the end of the quarantine, and quarantines their number.
	until       time.Time
	quarantines int
	// trial is the request in progress that decides about the part, since trialAt; zero if there is none.
	trial   TrialID
	trialAt time.Time
}

func (s *suspect) quarantined(now time.Time) bool { return now.Before(s.until) }

// lastEnd returns the time of the last end, or zero.
func (s *suspect) lastEnd() time.Time {
	if len(s.ends) == 0 {
		return time.Time{}
	}
	return s.ends[len(s.ends)-1].at
}

// recentEnd is an end of an upstream, whatever it ran.
type recentEnd struct {
	service  string
	upstream site.Key
	at       time.Time
}

// Judge holds what is known of the parts of prompts. It is mutable and not safe for concurrent use.
type Judge struct {
	suspects map[key]*suspect
	sound    soundParts
	trials   map[TrialID][]key
	// recent are the last ends that no quarantined part explains, explained the upstreams whose ends one does.
	recent    []recentEnd
	explained []site.Key
	// unsettled are the attempts whose upstreams ended at most togetherTime ago.
	unsettled []unsettledRun
}

// unsettledRun is an attempt under which an upstream ended.
type unsettledRun struct {
	run Run
	at  time.Time
}

// NewJudge returns a judge that knows nothing.
func NewJudge() *Judge {
	return &Judge{suspects: make(map[key]*suspect), sound: newSoundParts(), trials: make(map[TrialID][]key)}
}

// Decide returns whether a request may be sent to an upstream now.
func (j *Judge) Decide(now time.Time, service string, parts []Part) Decision {
	if len(j.suspects) == 0 {
		return Decision{}
	}
	var d Decision
	for _, p := range parts {
		k := key{service, p}
		s := j.suspects[k]
		if s == nil {
			continue
		}
		if s.quarantined(now) {
			return Decision{Verdict: Quarantined, Left: s.until.Sub(now)}
		}
		onTrial := s.trial != (TrialID{}) && now.Sub(s.trialAt) < TrialTime
		if (onTrial || j.isUnsettled(s)) && j.isSuspected(now, k, s) {
			d = Decision{Verdict: Held}
		}
	}
	return d
}

// isSuspected reports whether requests with a part run one at a time.
func (j *Judge) isSuspected(now time.Time, k key, s *suspect) bool {
	if s.quarantines > 0 {
		return true
	}
	n := j.endsInARow(now, k, s)
	return n > 1 || (n == 1 && now.Sub(j.sound.at(k)) >= soundTime)
}

// endsInARow returns the number of ends under a part, one after another, since an upstream has last written on it.
func (j *Judge) endsInARow(now time.Time, k key, s *suspect) int {
	soundAt := j.sound.at(k)
	n := 0
	var last time.Time
	for _, e := range s.ends {
		counts := e.at.After(soundAt) && now.Sub(e.at) < suspicionTime
		if counts && (n == 0 || (!e.began.Before(last) && e.at.Sub(last) >= togetherTime)) {
			n++
			last = e.at
		}
	}
	return n
}

// IsTrial reports whether a request that is sent now decides about a suspected part.
func (j *Judge) IsTrial(now time.Time, service string, parts []Part) bool {
	for _, p := range parts {
		k := key{service, p}
		if s := j.suspects[k]; s != nil && j.isSuspected(now, k, s) {
			return true
		}
	}
	return false
}

// Granted records that a request is sent to an upstream, and reports whether it is a trial of a suspected part. Done
// must be called at its end.
func (j *Judge) Granted(now time.Time, id TrialID, service string, parts []Part) bool {
	if len(j.suspects) == 0 {
		return false
	}
	for _, p := range parts {
		k := key{service, p}
		s := j.suspects[k]
		if s == nil || !j.isSuspected(now, k, s) {
			continue
		}
		s.trial, s.trialAt = id, now
		j.trials[id] = append(j.trials[id], k)
	}
	return len(j.trials[id]) > 0
}

// Done records that an attempt has ended.
func (j *Judge) Done(id TrialID) {
	for _, k := range j.trials[id] {
		if s := j.suspects[k]; s != nil && s.trial == id {
			s.trial, s.trialAt = TrialID{}, time.Time{}
		}
	}
	delete(j.trials, id)
}

// Wrote records that an upstream has written an answer on the parts. It returns the parts that were suspected or
// quarantined until now.
func (j *Judge) Wrote(now time.Time, service string, parts []Part) []Finding {
	var cleared []Finding
	for _, p := range parts {
		k := key{service, p}
		if s := j.suspects[k]; s != nil {
			cleared = append(cleared, j.finding(now, Cleared, k, s))
			delete(j.suspects, k)
		}
		j.sound.record(now, k)
	}
	return cleared
}

// suspect returns the record of a part, which is added if need be. The least incriminated one falls out when there are
// too many.
func (j *Judge) suspect(k key) *suspect {
	if s := j.suspects[k]; s != nil {
		return s
	}
	if len(j.suspects) >= maxSuspects {
		j.evict()
	}
	s := &suspect{}
	j.suspects[k] = s
	return s
}

// evict drops the suspected part whose last end is the oldest, or else the quarantined one whose time ends first.
func (j *Judge) evict() {
	var oldest key
	var found *suspect
	for k, s := range j.suspects {
		if found == nil || s.keepsLess(found) {
			oldest, found = k, s
		}
	}
	delete(j.suspects, oldest)
}

// keepsLess reports whether a record falls out before another one.
func (s *suspect) keepsLess(other *suspect) bool {
	if (s.quarantines == 0) != (other.quarantines == 0) {
		return s.quarantines == 0
	}
	if s.quarantines == 0 {
		return s.lastEnd().Before(other.lastEnd())
	}
	return s.until.Before(other.until)
}

// forget drops the suspects whose last end is long past.
func (j *Judge) forget(now time.Time) {
	for k, s := range j.suspects {
		if s.quarantines == 0 && now.Sub(s.lastEnd()) >= suspicionTime {
			delete(j.suspects, k)
		}
	}
}
