package job

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/job"
)

// FuzzDecoders feeds records of the store and messages of peers: any bytes give a value that is
// consistent, or an error.
func FuzzDecoders(f *testing.F) {
	c, err := newCodec()
	require.NoError(f, err)
	f.Cleanup(c.close)
	record, _, err := job.Claim(job.NewChunk(3), "vm", job.Terms{MaxAttempts: 3, Idempotent: true})
	require.NoError(f, err)
	raw, err := encode(record)
	require.NoError(f, err)
	data, err := c.pack([]Outcome{{Position: 1, CustomID: "x", State: job.Succeeded}})
	require.NoError(f, err)
	f.Add(raw)
	f.Add(data)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if chunk, err := decodeChunk(raw, 3); err == nil {
			require.True(t, chunk.Valid(3))
			_, _, _ = job.Claim(chunk, "vm", job.Terms{MaxAttempts: 3})
		}
		var outcomes []Outcome
		_ = c.unpack(raw, &outcomes)
		var head job.Head
		_ = decode(raw, &head)
		var b block
		_ = decode(raw, &b)
		var msg reportMessage
		if decode(raw, &msg) == nil {
			job.NewTable(2, job.DefaultLease).Reported(head.Created, msg.Report)
		}
		idOfIndex(string(raw))
	})
}

func TestRecordsSurviveEncoding(t *testing.T) {
	record, _, err := job.Claim(job.NewChunk(job.ChunkItems), "vm", job.Terms{MaxAttempts: 3, Idempotent: true})
	require.NoError(t, err)
	record = record.WithSegment(job.Segment{Data: []byte{1}}).WithSegment(job.Segment{Key: "k"})
	raw, err := encode(record)
	require.NoError(t, err)
	back, err := decodeChunk(raw, job.ChunkItems)
	require.NoError(t, err)
	assert.Equal(t, record.Items, back.Items)
	assert.Equal(t, record.Segments[1], back.Segments[1])
	_, err = decodeChunk(raw, 7)
	require.ErrorIs(t, err, ErrCorrupt)
	id, number := idOfIndex(expiryKey("file-a-b", testEpoch))
	assert.Equal(t, "file-a-b", id)
	assert.Equal(t, testEpoch.Unix(), number)
}
