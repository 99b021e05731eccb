package forward

import (
	"sync"
	"time"
)

// idleTimer reports when an upstream is silent for longer than a limit while an attempt waits for it, and when it
// goes on. The time in which the caller takes an event doesn't count.
type idleTimer struct {
	limit     time.Duration
	onSilence func(silent bool)

	mu    sync.Mutex
	timer *time.Timer
	// waiting reports that the attempt waits for data, silent that the silence was reported.
	waiting, silent bool
}

// newIdleTimer returns a timer that waits for data; without a limit it reports nothing.
func newIdleTimer(limit time.Duration, onSilence func(silent bool)) *idleTimer {
	t := &idleTimer{limit: limit, onSilence: onSilence, waiting: true}
	if limit > 0 {
		t.timer = time.AfterFunc(limit, t.fire)
	}
	return t
}

func (t *idleTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting && !t.silent {
		t.silent = true
		t.onSilence(true)
	}
}

// heard records that data has arrived.
func (t *idleTimer) heard() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.waiting = false
	if t.silent {
		t.silent = false
		t.onSilence(false)
	}
}

// await records that the attempt waits for data again.
func (t *idleTimer) await() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = true
	t.timer.Reset(t.limit)
}

// stop ends the timer; it reports nothing any more.
func (t *idleTimer) stop() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.waiting = false
}
