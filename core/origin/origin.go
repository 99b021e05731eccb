// Package origin remembers at which software version recent streams began.
//
// A stream goes on only at an upstream of the version that began it, and its caller may take it up at another node. The
// node that grants slots therefore records the version with each grant to a stream, under the ID of the request.
//
// Records are kept in generations: each lives for at least Lifetime and at most twice that, and expiry drops a
// generation at once. The IDs are kept as hashes of 64 bits, the versions as numbers.
//
// Usage:
//
//	o := origin.New()
//	o.Record(now, "9c41d07be2a35f68", "v1.1")
//	version, ok := o.Version(now, "9c41d07be2a35f68")
package origin

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long a record is kept at least. Callers take a stream up within a few seconds.
	Lifetime = 15 * time.Second
	// maxRecords bounds the records of a generation; further ones begin the next generation early.
	maxRecords = 500_000
)

// Records holds the versions at which streams began, in the form in which nodes send them to each other.
type Records struct {
	// Versions are the versions that occur, each once.
	Versions []string `msgpack:"vers"`
	// Streams are the hashes of the streams' IDs, and Began the positions of their versions in Versions.
	Streams []uint64 `msgpack:"ids"`
	Began   []uint16 `msgpack:"began"`
}

// Origins holds the records of a node. It is mutable and not safe for concurrent use.
type Origins struct {
	// versions are the versions by number.
	versions []string
	// newer and older map the hash of a stream's ID to the number of its version.
	newer, older map[uint64]uint16
	// turnedAt is when newer was begun.
	turnedAt time.Time
}

// New returns origins without records.
func New() *Origins { return &Origins{newer: make(map[uint64]uint16), older: make(map[uint64]uint16)} }

// Record records the version at which a stream begins; a later record of the same stream replaces an earlier one, since
// a stream whose first attempt has sent nothing may begin at another version.
func (o *Origins) Record(now time.Time, id, version string) {
	o.record(now, xxhash.Sum64String(id), version)
}

func (o *Origins) record(now time.Time, stream uint64, version string) {
	o.turn(now)
	n, ok := o.number(version)
	if !ok {
		return
	}
	delete(o.older, stream)
	o.newer[stream] = n
}

// Version returns the version at which a stream began, and false if that isn't known.
func (o *Origins) Version(now time.Time, id string) (string, bool) {
	o.turn(now)
	n, ok := o.find(xxhash.Sum64String(id))
	if id == "" || !ok {
		return "", false
	}
	return o.versions[n], true
}

// Len returns the number of records.
func (o *Origins) Len() int { return len(o.newer) + len(o.older) }

// Export returns all records in groups of at most size.
func (o *Origins) Export(now time.Time, size int) []Records {
	o.turn(now)
	var out []Records
	for _, generation := range []map[uint64]uint16{o.newer, o.older} {
		for stream, n := range generation {
			if len(out) == 0 || len(out[len(out)-1].Streams) == size {
				out = append(out, Records{Versions: slices.Clone(o.versions)})
			}
			r := &out[len(out)-1]
			r.Streams, r.Began = append(r.Streams, stream), append(r.Began, n)
		}
	}
	return out
}

// Import adds records of another node. With replace they replace records of the same streams, otherwise they only add to
// them. Records that are not well formed are skipped.
func (o *Origins) Import(now time.Time, r Records, replace bool) {
	for i, stream := range r.Streams {
		if i >= len(r.Began) || int(r.Began[i]) >= len(r.Versions) {
			return
		}
		if _, known := o.find(stream); known && !replace {
			continue
		}
		o.record(now, stream, r.Versions[r.Began[i]])
	}
}

func (o *Origins) find(stream uint64) (uint16, bool) {
	n, ok := o.newer[stream]
	if !ok {
		n, ok = o.older[stream]
	}
	return n, ok
}

// turn begins a new generation if the present one is old or full.
func (o *Origins) turn(now time.Time) {
	age := now.Sub(o.turnedAt)
	if age < Lifetime && len(o.newer) < maxRecords {
		return
	}
	o.older, o.newer, o.turnedAt = o.newer, make(map[uint64]uint16), now
	if age >= 2*Lifetime {
		clear(o.older)
	}
	o.dropUnusedVersions()
}

// dropUnusedVersions forgets versions without records, so that the list doesn't grow with each release.
func (o *Origins) dropUnusedVersions() {
	used := make([]bool, len(o.versions))
	for _, n := range o.older {
		used[n] = true
	}
	var kept []string
	numbers := make([]uint16, len(o.versions))
	for n, version := range o.versions {
		if used[n] {
			numbers[n] = uint16(len(kept))
			kept = append(kept, version)
		}
	}
	if len(kept) == len(o.versions) {
		return
	}
	o.versions = kept
	for stream, n := range o.older {
		o.older[stream] = numbers[n]
	}
}

// number returns the number of a version, and false if there are too many versions.
func (o *Origins) number(version string) (uint16, bool) {
	if i := slices.Index(o.versions, version); i >= 0 {
		return uint16(i), true
	}
	if version == "" || len(o.versions) > math.MaxUint16 {
		return 0, false
	}
	o.versions = append(o.versions, version)
	return uint16(len(o.versions) - 1), true
}
