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
//     row is quarantined once all attempts at the last upstream have been heard of. One more end is needed while more
//     upstreams end without the part than with it, and ends that another suspected part shares count for little.
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
	"slices"
	"time"

	"mothcart/core/site"
)

const (
	// quarantineEnds is the number of ends in a row after which a part is quarantined.
	quarantineEnds = 3
	// maxEndsNeeded bounds the ends that are needed where others could explain some of them.
	maxEndsNeeded = 5
	// quarantineTime is how long a part is quarantined first; each further quarantine lasts twice as long as the one
	// before, up to maxQuarantineTime.
	quarantineTime    = 10 * time.Minute
	maxQuarantineTime = 4 * time.Hour
	// soundTime is how long a part on which an upstream has written is not suspected for a single end.
	soundTime = 10 * time.Second
	// suspicionTime is how long an end counts against a part.
	suspicionTime = 10 * time.Minute
	// trialTime is how long a trial may hold up other requests with the part, since a silent upstream decides nothing.
	trialTime = 2 * time.Second
	// togetherTime is the time within which upstreams that end count as ending together, and within which all attempts
	// at one are heard of.
	togetherTime = 50 * time.Millisecond
	// otherEndsTime is how long an end counts among those without a part.
	otherEndsTime = 30 * time.Second
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
	// Part is the part that decided, Left the rest of its quarantine.
	Part Part
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
			return Decision{Verdict: Quarantined, Part: p, Left: s.until.Sub(now)}
		}
		onTrial := s.trial != (TrialID{}) && now.Sub(s.trialAt) < trialTime
		if (onTrial || j.isUnsettled(s)) && j.isSuspected(now, k, s) {
			d = Decision{Verdict: Held, Part: p}
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

// Ended records that an upstream ended under an attempt that had not begun to write, and returns what that shows.
func (j *Judge) Ended(now time.Time, run Run) []Finding {
	j.forget(now)
	for _, p := range run.Parts {
		k := key{run.Service, p}
		if s := j.suspects[k]; s != nil && s.quarantines > 0 {
			j.explain(run.Upstream)
			if s.quarantined(now) {
				return nil // it was sent before the quarantine
			}
			return []Finding{j.quarantine(now, k, s)}
		}
	}
	if slices.Contains(j.explained, run.Upstream) {
		return nil
	}
	j.noteRecent(now, run)
	var findings []Finding
	for _, p := range run.Parts {
		k := key{run.Service, p}
		s := j.suspect(k)
		s.add(end{upstream: run.Upstream, began: run.Began, at: now})
		findings = append(findings, j.finding(now, Suspected, k, s))
	}
	j.unsettled = append(j.unsettled, unsettledRun{run, now})
	return findings
}

// isUnsettled reports that attempts at the last upstream that ended under a part may still be heard of.
func (j *Judge) isUnsettled(s *suspect) bool {
	if len(s.ends) == 0 {
		return false
	}
	last := s.ends[len(s.ends)-1].upstream
	return slices.ContainsFunc(j.unsettled, func(u unsettledRun) bool { return u.run.Upstream == last })
}

// Settle decides about the parts of attempts whose upstreams ended togetherTime ago, and returns those that it
// quarantines.
func (j *Judge) Settle(now time.Time) []Finding {
	var findings []Finding
	for len(j.unsettled) > 0 && now.Sub(j.unsettled[0].at) >= togetherTime {
		run := j.unsettled[0].run
		j.unsettled = j.unsettled[1:]
		if k, ok := j.culprit(now, run); ok {
			findings = append(findings, j.quarantine(now, k, j.suspects[k]))
		}
	}
	return findings
}

// culprit returns the part of an attempt that is to be quarantined, and false if there is none, or none yet.
func (j *Judge) culprit(now time.Time, run Run) (key, bool) {
	for i, p := range slices.Backward(run.Parts) {
		k := key{run.Service, p}
		if j.isProven(now, run, k) && !j.hasLikelier(run, i) {
			return k, true
		}
	}
	return key{}, false
}

// isProven reports that enough upstreams have ended under a part of an attempt that is not yet quarantined.
func (j *Judge) isProven(now time.Time, run Run, k key) bool {
	s := j.suspects[k]
	if s == nil || s.quarantines > 0 {
		return false
	}
	n := j.endsInARow(now, k, s)
	return n >= quarantineEnds && n >= j.endsNeeded(now, run, k, s)
}

// hasLikelier reports that another part of an attempt explains as many ends as the one at position i, and was sound less
// recently or comes later in the prompt.
func (j *Judge) hasLikelier(run Run, i int) bool {
	k := key{run.Service, run.Parts[i]}
	for at, p := range run.Parts {
		other := key{run.Service, p}
		o := j.suspects[other]
		if o == nil || other == k || len(o.ends) < len(j.suspects[k].ends) {
			continue
		}
		if c := j.sound.at(other).Compare(j.sound.at(k)); c < 0 || (c == 0 && at > i) {
			return true
		}
	}
	return false
}

// add adds an end, unless the same upstream's is known.
func (s *suspect) add(e end) {
	if s.hasEnd(e.upstream) {
		return
	}
	s.ends = append(s.ends, e)
	slices.SortStableFunc(s.ends, func(a, b end) int { return a.at.Compare(b.at) })
	if len(s.ends) > maxEnds {
		s.ends = slices.Delete(s.ends, 0, len(s.ends)-maxEnds)
	}
}

// endsNeeded returns the number of ends in a row after which a part of an attempt is quarantined.
func (j *Judge) endsNeeded(now time.Time, run Run, k key, s *suspect) int {
	needed := quarantineEnds
	if j.otherEnds(now, k, s) > len(s.ends) {
		needed++
	}
	for other, o := range j.suspects {
		if other == k || other.service != k.service {
			continue
		}
		shared := s.sharedEnds(o)
		if shared < 2 || (shared == len(s.ends) && slices.Contains(run.Parts, other.part)) {
			continue // parts of the same prompts are told apart by hasLikelier
		}
		needed = max(needed, min(shared+quarantineEnds-1, maxEndsNeeded))
	}
	return needed
}

// otherEnds returns the number of upstreams that have ended lately without a part.
func (j *Judge) otherEnds(now time.Time, k key, s *suspect) int {
	n := 0
	for _, e := range j.recent {
		if e.service == k.service && now.Sub(e.at) < otherEndsTime && !s.hasEnd(e.upstream) {
			n++
		}
	}
	return n
}

func (s *suspect) hasEnd(upstream site.Key) bool {
	return slices.ContainsFunc(s.ends, func(e end) bool { return e.upstream == upstream })
}

// sharedEnds returns the number of ends that count against both parts.
func (s *suspect) sharedEnds(other *suspect) int {
	n := 0
	for _, e := range s.ends {
		if other.hasEnd(e.upstream) {
			n++
		}
	}
	return n
}

// quarantine begins a quarantine, and clears others of the ends that it explains.
func (j *Judge) quarantine(now time.Time, k key, s *suspect) Finding {
	s.until = now.Add(min(quarantineTime<<min(s.quarantines, 8), maxQuarantineTime))
	s.quarantines++
	f := j.finding(now, QuarantineBegun, k, s)
	for _, e := range s.ends {
		j.explain(e.upstream)
	}
	s.ends = nil
	return f
}

// explain records that a quarantined part has ended an upstream.
func (j *Judge) explain(upstream site.Key) {
	j.explained = append(j.explained, upstream)
	if len(j.explained) > maxRecent {
		j.explained = slices.Delete(j.explained, 0, len(j.explained)-maxRecent)
	}
	j.recent = slices.DeleteFunc(j.recent, func(e recentEnd) bool { return e.upstream == upstream })
	for k, s := range j.suspects {
		if s.quarantines > 0 {
			continue
		}
		s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return e.upstream == upstream })
		if len(s.ends) == 0 {
			delete(j.suspects, k)
		}
	}
}

func (j *Judge) noteRecent(now time.Time, run Run) {
	if slices.ContainsFunc(j.recent, func(e recentEnd) bool { return e.upstream == run.Upstream }) {
		return
	}
	j.recent = append(j.recent, recentEnd{service: run.Service, upstream: run.Upstream, at: now})
	if len(j.recent) > maxRecent {
		j.recent = slices.Delete(j.recent, 0, len(j.recent)-maxRecent)
	}
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
