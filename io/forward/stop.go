package forward

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// errStopped means that the node ends before the request has its answer.
var errStopped = merry.Sentinel("node stops")

// Stop ends all requests: those whose answer has not begun are told whether they may have run, streams are broken off.
func (f *Forwarder) Stop() { f.stop() }

// limit returns the context of a request, which ends after timeout or with Stop.
func (f *Forwarder) limit(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(f.stopped, func() { cancel(errStopped) })
	ctx, cancelTimeout := context.WithTimeout(ctx, timeout)
	return ctx, func() {
		unlink()
		cancelTimeout()
		cancel(nil)
	}
}

// callerGone reports that a context was cancelled since its caller has gone.
func callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStopped)
}
