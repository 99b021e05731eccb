// Package msgframe reads and writes length-prefixed msgpack frames, which the processes of a site send to
// each other.
//
// Usage:
//
//	b, err := msgframe.Encode(message, limit)
//	_, err = conn.Write(b)
//
//	b, err := msgframe.ReadBytes(conn, limit)
//	err = msgframe.Decode(b, &message)
package msgframe

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// LengthBytes is the size of the length before each frame.
const LengthBytes = 4

// firstBuffer is the size in bytes of the buffer in which the read of a frame begins; the buffer of a larger frame
// doubles as the bytes arrive.
const firstBuffer = 4 << 10

var (
	// ErrTooLarge means that a frame exceeds the limit of its connection; nothing was sent.
	ErrTooLarge = merry.Sentinel("frame over the limit of its class")
	// ErrProtocol means that the other side sent something other than a valid frame.
	ErrProtocol = merry.Sentinel("protocol error")
)

// Encode returns v as a frame with its length before it.
func Encode(v any, limit int) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, LengthBytes))
	if err := EncodeArrays(&b, v); err != nil {
		return nil, merry.Errorf("encode frame: %w", err)
	}
	n := b.Len() - LengthBytes
	if n > limit {
		return nil, merry.Errorf("frame of %d bytes exceeds the limit of %d: %w", n, limit, ErrTooLarge)
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(n))
	return b.Bytes(), nil
}

// EncodeArrays encodes a message of the protocol itself, with structs as arrays without field names.
func EncodeArrays(b *bytes.Buffer, v any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(b)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	return enc.Encode(v)
}

// EncodeBody encodes a request or response of a handler. Structs are encoded as maps, so that fields can be
// added and removed.
func EncodeBody(v any) (msgpack.RawMessage, error) {
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

// ReadBytes reads one frame of at most limit bytes.
func ReadBytes(r io.Reader, limit int) ([]byte, error) {
	return ReadGrowing(r, limit, func(int) error { return nil })
}

// ReadGrowing is ReadBytes that calls grow with the size of each buffer before it is made, and returns its error.
func ReadGrowing(r io.Reader, limit int, grow func(n int) error) ([]byte, error) {
	var length [LengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, merry.Errorf("read frame length: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || n > uint32(limit) {
		return nil, merry.Errorf("frame of %d bytes, limit %d: %w", n, limit, ErrProtocol)
	}
	var b []byte
	for read := 0; read < int(n); read = len(b) {
		size := min(max(2*read, firstBuffer), int(n))
		if err := grow(size); err != nil {
			return nil, merry.Errorf("read frame of %d bytes: %w", n, err)
		}
		bigger := make([]byte, size)
		copy(bigger, b)
		b = bigger
		_, err := io.ReadFull(r, b[read:])
		if err == io.EOF && read > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, merry.Errorf("read frame: %w", err)
		}
	}
	return b, nil
}

// Decode decodes untrusted bytes into v; it first checks that they are well-formed.
func Decode(b []byte, v any) error {
	if err := CheckWellFormed(b); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return merry.Errorf("%w: %w", ErrProtocol, err)
	}
	return nil
}
