package link

import (
	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/io/msgframe"
)

const (
	// packFrom is the size in bytes from which the body of a Notice is compressed.
	packFrom = 4 << 10
	// maxUnpacked bounds the body of a compressed notice in bytes.
	maxUnpacked = 16 << 20
)

// Notice is an encoded message without an answer. It can be sent over many connections, which share its bytes.
type Notice struct {
	frame []byte
}

// NewNotice encodes a notice; it compresses a large one.
func NewNotice(method string, msg any) (Notice, error) {
	body, err := msgframe.EncodeBody(msg)
	if err != nil {
		return Notice{}, merry.Errorf("encode %s: %w", method, err)
	}
	f := frame{Kind: kindNotice, Method: method, Body: body}
	if len(body) >= packFrom {
		if f.Body, err = msgframe.EncodeBody(s2.Encode(nil, body)); err != nil {
			return Notice{}, merry.Errorf("encode packed %s: %w", method, err)
		}
		f.Kind = kindPackedNotice
	}
	b, err := msgframe.Encode(f, maxFrame)
	if err != nil {
		return Notice{}, merry.Errorf("encode %s: %w", method, err)
	}
	return Notice{frame: b}, nil
}

// Size returns the number of bytes that the notice takes on a connection.
func (n Notice) Size() int { return len(n.frame) }

// Send sends a notice; it is lost if the connection ends.
func (c *Conn) Send(n Notice) { c.enqueue(n.frame) }

// unpack returns the body of a compressed notice. It calls hold with the bytes that the notice takes.
func unpack(packed msgpack.RawMessage, hold func(n int) error) (msgpack.RawMessage, error) {
	var b []byte
	if err := msgpack.Unmarshal(packed, &b); err != nil {
		return nil, merry.Errorf("read packed body: %w", err)
	}
	n, err := s2.DecodedLen(b)
	if err != nil {
		return nil, merry.Errorf("read length of packed body: %w", err)
	}
	if n > maxUnpacked {
		return nil, merry.Errorf("packed body of %d bytes, limit %d: %w", n, maxUnpacked, msgframe.ErrTooLarge)
	}
	if err := hold(len(b) + n); err != nil {
		return nil, merry.Errorf("unpack body: %w", err)
	}
	body, err := s2.Decode(nil, b)
	if err != nil {
		return nil, merry.Errorf("unpack body: %w", err)
	}
	if err := msgframe.CheckWellFormed(body); err != nil {
		return nil, merry.Errorf("unpack body: %w", err)
	}
	return body, nil
}
