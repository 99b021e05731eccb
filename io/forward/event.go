package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"

	"mothcart/io/service"
)

// maxEventBytes bounds one event of a stream, with the empty lines before it.
const maxEventBytes = 256 << 10

// eventBuffer is the size of the read buffer of a stream, in bytes.
const eventBuffer = 2 << 10

// errPartialEvent means that a stream ended inside an event.
var errPartialEvent = merry.Sentinel("stream ended inside an event")

// Event is one server-sent event of a stream as received, with its closing empty line.
type Event struct {
	// Raw holds the bytes of the event; they are valid until the next event is read.
	Raw []byte
	// ID is the event's ID; empty means none.
	ID string
	// Blank reports that there is neither an ID nor data, but a comment or empty lines.
	Blank bool
}

// Data returns the data of the event, its lines joined by line feeds.
func (e Event) Data() []byte {
	var out []byte
	first := true
	for line := range bytes.SplitSeq(e.Raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		value, ok := field(line, "data")
		if !ok {
			continue
		}
		if !first {
			out = append(out, '\n')
		}
		first = false
		out = append(out, value...)
	}
	return out
}

// isFiller reports that there are only comments, empty lines and fields that mean nothing without data.
func (e Event) isFiller() bool {
	for line := range bytes.SplitSeq(e.Raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		_, isType := field(line, "event")
		_, isRetry := field(line, "retry")
		if len(line) > 0 && line[0] != ':' && !isType && !isRetry {
			return false
		}
	}
	return true
}

// follows reports that the event may come next after the one with an ID. IDs that are numbers increase.
func (e Event) follows(after string) bool {
	last, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return e.ID != "" && e.ID != after
	}
	id, err := strconv.ParseInt(e.ID, 10, 64)
	return err == nil && id > last
}

// field returns the value of a line of an event that has the given name.
func field(line []byte, name string) ([]byte, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(name))
	if !ok || len(rest) == 0 || rest[0] != ':' {
		return nil, false
	}
	return bytes.TrimPrefix(rest[1:], []byte(" ")), true
}

// eventReader splits a stream into events.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next complete event, with the empty lines before it. It returns io.EOF at the end of the stream and
// errPartialEvent if the end is inside an event. Empty lines at the end of the stream are returned like an event.
func (er *eventReader) next() (Event, error) {
	er.buf = er.buf[:0]
	id := ""
	began, blank := false, true
	for {
		start := len(er.buf)
		err := er.line()
		line := bytes.TrimRight(er.buf[start:], "\r\n")
		if err == io.EOF && len(er.buf) > 0 {
			if began || len(line) > 0 {
				return Event{}, errPartialEvent
			}
			return Event{Raw: er.buf, Blank: true}, nil
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if !began {
				continue
			}
			return Event{Raw: er.buf, ID: id, Blank: blank}, nil
		}
		began = true
		if value, ok := field(line, "id"); ok {
			id, blank = string(value), false
		}
		if _, ok := field(line, "data"); ok {
			blank = false
		}
	}
}

// line appends one line to the buffer.
func (er *eventReader) line() error {
	for {
		part, err := er.r.ReadSlice('\n')
		er.buf = append(er.buf, part...)
		if len(er.buf) > maxEventBytes {
			return merry.Errorf("event over %d bytes: %w", maxEventBytes, service.ErrTooLarge)
		}
		if err == nil {
			return nil
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// buffered reports that a further event is complete in the read buffer. The rest of one that is not may never come.
func (er *eventReader) buffered() bool {
	b, err := er.r.Peek(er.r.Buffered())
	if err != nil {
		return false
	}
	b = bytes.TrimLeft(b, "\r\n")
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}
