package forward

import "bytes"

// lastHeld passes on the events of a stream. In one whose events have IDs it holds an event without one, such as an error,
// until the stream goes on or ends: if it breaks off, another upstream goes on after the last ID, without that event.
type lastHeld struct {
	send func(e Event, more bool) error
	// numbered reports that the events of the stream have IDs; held is empty if there is no event to hold.
	numbered bool
	held     []byte
	blank    bool
}

// add passes on an event, after the one that is held; more is that of Sink.Event.
func (h *lastHeld) add(e Event, more bool) error {
	if e.isFiller() {
		return h.send(e, more)
	}
	if err := h.release(true); err != nil {
		return err
	}
	if h.numbered && e.ID == "" {
		h.held, h.blank = bytes.Clone(e.Raw), e.Blank
		return h.send(Event{Blank: true}, more) // what was sent before may wait for this event
	}
	h.numbered = h.numbered || e.ID != ""
	return h.send(e, more)
}

// release passes on the event that is held.
func (h *lastHeld) release(more bool) error {
	if len(h.held) == 0 {
		return nil
	}
	e := Event{Raw: h.held, Blank: h.blank}
	h.held = nil
	return h.send(e, more)
}
