package ledger

import (
	"context"
	"slices"

	"github.com/ansel1/merry/v2"

	core "mothcart/core/ledger"
)

// upkeep is one change of a shard's history in progress: the references and filters after it, and the
// keys that it leaves unreferenced.
type upkeep struct {
	s       *shard
	history core.History
	filters []core.Filter
	garbage []string
}

func (u *upkeep) carryOut(ctx context.Context, p core.Plan) error {
	if err := u.dropIndexes(ctx, p.DropIndexes); err != nil {
		return merry.Errorf("drop indexes: %w", err)
	}
	for _, b := range p.DropBlocks {
		if err := u.expireBlock(ctx, b.Key); err != nil {
			return merry.Errorf("drop block: %w", err)
		}
	}
	u.dropParts(p.Drop)
	if len(p.Merge) > 0 {
		if err := u.merge(ctx, p.Merge); err != nil {
			return merry.Errorf("merge: %w", err)
		}
	}
	if len(p.Seal) > 0 {
		refs, _, err := u.seal(ctx, p.Seal)
		if err != nil {
			return merry.Errorf("seal: %w", err)
		}
		u.history.Blocks = append(u.history.Blocks, refs...)
	}
	return nil
}

// dropBlock removes a block's filter and marks the block as garbage.
func (u *upkeep) dropBlock(key string) {
	u.filters = slices.DeleteFunc(u.filters, func(f core.Filter) bool { return f.Ref.Key == key })
	u.garbage = append(u.garbage, key)
}

// expireBlock drops a block and the parts of its records.
func (u *upkeep) expireBlock(ctx context.Context, key string) error {
	records, err := u.s.readBlock(ctx, key)
	if err != nil {
		return err
	}
	u.dropParts(records)
	u.dropBlock(key)
	return nil
}

func (u *upkeep) dropParts(records []core.Record) {
	for _, r := range records {
		u.garbage = append(u.garbage, r.Parts()...)
	}
}

func (u *upkeep) dropIndexes(ctx context.Context, indexes []core.IndexRef) error {
	for _, x := range indexes {
		covered, err := u.s.readIndex(ctx, x.Key)
		if err != nil {
			return err
		}
		for _, f := range covered {
			if err := u.expireBlock(ctx, f.Ref.Key); err != nil {
				return err
			}
		}
		u.garbage = append(u.garbage, x.Key)
	}
	return nil
}

// seal writes the records into blocks.
func (u *upkeep) seal(ctx context.Context, records []core.Record) ([]core.BlockRef, []core.Filter, error) {
	blocks, err := core.EncodeBlocks(records)
	if err != nil {
		return nil, nil, merry.Errorf("encode: %w", err)
	}
	var refs []core.BlockRef
	var filters []core.Filter
	for _, b := range blocks {
		ref := b.Ref(u.s.newKey(blockKind))
		if err := u.s.putObject(ctx, ref.Key, b.Value); err != nil {
			return nil, nil, err
		}
		u.s.l.counts.sealed.Inc(1)
		refs = append(refs, ref)
		filters = append(filters, core.NewFilter(ref, b.Records))
	}
	u.filters = append(u.filters, filters...)
	return refs, filters, nil
}

// merge writes the records of small blocks into large blocks and adds these to the newest index.
func (u *upkeep) merge(ctx context.Context, small []core.BlockRef) error {
	var records []core.Record
	for _, b := range small {
		more, err := u.s.readBlock(ctx, b.Key)
		if err != nil {
			return err
		}
		records = append(records, more...)
		u.dropBlock(b.Key)
	}
	_, filters, err := u.seal(ctx, records)
	if err != nil {
		return err
	}
	return u.index(ctx, filters)
}

// index writes an index object that covers the filters' blocks and, if the newest index has room for
// them, the blocks of that index, which the new one replaces.
func (u *upkeep) index(ctx context.Context, filters []core.Filter) error {
	open, ok := u.history.OpenIndex(len(filters))
	if ok {
		covered, err := u.s.readIndex(ctx, open.Key)
		if err != nil {
			return err
		}
		filters = append(covered, filters...)
		u.history.Indexes = u.history.Indexes[:len(u.history.Indexes)-1]
		u.garbage = append(u.garbage, open.Key)
	}
	value, err := core.EncodeIndex(filters)
	if err != nil {
		return merry.Errorf("encode index: %w", err)
	}
	ref := core.IndexRef{Key: u.s.newKey(indexKind), Blocks: uint32(len(filters))}
	for _, f := range filters {
		ref.NewestSeconds = max(ref.NewestSeconds, f.Ref.NewestSeconds)
	}
	if err := u.s.putObject(ctx, ref.Key, value); err != nil {
		return err
	}
	u.history.Indexes = append(u.history.Indexes, ref)
	return nil
}
