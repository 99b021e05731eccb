package ledger

import (
	"context"

	core "mothcart/core/ledger"
)

// candidates returns the sealed blocks that may hold the request; the caller holds mu.
func (s *shard) candidates(core.ID) []string { return nil }

// search reads the blocks for the request; it returns the record, or the keys that it read.
func (s *shard) search(context.Context, core.ID, []string) (*core.Record, []string, error) {
	return nil, nil, nil
}

// readParts returns the body, or joins its parts.
func (s *shard) readParts(_ context.Context, body []byte, _ []string) ([]byte, error) {
	return body, nil
}

// writeParts puts a large body into objects of its own.
func (s *shard) writeParts(_ context.Context, a core.Answer) core.Answer { return a }
