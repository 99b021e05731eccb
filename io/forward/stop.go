package forward

import (
	"context"
	"errors"
	"time"
)

// Stop ends all requests: those whose answer has not begun are told whether they may have run, streams are broken off.
func (f *Forwarder) Stop() { f.stop() }

// limit returns the context of a request, which ends after timeout or with Stop.
func (f *Forwarder) limit(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	unlink := context.AfterFunc(f.stopped, cancel)
	return ctx, func() {
		unlink()
		cancel()
	}
}

// callerGone reports that the context of a request was cancelled since its caller has gone.
func (f *Forwarder) callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && f.stopped.Err() == nil
}
