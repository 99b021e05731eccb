// Package clock provides the clock that the system's decisions use.
//
// The clock also runs while the VM is suspended, in contrast to the monotonic clock of time.Now, which stops,
// and it never jumps, in contrast to the wall clock, which may be set. Times are comparable only on one VM and
// until it restarts.
//
// Usage:
//
//	now := clock.Now()
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started, as a time.Time counted from the Unix epoch.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without CLOCK_BOOTTIME, fall back to the monotonic clock; it only misses suspensions.
		return time.Unix(0, int64(time.Since(start)))
	}
	return time.Unix(ts.Unix())
}

// start is the origin of the fallback clock.
var start = time.Now()

// Sleep waits for d or until ctx ends; it returns the error of ctx in that case.
func Sleep(ctx context.Context, d time.Duration) error {
	// The race detector of Go 1.26 crashes on a timer that is due at once in virtual time.
	t := time.NewTimer(max(d, time.Nanosecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
