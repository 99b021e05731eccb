package home

import (
	"errors"

	"mothcart/core/outcome"
	"mothcart/io/store"
)

// writeAnswer reports the outcome of a write.
type writeAnswer struct {
	Outcome writeOutcome `msgpack:"out"`
	// End is the end that was written; empty for other writes and from homes of earlier releases.
	End End `msgpack:"end,omitempty"`
}

type writeOutcome int

const (
	writeDone writeOutcome = iota + 1
	// writeMaybeNotDone is what homes of earlier releases also answer if an attempt at the write was not answered.
	writeMaybeNotDone
	writeUnknown
	writeNotFound
	// writeConflict means that another account has a job with this ID.
	writeConflict
	// writeNotDone means that the write had no effect and never will. Nodes of earlier releases take it for unknown.
	writeNotDone
)

// writeOutcomeOf returns what a node is told of a write by its error.
func writeOutcomeOf(err error) writeOutcome {
	switch store.OutcomeOf(err) {
	case outcome.Done:
		return writeDone
	case outcome.NotDone:
		switch {
		case errors.Is(err, store.ErrNotFound):
			return writeNotFound
		case errors.Is(err, store.ErrConflict):
			return writeConflict
		default:
			return writeNotDone
		}
	default:
		return writeUnknown
	}
}

// err returns the error of a write by what the home says of it.
func (o writeOutcome) err() error {
	switch o {
	case writeDone:
		return nil
	case writeNotDone:
		return store.ErrUnavailable
	case writeConflict:
		return store.ErrConflict
	case writeNotFound:
		return store.ErrNotFound
	default:
		return store.ErrUnknown
	}
}

// String returns the name for logs.
func (o writeOutcome) String() string {
	switch o {
	case writeDone:
		return "done"
	case writeNotDone:
		return "notDone"
	case writeConflict:
		return "conflict"
	case writeNotFound:
		return "notFound"
	default:
		return "unknown"
	}
}
