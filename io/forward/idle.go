package forward

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// idleTimer reports when an upstream is silent for longer than a limit while an attempt waits for it, and when it
// goes on. The time in which the caller takes an event doesn't count. An event is heard, and so are bytes that move, such
// as those of a large answer on a slow link; a byte now and then and empty lines that only keep the connection open are
// not.
type idleTimer struct {
	limit     time.Duration
	onSilence func(silent bool)

	// moved counts the bytes that have arrived since the upstream was heard.
	moved atomic.Int64

	mu    sync.Mutex
	timer *time.Timer
	// heardAt is when the wait for the upstream began, and heldAt when the caller began to take what doesn't count.
	heardAt, heldAt time.Time
	// waiting reports that the attempt waits for data, silent that the silence was reported.
	waiting, silent bool
}

// newIdleTimer returns a timer that waits for data; without a limit it reports nothing.
func newIdleTimer(limit time.Duration, onSilence func(silent bool)) *idleTimer {
	t := &idleTimer{limit: limit, onSilence: onSilence, waiting: true, heardAt: time.Now()}
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

// movedBytes is the number of bytes that count as heard, if they arrive within the limit: one segment of a link, and more
// than comments that keep a connection open.
const movedBytes = 1 << 10

// heard records that the upstream was heard.
func (t *idleTimer) heard() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved.Store(0)
	t.timer.Stop()
	t.waiting = false
	if t.silent {
		t.silent = false
		t.onSilence(false)
	}
}

// await records that the attempt waits for data again, after it was heard.
func (t *idleTimer) await() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = true
	t.heardAt = time.Now()
	t.timer.Reset(t.limit)
}

// hold records that something arrived that doesn't count as heard, and that the caller takes it.
func (t *idleTimer) hold() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved.Store(0)
	t.timer.Stop()
	t.waiting = false
	t.heldAt = time.Now()
}

// resume records that the attempt waits again after hold.
func (t *idleTimer) resume() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.waiting = true
	t.heardAt = t.heardAt.Add(now.Sub(t.heldAt)) // the caller's time doesn't count
	if !t.silent {
		t.timer.Reset(max(t.limit-now.Sub(t.heardAt), 0))
	}
}

// reader returns a reader of the answer's body whose bytes count once enough of them have arrived.
func (t *idleTimer) reader(body io.Reader) io.Reader {
	if t.timer == nil {
		return body
	}
	return &movingReader{Reader: body, idle: t}
}

// movingReader tells an idleTimer of the bytes that it reads.
type movingReader struct {
	io.Reader
	idle *idleTimer
}

// Read implements io.Reader.
func (r *movingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.idle.moved.Add(int64(n)) >= movedBytes {
		r.idle.bytesMoved()
	}
	return n, err
}

// bytesMoved records that movedBytes have arrived, whether the attempt waits for them or not.
func (t *idleTimer) bytesMoved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moved.Store(0)
	if !t.waiting {
		return
	}
	t.heardAt = time.Now()
	t.timer.Reset(t.limit)
	if t.silent {
		t.silent = false
		t.onSilence(false)
	}
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
