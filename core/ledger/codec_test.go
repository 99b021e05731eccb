package ledger

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

func testRecords(n int) []Record {
	records := make([]Record, n)
	for i := range records {
		records[i] = Record{
			ID: NewID("rota", fmt.Sprint(i)), Team: "rota", State: Done, AtSeconds: int64(i),
			Answer: Answer{Status: 200, Header: []Field{{"Content-Type", "application/json"}}, Body: noise(i, 600)},
		}
	}
	return records
}

// noise returns bytes that don't compress.
func noise(seed, n int) []byte {
	var b []byte
	for i := 0; len(b) < n; i++ {
		id := NewID(fmt.Sprint(seed), fmt.Sprint(i))
		b = append(b, id[:]...)
	}
	return b
}

func TestBlocksStayUnderTheObjectSize(t *testing.T) {
	records := testRecords(4000)
	blocks, err := EncodeBlocks(records)
	require.NoError(t, err)
	var back []Record
	for _, b := range blocks {
		assert.LessOrEqual(t, len(b.Value), maxBlockBytes)
		more, err := DecodeBlock(b.Value)
		require.NoError(t, err)
		back = append(back, more...)
	}
	assert.Equal(t, records, back)
}

func TestIndexFindsEveryRecord(t *testing.T) {
	records := testRecords(1000)
	f := NewFilter(BlockRef{Key: "k", Records: 1000}, records)
	value, err := EncodeIndex([]Filter{f})
	require.NoError(t, err)
	back, err := DecodeIndex(value)
	require.NoError(t, err)
	assert.Equal(t, []Filter{f}, back)
	for _, r := range records {
		assert.True(t, back[0].MayHold(r.ID))
	}
}

func TestHeadReportsWhichUpdatesTookEffect(t *testing.T) {
	a, b := Writer{VM: "a", Incarnation: 1}, Writer{VM: "b", Incarnation: 2}
	h := Head{}.WithUpdate(a, 1).WithUpdate(a, 2).WithUpdate(b, 1)
	for _, tc := range []struct {
		name     string
		writer   Writer
		sequence uint64
		want     Applied
	}{
		{"previous writer's last", a, 2, IsApplied},
		{"previous writer's lost update", a, 3, NotApplied},
		{"last writer's", b, 1, IsApplied},
		{"writer never seen", Writer{VM: "c"}, 1, NotApplied},
	} {
		assert.Equal(t, tc.want, h.Applied(tc.writer, tc.sequence), tc.name)
	}
	for i := range uint64(maxPreviousWriters) {
		h = h.WithUpdate(Writer{VM: "x", Incarnation: 10 + i}, 1)
	}
	assert.Equal(t, MaybeApplied, h.Applied(a, 3), "writer that the head no longer lists")
}

// FuzzDecoders passes each input to the decoders as it is and validly compressed, because mutated
// compressed bytes can seldom be decompressed.
func FuzzDecoders(f *testing.F) {
	for _, v := range []any{Head{Tail: testRecords(2)}, testRecords(2), []wireFilter{{BlockRef{Key: "k"}, []byte("12345678")}}} {
		plain, err := msgpack.Marshal(v)
		require.NoError(f, err)
		f.Add(plain)
	}
	f.Fuzz(func(t *testing.T, plain []byte) {
		for _, value := range [][]byte{plain, encoder.EncodeAll(plain, nil)} {
			if h, err := DecodeHead(value); err == nil {
				again, err := EncodeHead(h)
				require.NoError(t, err)
				_, err = DecodeHead(again)
				require.NoError(t, err)
			}
			_, _ = DecodeBlock(value)
			_, _ = DecodeIndex(value)
		}
	})
}
