package poison

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Identity identifies requests that ask for the same thing by a hash of 64 bits. The zero value identifies none.
type Identity uint64

// NewIdentity returns the identity of a request of a caller, with its path including the query. The request's ID, its
// deadline and its connection differ from try to try and are no part of it.
func NewIdentity(caller, method, host, path string, body []byte) Identity {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{caller, method, host, path} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(body)
	return Identity(max(d.Sum64(), 1))
}

// String returns the hash in 16 hexadecimal digits, as it appears in logs; empty for none.
func (i Identity) String() string {
	if i == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(i))
}
