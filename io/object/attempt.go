package object

import (
	"context"
	"time"
)

// Attempt is one attempt at a write that is repeated until its outcome is known.
type Attempt struct {
	Kind, Name string
	// StartedAt is when the attempt was sent.
	StartedAt time.Time
	// Err is the error of the attempt alone, whatever the other attempts' are.
	Err error
}

// attemptKey is the context key of the function that WithAttempts sets.
type attemptKey struct{}

// WithAttempts returns a context in which CreateConfirmed calls observe at the end of each attempt. Attempts may end at the
// same time.
func WithAttempts(ctx context.Context, observe func(a Attempt)) context.Context {
	return context.WithValue(ctx, attemptKey{}, observe)
}

// attempt creates an object once and reports the attempt to the observer of the context.
func attempt(ctx context.Context, c Client, kind, name string, spec any) (Object, error) {
	startedAt := time.Now()
	o, err := c.Create(ctx, kind, name, spec)
	if observe, ok := ctx.Value(attemptKey{}).(func(a Attempt)); ok {
		observe(Attempt{Kind: kind, Name: name, StartedAt: startedAt, Err: err})
	}
	return o, err
}
