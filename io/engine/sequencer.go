package engine

import (
	"strconv"

	"github.com/ansel1/merry/v2"
)

// maxPendingEvents bounds the tokens that are buffered until an earlier one arrives.
const maxPendingEvents = 64

// sequencer passes tokens to onEvent in order and once each. Engines number the tokens of a stream by
// the event ID; tokens without a number are passed on in the order of arrival, but not those of a stream that is resumed:
// whether they follow can't be told.
type sequencer struct {
	next       int
	resumed    bool
	lastID     string
	pending    map[int]string
	duplicates int64
	onEvent    func(Event) error
}

func newSequencer(from int, onEvent func(Event) error) *sequencer {
	return &sequencer{next: from, resumed: from > 0, onEvent: onEvent}
}

// hasGaps reports whether tokens are buffered because an earlier one has not arrived.
func (s *sequencer) hasGaps() bool { return len(s.pending) > 0 }

// add processes one event. id is the stream's last event ID: an event that has no ID of its own repeats the
// previous one, and is not a numbered token.
func (s *sequencer) add(id, data string) error {
	fresh := id != "" && id != s.lastID
	s.lastID = id
	switch {
	case fresh:
	case s.hasGaps():
		return s.missing()
	case id == "" && data != DoneEvent && s.resumed:
		return &Failure{Kind: Broken, Sent: true, err: merry.Errorf("event without a number, want token %d", s.next)}
	case id == "" && data != DoneEvent:
		return s.emit(data)
	default:
		return s.onEvent(Event{Index: NoIndex, Data: data})
	}
	index, err := strconv.Atoi(id)
	switch {
	case err != nil:
		return s.emit(data)
	case index < s.next:
		s.duplicates++
		return nil
	case index > s.next:
		return s.addPending(index, data)
	default:
		return s.emit(data)
	}
}

// addPending buffers a token until the tokens before it have arrived.
func (s *sequencer) addPending(index int, data string) error {
	if len(s.pending) >= maxPendingEvents {
		return s.missing()
	}
	if s.pending == nil {
		s.pending = map[int]string{}
	}
	s.pending[index] = data
	return nil
}

// missing returns the failure of a stream that lacks the next token.
func (s *sequencer) missing() error {
	return &Failure{Kind: Broken, Sent: true, err: merry.Errorf("token %d is missing", s.next)}
}

// emit passes on the next token and the buffered tokens that follow it without a gap.
func (s *sequencer) emit(data string) error {
	for ok := true; ok; data, ok = s.pending[s.next] {
		delete(s.pending, s.next)
		if err := s.onEvent(Event{Index: s.next, Data: data}); err != nil {
			return err
		}
		s.next++
	}
	return nil
}
