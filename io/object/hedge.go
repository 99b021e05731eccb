package object

import (
	"context"
	"errors"
	"time"

	"mothcart/core/outcome"
	"mothcart/io/store"
)

// hedgeLimit bounds the attempts that are in flight at the same time.
const hedgeLimit = 6

// Hedged attempts a write and, while no attempt is answered, starts another one after each pause, for an
// object service that loses answers or applies writes late. It returns the first answer of success, and the first
// ErrConflict, which tells with its object what the other attempts did. Without such an answer it returns the error of an
// attempt that may have had effect, else of the last one. The write must be one of which at most one attempt can take
// effect, for instance because it names the object to create or the expected revision.
func Hedged[T any](ctx context.Context, pause time.Duration, attempt func(ctx context.Context) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, hedgeLimit)
	pending := 0
	send := func() {
		pending++
		go func() {
			value, err := attempt(ctx)
			answers <- answer{value, err}
		}()
	}
	send()
	again := time.NewTicker(pause)
	defer again.Stop()
	var last answer
	for pending > 0 {
		select {
		case a := <-answers:
			pending--
			so := store.OutcomeOf(a.err)
			if so == outcome.Done || (so == outcome.NotDone && errors.Is(a.err, store.ErrConflict)) {
				return a.value, a.err
			}
			if so == outcome.Unknown || last.err == nil || store.OutcomeOf(last.err) == outcome.NotDone {
				last = a
			}
		case <-again.C:
			if pending < hedgeLimit {
				send()
			}
		}
	}
	return last.value, last.err
}
