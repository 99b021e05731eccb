package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Verdict says whether the answers to the calls that submitted a job fit what became of it.
type Verdict string

const (
	// Accepted means that a caller was told that the job is accepted.
	Accepted Verdict = "accepted"
	// InDoubt means that no caller was told more than that the outcome isn't known.
	InDoubt Verdict = "in doubt"
	// Refused means that all answers promised that no part of the job runs, and that no line shows the contrary.
	Refused Verdict = "refused"
	// StoredAfterRefusal means that all answers promised that no part of the job runs, and the job was stored.
	StoredAfterRefusal Verdict = "stored after a refusal"
	// RanAfterRefusal means that all answers promised that no part of the job runs, and an item ran.
	RanAfterRefusal Verdict = "RAN AFTER A REFUSAL"
	// Rejected means that the calls could not submit a job: it could not be read, or the ID is another account's.
	Rejected Verdict = "rejected"
)

// Story is what logs show of the submission of a job.
type Story struct {
	Job     string
	Verdict Verdict
	// Answers are the answers to callers, in order of time. Unanswered are the attempts to submit the job, by ID, whose
	// entries wrote it and logged no answer.
	Answers    []Event
	Unanswered []string
	// Writes are the attempts to write the job that were done or whose outcome isn't known, in order of time.
	Writes []Event
	// Taken is the first event of a home that has loaded the job, Ran that of the first item that ran; nil without one.
	Taken, Ran *Event
	// ranAt is when the first item began to run.
	ranAt time.Time
}

// JobStory returns the story of a job; false if the events hold no answer to a caller who submitted it.
func JobStory(events []Event, id string) (Story, bool) {
	s := Story{Job: id}
	var own []Event
	for _, e := range events {
		if e.text("job") == id {
			own = append(own, e)
		}
	}
	for _, e := range inCausalOrder(own) {
		switch e.Name {
		case "jobSubmitted":
			s.Answers = append(s.Answers, e)
		case "jobWriteAttempt":
			s.noteWrite(e)
		case "jobTaken":
			if s.Taken == nil {
				s.Taken = &e
			}
		case "firstItemStarted", "itemAttempt":
			s.noteRun(e)
		}
	}
	for _, a := range s.Answers {
		s.Unanswered = slices.DeleteFunc(s.Unanswered, func(attempt string) bool { return attempt == a.text("attempt") })
	}
	s.Verdict = s.judge()
	return s, len(s.Answers) > 0
}

func (s *Story) noteWrite(e Event) {
	if so := e.text("outcome"); so == "done" || so == "unknown" {
		s.Writes = append(s.Writes, e)
	}
	if attempt := e.text("attempt"); attempt != "" && !slices.Contains(s.Unanswered, attempt) {
		s.Unanswered = append(s.Unanswered, attempt)
	}
}

// noteRun records the first item that ran. Logs of earlier releases show only when an item's attempt ended.
func (s *Story) noteRun(e Event) {
	if s.Ran == nil {
		s.Ran, s.ranAt = &e, beganAt(e)
	}
}

// promises are the statuses that promise that no part of a job runs.
var promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// answered reports that a caller got one of some statuses.
func (s *Story) answered(statuses ...int) bool {
	return slices.ContainsFunc(s.Answers, func(a Event) bool {
		status, err := strconv.Atoi(a.text("status"))
		return err == nil && slices.Contains(statuses, status)
	})
}

func (s *Story) judge() Verdict {
	switch {
	case s.answered(http.StatusAccepted):
		return Accepted
	case s.answered(http.StatusGatewayTimeout):
		return InDoubt
	case !s.answered(promises...):
		return Rejected
	case s.Ran != nil:
		return RanAfterRefusal
	case s.Taken != nil:
		return StoredAfterRefusal
	default:
		return Refused
	}
}

// timeOfDay is the format of times in timelines.
const timeOfDay = "15:04:05.000"

// String renders the story on one line.
func (s Story) String() string {
	var parts []string
	for _, a := range s.Answers {
		parts = append(parts, fmt.Sprintf("%s by %s at %s: %s", a.text("status"), a.Node, a.Time.Format(timeOfDay), a.text("outcome")))
	}
	for _, attempt := range s.Unanswered {
		parts = append(parts, "no answer to attempt "+attempt)
	}
	for _, w := range s.Writes {
		parts = append(parts, fmt.Sprintf("write %s of the %s %s at %s: %s", w.text("number"), w.text("by"), w.Node, w.Time.Format(timeOfDay), w.text("outcome")))
	}
	if s.Taken != nil {
		parts = append(parts, fmt.Sprintf("taken by %s at %s", s.Taken.Node, s.Taken.Time.Format(timeOfDay)))
	}
	if s.Ran != nil {
		parts = append(parts, fmt.Sprintf("item %s began to run at %s, at %s", s.Ran.text("item"), s.ranAt.Format(timeOfDay), s.Ran.text("upstream")))
	}
	return fmt.Sprintf("job %s: %s; %s", s.Job, s.Verdict, strings.Join(parts, "; "))
}
