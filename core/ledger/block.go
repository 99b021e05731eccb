package ledger

// BlockRef points from a head or an index to a sealed block of final records.
type BlockRef struct {
	// Key is the key of the block's object.
	Key string `msgpack:"k"`
	// Level counts how often the block's records have been merged.
	Level uint8 `msgpack:"l"`
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
	// NewestSeconds is the newest record's AtSeconds in all covered blocks.
	NewestSeconds int64 `msgpack:"w"`
}
