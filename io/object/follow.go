package object

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mothcart/io/clock"

	"github.com/rs/zerolog"
)

const (
	// watchWait bounds one watch call. A long wait saves calls; an unresponsive connection is found sooner by
	// its keep-alive probes.
	watchWait = 25 * time.Second
	// watchGrace is added to watchWait before an unanswered watch is abandoned.
	watchGrace = 2 * time.Second
	// listTimeout bounds one page of a listing.
	listTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Change is an update of a kind: all its objects after a listing, or the events of a watch.
type Change struct {
	// Listed reports that Objects holds all objects of the kind, as of the revision At.
	Listed  bool
	At      Revision
	Objects []Object
	Events  []Event
}

// FollowerOptions are the settings of a Follower; all but Down are required.
type FollowerOptions struct {
	Client Client
	Kind   string
	// Apply is called for each change; with Verify, an older listing may come after a newer one.
	Apply func(Change)
	// Down is called with true when the service stops answering, and with false when it answers again or the
	// follower pauses.
	Down func(down bool)
	// Verify returns the interval of listings while a watch waits, since a watch may miss changes without
	// an error; nil or 0 means no listings.
	Verify func() time.Duration
	// Paused reports that changes of the kind arrive from another source, so that it need not be followed;
	// nil means never.
	Paused func() bool
	// Gap returns the least time between the starts of two watch calls, so that frequent changes share a call; nil
	// means DefaultWatchGap.
	Gap func() time.Duration
	Log zerolog.Logger
}

// DefaultWatchGap delays a change that follows another one by as much as some calls take.
const DefaultWatchGap = 50 * time.Millisecond

// Follower lists and watches a kind and passes its changes to FollowerOptions.Apply.
type Follower struct {
	opts   FollowerOptions
	cancel context.CancelFunc
	wg     sync.WaitGroup
	down   bool
	// listedAt is the time of the last answered listing during a watch, in nanoseconds of the Unix epoch.
	listedAt atomic.Int64
	// watchedAt is when the last watch call started.
	watchedAt time.Time
	// at is the revision that the next watch starts from; 0 means that a listing comes first.
	at Revision
}

// NewFollower starts to follow a kind.
func NewFollower(opts FollowerOptions) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{opts: opts, cancel: cancel}
	f.wg.Go(func() { f.run(ctx) })
	return f
}

// Close ends the follower.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

func (f *Follower) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.paused() {
			f.at = 0 // a listing after the pause covers the changes during it
			f.setDown(false)
			_ = clock.Sleep(ctx, pausePollInterval)
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.paused() {
			continue // the watch was ended by the pause
		}
		f.report(err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		if errors.Is(err, ErrCompacted) {
			f.at = 0
			continue
		}
		if errors.Is(err, ErrTooLarge) {
			f.at, backoff = 0, maxBackoff // a listing comes in pages
		}
		_ = clock.Sleep(ctx, backoff/2+rand.N(backoff/2)) // ends early only with the context
		backoff = min(2*backoff, maxBackoff)
	}
}

// pausePollInterval is the interval of checks whether a pause has begun or ended.
const pausePollInterval = 200 * time.Millisecond

func (f *Follower) paused() bool { return f.opts.Paused != nil && f.opts.Paused() }

// cancelOnPause cancels a watch when a pause begins.
func (f *Follower) cancelOnPause(ctx context.Context, cancel context.CancelFunc) {
	for f.opts.Paused != nil {
		if clock.Sleep(ctx, pausePollInterval) != nil {
			return
		}
		if f.paused() {
			cancel()
			return
		}
	}
}

// step makes one listing or one watch call.
func (f *Follower) step(ctx context.Context) error {
	if f.at == 0 {
		return f.list(ctx)
	}
	gap := DefaultWatchGap
	if f.opts.Gap != nil {
		gap = f.opts.Gap()
	}
	if err := clock.Sleep(ctx, gap-time.Since(f.watchedAt)); err != nil {
		return err
	}
	f.watchedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	var verify sync.WaitGroup
	defer verify.Wait()
	defer cancel()
	verify.Go(func() { f.verify(ctx) })
	verify.Go(func() { f.cancelOnPause(ctx, cancel) })
	events, at, err := f.opts.Client.Watch(ctx, f.opts.Kind, f.at, watchWait)
	if err != nil {
		return err
	}
	f.at = at
	if len(events) > 0 {
		f.opts.Apply(Change{Events: events})
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, at, err := ListAll(ctx, f.opts.Client, f.opts.Kind)
	if err != nil {
		return err
	}
	f.at = at
	f.opts.Apply(Change{Listed: true, At: at, Objects: objects})
	return nil
}

// verifyPollInterval is the interval of checks whether listings are wanted, while they are not.
const verifyPollInterval = 500 * time.Millisecond

// verify lists the kind at the interval that FollowerOptions.Verify returns, until the context ends.
func (f *Follower) verify(ctx context.Context) {
	for f.opts.Verify != nil {
		interval := f.opts.Verify()
		if clock.Sleep(ctx, cmp.Or(interval, verifyPollInterval)) != nil {
			return
		}
		if interval == 0 || f.opts.Verify() == 0 {
			continue
		}
		objects, at, err := ListAll(ctx, f.opts.Client, f.opts.Kind)
		if err != nil {
			f.opts.Log.Debug().Str("kind", f.opts.Kind).Err(err).Msg("notVerified")
			continue
		}
		f.listedAt.Store(time.Now().UnixNano())
		f.opts.Apply(Change{Listed: true, At: at, Objects: objects})
		f.report(nil) // a watch without events would show only at its end that the service answers
	}
}

// listingFreshness is the time for which an answered listing counts as proof that the service answers.
const listingFreshness = 2 * time.Second

// unresponsiveWatch reports that a watch was not answered although the service answers listings.
func (f *Follower) unresponsiveWatch(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) && time.Since(time.Unix(0, f.listedAt.Load())) < listingFreshness
}

// report logs when the service becomes unreachable and reachable again, and calls FollowerOptions.Down.
func (f *Follower) report(err error) {
	if f.unresponsiveWatch(err) {
		f.opts.Log.Warn().Str("kind", f.opts.Kind).Int64("revision", int64(f.at)).Msg("watchSilent")
		return
	}
	lost := err != nil && !errors.Is(err, ErrCompacted)
	switch {
	case errors.Is(err, ErrCompacted):
		f.opts.Log.Warn().Str("kind", f.opts.Kind).Int64("revision", int64(f.at)).Msg("watchHistoryGone")
	case lost && !f.down:
		f.opts.Log.Warn().Str("kind", f.opts.Kind).Int64("revision", int64(f.at)).Err(err).Msg("objectServiceLost")
	case !lost && f.down:
		f.opts.Log.Info().Str("kind", f.opts.Kind).Int64("revision", int64(f.at)).Msg("objectServiceRegained")
	}
	f.setDown(lost)
}

func (f *Follower) setDown(down bool) {
	changed := f.down != down
	f.down = down
	if changed && f.opts.Down != nil {
		f.opts.Down(down)
	}
}
