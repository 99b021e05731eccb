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
	// watchWait bounds one watch call; a longer wait saves calls, and keep-alive probes of the
	// connection find a silent one sooner.
	watchWait = 25 * time.Second
	// watchGrace is added to watchWait before an unanswered watch is given up.
	watchGrace = 2 * time.Second
	// listTimeout bounds one page of a listing.
	listTimeout = 3 * time.Second
	// firstBackoff and lastBackoff bound the pause after failed calls, which doubles each time.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 800 * time.Millisecond
)

// Change is what a follower learned: the whole kind after a listing, or the events of a watch.
type Change struct {
	// Listed reports that Objects is the whole kind, as it was at the revision At.
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
	// Down is called with true when the service stops answering and with false when it answers again.
	Down func(down bool)
	// Verify returns the time between listings beside a watch that waits, since a watch may miss
	// changes without notice; nil or 0 means none.
	Verify func() time.Duration
	// Paused reports that the kind is known from elsewhere and need not be followed; nil means never.
	Paused func() bool
	Log    zerolog.Logger
}

// Follower keeps a copy of a kind up to date.
type Follower struct {
	opts   FollowerOptions
	cancel context.CancelFunc
	done   sync.WaitGroup
	down   bool
	// listedAt is when a listing beside the watch was answered last, in nanoseconds of the Unix epoch.
	listedAt atomic.Int64
	// at is the revision that the next watch starts from; 0 asks for a listing.
	at Revision
}

// NewFollower starts to follow a kind.
func NewFollower(opts FollowerOptions) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{opts: opts, cancel: cancel}
	f.done.Go(func() { f.run(ctx) })
	return f
}

// Close ends the follower.
func (f *Follower) Close() {
	f.cancel()
	f.done.Wait()
}

func (f *Follower) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if f.paused() {
			f.at = 0 // what happens meanwhile is listed afterwards
			_ = clock.Sleep(ctx, pausePoll)
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
			backoff = firstBackoff
			continue
		}
		if errors.Is(err, ErrCompacted) {
			f.at = 0
			continue
		}
		_ = clock.Sleep(ctx, backoff/2+rand.N(backoff/2)) // ends early only with the context
		backoff = min(2*backoff, lastBackoff)
	}
}

// pausePoll is the time between two looks whether a pause has begun or ended.
const pausePoll = 200 * time.Millisecond

func (f *Follower) paused() bool { return f.opts.Paused != nil && f.opts.Paused() }

// endAtPause cancels a watch when a pause begins.
func (f *Follower) endAtPause(ctx context.Context, cancel context.CancelFunc) {
	for f.opts.Paused != nil {
		if clock.Sleep(ctx, pausePoll) != nil {
			return
		}
		if f.paused() {
			cancel()
			return
		}
	}
}

// step makes one listing or one watch.
func (f *Follower) step(ctx context.Context) error {
	if f.at == 0 {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	var verify sync.WaitGroup
	defer verify.Wait()
	defer cancel()
	verify.Go(func() { f.verify(ctx) })
	verify.Go(func() { f.endAtPause(ctx, cancel) })
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

// verifyIdle is the time between two looks whether to verify.
const verifyIdle = 500 * time.Millisecond

// verify lists the kind from time to time until the context ends.
func (f *Follower) verify(ctx context.Context) {
	for f.opts.Verify != nil {
		interval := f.opts.Verify()
		if clock.Sleep(ctx, cmp.Or(interval, verifyIdle)) != nil {
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
		f.report(nil) // a watch without events would tell only at its end
	}
}

// listedFor is how long a listing shows that the service answers.
const listedFor = 2 * time.Second

// silent reports that a watch was not answered though the service answers listings.
func (f *Follower) silent(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) && time.Since(time.Unix(0, f.listedAt.Load())) < listedFor
}

// report logs when the service is lost and regained.
func (f *Follower) report(err error) {
	if f.silent(err) {
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
	if lost != f.down && f.opts.Down != nil {
		f.opts.Down(lost)
	}
	f.down = lost
}
