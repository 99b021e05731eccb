package ledger

import (
	"slices"
	"time"
)

const (
	// mergeBlocks is the number of small blocks in a head that are merged into large ones.
	mergeBlocks = 16
	// indexBlocks is the number of blocks that one index covers at most.
	indexBlocks = 64
)

// Plan is the upkeep of a shard's history that is due. Package io/ledger writes the objects and
// passes the new references to WithHistory.
type Plan struct {
	// Seal are final records to move into a block.
	Seal []Record
	// Merge are blocks to merge into larger ones, which the newest index, or a new one, covers.
	Merge []BlockRef
	// Drop are final records of the tail that are past their retention.
	Drop []Record
	// DropBlocks and DropIndexes refer only to records that are past their retention.
	DropBlocks  []BlockRef
	DropIndexes []IndexRef
}

// Empty reports whether nothing is due.
func (p Plan) Empty() bool {
	return len(p.Seal)+len(p.Merge)+len(p.Drop)+len(p.DropBlocks)+len(p.DropIndexes) == 0
}

// Plan returns the upkeep that is due. Retention is compared with wall time.
func (s Shard) Plan(wall time.Time) Plan {
	var p Plan
	if !s.held || s.isWriting || s.history != nil {
		return p
	}
	oldest := wall.Add(-s.limits.Retention).Unix()
	var bytes int
	for id, e := range s.entries.all() {
		switch {
		case !e.durable.Final() || s.dirty.has(id):
		case e.record.AtSeconds < oldest:
			p.Drop = append(p.Drop, e.record)
		default:
			p.Seal = append(p.Seal, e.record)
			bytes += e.record.bytes()
		}
	}
	if bytes <= s.limits.SealBytes {
		p.Seal = nil
	}
	for _, b := range s.head.Blocks {
		if b.NewestSeconds < oldest {
			p.DropBlocks = append(p.DropBlocks, b)
		}
	}
	for _, x := range s.head.Indexes {
		if x.NewestSeconds < oldest {
			p.DropIndexes = append(p.DropIndexes, x)
		}
	}
	if len(s.head.Blocks) >= mergeBlocks && len(p.DropBlocks) == 0 {
		p.Merge = slices.Clone(s.head.Blocks)
	}
	return p
}

// History is the new list of references after some upkeep.
type History struct {
	Blocks  []BlockRef
	Indexes []IndexRef
	// Sealed are the records that the tail no longer holds.
	Sealed []ID
}

// References returns the history that the last confirmed head points to.
func (s Shard) References() History { return History{Blocks: s.head.Blocks, Indexes: s.head.Indexes} }

// After returns the history without what the plan drops and merges.
func (h History) After(p Plan) History {
	h.Blocks = slices.DeleteFunc(slices.Clone(h.Blocks), func(b BlockRef) bool {
		return slices.Contains(p.DropBlocks, b) || slices.Contains(p.Merge, b)
	})
	h.Indexes = slices.DeleteFunc(slices.Clone(h.Indexes), func(x IndexRef) bool {
		return slices.Contains(p.DropIndexes, x)
	})
	h.Sealed = nil
	for _, r := range slices.Concat(p.Drop, p.Seal) {
		h.Sealed = append(h.Sealed, r.ID)
	}
	return h
}

// OpenIndex returns the newest index if it has room for more blocks.
func (h History) OpenIndex(more int) (IndexRef, bool) {
	if len(h.Indexes) == 0 {
		return IndexRef{}, false
	}
	newest := h.Indexes[len(h.Indexes)-1]
	return newest, int(newest.Blocks)+more <= indexBlocks
}

// WithHistory makes the next head point to the objects of h, which are durable. It changes
// nothing when this VM is no longer the shard's home.
func (s Shard) WithHistory(h History) Shard {
	if !s.held {
		return s
	}
	s.history = &h
	return s
}

// sealedIDs returns the IDs of the records that the head being written leaves out.
func (s Shard) sealedIDs() map[ID]bool {
	sealed := map[ID]bool{}
	if s.history != nil {
		for _, id := range s.history.Sealed {
			sealed[id] = true
		}
	}
	return sealed
}
