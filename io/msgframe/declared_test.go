package msgframe

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// offeredReader records the largest buffer that it was offered beyond what it had delivered before.
type offeredReader struct {
	r         io.Reader
	delivered int
	// ahead is the largest such buffer in proportion to the delivered bytes, which count as firstBuffer at least.
	ahead float64
}

// Read implements io.Reader.
func (o *offeredReader) Read(b []byte) (int, error) {
	o.ahead = max(o.ahead, float64(len(b))/float64(max(o.delivered, firstBuffer)))
	n, err := o.r.Read(b)
	o.delivered += n
	return n, err
}

// Guards against memory for a frame that is declared and never arrives.
func TestDeclaredFrameTakesNoMemory(t *testing.T) {
	const limit = 4 << 20
	for _, tc := range []struct {
		name              string
		declared, arrives int
		err               error
	}{
		{"nothing arrives", limit, 0, io.EOF},
		{"a part arrives", limit, limit / 3, io.ErrUnexpectedEOF},
		{"a small part arrives", limit, 10, io.ErrUnexpectedEOF},
		{"the first buffer arrives", limit, firstBuffer, io.ErrUnexpectedEOF},
		{"all arrives", limit, limit, nil},
		{"all of a small frame arrives", 10, 10, nil},
		{"a frame of the first buffer", firstBuffer, firstBuffer, nil},
		{"a frame over the first buffer", firstBuffer + 1, firstBuffer + 1, nil},
		{"over the limit", limit + 1, limit + 1, ErrProtocol},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent := bytes.Repeat([]byte("x"), tc.arrives)
			o := &offeredReader{r: io.MultiReader(bytes.NewReader(binary.BigEndian.AppendUint32(nil, uint32(tc.declared))), bytes.NewReader(sent))}
			b, err := ReadBytes(o, limit)
			require.ErrorIs(t, err, tc.err)
			require.LessOrEqual(t, o.ahead, 1.0, "the buffer at most doubles what has arrived")
			if tc.err == nil {
				require.Equal(t, sent, b)
				require.Equal(t, len(b), cap(b))
			}
		})
	}
}
