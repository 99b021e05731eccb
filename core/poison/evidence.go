package poison

import (
	"slices"
	"time"

	"mothcart/core/site"
)

// Ended records that an upstream ended under an attempt that had not begun to write, and returns what that shows.
func (j *Judge) Ended(now time.Time, run Run) []Finding {
	j.forget(now)
	for k := range run.keys() {
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
	for k := range run.keys() {
		s := j.suspect(k)
		s.add(end{upstream: run.Upstream, began: run.Began, at: now})
		findings = append(findings, j.finding(now, Suspected, k, s))
	}
	j.unsettled = append(j.unsettled, unsettledRun{run, now})
	return findings
}

// isUnsettled reports that attempts at the last upstream that ended under a suspect may still be heard of.
func (j *Judge) isUnsettled(s *suspect) bool {
	if len(s.ends) == 0 {
		return false
	}
	last := s.ends[len(s.ends)-1].upstream
	return slices.ContainsFunc(j.unsettled, func(u unsettledRun) bool { return u.run.Upstream == last })
}

// Settle decides about the parts and requests of attempts whose upstreams ended togetherTime ago, and returns those that
// it quarantines.
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

// culprit returns what is to be quarantined of an attempt, and false if nothing is, or not yet.
func (j *Judge) culprit(now time.Time, run Run) (key, bool) {
	keys := slices.Collect(run.keys())
	for i, k := range slices.Backward(keys) {
		if j.isProven(now, run, k) && !j.hasLikelier(keys, i) {
			return k, true
		}
	}
	return key{}, false
}

// isProven reports that enough upstreams have ended under a part of an attempt, or under its request, that is not yet
// quarantined.
func (j *Judge) isProven(now time.Time, run Run, k key) bool {
	s := j.suspects[k]
	if s == nil || s.quarantines > 0 {
		return false
	}
	n := j.endsInARow(now, k, s)
	if n < quarantineEnds {
		return false
	}
	return n >= j.endsNeeded(now, run, k, s) || (k.isRequest() && j.endsCounted(now, k, s) >= maxEndsNeeded)
}

// endsCounted returns the number of ends under a part or a request since an upstream has last written on it, also of
// attempts at the same time.
func (j *Judge) endsCounted(now time.Time, k key, s *suspect) int {
	n := 0
	for _, e := range s.ends {
		if j.counts(now, k, e) {
			n++
		}
	}
	return n
}

// hasLikelier reports that another key of an attempt explains as many ends as the one at position i, and was sound less
// recently or is narrower.
func (j *Judge) hasLikelier(keys []key, i int) bool {
	k := keys[i]
	for at, other := range keys {
		o := j.suspects[other]
		if o == nil || other == k || len(o.ends) < len(j.suspects[k].ends) {
			continue
		}
		if c := j.soundAt(other).Compare(j.soundAt(k)); c < 0 || (c == 0 && at > i) {
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

// endsNeeded returns the number of ends in a row after which a part of an attempt, or its request, is quarantined.
func (j *Judge) endsNeeded(now time.Time, run Run, k key, s *suspect) int {
	needed := quarantineEnds
	if !j.soundAt(k).IsZero() {
		needed++
	}
	others := j.otherEnds(now, k, s)
	if others > len(s.ends) {
		needed++
	}
	if others >= manyOtherEnds {
		needed++
	}
	for other, o := range j.suspects {
		if other == k || (other.isRequest() && !k.isRequest()) {
			continue // a part explains the ends of all tries of its requests
		}
		shared := s.sharedEnds(o)
		if shared < 2 || (shared == len(s.ends) && run.has(other)) {
			continue // what the same attempts have in common is told apart by hasLikelier
		}
		needed = max(needed, shared+quarantineEnds-1)
	}
	return min(needed, maxEndsNeeded)
}

// has reports that a key is one of the work's.
func (w Work) has(k key) bool {
	for own := range w.keys() {
		if own == k {
			return true
		}
	}
	return false
}

// otherEnds returns the number of upstreams that have ended lately without a part of their service, or without a request.
func (j *Judge) otherEnds(now time.Time, k key, s *suspect) int {
	n := 0
	for _, e := range j.recent {
		if (k.isRequest() || e.service == k.service) && now.Sub(e.at) < otherEndsTime && !s.hasEnd(e.upstream) {
			n++
		}
	}
	return n
}

func (s *suspect) hasEnd(upstream site.Key) bool {
	return slices.ContainsFunc(s.ends, func(e end) bool { return e.upstream == upstream })
}

// sharedEnds returns the number of ends that count against both.
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
	s.quarantines++
	s.until = now.Add(quarantineFor(s.quarantines))
	f := j.finding(now, QuarantineBegun, k, s)
	for _, e := range s.ends {
		j.explain(e.upstream)
	}
	s.ends = nil
	return f
}

// quarantineFor returns how long the nth quarantine of a part or a request lasts.
func quarantineFor(n int) time.Duration { return min(quarantineTime<<min(n-1, 8), maxQuarantineTime) }

// explain records that a quarantined part or request has ended an upstream.
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
