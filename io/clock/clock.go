// Package clock tells the time that decisions are made by.
//
// The time runs on while the VM is suspended and never jumps, unlike the monotonic clock that
// time.Now carries, which stops, and the time of day, which is set. Times compare only within one
// run of a VM.
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

// Now returns the time since the VM was started, as a time of the Unix epoch.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock the monotonic time is the nearest; it only misses suspensions.
		return time.Unix(0, int64(time.Since(start)))
	}
	return time.Unix(ts.Unix())
}

// start is the origin of the monotonic time.
var start = time.Now()

// Sleep waits for a time or until the context ends, whose error it then returns.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(max(d, time.Nanosecond)) // the race detector of Go 1.26 crashes on a timer that is due at once in virtual time
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
