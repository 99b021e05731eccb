package msgframe

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of a frame.
const maxDepth = 64

// CheckWellFormed checks that b is one msgpack value whose arrays, maps and strings fit in b. The
// decoder allocates memory for the length that an array declares, so a frame is checked before it is decoded.
func CheckWellFormed(b []byte) error {
	var open [maxDepth]uint64
	depth := 0
	open[0] = 1
	for {
		for open[depth] == 0 {
			if depth == 0 {
				return checkNoTrailingBytes(b)
			}
			depth--
		}
		open[depth]--
		skip, children, ok := measure(b)
		if !ok || skip > uint64(len(b)) || children > uint64(len(b))-skip {
			return merry.Errorf("value of frame is truncated: %w", ErrProtocol)
		}
		b = b[skip:]
		if children == 0 {
			continue
		}
		depth++
		if depth == maxDepth {
			return merry.Errorf("frame is nested more than %d deep: %w", maxDepth, ErrProtocol)
		}
		open[depth] = children
	}
}

func checkNoTrailingBytes(b []byte) error {
	if len(b) > 0 {
		return merry.Errorf("%d bytes after the value of a frame: %w", len(b), ErrProtocol)
	}
	return nil
}

// measure returns the size in bytes of the first value of b without its children, and the number of its
// children.
func measure(b []byte) (skip, children uint64, ok bool) {
	if len(b) == 0 {
		return 0, 0, false
	}
	c := b[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0, true
	case msgpcode.IsFixedMap(c):
		return 1, 2 * uint64(c&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(c):
		return 1, uint64(c & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(c):
		return 1 + uint64(c&msgpcode.FixedStrMask), 0, true
	}
	if n, fixed := fixedSizes[c]; fixed {
		return n, 0, true
	}
	v, variable := variableSizes[c]
	if !variable || len(b) < 1+v.lengthBytes {
		return 0, 0, false
	}
	n := readLength(b[1 : 1+v.lengthBytes])
	skip = 1 + uint64(v.lengthBytes) + v.extra + n*v.bytesEach
	return skip, n * v.childrenEach, true
}

func readLength(b []byte) uint64 {
	var wide [8]byte
	copy(wide[8-len(b):], b)
	return binary.BigEndian.Uint64(wide[:])
}

// fixedSizes holds the sizes in bytes of values whose size follows from the type code alone.
var fixedSizes = map[byte]uint64{
	msgpcode.Nil: 1, msgpcode.False: 1, msgpcode.True: 1,
	msgpcode.Uint8: 2, msgpcode.Uint16: 3, msgpcode.Uint32: 5, msgpcode.Uint64: 9,
	msgpcode.Int8: 2, msgpcode.Int16: 3, msgpcode.Int32: 5, msgpcode.Int64: 9,
	msgpcode.Float: 5, msgpcode.Double: 9,
	msgpcode.FixExt1: 3, msgpcode.FixExt2: 4, msgpcode.FixExt4: 6, msgpcode.FixExt8: 10, msgpcode.FixExt16: 18,
}

// variableSize describes values whose type code is followed by a length of lengthBytes bytes.
type variableSize struct {
	lengthBytes  int
	extra        uint64
	bytesEach    uint64
	childrenEach uint64
}

var variableSizes = map[byte]variableSize{
	msgpcode.Bin8: {lengthBytes: 1, bytesEach: 1}, msgpcode.Bin16: {lengthBytes: 2, bytesEach: 1}, msgpcode.Bin32: {lengthBytes: 4, bytesEach: 1},
	msgpcode.Str8: {lengthBytes: 1, bytesEach: 1}, msgpcode.Str16: {lengthBytes: 2, bytesEach: 1}, msgpcode.Str32: {lengthBytes: 4, bytesEach: 1},
	msgpcode.Ext8: {lengthBytes: 1, extra: 1, bytesEach: 1}, msgpcode.Ext16: {lengthBytes: 2, extra: 1, bytesEach: 1}, msgpcode.Ext32: {lengthBytes: 4, extra: 1, bytesEach: 1},
	msgpcode.Array16: {lengthBytes: 2, childrenEach: 1}, msgpcode.Array32: {lengthBytes: 4, childrenEach: 1},
	msgpcode.Map16: {lengthBytes: 2, childrenEach: 2}, msgpcode.Map32: {lengthBytes: 4, childrenEach: 2},
}
