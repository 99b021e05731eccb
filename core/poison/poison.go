// Package poison decides which parts of prompts, and which requests, crash upstreams.
//
// A prompt consists of parts that requests share; the last part belongs to one request or session. Requests that look
// different may share a part that ends each upstream which begins to write an answer on it. A request without such a part
// may do so too, and come again: its tries have their Identity in common. A Judge learns of the upstreams that ended under
// attempts that had not begun to write, and of the attempts that wrote:
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
// All of this holds for the identities of requests as well. Of a part and a request that qualify alike, the request is
// quarantined, which concerns nobody else. The tries of one request come one after another, so that each that was begun
// after the last end counts, however soon its upstream ended, and those that ran at the same time count as evidence once
// enough others are there. The victims of a crash are suspected only until their next try is answered.
//
// Parts are judged for each service, whose upstreams run other programs; a request is judged wherever its route sends it.
//
// Usage:
//
//	j := poison.NewJudge()
//	w := poison.Work{Service: "scribe", Parts: parts, Identity: identity}
//	d := j.Decide(now, w)                             // d.Verdict says whether a request may start
//	trial := j.Granted(now, id, w)
//	findings := j.Settle(now)                         // before each decision
//	findings = j.Ended(now, poison.Run{Work: w, Upstream: upstream.Key(), Began: began})
//	findings = j.Wrote(now, w)
//	j.Done(id)
package poison

import (
	"iter"
	"time"

	"mothcart/core/site"
)

const (
	// quarantineEnds is the number of ends in a row after which a part or a request is quarantined.
	quarantineEnds = 3
	// maxEndsNeeded bounds the ends that are needed where something else could explain some of them. For a request the
	// ends of tries at the same time count among these.
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
	// maxSuspects bounds the suspected and quarantined parts, and as many requests, so that requests push out no part.
	// maxEnds bounds the ends that are kept of each, and maxRecent the ends of all services that are kept.
	maxSuspects = 1024
	maxEnds     = 16
	maxRecent   = 64
)

// Verdict says whether a request may be sent to an upstream.
type Verdict int

const (
	// Free requests may be sent.
	Free Verdict = iota
	// Held requests share a suspected part with one that is on trial, or are tries of the same suspected request.
	Held
	// Quarantined requests have a part that is known to crash upstreams.
	Quarantined
	// QuarantinedRequest means that the request itself is known to crash upstreams.
	QuarantinedRequest
)

// Decision is a verdict on a request.
type Decision struct {
	Verdict Verdict
	// Left is the rest of the quarantine.
	Left time.Duration
}

// Work is what a request asks an upstream to do.
type Work struct {
	Service string
	// Parts are the shared parts of its prompt, in order.
	Parts []Part
	// Identity is that of the request; zero for one that can't be to blame by itself.
	Identity Identity
}

// keys returns the keys of all that may be to blame, from the widest to the narrowest.
func (w Work) keys() iter.Seq[key] {
	return func(yield func(key) bool) {
		for _, p := range w.Parts {
			if !yield(key{service: w.Service, part: p}) {
				return
			}
		}
		if w.Identity != 0 {
			yield(key{identity: w.Identity})
		}
	}
}

// Run is an attempt at an upstream.
type Run struct {
	Work
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

// key identifies a part of a service's prompts, or a request; service and part are then empty.
type key struct {
	service  string
	part     Part
	identity Identity
}

func (k key) isRequest() bool { return k.identity != 0 }

// suspect is what is known against a part or a request.
type suspect struct {
	// ends are the ends of upstreams under it, oldest first.
	ends []end
	// until is the end of the quarantine, and quarantines their number.
	until       time.Time
	quarantines int
	// trial is the attempt in progress that decides about it, since trialAt; zero if there is none.
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

// Judge holds what is known of parts of prompts and of requests. It is mutable and not safe for concurrent use.
type Judge struct {
	suspects map[key]*suspect
	// soundParts and soundRequests are apart, since requests are many more.
	soundParts, soundRequests soundKeys
	trials                    map[TrialID][]key
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
	return &Judge{
		suspects: make(map[key]*suspect), soundParts: newSoundKeys(), soundRequests: newSoundKeys(), trials: make(map[TrialID][]key),
	}
}

// Decide returns whether a request may be sent to an upstream now.
func (j *Judge) Decide(now time.Time, w Work) Decision {
	if len(j.suspects) == 0 {
		return Decision{}
	}
	var d Decision
	for k := range w.keys() {
		s := j.suspects[k]
		if s == nil {
			continue
		}
		if s.quarantined(now) {
			verdict := Quarantined
			if k.isRequest() {
				verdict = QuarantinedRequest
			}
			return Decision{Verdict: verdict, Left: s.until.Sub(now)}
		}
		onTrial := s.trial != (TrialID{}) && now.Sub(s.trialAt) < TrialTime
		if (onTrial || j.awaitsVerdict(now, k, s)) && j.isSuspected(now, k, s) {
			d = Decision{Verdict: Held}
		}
	}
	return d
}

// awaitsVerdict reports that the last end may still lead to a quarantine. For a request one end can't, and its victims
// should try again at once.
func (j *Judge) awaitsVerdict(now time.Time, k key, s *suspect) bool {
	return j.isUnsettled(s) && (!k.isRequest() || j.endsInARow(now, k, s) > 1)
}

// isSuspected reports whether requests with a part, or the tries of a request, run one at a time.
func (j *Judge) isSuspected(now time.Time, k key, s *suspect) bool {
	if s.quarantines > 0 {
		return true
	}
	n := j.endsInARow(now, k, s)
	return n > 1 || (n == 1 && now.Sub(j.soundAt(k)) >= soundTime)
}

// endsInARow returns the number of ends under a part or a request, one after another, since an upstream has last written
// on it.
func (j *Judge) endsInARow(now time.Time, k key, s *suspect) int {
	n := 0
	var last time.Time
	for _, e := range s.ends {
		follows := !e.began.Before(last) && (k.isRequest() || e.at.Sub(last) >= togetherTime)
		if j.counts(now, k, e) && (n == 0 || follows) {
			n++
			last = e.at
		}
	}
	return n
}

// counts reports that an end still counts against a part or a request.
func (j *Judge) counts(now time.Time, k key, e end) bool {
	return e.at.After(j.soundAt(k)) && now.Sub(e.at) < suspicionTime
}

// IsTrial reports whether a request that is sent now decides about a suspected part or about the request.
func (j *Judge) IsTrial(now time.Time, w Work) bool {
	for k := range w.keys() {
		if s := j.suspects[k]; s != nil && j.isSuspected(now, k, s) {
			return true
		}
	}
	return false
}

// Granted records that a request is sent to an upstream, and reports whether it is a trial of a suspected part or of the
// request. Done must be called at its end.
func (j *Judge) Granted(now time.Time, id TrialID, w Work) bool {
	if len(j.suspects) == 0 {
		return false
	}
	for k := range w.keys() {
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

// Wrote records that an upstream has written an answer on a request. It returns the findings about its parts and itself
// that were suspected or quarantined until now.
func (j *Judge) Wrote(now time.Time, w Work) []Finding {
	var cleared []Finding
	for k := range w.keys() {
		cleared = append(cleared, j.clear(now, k)...)
	}
	return cleared
}

// clear records that a part or a request is sound.
func (j *Judge) clear(now time.Time, k key) []Finding {
	var cleared []Finding
	if s := j.suspects[k]; s != nil {
		cleared = []Finding{j.finding(now, Cleared, k, s)}
		delete(j.suspects, k)
	}
	j.soundOf(k).record(now, k)
	return cleared
}

// soundOf returns the times of parts or of requests.
func (j *Judge) soundOf(k key) *soundKeys {
	if k.isRequest() {
		return &j.soundRequests
	}
	return &j.soundParts
}

// soundAt returns when an upstream last wrote on a part or a request; zero if that isn't known.
func (j *Judge) soundAt(k key) time.Time { return j.soundOf(k).at(k) }

// suspect returns the record of a part or a request, which is added if need be. The least incriminated one of its kind
// falls out when there are too many.
func (j *Judge) suspect(k key) *suspect {
	if s := j.suspects[k]; s != nil {
		return s
	}
	if len(j.suspects) >= maxSuspects {
		j.evict(k.isRequest())
	}
	s := &suspect{}
	j.suspects[k] = s
	return s
}

// evict makes room for a part or for a request, if there are too many of its kind. It drops the suspected one whose last
// end is the oldest, or else the quarantined one whose time ends first.
func (j *Judge) evict(request bool) {
	var oldest key
	var found *suspect
	n := 0
	for k, s := range j.suspects {
		if k.isRequest() != request {
			continue
		}
		n++
		if found == nil || s.keepsLess(found) {
			oldest, found = k, s
		}
	}
	if n >= maxSuspects {
		delete(j.suspects, oldest)
	}
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
