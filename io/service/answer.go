package service

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrTooLarge means that an answer exceeds the limit of its reader.
	ErrTooLarge = merry.Sentinel("answer is too large")
	// ErrNoRoom means that the answers that a client holds in memory leave no room for another.
	ErrNoRoom = merry.Sentinel("no room for the answer in memory")
)

const (
	// firstBuffer is the size in bytes of the buffer in which the read of an answer begins.
	firstBuffer = 4 << 10
	// smallAnswer is the size in bytes up to which an answer needs no room, so that large answers can't make small
	// ones fail.
	smallAnswer = 64 << 10
)

// room counts the bytes that answers may still take in memory. It is safe for concurrent use.
type room struct {
	mu   sync.Mutex
	free int64
	// takeShared and freeShared take and give back room that is shared with others; nil means that none is.
	takeShared func(n int64) bool
	freeShared func(n int64)
}

// take takes room for a buffer; it reports false if there isn't enough.
func (m *room) take(size int64) bool {
	need := max(size-smallAnswer, 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	if need > m.free || (need > 0 && m.takeShared != nil && !m.takeShared(need)) {
		return false
	}
	m.free -= need
	return true
}

// release gives back what take took for a buffer of this size.
func (m *room) release(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	freed := max(size-smallAnswer, 0)
	m.free += freed
	if freed > 0 && m.freeShared != nil {
		m.freeShared(freed)
	}
}

// ReadAnswer reads the body of an answer of at most limit bytes. A longer one fails with ErrTooLarge, at once if its
// length is declared. The body counts against Options.AnswerBytes until ctx ends, and fails with ErrNoRoom if it
// doesn't fit. Errors are of type *Failure.
func (c *Client) ReadAnswer(ctx context.Context, a Answer, limit int64) ([]byte, error) {
	if a.Body == http.NoBody {
		return nil, nil // an answer to HEAD declares the length of a body that it doesn't have
	}
	if a.Length > limit {
		return nil, &Failure{Sent: true, err: merry.Errorf("%d bytes declared, limit %d: %w", a.Length, limit, ErrTooLarge)}
	}
	if a.Length >= 0 {
		limit = a.Length
	}
	held := heldBody{room: &c.answers}
	if err := held.read(a.Body, limit); err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, held.release)
	return held.b, nil
}

// ReadAnswer reads a body of at most limit bytes. A longer one fails with ErrTooLarge: cut off, it would look whole.
// Errors are of type *Failure.
func ReadAnswer(body io.Reader, limit int64) ([]byte, error) {
	held := heldBody{room: &room{free: math.MaxInt64}}
	if err := held.read(body, limit); err != nil {
		return nil, err
	}
	return held.b, nil
}

// heldBody is a body in a buffer that grows as the body's bytes arrive, and for whose capacity it takes room.
type heldBody struct {
	room *room
	b    []byte
}

// read reads a body of at most limit bytes. After an error it holds nothing.
func (h *heldBody) read(body io.Reader, limit int64) error {
	if err := h.fill(body, limit); err != nil {
		h.release()
		return &Failure{Sent: true, err: merry.Errorf("read answer after %d bytes: %w", len(h.b), err)}
	}
	return nil
}

func (h *heldBody) fill(body io.Reader, limit int64) error {
	for {
		if int64(len(h.b)) == limit {
			return expectEnd(body)
		}
		if len(h.b) == cap(h.b) {
			if err := h.grow(min(max(2*int64(cap(h.b)), firstBuffer), limit)); err != nil {
				return err
			}
		}
		n, err := body.Read(h.b[len(h.b):cap(h.b)])
		h.b = h.b[:len(h.b)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// expectEnd returns ErrTooLarge if a body goes on.
func expectEnd(body io.Reader) error {
	var next [1]byte
	n, err := io.ReadFull(body, next[:])
	switch {
	case n > 0:
		return ErrTooLarge
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

func (h *heldBody) grow(size int64) error {
	if !h.room.take(size) {
		return ErrNoRoom
	}
	b := make([]byte, len(h.b), size)
	copy(b, h.b)
	h.release()
	h.b = b
	return nil
}

// release gives back the room of the buffer, which must not be used afterwards.
func (h *heldBody) release() { h.room.release(int64(cap(h.b))) }
