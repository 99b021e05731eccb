package ledger

import (
	"encoding/binary"
	"slices"

	"github.com/ansel1/merry/v2"
)

const (
	// maxBlockBytes is the largest sealed block, in bytes; an object holds 1 MiB.
	maxBlockBytes = 960 << 10
	// fingerprintBytes is the size of a fingerprint in an index, in bytes.
	fingerprintBytes = 4
)

// BlockRef points from a head or an index to a sealed block of final records.
type BlockRef struct {
	// Key is the key of the block's object.
	Key string `msgpack:"k"`
	// Records is the number of records.
	Records uint32 `msgpack:"n"`
	// Bytes is the size of the object, in bytes.
	Bytes uint32 `msgpack:"b"`
	// NewestSeconds is the newest record's AtSeconds.
	NewestSeconds int64 `msgpack:"w"`
}

// IndexRef points from a head to an index object.
type IndexRef struct {
	Key string `msgpack:"k"`
	// Blocks is the number of blocks that the index covers.
	Blocks uint32 `msgpack:"n"`
	// NewestSeconds is the newest record's AtSeconds in all covered blocks.
	NewestSeconds int64 `msgpack:"w"`
}

// SealedBlock is a block to be written.
type SealedBlock struct {
	Value   []byte
	Records []Record
}

// Ref returns the reference to the block under the key.
func (b SealedBlock) Ref(key string) BlockRef {
	ref := BlockRef{Key: key, Records: uint32(len(b.Records)), Bytes: uint32(len(b.Value))}
	for _, r := range b.Records {
		ref.NewestSeconds = max(ref.NewestSeconds, r.AtSeconds)
	}
	return ref
}

// EncodeBlocks packs final records into as few blocks as their size allows.
func EncodeBlocks(records []Record) ([]SealedBlock, error) {
	value, err := encode(records)
	if err != nil {
		return nil, merry.Errorf("encode block: %w", err)
	}
	if len(value) <= maxBlockBytes {
		return []SealedBlock{{Value: value, Records: records}}, nil
	}
	if len(records) == 1 {
		return nil, merry.Errorf("record of %d bytes is over %d", len(value), maxBlockBytes)
	}
	half := len(records) / 2
	first, err := EncodeBlocks(records[:half])
	if err != nil {
		return nil, err
	}
	second, err := EncodeBlocks(records[half:])
	if err != nil {
		return nil, err
	}
	return append(first, second...), nil
}

// DecodeBlock reads a block's value.
func DecodeBlock(value []byte) ([]Record, error) {
	var records []Record
	if err := decode(value, &records); err != nil {
		return nil, merry.Errorf("decode block: %w", err)
	}
	return records, nil
}

// Filter is a block's reference and the sorted fingerprints of its records.
type Filter struct {
	Ref          BlockRef
	Fingerprints []uint32
}

// NewFilter returns the filter of a block's records.
func NewFilter(ref BlockRef, records []Record) Filter {
	f := Filter{Ref: ref, Fingerprints: make([]uint32, 0, len(records))}
	for _, r := range records {
		f.Fingerprints = append(f.Fingerprints, r.ID.Fingerprint())
	}
	slices.Sort(f.Fingerprints)
	return f
}

// MayHold reports whether the block can hold the ID.
func (f Filter) MayHold(id ID) bool {
	_, ok := slices.BinarySearch(f.Fingerprints, id.Fingerprint())
	return ok
}

// wireFilter is a filter in an index object.
type wireFilter struct {
	Ref          BlockRef `msgpack:"r"`
	Fingerprints []byte   `msgpack:"f"`
}

// EncodeIndex returns the value of an index object; fingerprints take 4 bytes each.
func EncodeIndex(filters []Filter) ([]byte, error) {
	wire := make([]wireFilter, 0, len(filters))
	for _, f := range filters {
		packed := make([]byte, 0, fingerprintBytes*len(f.Fingerprints))
		for _, p := range f.Fingerprints {
			packed = binary.BigEndian.AppendUint32(packed, p)
		}
		wire = append(wire, wireFilter{f.Ref, packed})
	}
	return encode(wire)
}

// DecodeIndex reads an index object's value.
func DecodeIndex(value []byte) ([]Filter, error) {
	var wire []wireFilter
	if err := decode(value, &wire); err != nil {
		return nil, merry.Errorf("decode index: %w", err)
	}
	filters := make([]Filter, 0, len(wire))
	for _, w := range wire {
		f := Filter{Ref: w.Ref, Fingerprints: make([]uint32, 0, len(w.Fingerprints)/fingerprintBytes)}
		for b := w.Fingerprints; len(b) >= fingerprintBytes; b = b[fingerprintBytes:] {
			f.Fingerprints = append(f.Fingerprints, binary.BigEndian.Uint32(b))
		}
		if !slices.IsSorted(f.Fingerprints) {
			return nil, merry.New("decode index: fingerprints are not sorted")
		}
		filters = append(filters, f)
	}
	return filters, nil
}
