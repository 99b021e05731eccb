package poison

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of prompts by a hash of 64 bits of its ID.
type Part uint64

// NewPart returns the part with an ID.
func NewPart(id string) Part { return Part(xxhash.Sum64String(id)) }

// String returns the hash in 16 hexadecimal digits, as it appears in logs.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// Names returns the parts as they appear in logs.
func Names(parts []Part) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, p.String())
	}
	return out
}
