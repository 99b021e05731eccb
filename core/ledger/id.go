package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/ansel1/merry/v2"
)

// hashBytes is the length of IDs and digests.
const hashBytes = 16

// ID names one request: a hash of the team and the team's key.
type ID [hashBytes]byte

// Digest is a hash of a request's body; a resend must have the same digest.
type Digest [hashBytes]byte

// NewID returns the ID of a team's key.
func NewID(team, key string) ID {
	h := sha256.New()
	_ = binary.Write(h, binary.BigEndian, uint32(len(team)))
	h.Write([]byte(team))
	h.Write([]byte(key))
	return ID(h.Sum(nil)[:hashBytes])
}

// ParseID reads the hexadecimal form of an ID.
func ParseID(s string) (ID, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != hashBytes {
		return ID{}, merry.Errorf("request ID %q: not %d hexadecimal bytes", s, hashBytes)
	}
	return ID(b), nil
}

// String returns the hexadecimal form.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Shard returns the number of the shard, out of shards, that holds the request.
func (id ID) Shard(shards int) int {
	return int(binary.BigEndian.Uint32(id[:4]) % uint32(shards))
}

// Fingerprint returns the part of the ID that the index of sealed blocks stores.
func (id ID) Fingerprint() uint32 { return binary.BigEndian.Uint32(id[4:8]) }

// HashBody returns the digest of a request's body.
func HashBody(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(sum[:hashBytes])
}
