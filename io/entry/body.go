package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"mothcart/core/site"
	"mothcart/io/forward"
	"mothcart/io/held"
)

const (
	// bodyTimeout bounds the time without bodyStep bytes of a body, so that senders that don't send hold no memory. It
	// is longer than any caller waits for an online answer.
	bodyTimeout = 10 * time.Second
	// bodyStep is the number of bytes that extend the time of a body, and the size of its first buffer.
	bodyStep = 16 << 10
	// requestBytes is what a request in progress takes beside its body: buffers of the connections to the caller and the
	// upstream, and stacks.
	requestBytes = 48 << 10
	// jobCopies is how often the body of a job is held while it is stored: as it arrived, decoded and encoded.
	jobCopies = 3
	// memoryRetryAfter is the Retry-After of a request for which there is no memory: the time in which a load balancer
	// learns that the node is full.
	memoryRetryAfter = time.Second
)

// errStopping means that the process ends before the body has come.
var errStopping = errors.New("the node is stopping")

// errNoMemory means that the process may hold no more bytes.
var errNoMemory = errors.New("no memory for the body")

// bodyLimit returns the largest size of a body in bytes.
func bodyLimit(cfg site.Config) int64 {
	if cfg.Limits.BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return cfg.Limits.BodyBytes
}

// readBody reads the complete body. The body counts as held until free is called. A body is read only if there is memory for
// all of it, as far as its length is declared.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, cfg site.Config, route site.Route) (b []byte, free func(), err error) {
	body := &body{budget: h.opts.Held, copies: 1, limit: bodyLimit(cfg), conn: http.NewResponseController(w), timeouts: true, stopped: h.stopped}
	if route.Kind == site.Batch {
		body.copies = jobCopies
	}
	defer context.AfterFunc(h.stopped, body.stop)()
	if err := body.read(w, r); err != nil {
		if h.stopped.Err() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			err = errStopping
		}
		return nil, body.free, err
	}
	return body.b, body.free, nil
}

// bodyStatus returns the status of the answer to a request whose body was not read.
func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory), errors.Is(err, errStopping):
		return http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// refuseBody answers a request whose body was not read.
func (h *Handler) refuseBody(w http.ResponseWriter, id string, limit int64, err error) {
	// Close the connection instead of reading the rest of the body.
	w.Header().Set("Connection", "close")
	status := bodyStatus(err)
	if status == http.StatusServiceUnavailable {
		outcome := "refused:memory"
		if errors.Is(err, errStopping) {
			outcome = "refused:stopping"
		}
		h.opts.Log.Info().Str("request", id).Int("status", status).Str("outcome", outcome).Msg("requestDone")
		forward.Refuse(w, memoryRetryAfter)
		return
	}
	h.opts.Log.Info().Str("request", id).Int64("limit", limit).Int("status", status).Err(err).Str("outcome", "badBody").Msg("requestDone")
	http.Error(w, "body can't be read", status)
}

// refuseUnread answers a request to a batch route whose body was not read. An earlier attempt may still store its job: a status
// that promises that no part of the job runs needs the home's word.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, cfg site.Config, s *submitted, err error) {
	status, reason := bodyStatus(err), "badBody"
	switch status {
	case http.StatusServiceUnavailable:
		reason = "noMemory"
		if errors.Is(err, errStopping) {
			reason = "stopping"
		}
	case http.StatusRequestTimeout:
	default:
		h.refuseBody(w, s.job.ID, bodyLimit(cfg), err)
		return
	}
	w.Header().Set("Connection", "close")
	s.attempt = h.opts.Home.BeginSubmission(s.job.ID)
	ctx := context.WithoutCancel(r.Context()) // a body that doesn't arrive in time ends the request's context
	h.refuseJob(ctx, s, reason, status, memoryRetryAfter, err)
}

// body is the body of a request, for which room is taken.
type body struct {
	budget *held.Budget
	// limit is the largest size in bytes, copies is how often a body is held, and taken the room that it has.
	limit, copies, taken int64
	conn                 *http.ResponseController
	// stopped ends when the process does; the body is not awaited then.
	stopped context.Context
	b       []byte

	mu sync.Mutex
	// timeouts reports that the connection takes deadlines, and that the body has not been read to its end.
	timeouts bool
}

// read reads a body.
func (b *body) read(w http.ResponseWriter, r *http.Request) error {
	declared := min(r.ContentLength, b.limit)
	if !b.ensure(max(declared, 0)) {
		return errNoMemory
	}
	first := declared + 1 // one more shows the end
	if declared < 0 {
		first = bodyStep / 4
	}
	b.b = make([]byte, 0, min(first, bodyStep))
	b.extend()
	err := b.fill(http.MaxBytesReader(w, r.Body, b.limit), max(declared, 0)+1)
	if err == nil {
		err = b.finish()
	}
	return err
}

// fill reads to the end; the buffer grows with the bytes that have arrived, at first up to a size.
func (b *body) fill(r io.Reader, first int64) error {
	arrived := 0
	for {
		if size := int64(len(b.b)); size == int64(cap(b.b)) {
			most := b.limit + 1 // one more shows that the body is too large
			if size < first {
				most = first
			}
			size = min(2*size, most)
			if !b.ensure(size - 1) {
				return errNoMemory
			}
			b.b = append(make([]byte, 0, size), b.b...)
		}
		n, err := r.Read(b.b[len(b.b):cap(b.b)])
		b.b = b.b[:len(b.b)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if arrived += n; arrived >= bodyStep {
			arrived = 0
			b.extend()
		}
	}
}

// ensure takes the room for a body of a size in bytes.
func (b *body) ensure(size int64) bool {
	more := requestBytes + size*b.copies - b.taken
	if more <= 0 {
		return true
	}
	if !b.budget.Take(more) {
		return false
	}
	b.taken += more
	return true
}

// extend gives the sender time for more, unless the process stops.
func (b *body) extend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	deadline := time.Now().Add(bodyTimeout)
	if b.stopped.Err() != nil {
		deadline = time.Unix(1, 0)
	}
	b.timeouts = b.timeouts && b.conn.SetReadDeadline(deadline) == nil
}

// stop ends a read in progress, and those that follow.
func (b *body) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timeouts {
		_ = b.conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has ended
	}
}

// finish ends the time limit: what is read from now on is not the body.
func (b *body) finish() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.timeouts {
		return nil
	}
	b.timeouts = false
	return b.conn.SetReadDeadline(time.Time{})
}

// free gives back the room of the body, which must not be used afterwards.
func (b *body) free() { b.budget.Free(b.taken) }
