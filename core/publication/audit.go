package publication

import (
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"mothcart/core/config"
)

const (
	// maxRootEntries is the number of entries in the root above which older ones move to a block.
	maxRootEntries = 16
	// recentRootEntries is the number of latest entries that stay in the root when older ones move.
	recentRootEntries = 4
	// MaxEntryChanges bounds the changes that an entry holds inline.
	MaxEntryChanges = 16
	// MaxEntryReasons bounds the reasons that an entry holds.
	MaxEntryReasons = 16
)

// OldEntries is a block of audit entries that were moved out of the root.
type OldEntries struct {
	// Entries are in order, oldest first.
	Entries []Entry `json:"entries"`
	// Older refers to the block of the entries before these; it is zero in the oldest block.
	Older BlockRef `json:"older"`
}

// Overflow returns the root with its older entries moved into a block, and that block. If the root holds
// no more than maxRootEntries entries, it returns the root unchanged and ok false.
func (r Root) Overflow(publication uint64) (next Root, block Part, ok bool, err error) {
	if len(r.Entries) <= maxRootEntries {
		return r, Part{}, false, nil
	}
	moved := len(r.Entries) - recentRootEntries
	block, err = encodePart(OldEntries{Entries: r.Entries[:moved], Older: r.Older})
	if err != nil {
		return r, Part{}, false, merry.Errorf("audit entries: %w", err)
	}
	r.Entries = slices.Clone(r.Entries[moved:])
	r.Older = BlockRef{Digest: block.Digest, Publication: publication}
	return r, block, true, nil
}

// DecodeOldEntries decodes a block of the audit trail.
func DecodeOldEntries(digest Digest, data []byte) (OldEntries, error) {
	var old OldEntries
	err := decodeBlock(digest, data, &old)
	return old, err
}

// WithChanges returns the entry with the changes. If there are more than MaxEntryChanges, the entry holds
// the first ones and refers to a block of all of them, which is returned too. The block has no old and
// new values of fields if it would be too large with them.
func (e Entry) WithChanges(changes []config.Change, publication uint64) (Entry, []Part, error) {
	e.ChangeCount = len(changes)
	e.Changes = changes[:min(len(changes), MaxEntryChanges)]
	if len(changes) <= MaxEntryChanges {
		return e, nil, nil
	}
	block, err := encodePart(changes)
	if errors.Is(err, ErrTooLarge) {
		block, err = encodePart(withoutValues(changes))
	}
	if err != nil {
		return e, nil, merry.Errorf("changes: %w", err)
	}
	e.Details = BlockRef{Digest: block.Digest, Publication: publication}
	return e, []Part{block}, nil
}

func withoutValues(changes []config.Change) []config.Change {
	short := slices.Clone(changes)
	for i, c := range short {
		short[i].Fields = make([]config.FieldChange, 0, len(c.Fields))
		for _, f := range c.Fields {
			short[i].Fields = append(short[i].Fields, config.FieldChange{Field: f.Field})
		}
	}
	return short
}

// DecodeChanges decodes the block of an entry's changes.
func DecodeChanges(digest Digest, data []byte) ([]config.Change, error) {
	var changes []config.Change
	err := decodeBlock(digest, data, &changes)
	return changes, err
}

// WithReasons returns the entry with the first MaxEntryReasons of the reasons.
func (e Entry) WithReasons(reasons []string) Entry {
	e.Reasons = reasons[:min(len(reasons), MaxEntryReasons)]
	return e
}
