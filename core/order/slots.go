package order

import (
	"slices"
	"time"
)

// Slot is the right to change one engine, out of a bounded number.
type Slot struct {
	Engine string `msgpack:"e"`
	Holder string `msgpack:"h"`
	// Renewal grows with each renewal by the holder.
	Renewal uint64 `msgpack:"r"`
}

// Slots bounds how many engines change at once: those of a service, which keeps its capacity in a
// roll-out, or those that read from the weight store, whose rate is limited. Values are immutable.
type Slots struct {
	Held []Slot `msgpack:"t"`
	// Sequence grows with each write, so that each write is unique.
	Sequence uint64 `msgpack:"s"`
	// Writer wrote the value.
	Writer string `msgpack:"w"`
}

// Has reports whether holder has the slot of the engine.
func (s Slots) Has(engine, holder string) bool {
	return slices.ContainsFunc(s.Held, func(t Slot) bool { return t.Engine == engine && t.Holder == holder })
}

// WithAcquired returns the slots with one acquired or renewed for the engine. It reports false when all
// limit slots are held, or when another holder has the engine's slot: if that slot could be taken
// over, its new holder could free it while the engine still changes. lapsed reports whether a slot
// has lapsed, as SlotWatch.Lapsed does.
func (s Slots) WithAcquired(engine, holder string, limit int, lapsed func(Slot) bool) (Slots, bool) {
	held := make([]Slot, 0, len(s.Held)+1)
	renewal := uint64(0)
	for _, t := range s.Held {
		switch {
		case t.Engine == engine && t.Holder == holder:
			renewal = t.Renewal
		case lapsed(t):
		case t.Engine == engine:
			return s, false
		default:
			held = append(held, t)
		}
	}
	if len(held) >= limit {
		return s, false
	}
	held = append(held, Slot{Engine: engine, Holder: holder, Renewal: renewal + 1})
	return Slots{Held: held, Sequence: s.Sequence + 1, Writer: holder}, true
}

// WithFreed returns the slots without the one that holder has for the engine.
func (s Slots) WithFreed(engine, holder string) Slots {
	held := slices.DeleteFunc(slices.Clone(s.Held), func(t Slot) bool { return t.Engine == engine && t.Holder == holder })
	return Slots{Held: held, Sequence: s.Sequence + 1, Writer: holder}
}

// SlotLimit returns how many engines of a service may change at once. maxUnavailable is a share
// from 0 to 1; at least one engine may change, because otherwise no engine ever could.
func SlotLimit(engines int, maxUnavailable float64) int {
	return max(1, int(float64(engines)*maxUnavailable))
}

// SlotWatch records when this VM first saw the present renewal of each slot, by its own clock.
type SlotWatch struct{ seen []seenSlot }

type seenSlot struct {
	slot Slot
	at   time.Time
}

// WithRead returns the watch after a read of the slots.
func (w SlotWatch) WithRead(now time.Time, s Slots) SlotWatch {
	next := make([]seenSlot, 0, len(s.Held))
	for _, t := range s.Held {
		at := now
		for _, old := range w.seen {
			if old.slot == t {
				at = old.at
			}
		}
		next = append(next, seenSlot{slot: t, at: at})
	}
	return SlotWatch{seen: next}
}

// Lapsed reports whether the slot has not been renewed for LeaseTime and OrderTimeout together.
func (w SlotWatch) Lapsed(now time.Time, t Slot) bool {
	for _, s := range w.seen {
		if s.slot == t {
			return now.Sub(s.at) >= LeaseTime+OrderTimeout
		}
	}
	return false
}
