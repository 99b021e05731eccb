package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/vm"
)

// protocolVersion is the version in the hello; nodes of different versions do not talk.
const protocolVersion = 1

// protocolName opens each hello.
const protocolName = "mothcart"

// maxHelloFrame bounds the first frame of a connection, in bytes.
const maxHelloFrame = 4 << 10

// lengthBytes is the size of the length before each frame.
const lengthBytes = 4

// Class separates small urgent frames from large ones; each class has its own connections.
type Class uint8

const (
	// Control frames are small and never wait behind Bulk frames.
	Control Class = iota + 1
	// Bulk frames may be large.
	Bulk
)

// String returns the name of the class in metrics and logs.
func (c Class) String() string {
	if c == Control {
		return "control"
	}
	return "bulk"
}

type frameKind uint8

const (
	kindHeartbeat frameKind = iota + 1
	kindRequest
	kindResponse
	kindNotice
	kindCancel
)

// hello is the first frame in both directions of a connection.
type hello struct {
	Protocol string
	Version  uint32
	Class    Class
	VM       vm.VM
}

// frame is every later frame.
type frame struct {
	Kind frameKind
	// ID pairs a response or a cancellation with its request.
	ID     uint64
	Method string
	// TimeoutMillis is the time left for a request.
	TimeoutMillis uint32
	// Code is the code of a RemoteError in a response; Body then holds the message.
	Code string
	Body msgpack.RawMessage
}

// encode returns v as a frame with its length before it.
func encode(v any, limit int) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, lengthBytes))
	if err := encodeArrays(&b, v); err != nil {
		return nil, merry.Errorf("encode frame: %w", err)
	}
	n := b.Len() - lengthBytes
	if n > limit {
		return nil, merry.Errorf("frame of %d bytes over %d: %w", n, limit, ErrTooLarge)
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(n))
	return b.Bytes(), nil
}

// encodeArrays encodes the structs of the protocol itself as arrays, without field names.
func encodeArrays(b *bytes.Buffer, v any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(b)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	return enc.Encode(v)
}

// encodeBody encodes a message of a handler; its structs are maps, so that fields may come and go.
func encodeBody(v any) (msgpack.RawMessage, error) {
	var b bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&b)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, merry.Errorf("encode body: %w", err)
	}
	return b.Bytes(), nil
}

// readBytes reads one frame of at most limit bytes.
func readBytes(r io.Reader, limit int) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, merry.Errorf("read frame length: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || n > uint32(limit) {
		return nil, merry.Errorf("frame of %d bytes, limit %d: %w", n, limit, errProtocol)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, merry.Errorf("read frame: %w", err)
	}
	return b, nil
}

// readFrame reads and decodes one frame after the hello.
func readFrame(r io.Reader, limit int) (frame, error) {
	b, err := readBytes(r, limit)
	if err != nil {
		return frame{}, err
	}
	return decodeFrame(b)
}

// decode decodes untrusted bytes.
func decode(b []byte, v any) error {
	if err := checkWellFormed(b); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return merry.Errorf("%w: %w", errProtocol, err)
	}
	return nil
}

// decodeFrame decodes the bytes of a frame after the hello.
func decodeFrame(b []byte) (frame, error) {
	var f frame
	if err := decode(b, &f); err != nil {
		return frame{}, merry.Errorf("decode frame: %w", err)
	}
	if f.Kind < kindHeartbeat || f.Kind > kindCancel {
		return frame{}, merry.Errorf("frame kind %d: %w", f.Kind, errProtocol)
	}
	return f, nil
}

// decodeHello decodes the bytes of a hello and checks that this version can talk to it.
func decodeHello(b []byte) (hello, error) {
	var h hello
	if err := decode(b, &h); err != nil {
		return hello{}, merry.Errorf("decode hello: %w", err)
	}
	switch {
	case h.Protocol != protocolName:
		return hello{}, merry.Errorf("hello of protocol %q: %w", h.Protocol, errProtocol)
	case h.Version != protocolVersion:
		return hello{}, merry.Errorf("hello of version %d, not %d: %w", h.Version, protocolVersion, errProtocol)
	case h.Class != Control && h.Class != Bulk:
		return hello{}, merry.Errorf("hello of class %d: %w", h.Class, errProtocol)
	case h.VM.ID == "":
		return hello{}, merry.Errorf("hello without VM: %w", errProtocol)
	}
	return h, nil
}
