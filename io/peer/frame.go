package peer

import (
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/vm"
	"mothcart/io/msgframe"
)

// protocolVersion is the version in the hello; nodes of different versions refuse to connect.
const protocolVersion = 1

// protocolName is the first field of each hello.
const protocolName = "mothcart"

// maxHelloFrame bounds the first frame of a connection, in bytes.
const maxHelloFrame = 4 << 10

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

// frame is any frame after the hello.
type frame struct {
	Kind frameKind
	// ID pairs a response or a cancellation with its request.
	ID     uint64
	Method string
	// TimeoutMillis is the remaining time of a request; with 0 the receiver applies its CallTimeout.
	TimeoutMillis uint32
	// Code is the code of a RemoteError in a response, with the message in Body; empty means success.
	Code string
	Body msgpack.RawMessage
}

// readFrame reads and decodes one frame after the hello.
func readFrame(r io.Reader, limit int) (frame, error) {
	b, err := msgframe.ReadBytes(r, limit)
	if err != nil {
		return frame{}, err
	}
	return decodeFrame(b)
}

// decodeFrame decodes the bytes of a frame after the hello.
func decodeFrame(b []byte) (frame, error) {
	var f frame
	if err := msgframe.Decode(b, &f); err != nil {
		return frame{}, merry.Errorf("decode frame: %w", err)
	}
	if f.Kind < kindHeartbeat || f.Kind > kindCancel {
		return frame{}, merry.Errorf("frame kind %d: %w", f.Kind, msgframe.ErrProtocol)
	}
	return f, nil
}

// decodeHello decodes the bytes of a hello and checks that its protocol and version are compatible.
func decodeHello(b []byte) (hello, error) {
	var h hello
	if err := msgframe.Decode(b, &h); err != nil {
		return hello{}, merry.Errorf("decode hello: %w", err)
	}
	switch {
	case h.Protocol != protocolName:
		return hello{}, merry.Errorf("hello of protocol %q: %w", h.Protocol, msgframe.ErrProtocol)
	case h.Version != protocolVersion:
		return hello{}, merry.Errorf("hello of version %d, not %d: %w", h.Version, protocolVersion, msgframe.ErrProtocol)
	case h.Class != Control && h.Class != Bulk:
		return hello{}, merry.Errorf("hello of class %d: %w", h.Class, msgframe.ErrProtocol)
	case h.VM.ID == "":
		return hello{}, merry.Errorf("hello without VM: %w", msgframe.ErrProtocol)
	}
	return h, nil
}
