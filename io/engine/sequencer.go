package engine

import (
	"strconv"

	"github.com/ansel1/merry/v2"
)

// maxHeldEvents bounds the tokens that wait for an earlier one.
const maxHeldEvents = 64

// sequencer hands tokens on in order and once each. Engines number the tokens of a stream by the
// event ID; tokens without a number are taken as they come.
type sequencer struct {
	next   int
	lastID string
	held   map[int]string
	late   int64
	out    func(Event) error
}

func newSequencer(from int, out func(Event) error) *sequencer {
	return &sequencer{next: from, out: out}
}

// gaps reports that tokens wait for one that never came.
func (s *sequencer) gaps() bool { return len(s.held) > 0 }

// add takes in one event with the last event ID of the stream.
func (s *sequencer) add(id, data string) error {
	fresh := id != "" && id != s.lastID
	s.lastID = id
	if !fresh {
		if id == "" && data != DoneEvent {
			return s.emit(data)
		}
		return s.out(Event{Index: NoIndex, Data: data})
	}
	index, err := strconv.Atoi(id)
	switch {
	case err != nil:
		return s.emit(data)
	case index < s.next:
		s.late++
		return nil
	case index > s.next:
		return s.hold(index, data)
	default:
		return s.emit(data)
	}
}

func (s *sequencer) hold(index int, data string) error {
	if len(s.held) >= maxHeldEvents {
		return &Failure{Kind: Broken, Sent: true, err: merry.Errorf("token %d is missing", s.next)}
	}
	if s.held == nil {
		s.held = map[int]string{}
	}
	s.held[index] = data
	return nil
}

// emit hands on the next token and those that waited for it.
func (s *sequencer) emit(data string) error {
	for ok := true; ok; data, ok = s.held[s.next] {
		delete(s.held, s.next)
		if err := s.out(Event{Index: s.next, Data: data}); err != nil {
			return err
		}
		s.next++
	}
	return nil
}
