package published

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
	"mothcart/core/outcome"
	"mothcart/core/publication"
	"mothcart/io/clock"
	"mothcart/io/store"
)

const (
	// maxAttempts bounds the updates of the root that one apply attempts when other updates race with it.
	maxAttempts = 10
	// staleRetries bounds the repeated reads while the object service returns a root older than the one
	// in force.
	staleRetries = 20
	// staleRetryPause is the time between two of these reads.
	staleRetryPause = 50 * time.Millisecond
)

var (
	// ErrUnavailable means that the object service could not be reached; nothing was published.
	ErrUnavailable = merry.Sentinel("not published: the object service is unavailable")
	// ErrOutcomeUnknown means that the update was sent and its outcome could not be read back;
	// the audit trail shows it later, under the entry ID in the Result.
	ErrOutcomeUnknown = merry.Sentinel("outcome unknown: the object service is unavailable")
	// ErrBusy means that another update of the root came first at every attempt, or that another apply on this
	// VM did not end in time; nothing was published.
	ErrBusy = merry.Sentinel("not published: too many racing updates")
)

// applies are the errors that tell the outcome of an apply.
var applies = outcome.Sentinels{Unknown: ErrOutcomeUnknown, NotDone: []error{ErrUnavailable, ErrBusy, publication.ErrTooLarge}}

// OutcomeOf returns what is known about an apply by its error.
func OutcomeOf(err error) outcome.Outcome { return applies.Of(err) }

// Result is the answer to an apply that reached a decision.
type Result struct {
	// ID names the apply in the audit trail; it is zero for an unchanged set.
	ID publication.EntryID
	// Outcome is one of the outcomes of package publication.
	Outcome string
	// From is the generation that the set was compared with, Generation the one in force afterwards.
	From, Generation uint64
	// Rebased reports that the change was merged with others published since From.
	Rebased bool
	// Changes are the changes that were published.
	Changes []config.Change
	// Problems are the reasons of a refusal.
	Problems []config.Problem
	// Conflicts are the reasons of a conflict.
	Conflicts []config.Conflict
}

// publisher is the part of a Follower that publishes.
type publisher struct {
	writer   string
	sequence atomic.Uint64
	// applying is held during an apply: one at a time runs on this VM.
	applying ctxMutex

	refusalsMu sync.Mutex
	refusals   []publication.Entry
	dropped    int
	flushedAt  time.Time
}

// request is one apply in progress.
type request struct {
	id       publication.EntryID
	now      time.Time
	operator string
	set      config.Set
	// base is the set of generation from, on which the operator made the change.
	from     uint64
	base     config.Set
	baseRead bool
}

// Apply checks the set and publishes it. The time now goes into the audit trail. With expect, the
// change is considered to be based on that generation; without it, on the one published now. If another
// set was published since, the two changes are merged where they do not overlap; else the outcome is a
// conflict.
//
// It returns ErrUnavailable, ErrOutcomeUnknown or ErrBusy; every decision is a Result.
func (f *Follower) Apply(ctx context.Context, now time.Time, operator string, set config.Set, expect *uint64) (Result, error) {
	if err := f.applying.lock(ctx); err != nil {
		return Result{}, merry.Errorf("wait for another apply: %w: %w", ErrBusy, err)
	}
	defer f.applying.unlock()
	req := &request{
		id:       publication.EntryID{Writer: f.writer, Sequence: f.sequence.Add(1)},
		now:      now,
		operator: operator,
		set:      set,
	}
	w := f.newBlockWriter(req.id)
	for range maxAttempts {
		result, done, err := f.attempt(ctx, req, w, expect)
		if err != nil {
			if !errors.Is(err, ErrOutcomeUnknown) {
				f.discard(w, publication.Root{})
			}
			return Result{ID: req.id, From: req.from}, err
		}
		if done {
			return result, nil
		}
	}
	f.discard(w, publication.Root{})
	return Result{ID: req.id, From: req.from}, merry.Errorf("%d attempts: %w", maxAttempts, ErrBusy)
}

// attempt reads the root, decides, and updates the root. It reports done unless another update
// of the root came first.
func (f *Follower) attempt(ctx context.Context, req *request, w *blockWriter, expect *uint64) (Result, bool, error) {
	root, version, err := f.freshRoot(ctx)
	if err != nil {
		return Result{}, false, err
	}
	theirs, err := f.loadExclusive(ctx, root)
	if err != nil {
		return Result{}, false, merry.Errorf("load generation %d: %w: %w", root.Generation, ErrUnavailable, err)
	}
	candidate, result := f.decide(req, root, theirs, expect)
	if result.Outcome != publication.OutcomeAccepted {
		if result.Outcome != publication.OutcomeUnchanged {
			f.recordRefusal(ctx, req, result)
		}
		f.discard(w, root)
		return result, true, nil
	}
	refusals := f.pendingRefusals()
	next, err := f.prepare(ctx, req, w, withEntries(root, refusals), candidate, result)
	if err != nil {
		return Result{}, false, err
	}
	committed, err := f.commit(ctx, update{id: req.id, base: root, next: next, version: version})
	if err != nil || !committed {
		return Result{}, false, err
	}
	result.Generation = next.Generation
	f.removeRecorded(refusals)
	f.installOwn(ctx, next, w)
	f.discard(w, next)
	f.deleteUnused(root)
	return result, true, nil
}

// freshRoot reads the root from the object service, and reads again while the answer is stale.
func (f *Follower) freshRoot(ctx context.Context) (publication.Root, store.Version, error) {
	for range staleRetries {
		root, data, version, err := f.readRoot(ctx)
		if err != nil {
			return root, 0, merry.Errorf("%w: %w", ErrUnavailable, err)
		}
		if data == nil && f.announcement().Revision == 0 {
			return root, version, nil
		}
		err = f.adopt(ctx, data, f.fromAnywhere)
		if err == nil {
			return root, version, nil
		}
		if !errors.Is(err, ErrStale) && !errors.Is(err, publication.ErrCorrupt) {
			return root, 0, merry.Errorf("%w: %w", ErrUnavailable, err)
		}
		if clock.Sleep(ctx, staleRetryPause) != nil {
			break
		}
	}
	return publication.Root{}, 0, merry.Errorf("only stale reads: %w", ErrUnavailable)
}
