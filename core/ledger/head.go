package ledger

import (
	"bytes"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// maxDecodedBytes bounds the memory of one decoded object.
const maxDecodedBytes = 16 << 20

// maxPreviousWriters is the number of previous writers that a head lists.
const maxPreviousWriters = 16

// Writer is one incarnation of a process that holds a shard.
type Writer struct {
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
}

// Written is the last update of a writer that took effect.
type Written struct {
	Writer   Writer `msgpack:"w"`
	Sequence uint64 `msgpack:"s"`
}

// Head is the only object of a shard that is updated conditionally. The object's version is the fence.
// Values are immutable.
type Head struct {
	Last Written `msgpack:"l"`
	// Previous are the last updates of earlier writers, newest first.
	Previous []Written `msgpack:"p,omitempty"`
	// Tail are the open requests and the results that are in no sealed block yet.
	Tail []Record `msgpack:"t,omitempty"`
	// Blocks are sealed blocks that no index covers, oldest first.
	Blocks []BlockRef `msgpack:"b,omitempty"`
	// Indexes cover the older blocks, oldest first.
	Indexes []IndexRef `msgpack:"x,omitempty"`
}

// WithUpdate returns a copy that w writes with the given sequence number.
func (h Head) WithUpdate(w Writer, sequence uint64) Head {
	if h.Last.Writer != w && h.Last.Writer != (Writer{}) {
		previous := append([]Written{h.Last}, h.Previous...)
		h.Previous = previous[:min(len(previous), maxPreviousWriters)]
	}
	h.Previous = slices.DeleteFunc(slices.Clone(h.Previous), func(p Written) bool { return p.Writer == w })
	h.Last = Written{Writer: w, Sequence: sequence}
	return h
}

// Applied is what a head shows about an update whose answer was lost.
type Applied uint8

const (
	// NotApplied means that the update had no effect.
	NotApplied Applied = iota
	// IsApplied means that the update had effect.
	IsApplied
	// MaybeApplied means that too many writers have followed for the head to show it.
	MaybeApplied
)

// Applied reports whether the update of w with the sequence number had effect.
func (h Head) Applied(w Writer, sequence uint64) Applied {
	if h.Last.Writer == w {
		return appliedIf(h.Last.Sequence >= sequence)
	}
	for _, p := range h.Previous {
		if p.Writer == w {
			return appliedIf(p.Sequence >= sequence)
		}
	}
	if len(h.Previous) >= maxPreviousWriters {
		return MaybeApplied
	}
	return NotApplied
}

func appliedIf(ok bool) Applied {
	if ok {
		return IsApplied
	}
	return NotApplied
}

// EncodeHead returns the object's value.
func EncodeHead(h Head) ([]byte, error) { return encode(h) }

// DecodeHead reads an object's value; it fails on anything that EncodeHead does not write.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := decode(value, &h); err != nil {
		return Head{}, merry.Errorf("decode head: %w", err)
	}
	return h, nil
}

var (
	encoder    = newEncoder()
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(0))
)

// newEncoder returns an encoder that has been used once: the first EncodeAll creates its channels,
// which must not belong to the synctest bubble of one test.
func newEncoder() *zstd.Encoder {
	e, _ := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest))
	e.EncodeAll(nil, nil)
	return e
}

func encode(v any) ([]byte, error) {
	plain, err := msgpack.Marshal(v)
	if err != nil {
		return nil, merry.Errorf("encode: %w", err)
	}
	return encoder.EncodeAll(plain, nil), nil
}

func decode(value []byte, v any) error {
	plain, err := decoder.DecodeAll(value, nil)
	if err != nil {
		return merry.Errorf("decompress: %w", err)
	}
	// Skip checks the value without allocating the declared length of its arrays, as Unmarshal would.
	if err := msgpack.NewDecoder(bytes.NewReader(plain)).Skip(); err != nil {
		return merry.Errorf("value is cut short: %w", err)
	}
	if err := msgpack.Unmarshal(plain, v); err != nil {
		return merry.Errorf("unmarshal: %w", err)
	}
	return nil
}
