// Package outcome says what is known about the effect of a call whose answer may be lost.
//
// A call that was not answered may have had an effect, or may have one later, whatever later attempts at the same call are
// answered: Unknown is never outranked by NotDone. Packages with calls of this kind have a Sentinels value that tells the
// outcome of their errors, so that no caller depends on the order in which it asks an error what it is.
//
// Usage:
//
//	var sentinels = outcome.Sentinels{Unknown: ErrUnknown, NotDone: []error{ErrUnavailable, ErrConflict}}
//
//	switch sentinels.Of(err) {
//	case outcome.Done:
//	case outcome.NotDone: // only here may somebody be promised that nothing has happened
//	case outcome.Unknown:
//	}
package outcome

import (
	"errors"
	"fmt"
)

// Outcome is what is known about the effect of a call.
type Outcome uint8

const (
	// Unknown means that the call may have had an effect, or may have one later. It is the zero value, so that an outcome
	// that nobody has found out promises nothing.
	Unknown Outcome = iota
	// NotDone means that the call had no effect and never will.
	NotDone
	// Done means that the call had its effect.
	Done
)

// String returns the name for logs.
func (o Outcome) String() string {
	switch o {
	case NotDone:
		return "notDone"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// With returns the outcome of a call that was attempted more than once, if at most one of its attempts can take effect.
func (o Outcome) With(attempt Outcome) Outcome {
	switch {
	case o == Done || attempt == Done:
		return Done
	case o == Unknown || attempt == Unknown:
		return Unknown
	default:
		return NotDone
	}
}

// Sentinels are the errors of a package that tell the outcome of its calls.
type Sentinels struct {
	// Unknown is the error of calls that may have had an effect.
	Unknown error
	// NotDone are the errors of calls without an effect.
	NotDone []error
}

// Of returns the outcome of a call by its error: Unknown for an error that is none of the sentinels, or that matches
// both kinds.
func (s Sentinels) Of(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, s.Unknown) || !s.isNotDone(err):
		return Unknown
	default:
		return NotDone
	}
}

func (s Sentinels) isNotDone(err error) bool {
	for _, sentinel := range s.NotDone {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// Lost returns the error of a call that may have had an effect. It matches the sentinel Unknown and, of the errors of the
// last attempt, those that tell no outcome.
func (s Sentinels) Lost(last error) error { return &lostError{sentinels: s, last: last} }

type lostError struct {
	sentinels Sentinels
	last      error
}

// Error describes the error.
func (e *lostError) Error() string { return fmt.Sprintf("%v: %v", e.sentinels.Unknown, e.last) }

// Is reports whether the error is target.
func (e *lostError) Is(target error) bool {
	return target == e.sentinels.Unknown || (!e.sentinels.isNotDone(target) && errors.Is(e.last, target))
}

// As finds an error of the last attempt by its type.
func (e *lostError) As(target any) bool { return errors.As(e.last, target) }
