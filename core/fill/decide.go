package fill

import (
	"math"
	"time"
)

const (
	// strictBudget is the share by which batch may lengthen a step beside online at weight 1.
	strictBudget = 0.02
	// looseFactor multiplies the budget at weight 0.
	looseFactor = 60
	// holdTime is how long batch waits after the last online request, at weight 1.
	holdTime = 100 * time.Millisecond
	// paceFactor multiplies the prompt tokens computed at once at weight 1.
	paceFactor = 0.9
	// prefillTime is how long a prompt is assumed to be computed when no first token is noted.
	prefillTime = 500 * time.Millisecond
	// listenTime is how long a new home without a report only listens.
	listenTime = 2 * time.Second
	// rampInterval is the time in which the limit of a careful ramp doubles.
	rampInterval = 250 * time.Millisecond
	// rampStart is the first limit of a careful ramp.
	rampStart = 4
	// rampDoublings ends a careful ramp.
	rampDoublings = 8
)

// Decision is what the home does now.
type Decision struct {
	// Admit is the number of batch sequences that may start, with AdmitTokens in all for prompts
	// and longest answers.
	Admit, AdmitTokens int
	// Cancel lists the batch streams to end, the newest first.
	Cancel []string
}

// Decide returns what may start and what must give way now.
func (s State) Decide(now time.Time) Decision {
	limit := s.limit(now)
	tokenLimit := s.tokenLimit(now)
	if cancel := s.excess(limit, tokenLimit); cancel != nil {
		return Decision{Cancel: cancel}
	}
	if !s.mayAdmit(now) {
		return Decision{}
	}
	tokens := tokenLimit - s.batchTokens
	admit := min(limit-len(s.batch), s.prompts(now))
	if admit <= 0 || tokens <= 0 {
		return Decision{}
	}
	return Decision{Admit: admit, AdmitTokens: tokens}
}

// prompts returns how many more prompts of batch the engine may compute at once: a long one may
// always run alone.
func (s State) prompts(now time.Time) int {
	prefilling := s.prefillTokens(now)
	if prefilling == 0 && s.meanItem == 0 {
		return 1
	}
	pace := float64(s.params.PrefillTokens) * math.Pow(paceFactor, s.params.Weight)
	more := int((pace - float64(prefilling)) / max(1, s.meanItem))
	if prefilling == 0 {
		return max(1, more)
	}
	return more
}

// limit returns the number of batch sequences that may run.
func (s State) limit(now time.Time) int {
	n := len(s.online) + s.unknown(now)
	limit := s.params.MaxSequences - n - s.headroom(now)
	if n > 0 {
		limit = min(limit, int(s.budget()*(float64(n)+1/s.harm.ratio())))
	}
	return max(0, min(limit, s.rampLimit(now)))
}

// budget returns the share by which batch may lengthen the steps of online.
func (s State) budget() float64 {
	return strictBudget * math.Pow(looseFactor, 1-s.params.Weight)
}

// headroom returns the sequences kept free for the next arrivals.
func (s State) headroom(now time.Time) int {
	return int(math.Ceil(s.arrivals.peakNow(now) * s.params.Weight))
}

// rampLimit bounds the batch of a home that does not know the engine well: a new one, or one whose
// reports show sequences of unknown origin.
func (s State) rampLimit(now time.Time) int {
	from := s.rampFrom
	if s.reports.last.IsZero() {
		from = from.Add(listenTime)
	}
	age := now.Sub(from)
	if age < 0 {
		return 0
	}
	doublings := int(age / rampInterval)
	if doublings >= rampDoublings {
		return s.params.MaxSequences
	}
	return rampStart << doublings
}

// tokenLimit returns the KV tokens that batch may hold.
func (s State) tokenLimit(now time.Time) int {
	expected := s.headroom(now) + s.unknown(now)
	each := int(s.arrivals.meanTokens) + s.params.AnswerTokens
	online := s.onlineTokens + len(s.online)*s.params.AnswerTokens
	return max(0, s.params.KVTokens-s.params.CacheTokens-online-expected*each)
}

// prefillTokens returns the tokens of the batch streams whose prompt is being computed.
func (s State) prefillTokens(now time.Time) int {
	tokens := 0
	for i := len(s.batch) - 1; i >= 0; i-- {
		if s.batch[i].prefilling && now.Sub(s.batch[i].start) < prefillTime {
			tokens += s.batch[i].tokens
		}
	}
	return tokens
}

// excess returns the newest streams above the limits. One item may exceed the limit of tokens: an
// item is known to be too long only once it was taken, and ending it would take it again.
func (s State) excess(limit, tokenLimit int) []string {
	var cancel []string
	tokens := s.batchTokens
	for count := len(s.batch); count > 0; count-- {
		newest := s.batch[count-1]
		tokens -= newest.tokens
		if count <= limit && tokens < tokenLimit {
			break
		}
		cancel = append(cancel, newest.id)
	}
	return cancel
}

// mayAdmit reports whether enough time has passed since online was last there.
func (s State) mayAdmit(now time.Time) bool {
	if len(s.online)+s.unknown(now) > 0 {
		return true
	}
	hold := time.Duration(float64(holdTime) * s.params.Weight)
	return now.Sub(s.lastOnline) >= hold
}
