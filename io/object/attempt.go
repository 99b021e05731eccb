package object

import (
	"context"
	"sync/atomic"
	"time"
)

// Attempt is one attempt at a write that is repeated until its outcome is known.
type Attempt struct {
	Kind, Name string
	// Number counts the attempts of one context from 1, in the order in which they were sent.
	Number int64
	// StartedAt is when the attempt was sent.
	StartedAt time.Time
	// Err is the error of the attempt alone, whatever the other attempts' are.
	Err error
}

// attemptKey is the context key of the observer that WithAttempts sets.
type attemptKey struct{}

type observer struct {
	begun   atomic.Int64
	observe func(a Attempt)
}

// WithAttempts returns a context in which CreateConfirmed calls observe at the end of each attempt. Attempts may end at the
// same time.
func WithAttempts(ctx context.Context, observe func(a Attempt)) context.Context {
	return context.WithValue(ctx, attemptKey{}, &observer{observe: observe})
}

// attempt creates an object once and reports the attempt to the observer of the context.
func attempt(ctx context.Context, c Client, kind, name string, spec any) (Object, error) {
	of, observed := ctx.Value(attemptKey{}).(*observer)
	if !observed {
		return Create(ctx, c, kind, name, spec)
	}
	a := Attempt{Kind: kind, Name: name, Number: of.begun.Add(1), StartedAt: time.Now()}
	o, err := Create(ctx, c, kind, name, spec)
	a.Err = err
	of.observe(a)
	return o, err
}
