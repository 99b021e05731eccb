package publication

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mothcart/core/config"
)

// largeSet returns a set with n accounts.
func largeSet(n int) config.Set {
	set := config.Set{Teams: []config.Team{{Name: "deacons"}}}
	for i := range n {
		set.Accounts = append(set.Accounts, config.Account{
			Name: fmt.Sprintf("c%05d", i), Team: "deacons", RequestsPerSecond: 5, Burst: 10,
			KeyHash: fmt.Sprintf("%016x%016x%016x%016x", mix(i, 1), mix(i, 2), mix(i, 3), mix(i, 4)),
		})
	}
	return set
}

func mix(i, j int) uint64 {
	x := uint64(i)*0x9e3779b97f4a7c15 + uint64(j)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// publish returns the root that publishes the set on base, with the blocks by digest.
func publish(t testing.TB, base Root, set config.Set, publication uint64) (Root, map[Digest][]byte) {
	t.Helper()
	parts, err := Split(set, nil)
	require.NoError(t, err)
	blocks := map[Digest][]byte{}
	for _, p := range append([]Part{parts.Objects}, parts.Accounts...) {
		blocks[p.Digest] = p.Data
	}
	return base.WithPublished(parts, publication, Entry{ID: EntryID{Writer: "e1/1", Sequence: publication}}), blocks
}

func join(t testing.TB, root Root, blocks map[Digest][]byte) config.Set {
	t.Helper()
	objects, err := DecodeObjects(root.Objects.Digest, blocks[root.Objects.Digest])
	require.NoError(t, err)
	var shards [][]config.Account
	for _, ref := range root.Accounts {
		accounts, err := DecodeAccounts(ref.Digest, blocks[ref.Digest])
		require.NoError(t, err)
		shards = append(shards, accounts)
	}
	return Join(objects, shards)
}

// Guards against objects or accounts that are lost or changed when a set is split into blocks.
func TestSplitAndJoinGiveTheSameSet(t *testing.T) {
	for _, n := range []int{0, 1, 300, 5000} {
		set := largeSet(n)
		root, blocks := publish(t, Root{}, set, 1)
		data, err := root.Encode()
		require.NoError(t, err)
		read, err := DecodeRoot(data)
		require.NoError(t, err)
		assert.Empty(t, config.Diff(set, join(t, read, blocks)))
		assert.Len(t, read.Accounts, shardCount(n))
	}
}

// Guards against a small change that rewrites more blocks than the one that holds the account.
func TestOneAccountChangesOneBlock(t *testing.T) {
	set := largeSet(5000)
	one, _ := publish(t, Root{}, set, 1)
	set.Accounts = append([]config.Account{}, set.Accounts...)
	set.Accounts[17].Burst++
	two, _ := publish(t, one, set, 2)
	assert.Len(t, two.Unused, 1)
	assert.Len(t, missing(two.Refs(), one.Refs()), 1)
	assert.EqualValues(t, 2, two.Generation)
}

// Guards against audit entries that are lost or reordered when older ones move from the root into blocks.
func TestAuditTrailKeepsEveryEntry(t *testing.T) {
	var root Root
	blocks := map[Digest][]byte{}
	for i := range 100 {
		root = root.WithEntry(Entry{ID: EntryID{Sequence: uint64(i)}})
		next, block, moved, err := root.Overflow(uint64(i))
		require.NoError(t, err)
		if moved {
			blocks[block.Digest] = block.Data
		}
		root = next
		assert.LessOrEqual(t, len(root.Entries), maxRootEntries)
	}
	entries, older := root.Entries, root.Older
	for want := 99; want >= 0; want-- {
		if len(entries) == 0 {
			old, err := DecodeOldEntries(older.Digest, blocks[older.Digest])
			require.NoError(t, err)
			entries, older = old.Entries, old.Older
		}
		assert.EqualValues(t, want, entries[len(entries)-1].ID.Sequence)
		entries = entries[:len(entries)-1]
	}
	assert.True(t, older.IsZero())
}

// Guards against an entry that grows with the number of changes, and against a block that lacks some of them.
func TestManyChangesGoIntoABlock(t *testing.T) {
	changes := config.Diff(config.Set{}, largeSet(26000))
	entry, details, err := Entry{}.WithChanges(changes, 1)
	require.NoError(t, err)
	assert.Len(t, entry.Changes, MaxEntryChanges)
	assert.Equal(t, len(changes), entry.ChangeCount)
	require.Len(t, details, 1)
	all, err := DecodeChanges(entry.Details.Digest, details[0].Data)
	require.NoError(t, err)
	assert.Equal(t, changes, all)
}

// TestValuesOfTooLargeChangesAreLeftOut replaces the key hash of every account of a large set, so that
// the changes with their values don't fit into one block.
func TestValuesOfTooLargeChangesAreLeftOut(t *testing.T) {
	from, to := largeSet(26000), largeSet(26000)
	for i := range to.Accounts {
		to.Accounts[i].KeyHash = fmt.Sprintf("%016x%016x%016x%016x", mix(i, 5), mix(i, 6), mix(i, 7), mix(i, 8))
	}
	_, details, err := Entry{}.WithChanges(config.Diff(from, to), 1)
	require.NoError(t, err)
	require.Len(t, details, 1)
	all, err := DecodeChanges(details[0].Digest, details[0].Data)
	require.NoError(t, err)
	require.Len(t, all, 26000)
	assert.Equal(t, []config.FieldChange{{Field: "keyHash"}}, all[0].Fields)
}

// Guards against the use of a damaged block, or of another block than the one that was referred to.
func TestCorruptBlocksAreRefused(t *testing.T) {
	parts, err := Split(largeSet(10), nil)
	require.NoError(t, err)
	data := append([]byte{}, parts.Objects.Data...)
	data[len(data)-1] ^= 1
	_, err = DecodeObjects(parts.Objects.Digest, data)
	require.ErrorIs(t, err, ErrCorrupt)
	_, err = DecodeObjects(parts.Objects.Digest, parts.Accounts[0].Data)
	require.ErrorIs(t, err, ErrCorrupt)
}

// Guards against a panic on a malformed root, and against a root that changes when it is encoded again.
func FuzzDecodeRoot(f *testing.F) {
	root, _ := publish(f, Root{}, largeSet(600), 1)
	data, err := root.Encode()
	require.NoError(f, err)
	f.Add(data[sha256.Size:])
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, body []byte) {
		root, err := DecodeRoot(Seal(body))
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		again, err := root.Encode()
		require.NoError(t, err)
		second, err := DecodeRoot(again)
		require.NoError(t, err)
		require.Equal(t, root.Generation, second.Generation)
		require.Equal(t, root.Refs(), second.Refs())
		require.Len(t, second.Entries, len(root.Entries))
	})
}
