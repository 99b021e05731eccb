package forward

import (
	"bytes"
	"cmp"
	"io"
	"sync"

	"mothcart/io/held"
)

const (
	// readAheadBytes bounds what is read ahead of one caller, in bytes: the text of nearly every stream.
	readAheadBytes = 256 << 10
	// readAheadStep is the number of bytes that are read at a time, and for which room is taken.
	readAheadStep = 8 << 10
)

// readAhead reads a stream of an upstream. Once its caller has fallen behind, it reads on in the background into a
// bounded buffer, since an upstream ends a stream that stays unread for some seconds. One goroutine reads; it is the one
// that calls start.
type readAhead struct {
	body   io.Reader
	budget *held.Budget

	mu      sync.Mutex
	changed sync.Cond
	// buf holds what was read ahead, and taken is what was taken from the budget for it, in bytes.
	buf   bytes.Buffer
	taken int64
	err   error
	// started reports that a goroutine reads, waiting that Read waits for it, closed that it must end.
	started, waiting, closed bool
}

func newReadAhead(body io.Reader, b *held.Budget) *readAhead {
	r := &readAhead{body: body, budget: b}
	r.changed.L = &r.mu
	return r
}

// start starts to read in the background.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started || r.closed {
		return
	}
	r.started = true
	go r.run()
}

func (r *readAhead) run() {
	p := make([]byte, readAheadStep)
	for r.awaitRoom() {
		n, err := r.body.Read(p)
		if !r.add(p[:n], err) {
			return
		}
	}
}

// awaitRoom waits until more may be read, and reports false if the stream was closed. Without room in the budget it waits
// until the caller has taken what was read ahead.
func (r *readAhead) awaitRoom() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed {
		if next := r.buf.Len() + readAheadStep; (r.waiting && r.buf.Len() == 0) || (next <= readAheadBytes && r.reserve(readAheadStep+bufferGrowth*int64(next))) {
			return true
		}
		r.changed.Wait()
	}
	return false
}

// bufferGrowth is the factor by which a buffer may be larger than its content.
const bufferGrowth = 2

// reserve takes room for a buffer of a size in bytes.
func (r *readAhead) reserve(size int64) bool {
	for r.taken < size {
		if !r.budget.TakeSpare(readAheadStep) {
			return false
		}
		r.taken += readAheadStep
	}
	return true
}

// add adds bytes that were read and reports whether more are to be read.
func (r *readAhead) add(p []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed.Broadcast()
	if r.closed {
		return false
	}
	r.buf.Write(p)
	r.err = err
	return err == nil
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	if !r.started {
		r.mu.Unlock()
		return r.body.Read(p)
	}
	defer r.mu.Unlock()
	for r.buf.Len() == 0 && r.err == nil && !r.closed {
		r.waiting = true
		r.changed.Broadcast()
		r.changed.Wait()
	}
	r.waiting = false
	if r.buf.Len() == 0 {
		return 0, cmp.Or(r.err, io.ErrClosedPipe)
	}
	n, _ := r.buf.Read(p) // never fails, since there are bytes
	r.changed.Broadcast()
	return n, nil
}

// close ends the reading in the background and gives back the room.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.buf = bytes.Buffer{}
	r.budget.Free(r.taken)
	r.taken = 0
	r.changed.Broadcast()
}
