// Package publication is the format in which a configuration is stored: content-addressed blocks
// and one small root that refers to them.
//
// A configuration is published by one conditional update of the root. The root holds the generation,
// the references to the blocks of the set, and the latest audit entries; older entries are stored in a
// chain of blocks that the root refers to. As a change and its audit entry are written in the same
// update, the entry can neither be lost nor contradict the change.
//
// Accounts are distributed over blocks by the hash of their names, so that a change of one account in a
// large set sends one block. The number of blocks follows from the number of accounts.
//
// Usage:
//
//	parts, err := publication.Split(set, nil)
//	root := base.WithPublished(parts, publicationNumber, entry)
//	data, err := root.Encode()
//	root, err = publication.DecodeRoot(data)
//	set = publication.Join(objects, shards) // decoded by DecodeObjects and DecodeAccounts
package publication

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

// Keys of the object service.
const (
	// RootKey is the key of the root.
	RootKey = "config/root"
	// BlockPrefix precedes the keys of blocks.
	BlockPrefix = "config/blocks/"
)

// MaxBlockBytes bounds a compressed block; the object service holds values of up to 1 MiB.
const MaxBlockBytes = 1_000_000

// windowBytes is the window size of the compressor.
const windowBytes = 1 << 20

// maxPlainBytes bounds a block after decompression.
const maxPlainBytes = 64 << 20

var (
	// ErrCorrupt means that data is not a root or block of this format.
	ErrCorrupt = merry.Sentinel("corrupt configuration data")
	// ErrTooLarge means that a part of the set doesn't fit into one block.
	ErrTooLarge = merry.Sentinel("configuration too large")
)

// Digest is the SHA-256 of a block's content before compression.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// EncodeMsgpack writes the digest as bytes.
func (d Digest) EncodeMsgpack(enc *msgpack.Encoder) error { return enc.EncodeBytes(d[:]) }

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (d *Digest) DecodeMsgpack(dec *msgpack.Decoder) error {
	b, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b) != len(d) {
		return errors.New("digest has a wrong length")
	}
	copy(d[:], b)
	return nil
}

// BlockRef refers to a block.
type BlockRef struct {
	Digest Digest `json:"digest" msgpack:"d"`
	// Publication distinguishes the keys of equal blocks that concurrent publishers write, so that
	// each publisher can delete its own.
	Publication uint64 `json:"publication" msgpack:"p"`
}

// Key returns the block's key in the object service.
func (r BlockRef) Key() string { return fmt.Sprintf("%s%s-%x", BlockPrefix, r.Digest, r.Publication) }

// IsZero reports whether the reference names no block.
func (r BlockRef) IsZero() bool { return r == BlockRef{} }

var (
	encoder    = newEncoder()
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxPlainBytes))
)

// newEncoder returns a compressor whose internal state is already initialized.
func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	// The first use creates a channel. If a test made it inside a bubble of testing/synctest, it could
	// not be used outside of that bubble; created here, it belongs to none.
	e.EncodeAll([]byte{0}, nil)
	return e
}

// encodeBlock returns the compressed form of v and the digest of its content.
func encodeBlock(v any) (Digest, []byte, error) {
	plain, err := marshal(v)
	if err != nil {
		return Digest{}, nil, merry.Errorf("encode block: %w", err)
	}
	data := encoder.EncodeAll(plain, nil)
	if len(data) > MaxBlockBytes {
		return Digest{}, nil, merry.Errorf("block of %d bytes is over %d: %w", len(data), MaxBlockBytes, ErrTooLarge)
	}
	return sha256.Sum256(plain), data, nil
}

// decodeBlock checks data against the digest and decodes it into v.
func decodeBlock(digest Digest, data []byte, v any) error {
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return merry.Errorf("decompress block %s: %w: %w", digest, ErrCorrupt, err)
	}
	if sha256.Sum256(plain) != digest {
		return merry.Errorf("block %s has another digest: %w", digest, ErrCorrupt)
	}
	if err := unmarshal(plain, v); err != nil {
		return merry.Errorf("decode block %s: %w: %w", digest, ErrCorrupt, err)
	}
	return nil
}

// marshal encodes v as msgpack with the JSON names of its fields.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.SetCustomStructTag("json")
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func unmarshal(data []byte, v any) error {
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	dec.SetCustomStructTag("json")
	return dec.Decode(v)
}
