// Package object is the client side of an object service that stores objects by kind and name, with one
// revision counter for all of them, conditional writes, and watches of all objects of a kind.
//
// A Client is a set of function fields, so that adapters and fakes are interchangeable.
// The errors are those of package store: ErrConflict, ErrNotFound and ErrUnavailable mean that a
// write had no effect, ErrUnknown that its answer was lost.
//
// Usage:
//
//	o, err := object.CreateConfirmed(ctx, client, "jobs", "j1", spec)
//	f := object.NewFollower(object.FollowerOptions{Client: client, Kind: "jobs", Apply: apply})
//	defer f.Close()
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/outcome"
	"mothcart/core/plainjson"
	"mothcart/io/clock"
	"mothcart/io/store"
)

var (
	// ErrCompacted means that the service no longer has the history since the watched revision; the kind must be
	// listed again.
	ErrCompacted = merry.Sentinel("history of the object service is compacted")
	// ErrTooLarge means that an answer of the service exceeds the limit of the client. It comes together with
	// store.ErrUnavailable for reads and store.ErrUnknown for writes.
	ErrTooLarge = merry.Sentinel("answer of the object service is too large")
	// ErrRejected means that the service can't store what a write holds, for instance since that is too large, so that a
	// repetition can't help. It comes together with store.ErrUnavailable, since the write had no effect.
	ErrRejected = merry.Sentinel("object service rejects the object")
)

// Revision counts the changes of all objects of the service.
type Revision int64

// Object is one object of a kind.
type Object struct {
	Name string
	// Revision is that of the object's last change.
	Revision Revision
	// Created is the revision at which the object was created, which tells objects apart that had a name one after
	// another; 0 if the service doesn't tell.
	Created Revision
	Spec    json.RawMessage
	Status  json.RawMessage
}

// Event is one change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Client holds the calls of the object service. Every call counts against the service's rates.
type Client struct {
	// ValueBytes is the size of the largest object that the service stores, in bytes of JSON, with its metadata, spec and
	// status; 0 means defaultValueBytes.
	ValueBytes int
	// List returns one page of a kind's objects with names greater than after, in order of name, the
	// revision of the page, and whether there are more.
	List func(ctx context.Context, kind, after string) (objects []Object, at Revision, more bool, err error)
	// Watch returns the changes of a kind after the revision since, waiting up to wait for the first
	// one, and the revision to resume from. It returns ErrCompacted if the service no longer has them.
	Watch func(ctx context.Context, kind string, since Revision, wait time.Duration) ([]Event, Revision, error)
	// Get returns one object, or ErrNotFound.
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Create writes a new object. With ErrConflict the returned object is the one that exists, or empty if the service's answer
	// doesn't hold it; see the function Create.
	Create func(ctx context.Context, kind, name string, spec any) (Object, error)
	// Put replaces the spec if the object has the given revision. With ErrConflict the returned
	// object is the one that exists.
	Put func(ctx context.Context, kind, name string, spec any, expect Revision) (Object, error)
	// PutStatus replaces the status, whatever the revision.
	PutStatus func(ctx context.Context, kind, name string, status any) (Object, error)
	// Delete removes the object, whatever its revision.
	Delete func(ctx context.Context, kind, name string) error
}

const (
	// defaultValueBytes is the size of the largest object if the service names none. Larger ones are not written either, since
	// a page of a listing holds about as much.
	defaultValueBytes = 1 << 20
	// metadataBytes is left in each object for its metadata and status, besides a part of metadataShare of the object.
	metadataBytes = 512
	metadataShare = 16
)

// SpecBytes returns the size of the largest spec that a client writes, in bytes as plainjson.Marshal returns them.
func (c Client) SpecBytes() int {
	n := c.ValueBytes
	if n <= 0 || n > defaultValueBytes {
		n = defaultValueBytes
	}
	return n - n/metadataShare - metadataBytes
}

// firstConfirmPause and lastConfirmPause bound the time between two attempts at a write that was refused or whose outcome
// is unknown; it doubles with each, since an object service that refuses calls is seldom back within less than it has taken
// so far.
const (
	firstConfirmPause = 50 * time.Millisecond
	lastConfirmPause  = 400 * time.Millisecond
)

// createHedgeDelay is how long a creation may stay unanswered before another attempt is sent in parallel; an
// object service without load answers in a few milliseconds.
const createHedgeDelay = 300 * time.Millisecond

// confirmMargin is the time before the deadline of the context in which no further attempt is made, since
// the deadline would leave its outcome unknown.
const confirmMargin = 500 * time.Millisecond

// endsWithin reports whether the deadline of the context is less than d away.
func endsWithin(ctx context.Context, d time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) < d
}

// CreateConfirmed repeats c.Create until its outcome is known or the context is about to end. An existing
// object with an equal spec counts as created. It returns ErrConflict with the object that
// exists, ErrUnavailable if no attempt had effect, or ErrUnknown if one may have; ErrRejected besides if the service can't
// store the object.
func CreateConfirmed(ctx context.Context, c Client, kind, name string, spec any) (Object, error) {
	want, err := plainjson.Marshal(spec)
	if err != nil {
		return Object{}, merry.Errorf("encode %s/%s: %w", kind, name, err)
	}
	so, pause := outcome.NotDone, firstConfirmPause
	for {
		o, err := Hedged(ctx, createHedgeDelay, func(ctx context.Context) (Object, error) { return attempt(ctx, c, kind, name, want) })
		switch {
		case err == nil:
			return o, nil
		case store.OutcomeOf(err) == outcome.Unknown:
			if found, readErr := c.Get(ctx, kind, name); readErr == nil {
				o, err = found, store.ErrConflict
			}
		}
		if errors.Is(err, store.ErrConflict) {
			if sameJSON(o.Spec, want) {
				return o, nil
			}
			return o, merry.Errorf("create %s/%s: %w", kind, name, err)
		}
		so = so.With(store.OutcomeOf(err))
		if errors.Is(err, ErrRejected) || endsWithin(ctx, confirmMargin+pause) || clock.Sleep(ctx, pause/2+rand.N(pause/2)) != nil {
			if so == outcome.Unknown {
				err = store.LostError(err)
			}
			return Object{}, merry.Errorf("create %s/%s: %w", kind, name, err)
		}
		pause = min(2*pause, lastConfirmPause)
	}
}

// Create is c.Create that keeps the promise to return the object that exists with ErrConflict: it is read if the service's answer
// doesn't hold it. If that fails, the error is ErrUnknown, since the object may be the caller's own, from an earlier attempt; if the
// object is gone by then, it is ErrUnavailable.
func Create(ctx context.Context, c Client, kind, name string, spec any) (Object, error) {
	o, err := c.Create(ctx, kind, name, spec)
	if !errors.Is(err, store.ErrConflict) || len(o.Spec) > 0 {
		return o, err
	}
	o, readErr := c.Get(ctx, kind, name)
	switch {
	case readErr == nil:
		return o, err
	case errors.Is(readErr, store.ErrNotFound):
		return Object{}, merry.Errorf("%s/%s existed and is gone: %w", kind, name, store.ErrUnavailable)
	default:
		return Object{}, merry.Errorf("read %s/%s that exists: %w", kind, name, store.LostError(readErr))
	}
}

// sameJSON reports whether two documents say the same, whatever their white space, escapes and order of fields: the service may
// encode an object in its own way.
func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, err := decodeAny(a)
	if err != nil {
		return false
	}
	y, err := decodeAny(b)
	return err == nil && reflect.DeepEqual(x, y)
}

func decodeAny(b []byte) (v any, err error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber() // a revision does not fit into a floating point number
	err = d.Decode(&v)
	return v, err
}

// ListAll returns all objects of a kind, page by page, and the revision of the first page, from
// which a watch misses nothing. It returns ErrUnavailable if the service sends a page again.
func ListAll(ctx context.Context, c Client, kind string) ([]Object, Revision, error) {
	var all []Object
	var first Revision
	after := ""
	for {
		page, at, more, err := c.List(ctx, kind, after)
		if err != nil {
			return nil, 0, merry.Errorf("list %s after %q: %w", kind, after, err)
		}
		if first == 0 {
			first = at
		}
		all = append(all, page...)
		if !more || len(page) == 0 {
			return all, first, nil
		}
		last := page[len(page)-1].Name
		if last == after {
			return nil, 0, merry.Errorf("list %s: page after %q ends with it: %w", kind, after, store.ErrUnavailable)
		}
		after = last
	}
}
