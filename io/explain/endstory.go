package explain

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// EndVerdict says whether the items of a job fit the answers to the calls that ended it.
type EndVerdict string

const (
	// Ended means that the end was acknowledged, and that no line shows an item that began afterwards.
	Ended EndVerdict = "ended"
	// RanAfterEnd means that an item began after the end was acknowledged.
	RanAfterEnd EndVerdict = "RAN AFTER ITS END"
	// EndInDoubt means that no line shows an acknowledged end, and that the job may have ended.
	EndInDoubt EndVerdict = "end in doubt"
	// NotEnded means that all calls that ended the job were refused, and that no home knows of an end.
	NotEnded EndVerdict = "not ended"
)

// EndStory is what logs show of the end of a job.
type EndStory struct {
	Job     string
	Verdict EndVerdict
	// Answers are the answers to the calls that ended the job, in order of time. Acknowledged is the first of them that
	// says that the job has ended; nil without one.
	Answers      []Event
	Acknowledged *Event
	// Learnt are the events of the homes that were told of the end, Cancelled those of other nodes at which a home cancelled
	// items after it.
	Learnt, Cancelled []Event
	// Late are the attempts that began after the acknowledgement, in order of their beginning.
	Late []LateItem
}

// LateItem is an attempt at an item that began after the end of its job.
type LateItem struct {
	// Event is the line that shows the attempt.
	Event Event
	// After is how long after the acknowledgement it began.
	After time.Duration
}

// JobEndStory returns the story of the end of a job, by the ID of the job or of one of its items; false if the events hold
// no end.
func JobEndStory(events []Event, id string) (EndStory, bool) {
	s := EndStory{Job: jobOf(events, id)}
	items := make(map[string]bool)
	var own []Event
	for _, e := range events {
		if e.text("job") == s.Job {
			own = append(own, e)
			items[e.text("item")] = true
		}
	}
	own = inCausalOrder(own)
	for _, e := range own {
		switch e.Name {
		case "jobEnd":
			s.noteAnswer(e)
		case "jobEnded", "endOfJobNotHeld", "endToConfirm":
			s.Learnt = append(s.Learnt, e)
		}
	}
	if s.Acknowledged != nil {
		s.noteItems(untilNextJob(own, s.Acknowledged.Time))
		for _, e := range inCausalOrder(events) {
			if e.Name == "itemRunCancelled" && items[e.text("item")] && e.Time.After(s.Acknowledged.Time.Add(-clockSlack)) {
				s.Cancelled = append(s.Cancelled, e)
			}
		}
	}
	s.Verdict = s.judge()
	return s, len(s.Answers) > 0 || len(s.Learnt) > 0
}

// jobOf returns the job of an item, or the ID itself if it is no item's.
func jobOf(events []Event, id string) string {
	for _, e := range events {
		if job := e.text("job"); job != "" && e.text("item") == id {
			return job
		}
	}
	return id
}

// untilNextJob returns the events of a job before the one that was accepted with its ID after it had ended and been removed.
func untilNextJob(events []Event, ended time.Time) []Event {
	removed := false
	for i, e := range events {
		switch {
		case e.Name == "jobRemoved" && e.Time.After(ended):
			removed = true
		case removed && e.Name == "jobSubmitted" && e.text("status") == strconv.Itoa(http.StatusAccepted):
			return events[:i]
		}
	}
	return events
}

func (s *EndStory) noteAnswer(e Event) {
	s.Answers = append(s.Answers, e)
	if s.Acknowledged == nil && e.text("outcome") == "ended" {
		s.Acknowledged = &e
	}
}

// noteItems records the attempts that began after the acknowledgement, by the line of their end or, if that is missing, by that
// of the first item.
func (s *EndStory) noteItems(events []Event) {
	var first []LateItem
	for _, e := range events {
		a := LateItem{Event: e, After: beganAt(e).Sub(s.Acknowledged.Time)}
		switch {
		case a.After <= 0:
		case e.Name == "itemAttempt":
			s.Late = append(s.Late, a)
		case e.Name == "firstItemStarted":
			first = append(first, a)
		}
	}
	for _, f := range first {
		if !slices.ContainsFunc(s.Late, f.sameAttempt) {
			s.Late = append(s.Late, f)
		}
	}
	slices.SortStableFunc(s.Late, func(a, b LateItem) int { return cmp.Compare(a.After, b.After) })
}

func (a LateItem) sameAttempt(b LateItem) bool {
	return a.Event.Node == b.Event.Node && a.Event.text("item") == b.Event.text("item") && (a.After-b.After).Abs() <= clockSlack
}

// beganAt returns when the attempt at an item that an event shows began.
func beganAt(e Event) time.Time {
	if e.Name != "itemAttempt" {
		return e.Time
	}
	return e.Time.Add(-e.millis("tookMillis"))
}

func (e Event) millis(field string) time.Duration {
	n, _ := strconv.ParseFloat(e.text(field), 64)
	return time.Duration(n * float64(time.Millisecond))
}

func (s *EndStory) judge() EndVerdict {
	refused := func(a Event) bool { return slices.Contains([]string{"503", "404"}, a.text("status")) }
	switch {
	case len(s.Late) > 0:
		return RanAfterEnd
	case s.Acknowledged != nil:
		return Ended
	case len(s.Learnt) == 0 && !slices.ContainsFunc(s.Answers, func(a Event) bool { return !refused(a) }):
		return NotEnded
	default:
		return EndInDoubt
	}
}

// String renders the story on one line.
func (s EndStory) String() string {
	verdict := string(s.Verdict)
	if n := len(s.Late); n > 0 {
		verdict = fmt.Sprintf("%s by up to %d ms", verdict, s.Late[n-1].After.Milliseconds())
	}
	var parts []string
	for _, a := range s.Answers {
		said := a.text("status")
		if a.text("outcome") == "ended" {
			said = fmt.Sprintf("acknowledged, written by the %s", a.text("by"))
		}
		parts = append(parts, fmt.Sprintf("%s at %s: %s, entryWrite %s", a.Node, a.Time.Format(timeOfDay), said, cmp.Or(a.text("entryWrite"), "notDone")))
	}
	for _, l := range s.Learnt {
		told := fmt.Sprintf("%s of term %s told by %s at %s: %s", l.Node, l.text("term"), l.text("way"), l.Time.Format(timeOfDay), l.Name)
		for _, field := range []string{"loaded", "itemsAfter", "lastItemMillis"} {
			if v := l.text(field); v != "" {
				told += fmt.Sprintf(", %s %s", field, v)
			}
		}
		parts = append(parts, told)
	}
	for _, a := range s.Late {
		e := a.Event
		parts = append(parts, fmt.Sprintf("item %s began %d ms after it, home %s, at %s", e.text("item"), a.After.Milliseconds(), e.Node, e.text("upstream")))
	}
	for _, c := range s.Cancelled {
		parts = append(parts, fmt.Sprintf("item %s cancelled at %s at %s", c.text("item"), c.Node, c.Time.Format(timeOfDay)))
	}
	return fmt.Sprintf("end of job %s: %s; %s", s.Job, verdict, strings.Join(parts, "; "))
}
