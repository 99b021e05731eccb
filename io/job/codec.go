package job

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/job"
	"mothcart/io/store"
)

// ErrCorrupt means that a stored record can't be read.
var ErrCorrupt = merry.Sentinel("stored record is corrupt")

// shardCount is the number of shards of the indexes of jobs; each has a home.
const shardCount = 64

// maxDecodedBytes bounds what one compressed block may expand to.
const maxDecodedBytes = 64 << 20

// windowBytes is the distance over which the compressor finds repetitions.
const windowBytes = 1 << 20

// maxInlineBytes is the size of the outcomes in a chunk's record above which further ones are stored in
// separate objects.
const maxInlineBytes = store.MaxValueBytes * 3 / 4

func shardOf(id string) string {
	return fmt.Sprintf("%02x", xxhash.Sum64String(id)%shardCount)
}

func shardRole(shard string) string { return "jobs/" + shard }

func brokerRole(model string) string { return "batch/" + model }

func headKey(id string) string { return "jobs/h/" + id }

func openPrefix(shard string) string { return "jobs/o/" + shard + "/" }

func openKey(id string) string { return openPrefix(shardOf(id)) + id }

func teamPrefix(team string) string { return "jobs/t/" + url.PathEscape(team) + "/" }

// teamKey sorts the newest job first.
func teamKey(team string, created time.Time, id string) string {
	return fmt.Sprintf("%s%016x-%s", teamPrefix(team), math.MaxInt64-created.UnixMilli(), id)
}

func expiryPrefix(shard string) string { return "jobs/e/" + shard + "/" }

func expiryKey(id string, at time.Time) string {
	return fmt.Sprintf("%s%012x-%s", expiryPrefix(shardOf(id)), at.Unix(), id)
}

// idOfIndex returns the job's ID and the time from an index key, which ends in TIME-ID.
func idOfIndex(key string) (id string, number int64) {
	last := key[strings.LastIndexByte(key, '/')+1:]
	prefix, id, found := strings.Cut(last, "-")
	if !found {
		return last, 0
	}
	number, _ = strconv.ParseInt(prefix, 16, 64)
	return id, number
}

func blockPrefix(id string) string { return "jobs/b/" + id + "/" }

func blockKey(id, content string, n int) string {
	return fmt.Sprintf("%s%s-%04d", blockPrefix(id), content[:16], n)
}

func chunkPrefix(id string) string { return "jobs/c/" + id + "/" }

func chunkKey(id string, i int) string { return fmt.Sprintf("%s%05d", chunkPrefix(id), i) }

func segmentPrefix(id string) string { return "jobs/s/" + id + "/" }

func segmentKey(id string, i int, c job.Chunk, n int) string {
	return fmt.Sprintf("%s%05d/%d-%d-%d", segmentPrefix(id), i, c.Fence, c.Renewals, n)
}

// input is one item as it is stored.
type input struct {
	CustomID string `msgpack:"c"`
	Body     []byte `msgpack:"b"`
}

// block is one object of input: the compressed items of several chunks.
type block struct {
	Chunks [][]byte `msgpack:"c"`
}

// Outcome is the outcome of one item.
type Outcome struct {
	// Index is the item's index in the job, Position its index in the chunk.
	Index    int    `msgpack:"-"`
	Position int    `msgpack:"i"`
	CustomID string `msgpack:"c"`
	// State is Succeeded, Failed, Unknown or CancelledItem of mothcart/core/job.
	State job.ItemState `msgpack:"s"`
	// Status and Body are the upstream's answer; Status is 0 without one.
	Status int    `msgpack:"h"`
	Body   []byte `msgpack:"b"`
	// Error is the reason why there is no answer.
	Error string `msgpack:"e"`
}

// codec compresses blocks. Its methods are safe for concurrent use.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

func newCodec() (*codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes))
	if err != nil {
		return nil, merry.Errorf("create compressor: %w", err)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		return nil, merry.Errorf("create decompressor: %w", err)
	}
	return &codec{enc: enc, dec: dec}, nil
}

func (c *codec) close() {
	_ = c.enc.Close()
	c.dec.Close()
}

// pack encodes and compresses v.
func (c *codec) pack(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return nil, merry.Errorf("encode block: %w", err)
	}
	return c.enc.EncodeAll(raw, nil), nil
}

// unpack decompresses and decodes the result of pack into v.
func (c *codec) unpack(data []byte, v any) error {
	raw, err := c.dec.DecodeAll(data, nil)
	if err != nil {
		return merry.Errorf("decompress block: %w: %w", ErrCorrupt, err)
	}
	return decode(raw, v)
}

// encode returns the uncompressed encoding of a record.
func encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return nil, merry.Errorf("encode record: %w", err)
	}
	return raw, nil
}

func decode(raw []byte, v any) error {
	if err := msgpack.Unmarshal(raw, v); err != nil {
		return merry.Errorf("decode record: %w: %w", ErrCorrupt, err)
	}
	return nil
}

// decodeChunk reads a chunk's record and checks it against the number of items.
func decodeChunk(raw []byte, items int) (job.Chunk, error) {
	var c job.Chunk
	if err := decode(raw, &c); err != nil {
		return c, err
	}
	if !c.Valid(items) {
		return c, merry.Errorf("chunk of %d items: %w", items, ErrCorrupt)
	}
	return c, nil
}

func hashOf(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:", len(p))
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))
}
