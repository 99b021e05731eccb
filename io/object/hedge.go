package object

import (
	"context"
	"errors"
	"time"

	"mothcart/io/store"
)

// hedgeLimit bounds the writes that are on their way at the same time.
const hedgeLimit = 6

// Hedged makes an attempt at a write and, while none is answered, another after each pause, for an
// object service that loses answers or takes writes late. It returns the first answer that tells
// the outcome; without one ErrUnknown if an attempt may have had effect, else ErrUnavailable. Attempts
// must exclude each other, such as by the name or the revision of the object.
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
			if a.err == nil || !(errors.Is(a.err, store.ErrUnknown) || errors.Is(a.err, store.ErrUnavailable)) {
				return a.value, a.err
			}
			if !errors.Is(last.err, store.ErrUnknown) {
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
