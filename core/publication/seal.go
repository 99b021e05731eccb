package publication

import (
	"bytes"
	"crypto/sha256"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Seal returns the body with its SHA-256 in front.
func Seal(body []byte) []byte {
	sum := sha256.Sum256(body)
	return append(sum[:], body...)
}

// Unseal returns the body that was passed to Seal, or ErrCorrupt. It also checks that the body holds as
// many bytes as each length in its msgpack says, because the decoder allocates memory by these lengths.
func Unseal(data []byte) ([]byte, error) {
	if len(data) < sha256.Size {
		return nil, merry.Errorf("%d bytes: %w", len(data), ErrCorrupt)
	}
	sum, body := data[:sha256.Size], data[sha256.Size:]
	if want := sha256.Sum256(body); !bytes.Equal(sum, want[:]) {
		return nil, merry.Errorf("wrong checksum: %w", ErrCorrupt)
	}
	if err := msgpack.NewDecoder(bytes.NewReader(body)).Skip(); err != nil {
		return nil, merry.Errorf("skip through body: %w: %w", ErrCorrupt, err)
	}
	return body, nil
}
