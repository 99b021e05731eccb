package fill

import (
	"math"
	"time"
)

const (
	// strictBudget is the share by which batch may lengthen the engine's steps while online requests run,
	// at weight 1.
	strictBudget = 0.02
	// looseFactor is the factor by which the budget at weight 0 exceeds strictBudget.
	looseFactor = 60
	// holdOffTime is how long no batch starts after the end of the last online request, at weight 1.
	holdOffTime = 100 * time.Millisecond
	// paceFactor multiplies the limit of prompt tokens computed at once, at weight 1.
	paceFactor = 0.9
	// prefillTime is how long a prompt is assumed to be computed if no first token is recorded.
	prefillTime = 500 * time.Millisecond
	// observeTime is how long a new home without a load report admits nothing.
	observeTime = 2 * time.Second
	// rampInterval is the time in which the limit of a ramp doubles (see State.rampLimit).
	rampInterval = 250 * time.Millisecond
	// rampStart is the first limit of a ramp, in batch sequences.
	rampStart = 4
	// rampDoublings is the number of doublings after which a ramp ends.
	rampDoublings = 8
)

// Decision tells the home of an engine what to start or cancel now.
type Decision struct {
	// Admit is the number of batch sequences that may start. AdmitTokens bounds the sum of their prompts
	// and longest answers.
	Admit, AdmitTokens int
	// Cancel lists the batch streams to cancel, the newest first.
	Cancel []string
}

// Decide returns how much batch work may start now, or which batch streams must yield to online.
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

// prompts returns how many more batch prompts the engine may compute at once. A single prompt is always
// allowed, however long it is.
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

// budget returns the share by which batch may lengthen the engine's steps while online requests run.
func (s State) budget() float64 {
	return strictBudget * math.Pow(looseFactor, 1-s.params.Weight)
}

// headroom returns the number of sequences kept free for the next online requests.
func (s State) headroom(now time.Time) int {
	return int(math.Ceil(s.arrivals.peakNow(now) * s.params.Weight))
}

// rampLimit bounds the batch sequences while the home lacks a reliable view of the engine: the home is new,
// or reports show sequences of unknown origin. The bound starts low and doubles at each rampInterval.
func (s State) rampLimit(now time.Time) int {
	from := s.rampFrom
	if s.reports.last.IsZero() {
		from = from.Add(observeTime)
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

// excess returns the newest streams above the limits. One item may exceed the token limit: that an item is
// too long shows only after it was taken from its job, and if it were cancelled it would be taken again.
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

// mayAdmit reports whether batch may start: online requests run now, or the last one ended long enough ago.
func (s State) mayAdmit(now time.Time) bool {
	if len(s.online)+s.unknown(now) > 0 {
		return true
	}
	holdOff := time.Duration(float64(holdOffTime) * s.params.Weight)
	return now.Sub(s.lastOnline) >= holdOff
}
