// Package store is a client of the platform's object service, which has object versions, conditional
// updates and watches.
//
// The conditional update is the only fence of the system. A Client is a set of function fields,
// so that tests and the fake can replace the HTTP client.
//
// Errors tell what is known about a write: ErrConflict and ErrUnavailable mean that it had no
// effect; ErrUnknown means that the answer was lost and the write may have had effect. OutcomeOf tells these apart, also
// for an error that was made from those of several attempts. PutConfirmed resolves ErrUnknown by reading the object back.
//
// Usage:
//
//	c := store.NewHTTP("http://127.0.0.1:7000", http.DefaultClient)
//	version, err := store.PutConfirmed(ctx, c, "jobs/j1", value, store.Absent)
//	object, err := c.Get(ctx, "jobs/j1")
package store

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/outcome"
	"mothcart/io/clock"
)

// MaxValueBytes is the size of the largest value that the object service stores.
const MaxValueBytes = 1 << 20

// Absent as an expected version means that the object must not exist yet.
const Absent Version = 0

var (
	// ErrConflict means that the object's version was not the expected one; nothing was written.
	ErrConflict = merry.Sentinel("object version conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrUnavailable means that a read failed, or that the service refused a write or could not be
	// reached before the write was sent; nothing was written.
	ErrUnavailable = merry.Sentinel("object service unavailable")
	// ErrUnknown means that the answer to a write was lost; the write may have had effect.
	ErrUnknown = merry.Sentinel("object write outcome unknown")
	// errReplaced means that the object was found with another value after a write that was not answered.
	errReplaced = merry.Sentinel("object holds another value")
)

// writes are the errors that tell the outcome of a write.
var writes = outcome.Sentinels{Unknown: ErrUnknown, NotDone: []error{ErrUnavailable, ErrConflict, ErrNotFound}}

// OutcomeOf returns what is known about a write by its error.
func OutcomeOf(err error) outcome.Outcome { return writes.Of(err) }

// LostError returns the error of a write that may have had effect, one of whose attempts was not answered. It is ErrUnknown,
// and none of the other sentinels whatever the last attempt was answered.
func LostError(last error) error { return writes.Lost(last) }

// Changed reports that a write failed since the object no longer has the expected version, so that the caller has to read
// the object and decide again. It says nothing about the effect of the write, which may have come before the change.
func Changed(err error) bool { return errors.Is(err, ErrConflict) || errors.Is(err, errReplaced) }

// Version is the version of an object; it grows with every write of the object and is never
// reused for the same key.
type Version uint64

// Object is one object of the service.
type Object struct {
	Key     string
	Version Version
	// Value is nil in listings.
	Value []byte
}

// Client holds the calls of the object service. Every call counts against the service's rates.
type Client struct {
	// Get returns the object, or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is expect, and returns the new version.
	Put func(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	// Delete removes the object if its version is expect.
	Delete func(ctx context.Context, key string, expect Version) error
	// List returns up to limit objects without values whose keys start with prefix and are
	// greater than after, in key order.
	List func(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Watch returns the object as soon as its version is greater than after. It returns
	// ErrNotFound or the unchanged object when wait has passed.
	Watch func(ctx context.Context, key string, after Version, wait time.Duration) (Object, error)
}

// confirmAttempts bounds the reads that resolve a lost answer.
const confirmAttempts = 5

// confirmPause is the time between two of these reads.
const confirmPause = 50 * time.Millisecond

// PutConfirmed is c.Put, but after an attempt whose outcome is unknown it reads the object back, compares, and repeats the
// write. The value must be unique to the writer and the attempt (it holds a writer ID and a sequence number), so that an
// equal value proves that the write had effect. Once an attempt may have had effect, it returns ErrUnknown, whatever later
// attempts are answered, unless the object holds the value. Changed reports that the object holds another value.
func PutConfirmed(ctx context.Context, c Client, key string, value []byte, expect Version) (Version, error) {
	version, err := c.Put(ctx, key, value, expect)
	for i := 0; OutcomeOf(err) == outcome.Unknown && i < confirmAttempts; i++ {
		var found error
		if version, found = confirm(ctx, c, key, value, expect); found == nil {
			return version, nil
		}
		err = LostError(found)
		if Changed(err) || clock.Sleep(ctx, confirmPause) != nil {
			break
		}
	}
	if err != nil {
		return 0, merry.Errorf("write %s: %w", key, err)
	}
	return version, nil
}

// confirm reads back an object whose write was not answered, and repeats the write if that had no effect yet: a write in
// transit may still arrive, and at most one of the two can take effect.
func confirm(ctx context.Context, c Client, key string, value []byte, expect Version) (Version, error) {
	o, err := c.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(o.Value, value):
		return o.Version, nil
	case err == nil && o.Version != expect:
		return 0, errReplaced
	case err != nil && !errors.Is(err, ErrNotFound):
		return 0, merry.Errorf("read back: %w", err)
	}
	return c.Put(ctx, key, value, expect)
}
