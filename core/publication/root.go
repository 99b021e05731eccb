package publication

import (
	"bytes"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mothcart/core/config"
)

// formatVersion is the version of the root's encoding.
const formatVersion = 1

// maxRootBytes bounds an encoded root.
const maxRootBytes = 1 << 20

// Outcomes of an attempt to apply a configuration.
const (
	OutcomeAccepted  = "accepted"
	OutcomeUnchanged = "unchanged"
	OutcomeRefused   = "refused"
	OutcomeConflict  = "conflict"
)

// EntryID identifies one attempt to apply a configuration; it is never reused.
type EntryID struct {
	// Writer is the ID of the VM with its incarnation.
	Writer   string `json:"writer" msgpack:"w"`
	Sequence uint64 `json:"sequence" msgpack:"s"`
}

// Entry is one line of the audit trail.
type Entry struct {
	ID       EntryID `json:"id" msgpack:"i"`
	Operator string  `json:"operator" msgpack:"o"`
	// At is the wall-clock time of the VM that processed the apply; it is only for display.
	At      time.Time `json:"at" msgpack:"t"`
	Outcome string    `json:"outcome" msgpack:"r"`
	// From is the generation that the change is based on; Generation is the one in force after the attempt.
	From       uint64 `json:"from" msgpack:"f"`
	Generation uint64 `json:"generation" msgpack:"g"`
	// Rebased reports that the change was merged with one published after the operator read the set.
	Rebased bool `json:"rebased,omitempty" msgpack:"b,omitempty"`
	// Changes holds the first changes and ChangeCount counts all. Details refers to a block with all
	// of them if Changes does not hold all.
	Changes     []config.Change `json:"changes,omitempty" msgpack:"c,omitempty"`
	ChangeCount int             `json:"changeCount" msgpack:"n"`
	Details     BlockRef        `json:"details,omitzero" msgpack:"d"`
	// Reasons holds the first reasons of a refusal or conflict.
	Reasons []string `json:"reasons,omitempty" msgpack:"e,omitempty"`
	// Dropped counts refusals before this entry that could not be recorded.
	Dropped int `json:"dropped,omitempty" msgpack:"x,omitempty"`
}

// Root is the one object that decides which configuration is published. Values are immutable.
type Root struct {
	Format int `msgpack:"v"`
	// Generation counts published sets; Revision counts updates of the root, which also record
	// refusals.
	Generation uint64 `msgpack:"g"`
	Revision   uint64 `msgpack:"r"`
	// Objects and Accounts refer to the blocks of the set.
	Objects  BlockRef   `msgpack:"o"`
	Accounts []BlockRef `msgpack:"a"`
	// Entries are the latest audit entries, oldest first.
	Entries []Entry `msgpack:"e"`
	// Older refers to the block of the entries before them, which refers to the next older block.
	Older BlockRef `msgpack:"p"`
	// Unused are the blocks that the latest publication no longer refers to; the next one deletes
	// them.
	Unused []BlockRef `msgpack:"u"`
}

// Encode returns the root's bytes.
func (r Root) Encode() ([]byte, error) {
	r.Format = formatVersion
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, merry.Errorf("encode root: %w", err)
	}
	data = Seal(data)
	if len(data) > maxRootBytes {
		return nil, merry.Errorf("root of %d bytes: %w", len(data), ErrTooLarge)
	}
	return data, nil
}

// DecodeRoot reads what Encode wrote. It returns ErrCorrupt for anything else.
func DecodeRoot(data []byte) (Root, error) {
	if len(data) > maxRootBytes {
		return Root{}, merry.Errorf("root of %d bytes: %w", len(data), ErrCorrupt)
	}
	body, err := Unseal(data)
	if err != nil {
		return Root{}, merry.Errorf("root: %w", err)
	}
	var r Root
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&r); err != nil {
		return Root{}, merry.Errorf("decode root: %w: %w", ErrCorrupt, err)
	}
	shards := len(r.Accounts)
	switch {
	case r.Format != formatVersion:
		return Root{}, merry.Errorf("root of format %d: %w", r.Format, ErrCorrupt)
	case shards > maxShards || shards&(shards-1) != 0:
		return Root{}, merry.Errorf("root of %d account blocks: %w", shards, ErrCorrupt)
	case r.Generation > r.Revision:
		return Root{}, merry.Errorf("root of generation %d at revision %d: %w", r.Generation, r.Revision, ErrCorrupt)
	}
	return r, nil
}

// Refs returns the blocks of the set.
func (r Root) Refs() []BlockRef {
	if r.Objects.IsZero() {
		return nil
	}
	return append([]BlockRef{r.Objects}, r.Accounts...)
}

// WithPublished returns the root of the next generation with the blocks of parts and the entry.
// Blocks that the root already refers to keep their keys; the keys of new ones contain publication.
func (r Root) WithPublished(parts Parts, publication uint64, entry Entry) Root {
	existing := make(map[Digest]BlockRef, len(r.Accounts)+1)
	for _, ref := range r.Refs() {
		existing[ref.Digest] = ref
	}
	refTo := func(p Part) BlockRef {
		if ref, ok := existing[p.Digest]; ok {
			return ref
		}
		return BlockRef{Digest: p.Digest, Publication: publication}
	}
	next := r
	next.Generation++
	next.Objects = refTo(parts.Objects)
	next.Accounts = make([]BlockRef, 0, len(parts.Accounts))
	for _, p := range parts.Accounts {
		next.Accounts = append(next.Accounts, refTo(p))
	}
	next.Unused = missing(r.Refs(), next.Refs())
	entry.Generation = next.Generation
	return next.WithEntry(entry)
}

// WithEntry returns the next revision of the root, with the entry added.
func (r Root) WithEntry(entry Entry) Root {
	r.Revision++
	r.Entries = append(slices.Clip(r.Entries), entry)
	return r
}

// Find returns the entry with the ID among the entries in the root; it does not search older blocks.
func (r Root) Find(id EntryID) (Entry, bool) {
	i := slices.IndexFunc(r.Entries, func(e Entry) bool { return e.ID == id })
	if i < 0 {
		return Entry{}, false
	}
	return r.Entries[i], true
}

// missing returns the refs of before that after lacks.
func missing(before, after []BlockRef) []BlockRef {
	present := make(map[BlockRef]bool, len(after))
	for _, ref := range after {
		present[ref] = true
	}
	return slices.DeleteFunc(slices.Clone(before), func(ref BlockRef) bool { return present[ref] })
}
