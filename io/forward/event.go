package forward

import (
	"bufio"
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

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

// next returns the next complete event. It returns io.EOF at the end of the stream and errPartialEvent
// if the end is inside an event.
func (er *eventReader) next() (Event, error) {
	er.buf = er.buf[:0]
	id := ""
	for {
		start := len(er.buf)
		if err := er.line(); err != nil {
			if err == io.EOF && len(er.buf) > 0 {
				return Event{}, errPartialEvent
			}
			return Event{}, err
		}
		line := bytes.TrimRight(er.buf[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				continue // an empty line between events belongs to the next event
			}
			return Event{Raw: er.buf, ID: id}, nil
		}
		if value, ok := field(line, "id"); ok {
			id = string(value)
		}
	}
}

// line appends one line to the buffer.
func (er *eventReader) line() error {
	for {
		part, err := er.r.ReadSlice('\n')
		er.buf = append(er.buf, part...)
		if len(er.buf) > maxEventBytes {
			return merry.Errorf("stream event exceeds %d bytes", maxEventBytes)
		}
		if err == nil {
			return nil
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// buffered reports that further bytes of the stream are in the read buffer.
func (er *eventReader) buffered() bool { return er.r.Buffered() > 0 }
